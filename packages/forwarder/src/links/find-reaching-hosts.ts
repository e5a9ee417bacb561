import type {Clock, Random} from '@gentianlift/clock';
import type {Fleet, ReachQuery} from '@gentianlift/discovery';
import type {Milliseconds} from '@gentianlift/types';
import type {ReachingHost} from './forwarding-hosts.js';

/** Dependencies of the search. */
export type ReachSearch = {fleet: Pick<Fleet, 'askForReach' | 'getAvailableOthers' | 'getStoppingOthers'>; clock: Clock; random: Random};

/** What other hosts say of upstreams. */
export type ReachSurvey = {
	/** Hosts that reach them. */
	reaching: ReachingHost[];
	/** Whether most of the hosts that were asked have answered. An answer that doesn't come in time is no answer that they aren't reached. */
	isAnswered: boolean;
};

/** Number of hosts that are asked. */
const askedHosts = 6;
/** Time after the first host that reaches the upstreams in which the others are awaited. */
const lateAnswerTime: Milliseconds = 30;

/** Asks some of the hosts; resolves soon after the first that reaches the upstreams, or with the last answer. */
const ask = async (hosts: ReadonlyArray<ReachingHost['record']>, query: ReachQuery, {fleet, clock, random}: ReachSearch): Promise<ReachSurvey> => {
	const addresses = [...fleet.getAvailableOthers(), ...fleet.getStoppingOthers()].map(({peers}) => peers);
	const reaching: ReachingHost[] = [];
	let answers = 0;
	const askOne = async (record: ReachingHost['record']): Promise<void> => {
		const reach = await fleet.askForReach(record.peers, query, addresses);
		answers += reach === undefined ? 0 : 1;
		if (reach?.isReached !== true) {
			throw new Error('The host doesn\'t reach the upstreams.');
		}

		reaching.push({record, openRequests: reach.openRequests});
	};

	const asked = random.sample(hosts, askedHosts).map(async record => askOne(record));
	try {
		await Promise.any(asked);
		await Promise.race([Promise.allSettled(asked), clock.sleep(lateAnswerTime)]);
	} catch {
		// None of the hosts reaches them.
	}

	return {reaching: [...reaching], isAnswered: answers * 2 > asked.length || asked.length === 0};
};

/** Asks some other hosts whether they reach upstreams, and hosts that are stopping only if no other one does. */
export const findReachingHosts = async (query: ReachQuery, search: ReachSearch): Promise<ReachSurvey> => {
	const available = search.fleet.getAvailableOthers();
	const survey = await ask(available, query, search);
	const stopping = search.fleet.getStoppingOthers();
	if (survey.reaching.length > 0 || stopping.length === 0) {
		return survey;
	}

	const last = await ask(stopping, query, search);
	return {reaching: last.reaching, isAnswered: available.length === 0 ? last.isAnswered : survey.isAnswered};
};
