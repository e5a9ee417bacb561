import {Buffer} from 'node:buffer';
import {createHash, timingSafeEqual} from 'node:crypto';
import type {Configuration, Customer} from '@gentianlift/types';

type Owner = {digest: Uint8Array; customer: Customer};

const owners = new WeakMap<Configuration, Map<string, Owner>>();

const getOwners = (configuration: Configuration): Map<string, Owner> => {
	const known = owners.get(configuration);
	if (known !== undefined) {
		return known;
	}

	const created = new Map<string, Owner>();
	for (const customer of configuration.inventory.customers) {
		for (const digest of customer.keyDigests) {
			created.set(digest, {digest: Buffer.from(digest, 'hex'), customer});
		}
	}

	owners.set(configuration, created);
	return created;
};

/** Gets the digest of a customer's key as the configuration keeps it: SHA-256 in lower-case hex. */
export const getKeyDigest = (key: string): string => createHash('sha256').update(key).digest('hex');

/**
Finds the customer whose key it is; undefined if nobody's.
Only digests are compared, and the last comparison takes the same time for any digest, so the time taken tells nothing of a key.
*/
export const findCustomer = (configuration: Configuration, key: string): Customer | undefined => {
	const digest = getKeyDigest(key);
	const owner = getOwners(configuration).get(digest);
	return owner !== undefined && timingSafeEqual(owner.digest, Buffer.from(digest, 'hex')) ? owner.customer : undefined;
};
