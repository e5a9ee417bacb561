import {defineCommand, runMain} from 'citty';
import {membership, overhead} from './index.js';

const main = defineCommand({
	meta: {name: 'bench', description: 'Measurements, each with baselines in the same run'},
	subCommands: {membership, overhead},
});

await runMain(main);
