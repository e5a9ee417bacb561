import process from 'node:process';
import {build} from 'esbuild';

const defaultFolder = 'target';
const [folder = defaultFolder] = process.argv.slice(2);

// One file for each program that runs on the users' platform, so that a start reads and compiles little.
await build({
	entryPoints: {gentianlift: 'platform/main.ts'},
	bundle: true,
	outdir: folder,
	outExtension: {'.js': '.mjs'},
	format: 'esm',
	platform: 'node',
	target: 'node20',
	conditions: ['source'],
	minifySyntax: true,
	minifyWhitespace: true,
	banner: {js: 'import {createRequire as createBundleRequire} from "node:module";const require=createBundleRequire(import.meta.url);'},
	logLevel: 'warning',
});
