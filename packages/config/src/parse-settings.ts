import type {Settings} from '@gentianlift/types';
import {createDiagnostic, type Diagnostic, type ParseResult} from './diagnostic.js';
import {findDuplicates} from './duplicates.js';
import {readDocument} from './read-document.js';
import {settingsSchema} from './settings-schema.js';

const checkListenerAddresses = (settings: Settings): Diagnostic[] => {
	const names = ['callerAddress', 'operatorAddress', 'peerAddress'] as const;
	const occurrences = names.map(name => ({path: [name], value: settings[name]}));
	return findDuplicates(occurrences, 'an address of its own');
};

const checkUniqueSeeds = (settings: Settings): Diagnostic[] => {
	const occurrences = settings.seeds.map(({host}, index) => ({path: ['seeds', index, 'host'], value: host}));
	return findDuplicates(occurrences, 'each host once');
};

/** Parses the settings of a router process and fills in defaults. */
export const parseSettings = (document: unknown): ParseResult<Settings> => {
	const {value, faults} = readDocument(settingsSchema, document);
	if (value === undefined) {
		return {kind: 'invalid', faults};
	}

	const diagnostics = [...checkListenerAddresses(value), ...checkUniqueSeeds(value)];
	return diagnostics.length === 0 ? {kind: 'valid', value} : {kind: 'invalid', faults: diagnostics};
};

/** Parses JSON text. Invalid JSON gives a single diagnostic at the root. */
export const parseJson = (text: string): ParseResult<unknown> => {
	try {
		return {kind: 'valid', value: JSON.parse(text) as unknown};
	} catch (error) {
		const reason = error instanceof Error ? error.message : String(error);
		return {kind: 'invalid', faults: [createDiagnostic([], reason, 'a JSON document')]};
	}
};
