import type {Random} from '@gentianlift/clock';
import {type Group, type GroupUpstream, canProvide} from '@gentianlift/policy';
import type {Settings, Ticket, UpstreamId} from '@gentianlift/types';

/** Load balancing by one host on its own, without queue or coordination, as a baseline for comparison. */
export type Baseline = {
	/** Chooses an upstream that can serve the ticket; undefined if there is none. */
	choose: (groups: readonly Group[], ticket: Ticket) => UpstreamId | undefined;
	/** Records that a request on an upstream has ended. */
	end: (upstream: UpstreamId) => void;
};

/** Creates a baseline: round robin (`first-in-first-out`), or the upstream with the fewest outstanding requests of this host. */
export const createBaseline = (order: Exclude<Settings['order'], 'policy'>, random: Random): Baseline => {
	const outstanding = new Map<UpstreamId, number>();
	let nextIndex = random.nextInt(1024);

	const selectUpstream = (eligible: readonly GroupUpstream[]): UpstreamId | undefined => {
		switch (order) {
			case 'first-in-first-out': {
				nextIndex++;
				return eligible[nextIndex % eligible.length]?.id;
			}

			case 'least-outstanding': {
				const fewest = Math.min(...eligible.map(({id}) => outstanding.get(id) ?? 0));
				return random.pick(eligible.filter(({id}) => (outstanding.get(id) ?? 0) === fewest))?.id;
			}
		}
	};

	return {
		choose(groups, ticket) {
			const upstreams = groups.flatMap(group => group.upstreams);
			const eligible = upstreams.filter(upstream => canProvide(upstream, ticket.needs) && !ticket.avoid.includes(upstream.id));
			const id = selectUpstream(eligible);
			if (id !== undefined) {
				outstanding.set(id, (outstanding.get(id) ?? 0) + 1);
			}

			return id;
		},
		end(upstream) {
			outstanding.set(upstream, Math.max(0, (outstanding.get(upstream) ?? 0) - 1));
		},
	};
};
