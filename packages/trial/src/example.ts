import {readFile} from 'node:fs/promises';
import {parseConfiguration} from '@gentianlift/config';
import type {Configuration} from '@gentianlift/types';

/** Deployments that have an example configuration. */
export const deploymentNames = ['kopi', 'alfoldi'] as const;
/** One of `deploymentNames`. */
export type DeploymentName = typeof deploymentNames[number];

/** An example configuration and the API keys of its customers. */
export type Example = {
	configuration: Configuration;
	/** API key of each customer. */
	keys: Map<string, string>;
};

type KeyRecord = {deployment: string; customer: string; key: string};

const examplesFolder = new URL('../../../examples/', import.meta.url);

const readExampleFile = async (name: string): Promise<unknown> =>
	JSON.parse(await readFile(new URL(name, examplesFolder), 'utf8')) as unknown;

/** Reads and validates the example configuration of a deployment. */
export const readExample = async (name: DeploymentName): Promise<Example> => {
	const parsed = parseConfiguration(await readExampleFile(`${name}.json`));
	if (parsed.kind === 'invalid') {
		throw new Error(`examples/${name}.json is invalid: ${JSON.stringify(parsed.faults[0])}`);
	}

	const records = await readExampleFile('keys.json') as KeyRecord[];
	const ownRecords = records.filter(record => record.deployment === name);
	return {
		configuration: parsed.value,
		keys: new Map(ownRecords.map(({customer, key}) => [customer, key])),
	};
};
