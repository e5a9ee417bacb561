import {configDefaults, defineConfig} from 'vitest/config';

const config = defineConfig({
	resolve: {conditions: ['source']},
	ssr: {resolve: {conditions: ['source']}},
	test: {
		include: ['packages/*/src/**/*.test.ts', 'platform/**/*.test.ts'],
		// Runs apart from other load, by `npm run crowds`.
		exclude: [...configDefaults.exclude, 'platform/crowds.test.ts'],
		testTimeout: 180_000,
		// How long a test waits for what must come; no test asserts on the time itself.
		expect: {poll: {timeout: 60_000}},
		maxWorkers: 4,
	},
});

export default config;
