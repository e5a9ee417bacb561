import type {Random} from '@gentianlift/clock';
import {type Group, type GroupUpstream, hasNeeds} from '@gentianlift/policy';
import type {Settings, Ticket, UpstreamId} from '@gentianlift/types';

/** Way of a host that orders nothing and asks nobody, for comparison. */
export type Baseline = {
	choose: (groups: readonly Group[], ticket: Ticket) => UpstreamId | undefined;
	end: (upstream: UpstreamId) => void;
};

/** Creates a baseline: round robin, or least outstanding requests of this host. */
export const createBaseline = (order: Exclude<Settings['order'], 'policy'>, random: Random): Baseline => {
	const outstanding = new Map<UpstreamId, number>();
	let turn = random.below(1024);

	const pick = (fitting: readonly GroupUpstream[]): UpstreamId | undefined => {
		switch (order) {
			case 'first-in-first-out': {
				turn++;
				return fitting[turn % fitting.length]?.id;
			}

			case 'least-outstanding': {
				const least = Math.min(...fitting.map(({id}) => outstanding.get(id) ?? 0));
				return random.pick(fitting.filter(({id}) => (outstanding.get(id) ?? 0) === least))?.id;
			}
		}
	};

	return {
		choose(groups, ticket) {
			const upstreams = groups.flatMap(group => group.upstreams);
			const fitting = upstreams.filter(upstream => hasNeeds(upstream, ticket.needs) && !ticket.avoid.includes(upstream.id));
			const id = pick(fitting);
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
