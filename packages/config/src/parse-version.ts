import {z} from 'zod';
import type {Configuration, ConfigurationVersion} from '@gentianlift/types';
import type {ParseResult} from './diagnostic.js';
import {parseConfiguration} from './parse-configuration.js';
import {parseJson} from './parse-settings.js';
import {readDocument} from './read-document.js';

/** Parser of a configuration document; tests replace it by a simpler one. */
export type ConfigurationParser = (document: unknown) => ParseResult<Configuration>;

const versionSchema = z.strictObject({
	version: z.int().positive(),
	token: z.string().min(1),
	author: z.string(),
	acceptedAt: z.number(),
	note: z.string(),
	configuration: z.unknown(),
});

/** Parses an accepted version and its configuration. */
export const parseVersion = (document: unknown, parse: ConfigurationParser = parseConfiguration): ParseResult<ConfigurationVersion> => {
	const {value, faults} = readDocument(versionSchema, document);
	if (value === undefined) {
		return {kind: 'invalid', faults};
	}

	const parsed = parse(value.configuration);
	return parsed.kind === 'valid' ? {kind: 'valid', value: {...value, configuration: parsed.value}} : parsed;
};

/** Parses the text of an accepted version as it is stored in the key-value service. */
export const parseVersionText = (text: string, parse: ConfigurationParser = parseConfiguration): ParseResult<ConfigurationVersion> => {
	const document = parseJson(text);
	return document.kind === 'valid' ? parseVersion(document.value, parse) : document;
};

/** Whether a document is an accepted version rather than a bare configuration. */
export const isVersionDocument = (document: unknown): boolean =>
	typeof document === 'object' && document !== null && 'configuration' in document && 'version' in document;

