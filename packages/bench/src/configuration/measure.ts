import {publishConfiguration, readCurrentVersion, updateHistory} from '@gentianlift/distribution';
import {createKeyValueClient, type KeyValueClient} from '@gentianlift/platform';
import type {Deployment} from '@gentianlift/trial';
import type {
	Address, Configuration, ConfigurationVersion, Milliseconds,
} from '@gentianlift/types';

/** Times of one publication, measured from its start. */
export type PublicationTimes = {
	/** Time until the publisher learned that the version is accepted. */
	accepted: Milliseconds;
	/** Time until the version was in force at the first host. */
	first: Milliseconds;
	/** Time until the version was in force at the last host. */
	last: Milliseconds;
};

const pollInterval: Milliseconds = 10;
const inForceTimeout: Milliseconds = 30_000;
const keyValueTimeout: Milliseconds = 2500;

const readVersionInForce = async (address: Address): Promise<number> => {
	const answer = await fetch(`http://${address}/operator/status`);
	const status = await answer.json() as {configurationVersion: number};
	return status.configurationVersion;
};

const waitUntilInForce = async ({clock}: Deployment, address: Address, version: number): Promise<Milliseconds> => {
	const deadline = clock.monotonic() + inForceTimeout;
	/* eslint-disable no-await-in-loop -- Each poll waits for the answer to the previous one. */
	while (await readVersionInForce(address) < version) {
		if (clock.monotonic() > deadline) {
			return Infinity;
		}

		await clock.sleep(pollInterval);
	}
	/* eslint-enable no-await-in-loop */

	return clock.monotonic();
};

const changeFirstEngineSlots = (configuration: Configuration, slots: number): Configuration => ({
	...configuration,
	inventory: {
		...configuration.inventory,
		engines: configuration.inventory.engines.map((engine, index) => index === 0 ? {...engine, slots} : engine),
	},
});

const requireCurrentVersion = async (client: KeyValueClient): Promise<ConfigurationVersion> => {
	const reading = await readCurrentVersion(client);
	if (reading.kind !== 'found') {
		throw new Error(`cannot read the current configuration version: ${reading.kind}`);
	}

	return reading.stored.version;
};

const publishChange = async ({clock}: Deployment, client: KeyValueClient, {version, configuration}: ConfigurationVersion, slots: number): Promise<ConfigurationVersion> => {
	const outcome = await publishConfiguration({clock, keyValue: client}, {
		document: changeFirstEngineSlots(configuration, slots), base: version, token: `bench-${version + 1}`, author: 'bench', note: '',
	});
	if (outcome.kind !== 'applied') {
		throw new Error(`publication of the configuration was not applied: ${outcome.kind}`);
	}

	return outcome.version;
};

/** Publishes a change to the current version, waits until it is in force at every host, and returns the times. */
export const measurePublication = async (deployment: Deployment, slots: number): Promise<PublicationTimes> => {
	const {clock, routers, keyValue} = deployment;
	const client = createKeyValueClient({url: keyValue.listener.url, clock, timeout: keyValueTimeout});
	try {
		const current = await requireCurrentVersion(client);
		const startedAt = clock.monotonic();
		const waits = routers.map(async ({settings}) => waitUntilInForce(deployment, settings.operatorAddress, current.version + 1));
		const version = await publishChange(deployment, client, current, slots);
		const accepted = clock.monotonic() - startedAt;
		const [inForceTimes] = await Promise.all([Promise.all(waits), updateHistory(client, version)]);
		return {accepted, first: Math.min(...inForceTimes) - startedAt, last: Math.max(...inForceTimes) - startedAt};
	} finally {
		client.close();
	}
};
