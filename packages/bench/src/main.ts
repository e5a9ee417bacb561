import {defineCommand, runMain} from 'citty';
import {
	configuration, faults, membership, overhead,
} from './index.js';

const main = defineCommand({
	meta: {name: 'bench', description: 'Measurements, each with baselines in the same run'},
	subCommands: {
		configuration, faults, membership, overhead,
	},
});

await runMain(main);
