import {expect, test} from 'vitest';
import {createPortFinder} from './find-ports.js';

/** Lowest port that systems choose for connections. */
const firstChosenPort = 32_768;

// Guards against: a host's port is taken, by a connection or by another test's host, between its choice and the start of the host.
test('no port is given out twice, to one finder or to two, and none that systems choose for connections', async () => {
	const [one, other] = [createPortFinder(), createPortFinder()];
	const ports = [...await one(60), ...await one(60), ...await other(60)];
	expect(new Set(ports).size).toBe(ports.length);
	expect(Math.max(...ports)).toBeLessThan(firstChosenPort);
});
