import {readdirSync, readFileSync} from 'node:fs';
import {expect, test} from 'vitest';

type Manifest = {name: string; private?: boolean; license?: string; dependencies?: Record<string, string>};

const packages = new URL('../../', import.meta.url);
const scope = '@gentianlift/';
const privatePackages = new Set(['fakes', 'trial', 'bench', 'model', 'soak']);

const readManifest = (name: string): Manifest =>
	JSON.parse(readFileSync(new URL(`${name}/package.json`, packages), 'utf8')) as Manifest;

const getOwnDependencies = ({dependencies = {}}: Manifest): string[] =>
	Object.keys(dependencies).filter(name => name.startsWith(scope)).map(name => name.slice(scope.length));

const readAllowed = (): Map<string, string[]> => {
	const page = readFileSync(new URL('../docs/ARCHITECTURE.md', packages), 'utf8');
	const rows = [...page.matchAll(/^\| `(?<name>[a-z]+)` \| [^\|]+ \| (?<allowed>[^\|]+) \|$/gmv)];
	const known: string[] = [];
	return new Map(rows.map(({groups = {}}) => {
		const {name = '', allowed = ''} = groups;
		const list = allowed.trim() === 'all above' ? [...known] : allowed.trim().split(', ');
		known.push(name);
		return [name, list];
	}));
};

const names = readdirSync(packages);

test('each package imports only what the architecture allows', () => {
	const allowed = readAllowed();
	for (const name of names.filter(item => !privatePackages.has(item))) {
		const extra = getOwnDependencies(readManifest(name)).filter(item => !allowed.get(name)?.includes(item));
		expect({name, extra}).toEqual({name, extra: []});
	}
});

test('each package has its license, and the packages for tests and trials are private', () => {
	for (const name of names) {
		const manifest = readManifest(name);
		expect({name, license: manifest.license, isPrivate: manifest.private === true}).toEqual({name, license: 'Apache-2.0', isPrivate: privatePackages.has(name)});
	}
});
