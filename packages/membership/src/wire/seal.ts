import {Buffer} from 'node:buffer';
import {createHmac, timingSafeEqual} from 'node:crypto';

/** Signs and checks datagrams with keys from the settings. */
export type Seal = {
	sign: (body: Uint8Array) => Uint8Array;
	/** The body, if any key signed it. */
	open: (datagram: Uint8Array) => Uint8Array | undefined;
};

/** Length of the truncated HMAC-SHA256, in bytes. */
const signatureBytes = 16;

const getSignature = (key: string, body: Uint8Array): Uint8Array =>
	createHmac('sha256', key).update(body).digest().subarray(0, signatureBytes);

/** Creates a seal; the first key signs, and any is accepted, so that keys can be rotated. */
export const createSeal = (keys: string[]): Seal => {
	const [signingKey = ''] = keys;
	return {
		sign: body => Buffer.concat([getSignature(signingKey, body), body]),
		open(datagram) {
			if (datagram.length <= signatureBytes) {
				return undefined;
			}

			const signature = datagram.subarray(0, signatureBytes);
			const body = datagram.subarray(signatureBytes);
			return keys.some(key => timingSafeEqual(signature, getSignature(key, body))) ? body : undefined;
		},
	};
};
