import {defineCommand, runMain} from 'citty';
import {overhead, policy} from './index.js';

const main = defineCommand({
	meta: {name: 'bench', description: 'Measurements, each with baselines in the same run'},
	subCommands: {overhead, policy},
});

await runMain(main);
