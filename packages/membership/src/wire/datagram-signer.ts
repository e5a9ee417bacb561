import {Buffer} from 'node:buffer';
import {createHmac, timingSafeEqual} from 'node:crypto';

/** Signs and verifies datagrams with the keys from the settings. */
export type DatagramSigner = {
	sign: (body: Uint8Array) => Uint8Array;
	/** Returns the body of a datagram if it was signed with any of the keys; undefined otherwise. */
	verify: (datagram: Uint8Array) => Uint8Array | undefined;
};

/** Length of the truncated HMAC-SHA256, in bytes. */
const signatureBytes = 16;

const getSignature = (key: string, body: Uint8Array): Uint8Array =>
	createHmac('sha256', key).update(body).digest().subarray(0, signatureBytes);

/** Creates a signer. It signs with the first key and accepts signatures of any key, so that keys can be rotated. */
export const createDatagramSigner = (keys: string[]): DatagramSigner => {
	const [signingKey = ''] = keys;
	return {
		sign: body => Buffer.concat([getSignature(signingKey, body), body]),
		verify(datagram) {
			if (datagram.length <= signatureBytes) {
				return undefined;
			}

			const signature = datagram.subarray(0, signatureBytes);
			const body = datagram.subarray(signatureBytes);
			return keys.some(key => timingSafeEqual(signature, getSignature(key, body))) ? body : undefined;
		},
	};
};
