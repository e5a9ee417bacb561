import type {Socket} from 'node:net';
import {
	answerText, buildOddAnswers, malformedChunks, malformedLines, soundChunks, type OddAnswer, type RawHandler, unknownStatuses,
} from '@gentianlift/http/testing';
import type {Settings} from '@gentianlift/types';
import {expect, onTestFinished, test} from 'vitest';
import {startRawBookings, type RawBookings} from './testing/raw-bookings.js';

const start = async (handle: RawHandler, extra: Partial<Settings> = {}): Promise<RawBookings> => {
	const bookings = await startRawBookings(handle, extra);
	onTestFinished(bookings.close);
	return bookings;
};

/** Starts services that answer each booking under a key, and each safe call, with the current answer. */
const startAnswering = async () => {
	let answer: Pick<OddAnswer, 'text' | 'endsWithConnection'> = {text: '', endsWithConnection: false};
	const bookings = await start(socket => {
		answerText(answer)(socket);
	});
	return {
		bookings,
		setAnswer(next: Pick<OddAnswer, 'text' | 'endsWithConnection'>) {
			answer = next;
		},
	};
};

/** Sends a booking, and another with its key; returns what speaks against an unknown outcome of which nothing is kept. */
const findKept = async ({book, getBookings}: RawBookings, key: string): Promise<string[]> => {
	const before = getBookings().length;
	const first = await book(key);
	const second = await book(key);
	return [
		...(first.status === '502' && first.fields.includes('x-ran: unknown') ? [] : [`first: ${first.fields}`]),
		...(second.status === '502' && second.fields.includes('x-error-kind: outcome-unknown') ? [] : [`second: ${second.fields}`]),
		...(getBookings().length === before + 1 ? [] : ['sent again']),
		...((first.fields + first.body + second.fields + second.body).includes('odd') ? ['passed on'] : []),
	];
};

const oddAnswers = Object.entries(malformedLines).flatMap(([name, line]) => buildOddAnswers(name, line, 'Content-Type: application/json\r\n'));

// Guards against: a line of a service's head that is no field, or the rest of the head as a body, reaches the caller of a booking and is kept as its result (issue 56).
test('a malformed head leaves the outcome of a booking unknown, and a sound one is kept', async () => {
	const {bookings, setAnswer} = await startAnswering();
	for (const [index, odd] of oddAnswers.entries()) {
		setAnswer(odd);
		// eslint-disable-next-line no-await-in-loop -- One booking after the other.
		expect([odd.name, await findKept(bookings, `odd-${index}`)]).toEqual([odd.name, []]);
	}

	for (const [index, sound] of buildOddAnswers('a sound line', 'X-A: sound', '').entries()) {
		setAnswer(sound);
		// eslint-disable-next-line no-await-in-loop -- One booking after the other.
		const first = await bookings.book(`sound-${index}`);
		// eslint-disable-next-line no-await-in-loop -- As above.
		const second = await bookings.book(`sound-${index}`);
		expect([first.status, first.fields.includes('x-a: sound'), second.status, second.fields.includes('x-replayed: true'), second.body]).toEqual(['200', true, '200', true, '{}']);
	}
});

// Guards against: an answer with a status that is none reaches the caller of a booking, and is kept as its result (issue 56).
test('a status that is none leaves the outcome of a booking unknown, and that of a safe call fails', async () => {
	const {bookings, setAnswer} = await startAnswering();
	for (const status of unknownStatuses) {
		setAnswer({text: `HTTP/1.1 ${status} X\r\nContent-Length: 3\r\n\r\nodd`, endsWithConnection: false});
		// eslint-disable-next-line no-await-in-loop -- One booking after the other.
		expect([status, await findKept(bookings, `status-${status}`)]).toEqual([status, []]);
		// eslint-disable-next-line no-await-in-loop -- As above.
		const look = await bookings.look();
		expect([status, look.status, look.body.includes('odd')]).toEqual([status, '502', false]);
	}

	setAnswer({text: 'HTTP/1.1 299 X\r\nContent-Length: 2\r\n\r\n{}', endsWithConnection: false});
	expect(await bookings.look()).toMatchObject({status: '299', body: '{}'});
	expect(await bookings.book('sound')).toMatchObject({status: '299', body: '{}'});
	expect(await bookings.book('sound')).toMatchObject({status: '299', body: '{}'});
	expect(bookings.getBookings()).toHaveLength(unknownStatuses.length + 1);
});

// Guards against: an answer in chunks whose end isn't one is kept as a booking's result (issue 56).
test('a malformed end cuts the answer to a booking, of which nothing is kept, and a sound one is kept', async () => {
	const {bookings, setAnswer} = await startAnswering();
	const setChunks = (chunks: string): void => {
		setAnswer({text: `HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n${chunks}`, endsWithConnection: false});
	};

	for (const [index, [name, chunks]] of Object.entries(malformedChunks).entries()) {
		setChunks(chunks);
		// eslint-disable-next-line no-await-in-loop -- One booking after the other.
		const first = await bookings.book(`end-${index}`);
		// eslint-disable-next-line no-await-in-loop -- As above.
		const second = await bookings.book(`end-${index}`);
		expect([name, first.body.endsWith('0\r\n\r\n'), second.status, second.fields.includes('x-replayed')]).toEqual([name, false, '502', false]);
	}

	setChunks(soundChunks);
	const first = await bookings.book('sound');
	const second = await bookings.book('sound');
	expect([first.status, first.body.endsWith('0\r\n\r\n'), second.status, second.body]).toEqual(['200', true, '200', '{}']);
});

/** Body of a booking, in bytes: more than a connection takes whose other end doesn't read. */
const uploadBytes = 12_000_000;
const endDelays = [5, 100];

// Guards against: a part of a service's answer, which ends its side and then resets the connection, is kept as a booking's result (issue 56).
test('an answer without length that ends before its booking is written is kept only if the booking was read', async () => {
	let act: (socket: Socket) => void = () => undefined;
	const bookings = await start(socket => {
		socket.pause().end('HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\npart', () => {
			act(socket);
		});
	}, {
		callerLimits: {
			headerBytes: 16_384, bodyBytes: 16_000_000, headerTimeout: 5000, bodyTimeout: 5000, connections: 1000,
		},
	});
	const upload = 'b'.repeat(uploadBytes);
	for (const delay of endDelays) {
		act = socket => {
			setTimeout(() => {
				socket.resetAndDestroy();
			}, delay);
		};

		// eslint-disable-next-line no-await-in-loop -- One booking after the other.
		const first = await bookings.book(`cut-${delay}`, upload);
		// eslint-disable-next-line no-await-in-loop -- As above.
		const second = await bookings.book(`cut-${delay}`, upload);
		expect([delay, first.body.endsWith('0\r\n\r\n'), second.status, second.fields.includes('x-error-kind: outcome-unknown')]).toEqual([delay, false, '502', true]);
	}

	act = socket => {
		socket.resume();
	};

	const first = await bookings.book('read', upload);
	const second = await bookings.book('read', upload);
	expect([first.status, first.body.endsWith('0\r\n\r\n'), second.status, second.body]).toEqual(['200', true, '200', 'part']);
	expect(bookings.getBookings()).toHaveLength(endDelays.length + 1);
});
