import process from 'node:process';

/** Second octets of the addresses; 127.0 is left to what connects from or listens on a random port. */
const firstOctet = 1;
const octetCount = 19;
const octetSize = 256;
/** Last octet of the first address. */
const firstLastOctet = 10;

let taken = 0;

/** Returns a loopback address that nothing else in this process uses, and other processes hardly, so that a port on it stays free until it is listened on. */
export const takeLoopback = (): string => {
	const second = firstOctet + (Math.floor(process.pid / octetSize) % octetCount);
	const last = firstLastOctet + taken;
	taken += 1;
	if (last >= octetSize) {
		throw new Error('This process has used all of its loopback addresses.');
	}

	return `127.${second}.${process.pid % octetSize}.${last}`;
};
