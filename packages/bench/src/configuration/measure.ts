import {publishConfiguration, readCurrentVersion, updateHistory} from '@gentianlift/distribution';
import {createKeyValueClient, type KeyValueClient} from '@gentianlift/platform';
import type {Deployment} from '@gentianlift/trial';
import type {
	Address, Configuration, ConfigurationVersion, Milliseconds,
} from '@gentianlift/types';

/** Times of one publication, each from the moment at which it was begun. */
export type Publication = {
	/** Until the publisher was told that the version is accepted. */
	accepted: Milliseconds;
	/** Until the version was in force at the first and at the last host. */
	first: Milliseconds;
	last: Milliseconds;
};

const pollInterval: Milliseconds = 10;
const limit: Milliseconds = 30_000;
const clientTimeout: Milliseconds = 2500;

const readVersionAt = async (address: Address): Promise<number> => {
	const answer = await fetch(`http://${address}/operator/status`);
	const status = await answer.json() as {configurationVersion: number};
	return status.configurationVersion;
};

const waitAtHost = async ({clock}: Deployment, address: Address, version: number): Promise<Milliseconds> => {
	const end = clock.monotonic() + limit;
	/* eslint-disable no-await-in-loop -- Each question waits for the answer to the last. */
	while (await readVersionAt(address) < version) {
		if (clock.monotonic() > end) {
			return Infinity;
		}

		await clock.sleep(pollInterval);
	}
	/* eslint-enable no-await-in-loop */

	return clock.monotonic();
};

const changeSlots = (configuration: Configuration, slots: number): Configuration => ({
	...configuration,
	inventory: {
		...configuration.inventory,
		engines: configuration.inventory.engines.map((engine, index) => index === 0 ? {...engine, slots} : engine),
	},
});

const readCurrent = async (client: KeyValueClient): Promise<ConfigurationVersion> => {
	const reading = await readCurrentVersion(client);
	if (reading.kind !== 'found') {
		throw new Error(`the current version is ${reading.kind}`);
	}

	return reading.stored.version;
};

const publishChange = async ({clock}: Deployment, client: KeyValueClient, {version, configuration}: ConfigurationVersion, slots: number): Promise<ConfigurationVersion> => {
	const outcome = await publishConfiguration({clock, keyValue: client}, {
		document: changeSlots(configuration, slots), base: version, token: `bench-${version + 1}`, author: 'bench', note: '',
	});
	if (outcome.kind !== 'applied') {
		throw new Error(`the publication was ${outcome.kind}`);
	}

	return outcome.version;
};

/** Publishes a change to the current version and waits until it is in force at every host. */
export const measurePublication = async (deployment: Deployment, slots: number): Promise<Publication> => {
	const {clock, routers, keyValue} = deployment;
	const client = createKeyValueClient({url: keyValue.listener.url, clock, timeout: clientTimeout});
	try {
		const current = await readCurrent(client);
		const begun = clock.monotonic();
		const waits = routers.map(async ({settings}) => waitAtHost(deployment, settings.operatorAddress, current.version + 1));
		const version = await publishChange(deployment, client, current, slots);
		const accepted = clock.monotonic() - begun;
		const [moments] = await Promise.all([Promise.all(waits), updateHistory(client, version)]);
		return {accepted, first: Math.min(...moments) - begun, last: Math.max(...moments) - begun};
	} finally {
		client.close();
	}
};
