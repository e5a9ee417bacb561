import {Agent} from 'node:http';
import {createRandom, type Random} from '@gentianlift/clock';
import {getAnswer as getRightAnswer, getAnswerText, type Faults} from '@gentianlift/fakes';
import {
	sendRequest, startDeployment, type Deployment, type Reply,
} from '@gentianlift/trial';
import type {HostId, Milliseconds} from '@gentianlift/types';
import type {
	Answer, History, HistoryEvent, ServiceWrite,
} from './history.js';

/** How histories over processes are run. */
export type ProcessRun = {rounds: number; seed: number; hosts: number};

type Run = {
	deployment: Deployment;
	random: Random;
	agent: Agent;
	events: HistoryEvent[];
	writes: ServiceWrite[];
	/** Bodies that callers sent under each booking. */
	sent: Map<string, Set<string>>;
	/** Moment at which each host was last killed. */
	killedAt: Map<HostId, Milliseconds>;
};

const customer = 'faros-steel';
const path = '/v1/services/orders/cut-orders';
const questionPath = '/v1/chat/completions';
const questionModel = 'counter-8b';
const questionsPerRound = 24;
const longestAnswer = 120;
const bookingsPerRound = 12;
const sendsPerBooking = 3;
const sendSpread = 2500;
const roundDuration = 5000;
const recovery = 15_000;
const callerTimeout = 8000;
const otherBodyChance = 0.05;
const settleTime = 3000;

const keyValueFaults: Faults[] = [{loseReplies: 0.3}, {loseRequests: 0.2}, {outage: true}, {latencyMs: 300}];
const serviceFaults: Faults[] = [{loseReplies: 0.3}, {loseRequests: 0.3}, {refuse: true}, {slowFactor: 10}];
const faultsOff: Faults = {
	loseReplies: 0, loseRequests: 0, outage: false, refuse: false, latencyMs: 0, slowFactor: 1,
};

/** Notes every write that takes effect in the service. */
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

const getAnswer = (reply: Reply): Answer => {
	if (!reply.whole || reply.status !== 200) {
		return {ran: reply.ran, reason: reply.error ?? `status ${reply.status}`};
	}

	const {booked} = JSON.parse(reply.text) as {booked?: unknown};
	return {ran: reply.ran, ...(booked !== undefined && {body: JSON.stringify(booked)})};
};

const send = async ({deployment, random, agent, events, sent}: Run, booking: string): Promise<void> => {
	const {clock, routers, keys} = deployment;
	const body = JSON.stringify({order: booking, pieces: random.next() < otherBodyChance ? 2 : 1});
	sent.set(booking, (sent.get(booking) ?? new Set()).add(body));
	const {callerAddress} = random.pick(routers)!.settings;
	const reply = await sendRequest({
		at: 0, className: 'cut-order', customer, method: 'POST', path, body, idempotencyKey: booking,
	}, {
		address: callerAddress, key: keys.get(customer) ?? '', agent, clock, timeout: callerTimeout,
	});
	if (reply.request !== '') {
		events.push({
			kind: 'told', at: clock.now(), booking, request: reply.request, answer: getAnswer(reply),
		});
	}
};

/** Asks a question whose answer follows from its text. */
const ask = async ({deployment, random, agent, events}: Run, name: string): Promise<void> => {
	const {clock, routers, keys} = deployment;
	await clock.sleep(random.below(sendSpread));
	const prompt = {model: questionModel, messages: [{role: 'user', content: `${name} #tokens=${1 + random.below(longestAnswer)}`}]};
	const {callerAddress} = random.pick(routers)!.settings;
	const reply = await sendRequest({
		at: 0, className: 'yard-question', customer, method: 'POST', path: questionPath, body: JSON.stringify({...prompt, stream: true}),
	}, {
		address: callerAddress, key: keys.get(customer) ?? '', agent, clock, timeout: callerTimeout,
	});
	if (reply.status === 200) {
		const answer = getRightAnswer(prompt, 1);
		events.push({
			kind: 'answered', at: clock.now(), request: reply.request, isWhole: reply.whole, text: reply.text, expected: getAnswerText(answer, answer.length),
		});
	}
};

const sendOften = async (run: Run, booking: string): Promise<void> => {
	const {clock} = run.deployment;
	const sends = Array.from({length: sendsPerBooking}, async () => {
		await clock.sleep(run.random.below(sendSpread));
		await send(run, booking);
	});
	await Promise.all(sends);
};

const killRouter = async ({deployment, random, killedAt}: Run): Promise<void> => {
	const {clock, routers, restartRouter} = deployment;
	await clock.sleep(random.below(sendSpread));
	const router = random.pick(routers)!;
	const {host} = router.settings;
	router.signal('SIGKILL');
	await router.ended;
	killedAt.set(host, clock.now());
	await clock.sleep(random.below(1000));
	await restartRouter(host);
};

const pauseRouter = async ({deployment: {clock, routers}, random}: Run): Promise<void> => {
	await clock.sleep(random.below(sendSpread));
	const router = random.pick(routers)!;
	router.signal('SIGSTOP');
	await clock.sleep(random.below(sendSpread));
	router.signal('SIGCONT');
};

const disturb = async ({deployment: {clock}, random}: Run, faults: Faults, change: Faults): Promise<void> => {
	await clock.sleep(random.below(sendSpread));
	Object.assign(faults, change);
	await clock.sleep(random.below(sendSpread));
	Object.assign(faults, faultsOff);
};

/** Crashes two engines, which may be down at the same time. */
const crashEngines = async ({deployment: {clock, engines}, random}: Run): Promise<void> => {
	const all = [...engines.values()];
	const first = random.below(all.length);
	const chosen = [all[first]!, all[(first + 1) % all.length]!];
	await Promise.all(chosen.map(async ({listener}) => {
		await clock.sleep(random.below(sendSpread));
		await listener.crash();
		await clock.sleep(random.below(sendSpread));
		await listener.restart();
	}));
};

const runFaults = async (run: Run): Promise<void> => {
	const {random, deployment: {keyValue, services}} = run;
	const service = random.pick([...services.values()])!;
	const faults = [
		{chance: 0.4, start: async () => killRouter(run)},
		{chance: 0.4, start: async () => pauseRouter(run)},
		{chance: 0.6, start: async () => disturb(run, keyValue.faults, random.pick(keyValueFaults)!)},
		{chance: 0.8, start: async () => crashEngines(run)},
		{chance: 0.6, start: async () => disturb(run, service.faults, random.pick(serviceFaults)!)},
	];
	await Promise.all(faults.filter(({chance}) => random.next() < chance).map(async ({start}) => start()));
};

const runRound = async (run: Run, round: number): Promise<void> => {
	const bookings = Array.from({length: bookingsPerRound}, (_, index) => `booking-${round}-${index}`);
	const startedAt = run.deployment.clock.monotonic();
	const questions = Array.from({length: questionsPerRound}, (_, index) => `question ${round} ${index}`);
	await Promise.all([
		runFaults(run),
		...bookings.map(async booking => sendOften(run, booking)),
		...questions.map(async question => ask(run, question)),
	]);
	const left = startedAt + roundDuration - run.deployment.clock.monotonic();
	if (left > 0) {
		await run.deployment.clock.sleep(left);
	}
};

/** Gets the runs at the services, each after the send that it stems from if a caller sent that body under that key. */
const getRuns = ({deployment: {services}, sent}: Run): HistoryEvent[] => [...services.values()].flatMap(service =>
	service.calls.flatMap((call): HistoryEvent[] => {
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

/** Gets the bookings whose end a host saw that lived on for long enough to store it. */
const getSettled = ({events, killedAt}: Run): History['settled'] => events.flatMap(event => {
	if (event.kind !== 'told' || event.answer.body === undefined) {
		return [];
	}

	const host = event.request.split('.')[0] ?? '';
	const {at, booking, request} = event;
	const wasKilled = (killedAt.get(host) ?? 0) > at - settleTime;
	return wasKilled ? [] : [{booking, request}];
});

/** Runs bookings over router processes under faults, in rounds, and gets the whole history. */
export const runProcesses = async ({rounds, seed, hosts}: ProcessRun): Promise<History> => {
	const deployment = await startDeployment({deployment: 'kopi', hosts});
	const run: Run = {
		deployment, random: createRandom(seed), agent: new Agent(), events: [], writes: recordWrites(deployment), sent: new Map(), killedAt: new Map(),
	};
	try {
		for (let round = 0; round < rounds; round++) {
			// eslint-disable-next-line no-await-in-loop -- Rounds follow each other.
			await runRound(run, round);
		}

		await deployment.clock.sleep(recovery);
		return {events: [...getRuns(run), ...run.events], writes: run.writes, settled: getSettled(run)};
	} finally {
		await deployment.stop();
	}
};
