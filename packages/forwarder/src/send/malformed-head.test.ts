import {
	answerText, buildOddAnswers, malformedLines, writeRaw, type OddAnswer, type RawHandler,
} from '@gentianlift/http/testing';
import {expect, onTestFinished, test} from 'vitest';
import {createStubHostStarter} from '../links/testing-stub-hosts.js';
import {wholeStream, writeEvents} from '../deliver/testing-streams.js';
import {waitForEnd} from '../testing.js';
import {createRawStarter, sendRawRequest, type RawAnswer} from '../testing-raw.js';

const start = createRawStarter(onTestFinished);
const startWithStubHosts = createStubHostStarter(onTestFinished);

const paths = ['/read/1', '/book/1', '/once/1', '/stream/1'];
const fields = 'Signed: 1\r\nContent-Type: application/json\r\n';
const oddAnswers = Object.entries(malformedLines).flatMap(([name, line]) => buildOddAnswers(name, line, fields));
const soundAnswers = buildOddAnswers('a sound line', 'X-A: sound', fields);

/** An answer, the path that it answers, and what its caller got. */
type Played = {name: string; path: string; answer: RawAnswer};

const requestsAtOnce = 40;

/** Sends a request on each path for each answer; the upstream finds the answer by the request's id. */
const play = async (port: number, answers: readonly OddAnswer[]): Promise<Played[]> => {
	const requests = answers.flatMap(({name}, index) => paths.map(path => ({name, path, attempt: String(index)})));
	const played: Played[] = [];
	for (let first = 0; first < requests.length; first += requestsAtOnce) {
		// eslint-disable-next-line no-await-in-loop -- Some requests at once.
		played.push(...await Promise.all(requests.slice(first, first + requestsAtOnce).map(async ({name, path, attempt}) => ({
			name, path, answer: await sendRawRequest(port, {path, attempt}),
		}))));
	}

	return played;
};

const getAttempt = (request: string): string => /\r\nattempt: (?<id>[^\r]*)/iv.exec(request)?.groups?.id ?? '';

/** Creates a handler that gives each request the answer that its id names. */
const answerById = (answers: readonly OddAnswer[]): RawHandler => (socket, request) => {
	answerText(answers[Number(getAttempt(request))]!)(socket);
};

/** Returns the answers that aren't the host's own 502, or have anything of the upstream's. */
const findPassedOn = (played: readonly Played[]): Array<Pick<Played, 'name' | 'path'>> =>
	played.filter(({answer}) => answer.status !== '502' || /odd|\{\}$|signed/iv.test(answer.text)).map(({name, path}) => ({name, path}));

const findUnanswered = (played: readonly Played[]): Array<Pick<Played, 'name' | 'path'>> =>
	played.filter(({answer}) => answer.status !== '200' || !answer.text.includes('X-A: sound') || !answer.text.includes('{}')).map(({name, path}) => ({name, path}));

// Guards against: a line of an upstream's head that is no field reaches a caller, or ends the head, so that the rest of it reaches the caller as a body (issue 56).
test('a head with a line that is no field is no answer, on any path', async () => {
	const {host} = await start(answerById(oddAnswers));
	expect(findPassedOn(await play(host.port, oddAnswers))).toEqual([]);
});

test('a head with a sound line is one', async () => {
	const {host} = await start(answerById(soundAnswers));
	expect(findUnanswered(await play(host.port, soundAnswers))).toEqual([]);
});

// Guards against: as above, where the head is another host's.
test('a head with a line that is no field is no answer over another host, and a sound one is', async () => {
	const {deployment: {host}} = await startWithStubHosts(({socket, headers}) => {
		answerText(oddAnswers[Number(headers.attempt)]!)(socket);
	});
	expect(findPassedOn(await play(host.port, oddAnswers))).toEqual([]);
	const sound = await startWithStubHosts(({socket, headers}) => {
		answerText(soundAnswers[Number(headers.attempt)]!)(socket);
	});
	expect(findUnanswered(await play(sound.deployment.host.port, soundAnswers))).toEqual([]);
});

test('a malformed head is logged, and leaves a booking\'s outcome unknown', async () => {
	const [odd] = oddAnswers;
	const {host, upstreams} = await start(answerText(odd!), answerText(odd!));
	const answer = await sendRawRequest(host.port, {path: '/book/1', attempt: 'a1'});
	expect(answer.status).toBe('502');
	expect(await waitForEnd(host, 'a1')).toContain('lastFailure=head-malformed');
	expect(host.logLines.filter(line => line.includes('event=attempt-failed request=a1 ') && line.includes('reason=head-malformed'))).toHaveLength(1);
	expect(upstreams.flatMap(({getRequests}) => getRequests())).toHaveLength(1);
});

// Guards against: an upstream's word that it hasn't run a booking is believed although its head is none, and the booking is sent again.
test('a malformed head says nothing of whether a booking ran', async () => {
	const odd = 'HTTP/1.1 503 X\r\nNot-Run: 1\r\nX A: odd\r\nContent-Length: 0\r\n\r\n';
	const {host, upstreams} = await start(socket => {
		writeRaw(socket, odd);
	}, socket => {
		writeRaw(socket, odd);
	});
	expect(await sendRawRequest(host.port, {path: '/book/1', attempt: 'a1'})).toMatchObject({status: '502'});
	expect(upstreams.flatMap(({getRequests}) => getRequests())).toHaveLength(1);
});

test('a safe call whose first answer has a malformed head gets that of another upstream', async () => {
	const [sound] = soundAnswers;
	for (const odd of oddAnswers) {
		let received = 0;
		const answerSecond: RawHandler = socket => {
			received += 1;
			answerText(received === 1 ? odd : sound!)(socket);
		};

		// eslint-disable-next-line no-await-in-loop -- One host at a time.
		const {host} = await start(answerSecond, answerSecond);
		// eslint-disable-next-line no-await-in-loop -- As above.
		const answer = await sendRawRequest(host.port, {path: '/read/1', attempt: 'a1'});
		expect([odd.name, answer.status, answer.text.includes('sound')]).toEqual([odd.name, '200', true]);
	}
});

const oddLine = 'X A: odd\r\n';
const oddHead = `HTTP/1.1 200 OK\r\n${fields}${oddLine}Content-Length: 2\r\n\r\n{}`;
const soundAnswer = `HTTP/1.1 200 OK\r\n${fields}X-A: sound\r\nContent-Length: 2\r\n\r\n{}`;
/** Ways in which a malformed head comes, each as what an upstream does with a request. */
const waysToCome: Array<[string, RawHandler]> = [
	['byte by byte', socket => {
		socket.setNoDelay(true);
		const bytes = [...oddHead];
		const timer = setInterval(() => {
			const byte = bytes.shift();
			if (byte === undefined || socket.destroyed) {
				clearInterval(timer);
			} else {
				writeRaw(socket, byte);
			}
		}, 1);
	}],
	['as an informational answer', socket => {
		writeRaw(socket, `HTTP/1.1 103 Early Hints\r\n${oddLine}\r\n${soundAnswer}`);
	}],
	['after an informational answer', socket => {
		writeRaw(socket, `HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n${oddHead}`);
	}],
	['as HTTP/1.0', socket => {
		writeRaw(socket, oddHead.replace('HTTP/1.1', 'HTTP/1.0'));
	}],
	['before a sound answer', socket => {
		writeRaw(socket, oddHead + soundAnswer);
	}],
	['before an answer without end', socket => {
		writeRaw(socket, oddHead);
		const timer = setInterval(() => {
			socket.write('odd\r\n\r\nodd');
		}, 1);
		socket.once('close', () => {
			clearInterval(timer);
		});
	}],
	['with a control byte in its reason', socket => {
		writeRaw(socket, soundAnswer.replace('OK', 'O\u0001K').replace('sound', 'odd'));
	}],
	['with a line end of one byte behind its status', socket => {
		writeRaw(socket, soundAnswer.replace('OK\r\n', 'OK\r').replace('sound', 'odd'));
	}],
];

// Guards against: as above, for heads that come in parts, behind others, or before more.
test.each(waysToCome)('a malformed head is no answer if it comes %s', async (_, handle) => {
	const {host} = await start(handle);
	const played = await Promise.all(paths.map(async path => ({name: path, path, answer: await sendRawRequest(host.port, {path, attempt: 'a1'})})));
	expect(findPassedOn(played)).toEqual([]);
});

test('a malformed head is no answer behind a sound one on a kept connection, nor is what follows that of the next request', async () => {
	for (const path of paths) {
		const connections = new Set<unknown>();
		// eslint-disable-next-line no-await-in-loop -- One host at a time.
		const {host} = await start((socket, request) => {
			connections.add(socket);
			writeRaw(socket, getAttempt(request) === 'a2' ? oddHead + soundAnswer : soundAnswer);
		});
		const statuses: string[] = [];
		for (const attempt of ['a1', 'a2', 'a3']) {
			// eslint-disable-next-line no-await-in-loop -- One request after the other.
			const {status, text} = await sendRawRequest(host.port, {path, attempt});
			expect(text).not.toContain('odd');
			statuses.push(status);
		}

		expect([path, ...statuses, connections.size]).toEqual([path, '200', '502', '200', 2]);
	}
});

test('a malformed head is no answer if it comes before a long request has been written', async () => {
	const {host} = await start(socket => {
		writeRaw(socket.pause(), oddHead);
	});
	const body = 'b'.repeat(900_000);
	const played = await Promise.all(paths.map(async path => ({name: path, path, answer: await sendRawRequest(host.port, {path, attempt: 'a1', body})})));
	expect(findPassedOn(played)).toEqual([]);
});

const streamFields = 'Signed: 1\r\nContent-Type: text/event-stream\r\n';
const resetDelay = 20;

/** Answers three requests for a stream: with two events before a reset, with a head that has a line, and with the rest. */
const sendStream = async (line: string): Promise<{answer: RawAnswer; requests: readonly string[]}> => {
	const answerStream: RawHandler = (socket, request) => {
		const after = Number(/\r\nlast-event: (?<id>\d+)/iv.exec(request)?.groups?.id ?? 0);
		if (after === 0) {
			writeRaw(socket, `HTTP/1.1 200 OK\r\n${streamFields}\r\n${writeEvents(1, 2)}`);
			setTimeout(() => {
				socket.resetAndDestroy();
			}, resetDelay);
			return;
		}

		const events = writeEvents(after + 1, 4);
		takeUps += 1;
		const oddity = takeUps === 1 ? `${line}\r\n` : '';
		writeRaw(socket, `HTTP/1.1 200 OK\r\n${streamFields}${oddity}Content-Length: ${events.length}\r\n\r\n${events}`);
	};

	let takeUps = 0;
	const {host, upstreams} = await start(answerStream, answerStream, answerStream);
	const answer = await sendRawRequest(host.port, {path: '/thrice/1', attempt: 'a1'});
	return {answer, requests: upstreams.flatMap(({getRequests}) => getRequests())};
};

/** Returns the events of an answer in chunks. */
const getEvents = ({text}: RawAnswer): string => text.slice(text.indexOf('\r\n\r\n') + 4).replaceAll(/(?:^|\r\n)[\da-f]+\r\n/gv, '').trimEnd() + '\n\n';

// Guards against: a stream that another upstream takes up gets a part of that one's head as events, or ends there.
test('a stream goes on at a third upstream when the second one\'s head is malformed', async () => {
	for (const line of [...Object.values(malformedLines), 'X-A: sound']) {
		// eslint-disable-next-line no-await-in-loop -- One host at a time.
		const {answer, requests} = await sendStream(line);
		expect([line, answer.status, getEvents(answer), requests.length]).toEqual([line, '200', wholeStream, line === 'X-A: sound' ? 2 : 3]);
		expect(answer.text).not.toContain('odd');
	}
});

test('a stream that its caller resumes is not answered with a malformed head', async () => {
	const events = writeEvents(3, 4);
	for (const [line, status] of [['X A: odd', '502'], ['\rX-A: odd', '502'], ['X-A: sound', '200']] as const) {
		// eslint-disable-next-line no-await-in-loop -- One host at a time.
		const {host} = await start(socket => {
			writeRaw(socket, `HTTP/1.1 200 OK\r\n${streamFields}${line}\r\nConnection: close\r\n\r\n${events}`);
			socket.end();
		});
		host.context.streamOrigins.add({request: 'a0', service: 's', softwareVersion: 'v1'}, host.context.clock.monotonic());
		// eslint-disable-next-line no-await-in-loop -- As above.
		const answer = await sendRawRequest(host.port, {path: '/stream/1', attempt: 'a1', fields: 'Last-Event: 2\r\nResumes: a0\r\n'});
		expect([line, answer.status, answer.text.includes('odd')]).toEqual([line, status, false]);
	}
});
