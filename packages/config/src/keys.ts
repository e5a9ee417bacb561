import {Buffer} from 'node:buffer';
import {createHash, timingSafeEqual} from 'node:crypto';
import type {Configuration, Customer} from '@gentianlift/types';

/** The digest of a key as bytes, and the customer that the key belongs to. */
type KeyOwner = {digest: Uint8Array; customer: Customer};

/** Customers of each configuration by the digests of their keys, built on first use. */
const ownersByConfiguration = new WeakMap<Configuration, Map<string, KeyOwner>>();

const getKeyOwners = (configuration: Configuration): Map<string, KeyOwner> => {
	const cached = ownersByConfiguration.get(configuration);
	if (cached !== undefined) {
		return cached;
	}

	const keyOwners = new Map<string, KeyOwner>();
	for (const customer of configuration.inventory.customers) {
		for (const digest of customer.keyDigests) {
			keyOwners.set(digest, {digest: Buffer.from(digest, 'hex'), customer});
		}
	}

	ownersByConfiguration.set(configuration, keyOwners);
	return keyOwners;
};

/** Returns the digest of a customer's key in the format of the configuration: SHA-256 in lower-case hexadecimal. */
export const getKeyDigest = (key: string): string => createHash('sha256').update(key).digest('hex');

/**
Finds the customer that a key belongs to; undefined if there is none.
Only digests are compared, and the final comparison takes constant time, so that response times reveal nothing about valid keys.
*/
export const findCustomerByKey = (configuration: Configuration, key: string): Customer | undefined => {
	const digest = getKeyDigest(key);
	const owner = getKeyOwners(configuration).get(digest);
	return owner !== undefined && timingSafeEqual(owner.digest, Buffer.from(digest, 'hex')) ? owner.customer : undefined;
};
