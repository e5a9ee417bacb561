import {getMeanReportDelay, hostSilenceTimeout, type HostRecord} from '@gentianlift/discovery';
import {markSent, type Call, type Progress} from '../call.js';
import type {ForwarderContext} from '../context.js';
import {isSuspected, reportDelaysOfExchange} from '../crashes/crash-blame.js';
import {deliverAnswer} from '../deliver/deliver-answer.js';
import {deliverUnchanged} from '../deliver/deliver-buffered.js';
import {encodeForwardedCall, type ForwardedCall} from '../links/forwarded-call.js';
import type {ForwardOutcome} from '../deliver/forward-outcome.js';
import {watchSilence} from '../deliver/watch-silence.js';
import {isTooLateToStart} from '../queue/serving-end.js';
import {send, type SendOutcome} from './send.js';
import type {RetryBudgets} from './retry-budgets.js';
import {createSilenceDecision} from './successor.js';
import {
	isConnectionLoss, misdirectedStatus, recordChunk, reportSent,
} from './attempt-record.js';

/** Returns what the other host has to know of a stream that it is to resume; undefined if the call begins one, or isn't a stream. */
const describeResumption = ({streamVersion, lastEventId = 0, hasBegun}: Progress): ForwardedCall['resumption'] =>
	streamVersion === undefined ? undefined : {lastEventId, softwareVersion: streamVersion, ...(hasBegun && {hasBegun})};

const describeCall = (call: Call, progress: Progress, {clock, host}: ForwarderContext): ForwardedCall => ({
	from: host,
	age: Math.round(clock.monotonic() - call.arrivedAt),
	version: call.version,
	service: call.service,
	possibleExecutions: progress.possibleExecutions,
	resumption: describeResumption(progress),
});

/** Delivers the other host's answer, if there is one. What it answers itself is final, too, unless it can't take the call at all. */
const handleOutcome = async (call: Call, progress: Progress, outcome: SendOutcome, {clock}: ForwarderContext): Promise<ForwardOutcome> => {
	switch (outcome.kind) {
		case 'unsent':
		case 'unreachable': {
			return outcome;
		}

		case 'rejected': {
			return {kind: 'unreachable', reason: `host-status-${outcome.status}`};
		}

		case 'broken': {
			return {kind: 'failed', reason: outcome.reason};
		}

		case 'silent': {
			return {kind: 'failed', reason: 'silent'};
		}

		case 'answered': {
			const {head, answer} = outcome;
			if (head.status === misdirectedStatus) {
				answer.message.destroy();
				return {kind: 'unreachable', reason: `host-status-${head.status}`};
			}

			return deliverAnswer({
				call, progress, outcome, isClosing: call.isClosing, deliverBody: deliverUnchanged,
				onChunk() {
					recordChunk(progress, clock.monotonic());
				},
				onFirstBytes() {
					progress.firstBytesAt = clock.monotonic();
				},
				onFirstWrite() {
					progress.hasBegun = true;
				},
			});
		}
	}
};

/** Calls `onSilent` while the other host is silent, as if it were gone; returns a function that stops watching. */
const watchHost = ({host}: HostRecord, {clock, reportExchange}: ForwarderContext, onSilent: () => void): (() => void) =>
	watchSilence(clock, {getSilence: () => reportExchange.getSilence(host), maxSilence: hostSilenceTimeout, onSilent});

/** Whether a crash for which the call may be blamed is known once the other host could have reported one. */
const hasReportedCrash = async (call: Call, context: ForwarderContext): Promise<boolean> => {
	await context.clock.sleep(reportDelaysOfExchange * getMeanReportDelay(context.countHosts()));
	return isSuspected(call, context);
};

/** The host that a call is sent to, and what it is told. */
type HostAttempt = {host: HostRecord; forwarded: ForwardedCall; retries: RetryBudgets};

/** Sends the request to the other host and delivers the answer. */
const sendToHost = async (call: Call, progress: Progress, {host, forwarded, retries}: HostAttempt, context: ForwarderContext): Promise<ForwardOutcome> => {
	const {clock, protocol} = context;
	const {head, route, body} = call;
	const {outcome, cancel} = send({
		address: host.peers,
		method: call.method,
		target: encodeForwardedCall({forwarded, target: call.target}),
		body,
		callerRequestId: head.callerRequestId,
		connectionWait: Math.max(1, call.deadline - clock.monotonic()),
		buildHead: () => isTooLateToStart(call, progress, clock.monotonic(), context)
			? 'host-stopping'
			: {headers: protocol.buildHostHeaders(head, body.length), headTimeout: undefined},
	}, {
		agent: context.hostAgents.get(host.peers, route.kind, context.getHostAddresses()),
		protocol,
		clock,
		onSent() {
			markSent(progress);
			reportSent(call, progress, {over: host.host}, context);
		},
	});
	progress.cancel = cancel;
	const mayGiveUp = createSilenceDecision(call, progress, retries, context);
	const stopWatching = watchHost(host, context, () => {
		if (mayGiveUp()) {
			cancel();
		}
	});
	try {
		return await handleOutcome(call, progress, await outcome, context);
	} finally {
		stopWatching();
	}
};

/** Sends a call to another host, which handles it as one of its own callers' but doesn't forward it again, and delivers its answer. */
export const attemptOverHost = async (call: Call, progress: Progress, {host, retries}: {host: HostRecord; retries: RetryBudgets}, context: ForwarderContext): Promise<ForwardOutcome> => {
	const {clock, links, logger, metrics} = context;
	const {head, route} = call;
	const forwarded = describeCall(call, progress, context);
	progress.hasCrashed = undefined;
	progress.bodyEnd = undefined;
	logger.info('call-forwarded', {
		request: head.callerRequestId, host: host.host, service: call.service, age: forwarded.age, after: forwarded.resumption?.lastEventId, software: progress.streamVersion,
	});
	const endForwarding = links.beginForwarding(host.host);
	const forwardOutcome = await sendToHost(call, progress, {host, forwarded, retries}, context).finally(endForwarding);
	metrics.count('forwarded_calls_total', {route: route.name, outcome: forwardOutcome.kind});
	if (progress.hasBegun && head.callerRequestId !== undefined) {
		// The other host reports what began the stream.
		progress.streamVersion ??= context.streamOrigins.get(head.callerRequestId, clock.monotonic())?.softwareVersion;
	}

	if (isConnectionLoss(forwardOutcome)) {
		progress.hasCrashed = hasReportedCrash(call, context);
	}

	return forwardOutcome;
};
