import {Buffer} from 'node:buffer';
import {gunzipSync, gzipSync} from 'node:zlib';
import type {ConfigurationVersion} from '@gentianlift/types';

/** Packed form of each version, so that a version is compressed only once. */
const packedVersions = new WeakMap<ConfigurationVersion, string>();
const maxTextBytes = 16 * 1024 * 1024;

/** Encodes a version for a peer as gzipped JSON in base64. */
export const packVersion = (version: ConfigurationVersion): string => {
	const cached = packedVersions.get(version);
	if (cached !== undefined) {
		return cached;
	}

	const packed = gzipSync(JSON.stringify(version)).toString('base64');
	packedVersions.set(version, packed);
	return packed;
};

/** Decodes a packed version from a peer. Returns undefined if it can't be decoded; the result isn't validated yet. */
export const unpackVersion = (packed: string): ConfigurationVersion | undefined => {
	try {
		const text = gunzipSync(Buffer.from(packed, 'base64'), {maxOutputLength: maxTextBytes}).toString();
		return JSON.parse(text) as ConfigurationVersion;
	} catch {
		return undefined;
	}
};
