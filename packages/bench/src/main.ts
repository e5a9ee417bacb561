import {defineCommand, runMain} from 'citty';
import {overhead} from './index.js';

const main = defineCommand({
	meta: {name: 'bench', description: 'Measurements, each with baselines in the same run'},
	subCommands: {overhead},
});

await runMain(main);
