import type {Clock, Random} from '@gentianlift/clock';
import type {Address, HostListResponse} from '@gentianlift/types';

/** Chooses the host that a caller connects to. */
export type HostPicker = {
	/** Picks an address at random by the weights of the host list, which is fetched again once its time to live has passed. */
	pick: () => Promise<Address>;
};

const pickByWeight = (answer: HostListResponse, random: Random): Address | undefined => {
	const total = answer.hosts.reduce((sum, {weight}) => sum + weight, 0);
	let remaining = random.next() * total;
	const found = answer.hosts.find(({weight}) => {
		remaining -= weight;
		return remaining < 0;
	});
	return (found ?? answer.hosts[0])?.address;
};

const readHosts = async (address: Address): Promise<HostListResponse | undefined> => {
	try {
		const answer = await fetch(`http://${address}/v1/hosts`);
		return answer.ok ? await answer.json() as HostListResponse : undefined;
	} catch {
		return undefined;
	}
};

/** Creates a host picker; it fetches the first host list from one of the known addresses, and falls back to them. */
export const createHostPicker = (knownAddresses: Address[], clock: Clock, random: Random): HostPicker => {
	let answer: HostListResponse | undefined;
	let refreshAt = 0;
	let pendingRefresh: Promise<void> | undefined;

	const refresh = async (): Promise<void> => {
		const address = answer === undefined ? undefined : pickByWeight(answer, random);
		const next = await readHosts(address ?? random.pick(knownAddresses) ?? '') ?? await readHosts(random.pick(knownAddresses) ?? '');
		if (next !== undefined && next.hosts.length > 0) {
			answer = next;
			refreshAt = clock.monotonic() + next.timeToLive;
		}

		pendingRefresh = undefined;
	};

	return {
		async pick() {
			if (clock.monotonic() >= refreshAt) {
				pendingRefresh ??= refresh();
				await pendingRefresh;
			}

			const address = answer === undefined ? undefined : pickByWeight(answer, random);
			return address ?? random.pick(knownAddresses) ?? '';
		},
	};
};
