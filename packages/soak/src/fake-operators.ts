import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {parseJsonObject, readObjects, type Milliseconds} from '@gentianlift/types';
import type {FakeOperators, FakeOperatorsOptions} from './deployment.js';
import type {DutyCall} from './duty-guarantees.js';
import {readText} from './exchange.js';

/** Names by which a deployment's operators' service takes calls for duties: headers, the path of usage reports and their field of the window; other calls have the fields `service` and `zone`. */
export type DutyCallNames = {holder: string; token: string; reportPath: string; window: string};

/** Reads a call for a duty, apart from its time and outcome; undefined if it is none. */
const readCall = ({url, headers}: IncomingMessage, body: string, names: DutyCallNames): Omit<DutyCall, 'at' | 'isAccepted'> | undefined => {
	const fields = parseJsonObject(body);
	const fence = {holder: String(headers[names.holder]), token: Number(headers[names.token])};
	if (fields === undefined || !Number.isSafeInteger(fence.token)) {
		return undefined;
	}

	if (url !== names.reportPath) {
		return {subject: `${String(fields.service)}/${String(fields.zone)}`, ...fence};
	}

	const [counts = {}] = readObjects([fields.counts]);
	const sorted = Object.entries(counts).toSorted(([one], [other]) => one < other ? -1 : 1);
	return {subject: 'usage', ...fence, report: {window: Number(fields[names.window]), counts: JSON.stringify(sorted)}};
};

/** What becomes of a call: it is accepted, accepted late or without an answer, refused, or neither accepted nor answered. */
const fates = ['accepted', 'accepted', 'accepted', 'accepted', 'accepted', 'accepted', 'late', 'unanswered', 'refused', 'silent'] as const;

const lateDelay: Milliseconds = 500;
const acceptedStatus = 200;
const unavailableStatus = 503;
const badRequestStatus = 400;

type AnswerOptions = Pick<FakeOperatorsOptions, 'onDutyCall' | 'random'> & {names: DutyCallNames};

const answer = async (request: IncomingMessage, response: ServerResponse, {names, onDutyCall, random}: AnswerOptions): Promise<void> => {
	const call = readCall(request, await readText(request), names);
	const fate = random.pick(fates);
	if (call === undefined) {
		response.writeHead(badRequestStatus);
		response.end();
		return;
	}

	onDutyCall({...call, at: 0, isAccepted: fate !== 'refused' && fate !== 'silent'});
	switch (fate) {
		case 'silent': {
			return;
		}

		case 'unanswered': {
			request.socket.resetAndDestroy();
			return;
		}

		case 'late': {
			await sleep(lateDelay);
			break;
		}

		case 'accepted':
		case 'refused':
		case undefined: {
			break;
		}
	}

	response.writeHead(fate === 'refused' ? unavailableStatus : acceptedStatus);
	response.end();
};

/** Starts a fake of the operators' service on a free port of the address. */
export const startFakeOperators = async ({ip, random, onDutyCall}: FakeOperatorsOptions, names: DutyCallNames): Promise<FakeOperators> => {
	const server = createServer((request, response) => {
		// A caller that disconnects while its call is read needs no answer.
		answer(request, response, {names, onDutyCall, random}).catch(() => request.socket.destroy());
	});
	await new Promise<void>(resolve => {
		server.listen(0, ip, resolve);
	});
	return {
		address: `${ip}:${(server.address() as AddressInfo).port}`,
		close() {
			server.close();
			server.closeAllConnections();
		},
	};
};
