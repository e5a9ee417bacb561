import type {Address} from './ids.js';

/** Splits an address into its IP address and its port; brackets around an IPv6 address are removed. */
export const splitAddress = (address: Address): {host: string; port: number} => {
	const separatorIndex = address.lastIndexOf(':');
	return {host: address.slice(0, separatorIndex).replaceAll(/[\[\]]/gv, ''), port: Number(address.slice(separatorIndex + 1))};
};
