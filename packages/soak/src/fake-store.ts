import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import type {Milliseconds} from '@gentianlift/types';
import type {FakeStore} from './deployment.js';
import {readText} from './exchange.js';
import {writeEndlessPage, writeLargePage, type PageText} from './oversized-pages.js';
import {createStoreContents, type StoreContents} from './store-contents.js';
import type {StoreFailureMode} from './schedule.js';

/** A call to the store. */
export type StoreCall = {method: string; url: URL; body: string};

/** Answer of the store to a call. */
export type StoreReply = {status: number; body?: unknown};

/** HTTP interface of a deployment's store. */
export type StoreInterface = {
	answerCall: (contents: StoreContents, call: StoreCall) => Promise<StoreReply>;
	/** Returns the headers of each answer. */
	getHeaders: (contents: StoreContents) => Record<string, string>;
	/** Whether a call reads all entries. */
	readsAll: (call: StoreCall) => boolean;
	/** Returns the text of a page of all entries. */
	getPageText: (contents: StoreContents) => PageText;
};

const slowResponseDelay: Milliseconds = 500;

/** Starts a fake of a store on a free port of the address. */
export const startFakeStore = async (ip: string, storeInterface: StoreInterface): Promise<FakeStore> => {
	const {
		answerCall, getHeaders, readsAll, getPageText,
	} = storeInterface;
	const contents = createStoreContents();
	const state: {failureMode: StoreFailureMode | undefined} = {failureMode: undefined};

	const writeOversizedPage = async (response: ServerResponse, mode: 'large' | 'endless'): Promise<void> => {
		response.writeHead(200, getHeaders(contents));
		const page = getPageText(contents);
		if (mode === 'large') {
			await writeLargePage(response, page);
		} else {
			writeEndlessPage(response, page, () => state.failureMode === mode);
		}
	};

	const answer = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
		const body = await readText(request);
		if (state.failureMode === 'silent') {
			return;
		}

		if (state.failureMode === 'slow') {
			await sleep(slowResponseDelay);
		}

		const call: StoreCall = {method: request.method ?? '', url: new URL(request.url ?? '/', 'http://store'), body};
		const {failureMode} = state;
		if (readsAll(call) && (failureMode === 'large' || failureMode === 'endless')) {
			await writeOversizedPage(response, failureMode);
			return;
		}

		const reply = failureMode === 'refusing' ? {status: 503} : await answerCall(contents, call);
		if (state.failureMode === 'losing-answers') {
			request.socket.resetAndDestroy();
			return;
		}

		response.writeHead(reply.status, getHeaders(contents));
		response.end(JSON.stringify(reply.body ?? {}));
	};

	const server = createServer((request, response) => {
		// A caller that disconnects while its call is read needs no answer.
		answer(request, response).catch(() => request.socket.destroy());
	});
	await new Promise<void>(resolve => {
		server.listen(0, ip, resolve);
	});
	return {
		address: `${ip}:${(server.address() as AddressInfo).port}`,
		put: contents.put,
		remove: contents.remove,
		setFailureMode(next) {
			state.failureMode = next;
			contents.setFailureMode(next);
		},
		close() {
			contents.close();
			server.close();
			server.closeAllConnections();
		},
	};
};
