import {isVersionDocument, parseConfiguration, type Parsed} from '@gentianlift/config';
import type {Configuration} from '@gentianlift/types';
import {createInvalidFileFailure, createSuccess, type Result} from '../result.js';
import type {Session} from '../session.js';

/** Configuration read from a file, with its base version if the file names one. */
export type ConfigurationReading = {kind: 'read'; configuration: Configuration; base?: number} | {kind: 'failed'; result: Result};

const unwrapVersion = (document: unknown): {document: unknown; base?: number} => {
	if (!isVersionDocument(document)) {
		return {document};
	}

	const {configuration, version} = document as {configuration: unknown; version: unknown};
	return typeof version === 'number' ? {document: configuration, base: version} : {document: configuration};
};

/** Reads a file that holds a configuration alone, or a whole version as `config show --json` prints it. */
export const readConfigurationFile = async (session: Session, file: string): Promise<ConfigurationReading> => {
	const read = await session.readDocument(file);
	if (read.kind === 'failed') {
		return read;
	}

	const {document, base} = unwrapVersion(read.document);
	const parsed: Parsed<Configuration> = parseConfiguration(document);
	if (parsed.kind === 'invalid') {
		return {kind: 'failed', result: createInvalidFileFailure(file, parsed.faults)};
	}

	return base === undefined ? {kind: 'read', configuration: parsed.value} : {kind: 'read', configuration: parsed.value, base};
};

const formatSummary = ({inventory, rules}: Configuration): string => [
	`${inventory.engines.length} engines`,
	`${inventory.models.length} models`,
	`${inventory.adapters.length} adapters`,
	`${inventory.services.length} services`,
	`${inventory.customers.length} customers`,
	`${rules.tiers.length} tiers`,
	`${rules.classes.length} classes`,
].join(', ');

/** Validates a configuration file without network calls. */
export const checkFile = async (session: Session, file: string): Promise<Result> => {
	const read = await readConfigurationFile(session, file);
	return read.kind === 'failed' ? read.result : createSuccess([`${file} is valid: ${formatSummary(read.configuration)}.`], {valid: true});
};
