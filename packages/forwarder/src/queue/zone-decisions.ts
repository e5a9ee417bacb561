import {getMeanReportDelay} from '@gentianlift/discovery';
import {
	decideZoneSpill, drawZone, getDepartureReason, getTransferBytes, getTransferCost, hasZoneCandidates, hasZoneUpstreams, maxReportAge, measureZoneLoads,
	type Candidate, type DepartureReason, type Route, type TransferSize, type ZoneChoice, type ZoneLoad, type ZoneSpill,
} from '@gentianlift/routing';
import type {Milliseconds, Zone} from '@gentianlift/types';
import type {Call} from '../call.js';
import type {ForwarderContext} from '../context.js';
import type {ObservedService} from './observed-service.js';

/** A call whose availability zone is decided on. */
export type ZoneQuery = {
	call: Call;
	service: ObservedService;
	candidates: readonly Candidate[];
	/** Whether the call is a latency-sensitive stream. */
	isLatencySensitive: boolean;
};

/** Decides by the loads of the availability zones which calls leave this host's zone. */
export type ZoneDecisions = {
	/** Returns the zone whose upstreams alone may be preferred for prompts; undefined if those of all zones may. */
	getPreferredZone: (service: ObservedService) => Zone | undefined;
	/** Returns which upstreams a call chooses among; undefined if all, at a constant cost for those of other zones. */
	choose: (query: ZoneQuery) => ZoneChoice | undefined;
	/** Counts a call that is sent to an upstream, and returns why that is in another zone; undefined if it isn't. */
	recordSend: (call: Call, candidate: Candidate) => DepartureReason | undefined;
};

/** Dependencies of the decisions. */
export type ZoneDecisionsOptions = Pick<ForwarderContext, 'random' | 'logger' | 'metrics' | 'zone' | 'countHosts'> & {
	reportExchange: Pick<ForwarderContext['reportExchange'], 'getShortestSilence'>;
};

/** Decision for the calls of a route to a service. */
type RouteDecision = {
	/** Undefined while the load reports are too old to decide. */
	spill: ZoneSpill | undefined;
	/** Loads of the zones at the strictest limit. */
	loads: readonly ZoneLoad[];
	reportAge: Milliseconds;
	decidedAt: Milliseconds;
};

/** What was drawn for a call from a decision. */
type Draw = {decision: RouteDecision; choice: ZoneChoice | undefined};

/** A decision that was logged. */
type LoggedDecision = {spill: ZoneSpill | undefined; at: Milliseconds};

/** Parts of the latency target and of the time after which a caller leaves that calls may wait for their turn; the rest is for the prompt itself and the network. */
const waitFractions = {target: 0.5, patience: 0.5} as const;
/** Report delays after which a decision is renewed: reports then show what the last one has done. */
const reportDelaysOfDecision = 2;
/** Least change of a share that is logged. */
const minLoggedChange = 0.1;
/** Least time between two log lines of a route. */
const minLogInterval: Milliseconds = 1000;

const getTransferSize = ({body, head: {prompt}}: Call): TransferSize => ({bodyBytes: body.length, outputTokens: prompt?.outputTokens ?? 0});

const getShare = (spill: ZoneSpill | undefined): number => spill?.kind === 'leaves' ? spill.share : 0;

/** Whether a decision differs from the one that was logged last. */
const hasChanged = (logged: ZoneSpill | undefined, spill: ZoneSpill | undefined): boolean =>
	logged?.kind !== spill?.kind || Math.abs(getShare(logged) - getShare(spill)) >= minLoggedChange;

const describeLoads = (loads: readonly ZoneLoad[]): string => loads.map(({zone, fill}) => `${zone}:${fill.toFixed(2)}`).join(',');

const describeTargets = (spill: ZoneSpill | undefined): string | undefined =>
	spill?.kind === 'leaves' ? spill.targets.map(({zone, part}) => `${zone}:${part.toFixed(2)}`).join(',') : undefined;

const describeKind = (spill: ZoneSpill | undefined): string => {
	switch (spill?.kind) {
		case undefined: {
			return 'stale-reports';
		}

		case 'stays': {
			return spill.reason;
		}

		case 'leaves': {
			return spill.kind;
		}
	}
};

/** Creates the decisions of a host that has made none. */
export const createZoneDecisions = ({random, logger, metrics, zone, countHosts, reportExchange}: ZoneDecisionsOptions): ZoneDecisions => {
	const decisions = new WeakMap<Route, Map<string, RouteDecision>>();
	const draws = new WeakMap<Call, Draw>();
	const logged = new WeakMap<Route, Map<string, LoggedDecision>>();
	const zonedServices = new WeakMap<ObservedService, boolean>();

	/** Whether a service has enough upstreams in this host's zone, and others elsewhere. */
	const isZoned = (service: ObservedService): boolean => {
		const known = zonedServices.get(service);
		if (known !== undefined) {
			return known;
		}

		const result = hasZoneUpstreams(service.reachable.map(({upstream}) => upstream), zone);
		zonedServices.set(service, result);
		return result;
	};

	const getReportAge = (): Milliseconds => {
		const hosts = countHosts();
		return hosts > 1 ? reportExchange.getShortestSilence() + getMeanReportDelay(hosts) : 0;
	};

	const measure = ({call, candidates}: ZoneQuery, allowedWait: Milliseconds): ZoneLoad[] =>
		measureZoneLoads(candidates, {hasPrompt: call.head.prompt !== undefined, allowedWait});

	const decide = (query: ZoneQuery): RouteDecision => {
		const {call, service} = query;
		const reportAge = getReportAge();
		const loads = measure(query, waitFractions.target * call.route.latencyTarget);
		const levels = [loads, measure(query, waitFractions.patience * (call.leavesAt - call.arrivedAt))];
		const spill = reportAge < maxReportAge ? decideZoneSpill({zone, levels, reportAge}) : undefined;
		return {
			spill, loads, reportAge, decidedAt: service.now,
		};
	};

	const report = ({route, service}: Call, {spill, loads, reportAge, decidedAt}: RouteDecision): void => {
		metrics.setGauge('zone_share_leaving', getShare(spill), {service, route: route.name});
		const ofRoute = logged.get(route) ?? new Map<string, LoggedDecision>();
		logged.set(route, ofRoute);
		const last = ofRoute.get(service);
		if (last !== undefined && (decidedAt - last.at < minLogInterval || !hasChanged(last.spill, spill))) {
			return;
		}

		ofRoute.set(service, {spill, at: decidedAt});
		logger.info('zone-decision', {
			service,
			route: route.name,
			zone,
			decision: describeKind(spill),
			share: Number(getShare(spill).toFixed(3)),
			targets: describeTargets(spill),
			fills: describeLoads(loads),
			age: Math.round(reportAge),
		});
	};

	/** Returns the decision for the calls of a route, which is renewed once reports show the effect of the last one. */
	const getDecision = (query: ZoneQuery): RouteDecision => {
		const {call, service} = query;
		const ofRoute = decisions.get(call.route) ?? new Map<string, RouteDecision>();
		decisions.set(call.route, ofRoute);
		const known = ofRoute.get(call.service);
		if (known !== undefined && service.now - known.decidedAt < reportDelaysOfDecision * getMeanReportDelay(countHosts())) {
			return known;
		}

		const decision = decide(query);
		ofRoute.set(call.service, decision);
		report(call, decision);
		return decision;
	};

	/** Draws the choice of a call; if no zone has room, none is to be protected from others, and a call goes where it gains most. */
	const draw = (call: Call, {spill}: RouteDecision, last: Draw | undefined): ZoneChoice | undefined => spill === undefined || (spill.kind === 'stays' && spill.reason === 'no-room')
		? undefined
		: {
			zone, leavesTo: drawZone(spill, random), transferCost: getTransferCost(getTransferSize(call)), copyDraw: last?.choice?.copyDraw ?? random.next(),
		};

	return {
		getPreferredZone: service => isZoned(service) ? zone : undefined,
		choose(query) {
			const {call, service, candidates, isLatencySensitive} = query;
			// What delays the events of a latency-sensitive stream, prefills beside it, is no part of a zone's load.
			if (isLatencySensitive || !isZoned(service) || !hasZoneCandidates(candidates, zone)) {
				draws.delete(call);
				return undefined;
			}

			const decision = getDecision(query);
			const last = draws.get(call);
			if (last?.decision === decision) {
				return last.choice;
			}

			const choice = draw(call, decision, last);
			draws.set(call, {decision, choice});
			return choice;
		},
		recordSend(call, candidate) {
			const departure = getDepartureReason(candidate, zone, draws.get(call)?.choice);
			metrics.count('zone_calls_total', {service: call.service, departure: departure ?? 'none'});
			if (departure !== undefined) {
				metrics.count('zone_departure_bytes_total', {service: call.service, departure}, Math.round(getTransferBytes(getTransferSize(call))));
			}

			return departure;
		},
	};
};
