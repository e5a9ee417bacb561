import type {IncomingMessage} from 'node:http';
import type {FleetView} from '@gentianlift/discovery';
import {readBody, type Body} from '../deliver/read-body.js';
import type {HeldBody} from '../memory/body-budget.js';

/** Largest body, in bytes, that a host reads while it has no configuration. */
const unconfiguredMaxBodyBytes = 1024 * 1024;

/** Returns the size, in bytes, that the body of a request may have now. */
export const getMaxBodyBytes = ({getRoutes}: Pick<FleetView, 'getRoutes'>): number => getRoutes()?.configuration.limits.maxBodyBytes ?? unconfiguredMaxBodyBytes;

/** Returns the length that a request declares for its body, in bytes; 0 if it declares none. */
export const getDeclaredBytes = ({headers}: IncomingMessage): number => Number(headers['content-length'] ?? 0);

/** Receives the body of a request, which `held` counts; it is undefined if there is no room. A body that can't be taken by its declared length isn't read. */
export const receiveRequestBody = async (request: IncomingMessage, maxBytes: number, held: HeldBody | undefined): Promise<Body> => {
	if (getDeclaredBytes(request) > maxBytes) {
		return {kind: 'too-large'};
	}

	if (held === undefined) {
		return {kind: 'released'};
	}

	const body = await readBody({
		message: request, hasFailed: () => false, isBodyMalformed: () => false, waitForEnd: async () => undefined,
	}, maxBytes, held);
	if (body.kind === 'whole') {
		held.keep(body.bytes.length);
	}

	return body;
};
