import type {Socket} from 'node:net';
import {
	answerText, buildOddAnswers, malformedChunks, malformedLines, soundChunks, startRawServer, type RawHandler, unknownStatuses, writeRaw,
} from '@gentianlift/http/testing';
import {expect, onTestFinished, test} from 'vitest';
import {callOperator, type OperatorOutcome} from './operator-client.js';

const call = async (handle: RawHandler, body?: unknown): Promise<OperatorOutcome> => {
	const server = await startRawServer(handle);
	onTestFinished(server.close);
	return callOperator({host: 'h', address: server.address}, {method: 'POST', path: '/operator/drain', body});
};

const oddAnswers = Object.entries(malformedLines).flatMap(([name, line]) => buildOddAnswers(name, line, 'Content-Type: application/json\r\n'));

// Guards against: an operator is told that a command was carried out by an answer that isn't one (issue 56).
test('an answer whose head has a line that is no field is none, and a sound one is read', async () => {
	for (const odd of oddAnswers) {
		// eslint-disable-next-line no-await-in-loop -- One host at a time.
		const {kind} = await call(answerText(odd));
		expect([odd.name, kind]).toEqual([odd.name, 'unreadable']);
	}

	for (const sound of buildOddAnswers('a sound line', 'X-A: sound', '')) {
		// eslint-disable-next-line no-await-in-loop -- One host at a time.
		expect([sound.name, await call(answerText(sound))]).toEqual([sound.name, {kind: 'answered', status: 200, body: {}}]);
	}
});

// Guards against: a status that is none passes for a host's refusal, and no other host is asked.
test('an answer whose status is none can\'t be read', async () => {
	for (const status of unknownStatuses) {
		// eslint-disable-next-line no-await-in-loop -- One host at a time.
		expect([status, await call(socket => {
			writeRaw(socket, `HTTP/1.1 ${status} X\r\nContent-Length: 2\r\n\r\n{}`);
		})]).toEqual([status, {kind: 'unreadable', reason: 'status-invalid'}]);
	}
});

test('an answer in chunks with a malformed end can\'t be read, and a sound one can', async () => {
	const callChunked = async (chunks: string): Promise<OperatorOutcome> => call(socket => {
		writeRaw(socket, `HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n${chunks}`);
	});
	for (const [name, chunks] of Object.entries(malformedChunks)) {
		// eslint-disable-next-line no-await-in-loop -- One host at a time.
		const {kind} = await callChunked(chunks);
		expect([name, kind === 'answered']).toEqual([name, false]);
	}

	expect(await callChunked(soundChunks)).toMatchObject({kind: 'answered', body: {}});
});

/** Body of a call, in bytes: more than a connection takes whose other end doesn't read. */
const bodyBytes = 12_000_000;
const unframed = 'HTTP/1.1 200 OK\r\n\r\n{}';

// Guards against: a command counts as carried out by an answer whose connection was reset before the command was sent, or on the way (issue 56).
test('an answer without length counts if its connection ends in order and the call was read', async () => {
	const callWith = async (act: (socket: Socket) => void, body: unknown): Promise<string> => {
		const {kind} = await call(socket => {
			act(socket.pause());
		}, body);
		return kind;
	};

	const endThen = (action: (socket: Socket) => void) => (socket: Socket): void => {
		socket.end(unframed, () => {
			setTimeout(action, 20, socket);
		});
	};

	const reset = (socket: Socket): void => {
		socket.resetAndDestroy();
	};

	const large = 'b'.repeat(bodyBytes);
	expect(await callWith(endThen(reset), large)).not.toBe('answered');
	expect(await callWith(socket => {
		socket.write(unframed, () => {
			setTimeout(reset, 20, socket);
		});
	}, 'small')).not.toBe('answered');
	expect(await callWith(socket => {
		socket.write(unframed, () => {
			socket.resetAndDestroy();
		});
	}, 'small')).not.toBe('answered');
	expect(await callWith(endThen(socket => {
		socket.resume();
	}), large)).toBe('answered');
	expect(await callWith(socket => {
		socket.end(unframed);
	}, 'small')).toBe('answered');
});
