import {isVersionDocument, parseConfiguration, type Parsed} from '@gentianlift/config';
import type {Configuration} from '@gentianlift/types';
import {createFaulty, createOk, type Result} from '../result.js';
import type {Session} from '../session.js';

/** A configuration read from a file, and the version it was made from if the file tells. */
export type ReadConfiguration = {kind: 'read'; configuration: Configuration; base?: number} | {kind: 'failed'; result: Result};

const getBare = (document: unknown): {document: unknown; base?: number} => {
	if (!isVersionDocument(document)) {
		return {document};
	}

	const {configuration, version} = document as {configuration: unknown; version: unknown};
	return typeof version === 'number' ? {document: configuration, base: version} : {document: configuration};
};

/** Reads a file that holds a configuration, bare or as `config show --json` prints it. */
export const readConfigurationFile = async (session: Session, file: string): Promise<ReadConfiguration> => {
	const read = await session.readDocument(file);
	if (read.kind === 'failed') {
		return read;
	}

	const {document, base} = getBare(read.document);
	const parsed: Parsed<Configuration> = parseConfiguration(document);
	if (parsed.kind === 'invalid') {
		return {kind: 'failed', result: createFaulty(file, parsed.faults)};
	}

	return base === undefined ? {kind: 'read', configuration: parsed.value} : {kind: 'read', configuration: parsed.value, base};
};

const getSummary = ({inventory, rules}: Configuration): string => [
	`${inventory.engines.length} engines`,
	`${inventory.models.length} models`,
	`${inventory.adapters.length} adapters`,
	`${inventory.services.length} services`,
	`${inventory.customers.length} customers`,
	`${rules.tiers.length} tiers`,
	`${rules.classes.length} classes`,
].join(', ');

/** Checks a file without any call. */
export const checkFile = async (session: Session, file: string): Promise<Result> => {
	const read = await readConfigurationFile(session, file);
	return read.kind === 'failed' ? read.result : createOk([`${file} is valid: ${getSummary(read.configuration)}.`], {valid: true});
};
