import type {Settings} from '@gentianlift/types';
import {createDiagnostic, type Diagnostic, type Parsed} from './diagnostic.js';
import {getRepeats} from './repeats.js';
import {readDocument} from './read-document.js';
import {settingsSchema} from './settings-schema.js';

const checkListeners = (settings: Settings): Diagnostic[] => {
	const names = ['callerAddress', 'operatorAddress', 'peerAddress'] as const;
	const places = names.map(name => ({path: [name], value: settings[name]}));
	return getRepeats(places, 'an address of its own');
};

const checkSeeds = (settings: Settings): Diagnostic[] => {
	const places = settings.seeds.map(({host}, index) => ({path: ['seeds', index, 'host'], value: host}));
	return getRepeats(places, 'each host once');
};

/** Parses the settings of a router process and fills in defaults. */
export const parseSettings = (document: unknown): Parsed<Settings> => {
	const {value, faults} = readDocument(settingsSchema, document);
	if (value === undefined) {
		return {kind: 'invalid', faults};
	}

	const found = [...checkListeners(value), ...checkSeeds(value)];
	return found.length === 0 ? {kind: 'valid', value} : {kind: 'invalid', faults: found};
};

/** Parses a JSON text; a text that isn't JSON is one fault at the root. */
export const parseJson = (text: string): Parsed<unknown> => {
	try {
		return {kind: 'valid', value: JSON.parse(text) as unknown};
	} catch (error) {
		const reason = error instanceof Error ? error.message : String(error);
		return {kind: 'invalid', faults: [createDiagnostic([], reason, 'a JSON document')]};
	}
};
