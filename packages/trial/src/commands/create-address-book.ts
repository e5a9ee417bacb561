import type {Clock, Random} from '@gentianlift/clock';
import type {Address, HostAnswer} from '@gentianlift/types';

/** A caller's knowledge of which addresses to use. */
export type AddressBook = {
	/** Picks an address by weight, asking again once the answer has aged. */
	pick: () => Promise<Address>;
};

const getPick = (answer: HostAnswer, random: Random): Address | undefined => {
	const total = answer.hosts.reduce((sum, {weight}) => sum + weight, 0);
	let left = random.next() * total;
	const found = answer.hosts.find(({weight}) => {
		left -= weight;
		return left < 0;
	});
	return (found ?? answer.hosts[0])?.address;
};

const readHosts = async (address: Address): Promise<HostAnswer | undefined> => {
	try {
		const answer = await fetch(`http://${address}/v1/hosts`);
		return answer.ok ? await answer.json() as HostAnswer : undefined;
	} catch {
		return undefined;
	}
};

/** Creates an address book that starts from some known addresses. */
export const createAddressBook = (known: Address[], clock: Clock, random: Random): AddressBook => {
	let answer: HostAnswer | undefined;
	let askAt = 0;
	let pending: Promise<void> | undefined;

	const ask = async (): Promise<void> => {
		const address = answer === undefined ? undefined : getPick(answer, random);
		const next = await readHosts(address ?? random.pick(known) ?? '') ?? await readHosts(random.pick(known) ?? '');
		if (next !== undefined && next.hosts.length > 0) {
			answer = next;
			askAt = clock.monotonic() + next.timeToLive;
		}

		pending = undefined;
	};

	return {
		async pick() {
			if (clock.monotonic() >= askAt) {
				pending ??= ask();
				await pending;
			}

			const address = answer === undefined ? undefined : getPick(answer, random);
			return address ?? random.pick(known) ?? '';
		},
	};
};
