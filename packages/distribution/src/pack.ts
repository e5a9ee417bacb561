import {Buffer} from 'node:buffer';
import {gunzipSync, gzipSync} from 'node:zlib';
import type {ConfigurationVersion} from '@gentianlift/types';

const packedVersions = new WeakMap<ConfigurationVersion, string>();
const longestText = 16 * 1024 * 1024;

/** Packs a version for a peer, as compressed JSON in base64; each version is packed once. */
export const packVersion = (version: ConfigurationVersion): string => {
	const known = packedVersions.get(version);
	if (known !== undefined) {
		return known;
	}

	const packed = gzipSync(JSON.stringify(version)).toString('base64');
	packedVersions.set(version, packed);
	return packed;
};

/** Unpacks what a peer sent; undefined if it can't be. What comes out is still to be validated. */
export const unpackVersion = (packed: string): ConfigurationVersion | undefined => {
	try {
		const text = gunzipSync(Buffer.from(packed, 'base64'), {maxOutputLength: longestText}).toString();
		return JSON.parse(text) as ConfigurationVersion;
	} catch {
		return undefined;
	}
};
