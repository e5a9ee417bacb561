import type {HostId, Milliseconds, UpstreamSighting} from '@gentianlift/types';

/** A sighting and the host that made it. */
export type Evidence = UpstreamSighting & {host: HostId};

/** What the sightings of one upstream amount to: `down` where it can't work at all, `failing` where it answers badly. */
export type Verdict = 'healthy' | 'failing' | 'down';

/** Recent sightings of one upstream. */
export type EvidenceLog = {
	add: (evidence: Evidence) => void;
	getVerdict: (now: Milliseconds) => Verdict;
	/** Drops what was seen so far, as when the upstream is tried anew. */
	clear: () => void;
};

/** Time for which a sighting counts. */
const window: Milliseconds = 10_000;
/** Time for which another host's success outweighs failures that only this host sees. */
const trustWindow: Milliseconds = 5000;
/** Sightings kept. */
const maxSightings = 64;
/** Failures in a row that count, by what they say of the upstream. */
const downInRow = 2;
const failingInRow = 3;
/** Failures among all sightings that count, and the fewest sightings to judge by. */
const failingShare = 0.5;
const fewestSightings = 10;
/** Hosts that must agree where this host has no evidence of its own. */
const agreeingHosts = 2;

const isDown = ({kind}: Evidence): boolean => kind === 'unreachable' || kind === 'crashed';

const isFailure = (evidence: Evidence): boolean =>
	isDown(evidence) || evidence.kind === 'reset' || evidence.kind === 'silent' || evidence.kind === 'error';

const getRow = (evidence: Evidence[], matches: (item: Evidence) => boolean): number => {
	const lastOther = evidence.findLastIndex(item => !matches(item));
	return evidence.length - 1 - lastOther;
};

/** Whether the last sighting of enough hosts is a failure. */
const getAgreeing = (evidence: Evidence[], matches: (item: Evidence) => boolean): number => {
	const last = new Map(evidence.map(item => [item.host, item]));
	return [...last.values()].filter(item => matches(item)).length;
};

const getOwnVerdict = (own: Evidence[]): Verdict => {
	const failures = own.filter(item => isFailure(item)).length;
	const isCrashed = own.at(-1)?.kind === 'crashed';
	if (isCrashed || getRow(own, isDown) >= downInRow) {
		return 'down';
	}

	const isBadShare = own.length >= fewestSightings && failures / own.length > failingShare;
	return isBadShare || getRow(own, isFailure) >= failingInRow ? 'failing' : 'healthy';
};

const getOtherVerdict = (others: Evidence[]): Verdict => {
	if (getAgreeing(others, isDown) >= agreeingHosts) {
		return 'down';
	}

	return getAgreeing(others, isFailure) >= agreeingHosts ? 'failing' : 'healthy';
};

/** Creates an empty log for a host. */
export const createEvidenceLog = (self: HostId): EvidenceLog => {
	let log: Evidence[] = [];
	return {
		add(evidence) {
			log = [...log.slice(1 - maxSightings), evidence];
		},
		getVerdict(now) {
			log = log.filter(({at}) => now - at <= window);
			const own = log.filter(({host}) => host === self);
			const others = log.filter(({host}) => host !== self);
			const ownVerdict = getOwnVerdict(own);
			const isTrusted = others.some(({kind, at}) => kind === 'success' && now - at <= trustWindow);
			if (ownVerdict !== 'healthy') {
				return isTrusted ? 'healthy' : ownVerdict;
			}

			const worksHere = own.at(-1)?.kind === 'success' && now - (own.at(-1)?.at ?? 0) <= trustWindow;
			return worksHere ? 'healthy' : getOtherVerdict(others);
		},
		clear() {
			log = [];
		},
	};
};
