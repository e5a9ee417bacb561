import {spawn} from 'node:child_process';
import process from 'node:process';
import {splitAddress, type Address, type Milliseconds} from '@gentianlift/types';

/** Bodies that callers send at once, each on a connection of its own; `size` in bytes, as the head of the request says. */
export type OddBodies = {count: number; size: number; isWhole: boolean};

/** Shapes of odd bodies: some large ones, and many small ones that don't end. Each is within the limits on one request. */
export const oddBodies: readonly [OddBodies, ...OddBodies[]] = [
	{count: 100, size: 4_000_000, isWhole: true},
	{count: 100, size: 4_000_000, isWhole: false},
	{count: 500, size: 100_000, isWhole: false},
	{count: 2000, size: 20_000, isWhole: false},
];

/** Timeout of requests with odd bodies. */
export const oddCallTimeout: Milliseconds = 5000;

/** What stands for the number of the caller in the head of a request. */
export const callerPlaceholder = '{caller}';

/** Options of odd callers. */
export type OddCallersOptions = {
	/** Address on which a host listens for callers. */
	address: Address;
	bodies: OddBodies;
	path: string;
	/** Headers of a caller's request, in which `callerPlaceholder` may stand. */
	headers: Record<string, string>;
};

/** Starts a process of callers that send odd bodies, and send them again when their connection is closed; returns a function that ends them. */
export const startOddCallers = ({address, bodies, path, headers}: OddCallersOptions): () => void => {
	const fields = Object.entries({...headers, 'content-length': String(bodies.size)}).map(([name, value]) => `${name}: ${value}`);
	const head = `${[`POST ${path} HTTP/1.1`, ...fields].join('\r\n')}\r\n\r\n`;
	const options = JSON.stringify({...splitAddress(address), ...bodies, head});
	const child = spawn(process.execPath, ['scripts/send-odd-bodies.js', options], {stdio: ['pipe', 'ignore', 'inherit']});
	return () => {
		child.kill('SIGKILL');
	};
};
