import {readFile} from 'node:fs/promises';
import {parseConfiguration} from '@gentianlift/config';
import type {Configuration} from '@gentianlift/types';

/** Deployments with an example configuration. */
export const deploymentNames = ['kopi', 'alfoldi'] as const;
/** One of `deploymentNames`. */
export type DeploymentName = typeof deploymentNames[number];

/** An example configuration and the keys of its customers. */
export type Example = {
	configuration: Configuration;
	/** Keys by customer. */
	keys: Map<string, string>;
};

type KeyRecord = {deployment: string; customer: string; key: string};

const folder = new URL('../../../examples/', import.meta.url);

const readExampleFile = async (name: string): Promise<unknown> =>
	JSON.parse(await readFile(new URL(name, folder), 'utf8')) as unknown;

/** Reads the example of a deployment. */
export const readExample = async (name: DeploymentName): Promise<Example> => {
	const parsed = parseConfiguration(await readExampleFile(`${name}.json`));
	if (parsed.kind === 'invalid') {
		throw new Error(`examples/${name}.json is not valid: ${JSON.stringify(parsed.faults[0])}`);
	}

	const records = await readExampleFile('keys.json') as KeyRecord[];
	const own = records.filter(record => record.deployment === name);
	return {
		configuration: parsed.value,
		keys: new Map(own.map(({customer, key}) => [customer, key])),
	};
};
