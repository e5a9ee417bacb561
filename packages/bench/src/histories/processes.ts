import {Agent} from 'node:http';
import {createRandom, type Random} from '@gentianlift/clock';
import {getAnswer as getExpectedAnswer, getAnswerText, type Faults} from '@gentianlift/fakes';
import {
	sendRequest, startDeployment, type Deployment, type Reply,
} from '@gentianlift/trial';
import type {HostId, Milliseconds} from '@gentianlift/types';
import type {
	Answer, History, HistoryEvent, ServiceWrite,
} from './history.js';

/** Options of a run over router processes. */
export type ProcessOptions = {rounds: number; seed: number; hosts: number};

type RunContext = {
	deployment: Deployment;
	random: Random;
	agent: Agent;
	events: HistoryEvent[];
	writes: ServiceWrite[];
	/** Bodies that callers sent under each booking. */
	sent: Map<string, Set<string>>;
	/** Time at which each host was last killed. */
	killedAt: Map<HostId, Milliseconds>;
};

const customer = 'faros-steel';
const bookingPath = '/v1/services/orders/cut-orders';
const questionPath = '/v1/chat/completions';
const questionModel = 'counter-8b';
const questionsPerRound = 24;
const maxAnswerTokens = 120;
const bookingsPerRound = 12;
const attemptsPerBooking = 3;
const maxStartDelayMs = 2500;
const minRoundDurationMs = 5000;
const recoveryTimeMs = 15_000;
const callerTimeoutMs = 8000;
const differentBodyProbability = 0.05;
const settlementTimeMs = 3000;

const keyValueFaults: Faults[] = [{loseReplies: 0.3}, {loseRequests: 0.2}, {outage: true}, {latencyMs: 300}];
const serviceFaults: Faults[] = [{loseReplies: 0.3}, {loseRequests: 0.3}, {refuse: true}, {slowFactor: 10}];
const noFaults: Faults = {
	loseReplies: 0, loseRequests: 0, outage: false, refuse: false, latencyMs: 0, slowFactor: 1,
};

/** Records every write that is applied in the key-value service. */
const recordWrites = ({keyValue: {store}, clock}: Deployment): ServiceWrite[] => {
	const writes: ServiceWrite[] = [];
	const {write, remove} = store;
	store.write = (key, change) => {
		const result = write(key, change);
		if (result.applied) {
			writes.push({at: clock.now(), key, value: change.value});
		}

		return result;
	};

	store.remove = (key, expected) => {
		const result = remove(key, expected);
		if (result.applied) {
			writes.push({at: clock.now(), key, value: undefined});
		}

		return result;
	};

	return writes;
};

const toAnswer = (reply: Reply): Answer => {
	if (!reply.whole || reply.status !== 200) {
		return {ran: reply.ran, reason: reply.error ?? `status ${reply.status}`};
	}

	const {booked} = JSON.parse(reply.text) as {booked?: unknown};
	return {ran: reply.ran, ...(booked !== undefined && {body: JSON.stringify(booked)})};
};

const sendBooking = async ({deployment, random, agent, events, sent}: RunContext, booking: string): Promise<void> => {
	const {clock, routers, keys} = deployment;
	const body = JSON.stringify({order: booking, pieces: random.next() < differentBodyProbability ? 2 : 1});
	sent.set(booking, (sent.get(booking) ?? new Set()).add(body));
	const {callerAddress} = random.pick(routers)!.settings;
	const reply = await sendRequest({
		at: 0, className: 'cut-order', customer, method: 'POST', path: bookingPath, body, idempotencyKey: booking,
	}, {
		address: callerAddress, key: keys.get(customer) ?? '', agent, clock, timeout: callerTimeoutMs,
	});
	if (reply.request !== '') {
		events.push({
			kind: 'told', at: clock.now(), booking, request: reply.request, answer: toAnswer(reply),
		});
	}
};

/** Sends a chat request whose expected answer can be computed from its prompt. */
const sendQuestion = async ({deployment, random, agent, events}: RunContext, name: string): Promise<void> => {
	const {clock, routers, keys} = deployment;
	await clock.sleep(random.below(maxStartDelayMs));
	const prompt = {model: questionModel, messages: [{role: 'user', content: `${name} #tokens=${1 + random.below(maxAnswerTokens)}`}]};
	const {callerAddress} = random.pick(routers)!.settings;
	const reply = await sendRequest({
		at: 0, className: 'yard-question', customer, method: 'POST', path: questionPath, body: JSON.stringify({...prompt, stream: true}),
	}, {
		address: callerAddress, key: keys.get(customer) ?? '', agent, clock, timeout: callerTimeoutMs,
	});
	if (reply.status === 200) {
		const answer = getExpectedAnswer(prompt, 1);
		events.push({
			kind: 'answered', at: clock.now(), request: reply.request, isWhole: reply.whole, text: reply.text, expected: getAnswerText(answer, answer.length),
		});
	}
};

const sendBookingRepeatedly = async (run: RunContext, booking: string): Promise<void> => {
	const {clock} = run.deployment;
	const attempts = Array.from({length: attemptsPerBooking}, async () => {
		await clock.sleep(run.random.below(maxStartDelayMs));
		await sendBooking(run, booking);
	});
	await Promise.all(attempts);
};

const killRouter = async ({deployment, random, killedAt}: RunContext): Promise<void> => {
	const {clock, routers, restartRouter} = deployment;
	await clock.sleep(random.below(maxStartDelayMs));
	const router = random.pick(routers)!;
	const {host} = router.settings;
	router.signal('SIGKILL');
	await router.ended;
	killedAt.set(host, clock.now());
	await clock.sleep(random.below(1000));
	await restartRouter(host);
};

const pauseRouter = async ({deployment: {clock, routers}, random}: RunContext): Promise<void> => {
	await clock.sleep(random.below(maxStartDelayMs));
	const router = random.pick(routers)!;
	router.signal('SIGSTOP');
	await clock.sleep(random.below(maxStartDelayMs));
	router.signal('SIGCONT');
};

const injectFault = async ({deployment: {clock}, random}: RunContext, faults: Faults, enabledFaults: Faults): Promise<void> => {
	await clock.sleep(random.below(maxStartDelayMs));
	Object.assign(faults, enabledFaults);
	await clock.sleep(random.below(maxStartDelayMs));
	Object.assign(faults, noFaults);
};

/** Crashes two engines, which may be down at the same time. */
const crashEngines = async ({deployment: {clock, engines}, random}: RunContext): Promise<void> => {
	const engineList = [...engines.values()];
	const first = random.below(engineList.length);
	const chosen = [engineList[first]!, engineList[(first + 1) % engineList.length]!];
	await Promise.all(chosen.map(async ({listener}) => {
		await clock.sleep(random.below(maxStartDelayMs));
		await listener.crash();
		await clock.sleep(random.below(maxStartDelayMs));
		await listener.restart();
	}));
};

const injectFaults = async (run: RunContext): Promise<void> => {
	const {random, deployment: {keyValue, services}} = run;
	const service = random.pick([...services.values()])!;
	const faults = [
		{probability: 0.4, start: async () => killRouter(run)},
		{probability: 0.4, start: async () => pauseRouter(run)},
		{probability: 0.6, start: async () => injectFault(run, keyValue.faults, random.pick(keyValueFaults)!)},
		{probability: 0.8, start: async () => crashEngines(run)},
		{probability: 0.6, start: async () => injectFault(run, service.faults, random.pick(serviceFaults)!)},
	];
	await Promise.all(faults.filter(({probability}) => random.next() < probability).map(async ({start}) => start()));
};

const runRound = async (run: RunContext, round: number): Promise<void> => {
	const bookings = Array.from({length: bookingsPerRound}, (_, index) => `booking-${round}-${index}`);
	const startedAt = run.deployment.clock.monotonic();
	const questions = Array.from({length: questionsPerRound}, (_, index) => `question ${round} ${index}`);
	await Promise.all([
		injectFaults(run),
		...bookings.map(async booking => sendBookingRepeatedly(run, booking)),
		...questions.map(async question => sendQuestion(run, question)),
	]);
	const remaining = startedAt + minRoundDurationMs - run.deployment.clock.monotonic();
	if (remaining > 0) {
		await run.deployment.clock.sleep(remaining);
	}
};

/** Returns the executions at the services. Each is preceded by a `sent` event if a caller did send that body under that idempotency key. */
const getExecutions = ({deployment: {services}, sent}: RunContext): HistoryEvent[] => [...services.values()].flatMap(service =>
	service.calls.filter(({method}) => method === 'POST').flatMap((call): HistoryEvent[] => {
		const {idempotencyKey: booking, body: digest, request, at} = call;
		const ran: HistoryEvent = {
			kind: 'ran', at, booking, digest, request, body: JSON.stringify(call),
		};
		return sent.get(booking)?.has(digest) === true
			? [{
				kind: 'sent', at, booking, digest, request, host: '',
			}, ran]
			: [ran];
	}));

/** Returns the bookings whose outcome must be stored: a body reached the caller, and the host has not been killed since `settlementTimeMs` before that. */
const getExpectedSettlements = ({events, killedAt}: RunContext): History['expectedSettlements'] => events.flatMap(event => {
	if (event.kind !== 'told' || event.answer.body === undefined) {
		return [];
	}

	const host = event.request.split('.')[0] ?? '';
	const {at, booking, request} = event;
	const wasKilled = (killedAt.get(host) ?? 0) > at - settlementTimeMs;
	return wasKilled ? [] : [{booking, request}];
});

/** Runs bookings and chat requests over router processes under faults, in rounds, and returns the whole history. */
export const runOnProcesses = async ({rounds, seed, hosts}: ProcessOptions): Promise<History> => {
	const deployment = await startDeployment({deployment: 'kopi', hosts});
	const run: RunContext = {
		deployment, random: createRandom(seed), agent: new Agent(), events: [], writes: recordWrites(deployment), sent: new Map(), killedAt: new Map(),
	};
	try {
		for (let round = 0; round < rounds; round++) {
			// eslint-disable-next-line no-await-in-loop -- Rounds run one after another.
			await runRound(run, round);
		}

		await deployment.clock.sleep(recoveryTimeMs);
		return {events: [...getExecutions(run), ...run.events], writes: run.writes, expectedSettlements: getExpectedSettlements(run)};
	} finally {
		await deployment.stop();
	}
};
