import {z} from 'zod';
import type {Configuration, ConfigurationVersion} from '@gentianlift/types';
import type {Parsed} from './diagnostic.js';
import {parseConfiguration} from './parse-configuration.js';
import {parseJson} from './parse-settings.js';
import {readDocument} from './read-document.js';

/** Parses a document as a configuration. */
export type ConfigurationParse = (document: unknown) => Parsed<Configuration>;

const versionSchema = z.strictObject({
	version: z.int().positive(),
	token: z.string().min(1),
	author: z.string(),
	acceptedAt: z.number(),
	note: z.string(),
	configuration: z.unknown(),
});

/** Parses an accepted version and the configuration in it. */
export const parseVersion = (document: unknown, parse: ConfigurationParse = parseConfiguration): Parsed<ConfigurationVersion> => {
	const {value, faults} = readDocument(versionSchema, document);
	if (value === undefined) {
		return {kind: 'invalid', faults};
	}

	const parsed = parse(value.configuration);
	return parsed.kind === 'valid' ? {kind: 'valid', value: {...value, configuration: parsed.value}} : parsed;
};

/** Parses the text of an accepted version as the key-value service holds it. */
export const parseVersionText = (text: string, parse: ConfigurationParse = parseConfiguration): Parsed<ConfigurationVersion> => {
	const document = parseJson(text);
	return document.kind === 'valid' ? parseVersion(document.value, parse) : document;
};

/** Whether a document is an accepted version rather than a bare configuration. */
export const isVersionDocument = (document: unknown): boolean =>
	typeof document === 'object' && document !== null && 'configuration' in document && 'version' in document;

