import {defineCommand, runMain} from 'citty';
import {
	faults, membership, overhead, policy, histories,
} from './index.js';

const main = defineCommand({
	meta: {name: 'bench', description: 'Measurements, each with baselines in the same run'},
	subCommands: {
		faults, membership, overhead, policy, histories,
	},
});

await runMain(main);
