import type {Clock} from '@gentianlift/clock';
import {formatDiagnostic, parseJson, type ParseResult} from '@gentianlift/config';
import type {KeyValueService} from '@gentianlift/types';
import type {Environment} from './environment.js';
import {exitCodes} from './exit-codes.js';
import type {OperatorCall, OperatorOutcome} from './operator-client.js';
import {createFailure, createInvalidFileFailure, type Result} from './result.js';
import {mergeEndpoints, type OperatorEndpoint, type EndpointFlags} from './endpoints.js';

/** Dependencies of a command. */
export type Session = {
	clock: Clock;
	author: string;
	createToken: () => string;
	operators: OperatorEndpoint[];
	/** Undefined if no URL of the key-value service was given. */
	keyValue?: KeyValueService;
	call: (endpoint: OperatorEndpoint, call: OperatorCall) => Promise<OperatorOutcome>;
	/** Reads a JSON file; returns a failed result if it can't be read or parsed. */
	readDocument: (file: string) => Promise<{kind: 'read'; document: unknown} | {kind: 'failed'; result: Result}>;
	close: () => void;
};

/** Error message of commands that need the hosts. */
export const missingOperatorsMessage = 'The operators\' addresses of the hosts are missing: give --operators, GENTIANLIFT_OPERATORS or operators in --settings.';

const createDocumentReader = ({readFile}: Environment): Session['readDocument'] => async file => {
	const text = await readFile(file);
	if (text === undefined) {
		return {kind: 'failed', result: createFailure(exitCodes.usage, `${file} can't be read.`)};
	}

	const parsed = parseJson(text);
	return parsed.kind === 'valid' ? {kind: 'read', document: parsed.value} : {kind: 'failed', result: createInvalidFileFailure(file, parsed.faults)};
};

/** Opens a session from the flags, the environment variables and the settings file. */
export const openSession = async (environment: Environment, flags: EndpointFlags): Promise<ParseResult<Session>> => {
	const {variables, clock, createToken, createKeyValue, callOperator} = environment;
	const path = flags.settings ?? variables.GENTIANLIFT_SETTINGS;
	const text = path === undefined ? undefined : await environment.readFile(path);
	if (path !== undefined && text === undefined) {
		return {kind: 'invalid', faults: [{path: '--settings', found: path, expected: 'a file that can be read'}]};
	}

	const endpoints = mergeEndpoints(text, flags, variables);
	if (endpoints.kind === 'invalid') {
		return endpoints;
	}

	const {keyValueUrl, operators} = endpoints.value;
	const keyValue = keyValueUrl === undefined ? undefined : createKeyValue(keyValueUrl);
	const session: Session = {
		clock,
		author: variables.USER ?? 'unknown',
		createToken,
		operators,
		call: callOperator,
		readDocument: createDocumentReader(environment),
		close() {
			keyValue?.close();
		},
	};
	return {kind: 'valid', value: keyValue === undefined ? session : {...session, keyValue}};
};

/** Creates the result for invalid flags, environment variables or settings. */
export const createUsageError = (faults: Array<Parameters<typeof formatDiagnostic>[0]>): Result =>
	createFailure(exitCodes.usage, faults.map(fault => formatDiagnostic(fault)).join('\n'));
