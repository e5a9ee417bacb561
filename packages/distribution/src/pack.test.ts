import type {Configuration, ConfigurationVersion} from '@gentianlift/types';
import {expect, test} from 'vitest';
import {packVersion, unpackVersion} from './pack.js';

const configuration: Configuration = {
	inventory: {
		engines: [], models: [], adapters: [], services: [], customers: [],
	},
	rules: {tiers: [], classes: []},
};
const version: ConfigurationVersion = {
	version: 3, token: 'a', author: '', acceptedAt: 0, note: '', configuration,
};

test('unpacks a packed version and rejects other text', () => {
	expect(unpackVersion(packVersion(version))).toEqual(version);
	expect(unpackVersion('no version')).toBeUndefined();
});
