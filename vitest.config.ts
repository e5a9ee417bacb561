import {defineConfig} from 'vitest/config';

const config = defineConfig({
	resolve: {conditions: ['source']},
	ssr: {resolve: {conditions: ['source']}},
	test: {
		include: ['packages/*/src/**/*.test.ts'],
		testTimeout: 180_000,
		maxWorkers: 4,
	},
});

export default config;
