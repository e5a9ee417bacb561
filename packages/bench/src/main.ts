import {defineCommand, runMain} from 'citty';
import {
	claims, faults, histories, membership, overhead, policy,
} from './index.js';

const main = defineCommand({
	meta: {name: 'bench', description: 'Measurements, each with baselines in the same run'},
	subCommands: {
		claims, faults, histories, membership, overhead, policy,
	},
});

await runMain(main);
