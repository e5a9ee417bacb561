import {defineConfig} from 'vitest/config';

// Crowds of callers against real processes, one test at a time.
const config = defineConfig({
	resolve: {conditions: ['source']},
	ssr: {resolve: {conditions: ['source']}},
	test: {
		include: ['platform/crowds.test.ts'],
		testTimeout: 180_000,
		expect: {poll: {timeout: 60_000}},
		maxWorkers: 1,
	},
});

export default config;
