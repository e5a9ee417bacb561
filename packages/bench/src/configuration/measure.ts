import {publishConfiguration, readCurrentVersion, type PublishOutcome} from '@gentianlift/distribution';
import {createKeyValueClient} from '@gentianlift/platform';
import type {Deployment} from '@gentianlift/trial';
import type {Address, Configuration, Milliseconds} from '@gentianlift/types';

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

const publishChange = async ({clock, keyValue}: Deployment, slots: number): Promise<PublishOutcome> => {
	const client = createKeyValueClient({url: keyValue.listener.url, clock, timeout: clientTimeout});
	try {
		const reading = await readCurrentVersion(client);
		if (reading.kind !== 'found') {
			throw new Error(`the current version is ${reading.kind}`);
		}

		const {version, configuration} = reading.stored.version;
		return await publishConfiguration({clock, keyValue: client}, {
			document: changeSlots(configuration, slots), base: version, token: `bench-${version + 1}`, author: 'bench', note: '',
		});
	} finally {
		client.close();
	}
};

/** Publishes a change and waits until it is in force at every host. */
export const measurePublication = async (deployment: Deployment, version: number, slots: number): Promise<Publication> => {
	const {clock, routers} = deployment;
	const begun = clock.monotonic();
	const waits = routers.map(async ({settings}) => waitAtHost(deployment, settings.operatorAddress, version));
	const outcome = await publishChange(deployment, slots);
	if (outcome.kind !== 'applied') {
		throw new Error(`the publication was ${outcome.kind}`);
	}

	const accepted = clock.monotonic() - begun;
	const moments = await Promise.all(waits);
	return {accepted, first: Math.min(...moments) - begun, last: Math.max(...moments) - begun};
};
