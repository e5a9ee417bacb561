import {readFileSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import {globSync} from 'glob';
import {expect, test} from 'vitest';

const root = fileURLToPath(new URL('../../../', import.meta.url));
const call = /metrics\.(?:count|setGauge|record)\(\s*'(?<name>[a-z_]+)'/gv;

test('each metric is documented on the operators\' page', () => {
	const page = readFileSync(`${root}docs/operators/alarms.md`, 'utf8');
	const files = globSync('packages/*/src/**/*.ts', {cwd: root, ignore: ['**/*.test.ts', 'packages/{fakes,trial,bench,model,metrics}/**']});
	const names = files.flatMap(file => [...readFileSync(`${root}${file}`, 'utf8').matchAll(call)].map(({groups}) => groups?.name ?? ''));
	expect(names.length).toBeGreaterThan(50);
	expect([...new Set(names)].filter(name => !page.includes(`\`${name}`))).toEqual([]);
});
