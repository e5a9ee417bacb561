import {readdir, rm} from 'node:fs/promises';
import {glob} from 'glob';
import {build} from 'esbuild';

const packages = await readdir('packages');

/** Transpiles the sources of one package into its dist folder. */
const buildPackage = async name => {
	const sources = await glob(`packages/${name}/src/**/*.ts`, {ignore: '**/*.test.ts'});
	await rm(`packages/${name}/dist`, {recursive: true, force: true});
	await build({
		entryPoints: sources,
		outbase: `packages/${name}/src`,
		outdir: `packages/${name}/dist`,
		format: 'esm',
		platform: 'node',
		target: 'node20',
		sourcemap: true,
		logLevel: 'warning',
	});
};

await Promise.all(packages.map(name => buildPackage(name)));
