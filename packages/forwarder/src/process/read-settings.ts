import {readFileSync} from 'node:fs';
import {parse as parseWithLocation} from '@humanwhocodes/momoa';
import {createSettingsFailure} from '@gentianlift/errors';
import {isJsonObject, type JsonObject} from '@gentianlift/types';

/** Place in a text, counted from 1; without fields if it isn't known. */
type Location = {line?: number; column?: number};

/** Returns where a text stops to be JSON. */
const locateJsonError = (text: string): Location => {
	try {
		parseWithLocation(text);
		return {};
	} catch (error) {
		const {line, column} = error as Location;
		return line === undefined || column === undefined ? {} : {line, column};
	}
};

const parseJson = (text: string): unknown => {
	try {
		return JSON.parse(text);
	} catch (error) {
		throw createSettingsFailure({kind: 'invalid-json', reason: (error as Error).message, ...locateJsonError(text)});
	}
};

/** Parses the text of a settings file; throws a failure that says where it isn't a JSON object. */
export const parseSettingsText = (text: string): JsonObject => {
	const value = parseJson(text);
	if (!isJsonObject(value)) {
		throw createSettingsFailure({kind: 'invalid-json', reason: 'settings must be a JSON object'});
	}

	return value;
};

/** Reads the text of a settings file; throws a failure that says why it can't be read. */
export const readSettingsText = (path: string): string => {
	try {
		return readFileSync(path, 'utf8');
	} catch (error) {
		throw createSettingsFailure({kind: 'unreadable', reason: (error as Error).message});
	}
};
