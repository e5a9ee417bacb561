import {
	parseJson, type Diagnostic, type ParseResult,
} from '@gentianlift/config';
import type {Address, HostId} from '@gentianlift/types';
import {z} from 'zod';

/** Operator listener of a host. */
export type OperatorEndpoint = {host: HostId; address: Address};

/** Addresses of the key-value service and of the hosts' operator listeners. */
export type Endpoints = {keyValueUrl?: string; operators: OperatorEndpoint[]};

/** Flags that set the endpoints. Each overrides its environment variable, and both override the settings file. */
export type EndpointFlags = {settings?: string; keyValueUrl?: string; operators?: string};

const settingsSchema = z.strictObject({
	keyValueUrl: z.string().optional(),
	operators: z.array(z.strictObject({host: z.string(), address: z.string()})).default([]),
});

const getDiagnostics = (error: z.ZodError): Diagnostic[] =>
	error.issues.map(({path, message}) => ({path: ['$', ...path].join('.'), found: 'another value', expected: message}));

const parseEndpoints = (text: string): ParseResult<Endpoints> => {
	const document = parseJson(text);
	if (document.kind === 'invalid') {
		return document;
	}

	const result = settingsSchema.safeParse(document.value);
	return result.success ? {kind: 'valid', value: result.data} : {kind: 'invalid', faults: getDiagnostics(result.error)};
};

/** Parses comma-separated `host=address` pairs; returns undefined if one is malformed. */
export const parseOperators = (text: string): OperatorEndpoint[] | undefined => {
	const pairs = text.split(',').filter(pair => pair !== '').map(pair => pair.split('='));
	const endpoints = pairs.flatMap(([host, address]) => host === undefined || address === undefined || address === '' ? [] : [{host, address}]);
	return endpoints.length === pairs.length ? endpoints : undefined;
};

/** Merges the endpoints of the settings file, the environment variables and the flags. */
export const mergeEndpoints = (fileText: string | undefined, flags: EndpointFlags, environment: Record<string, string | undefined>): ParseResult<Endpoints> => {
	const file: ParseResult<Endpoints> = fileText === undefined ? {kind: 'valid', value: {operators: []}} : parseEndpoints(fileText);
	if (file.kind === 'invalid') {
		return file;
	}

	const operatorList = flags.operators ?? environment.GENTIANLIFT_OPERATORS;
	const operators = operatorList === undefined ? file.value.operators : parseOperators(operatorList);
	if (operators === undefined) {
		return {kind: 'invalid', faults: [{path: '--operators', found: operatorList ?? '', expected: 'host=address pairs with commas between them'}]};
	}

	const endpoints: Endpoints = {...file.value, operators};
	const keyValueUrl = flags.keyValueUrl ?? environment.GENTIANLIFT_KEY_VALUE_URL;
	return {kind: 'valid', value: keyValueUrl === undefined ? endpoints : {...endpoints, keyValueUrl}};
};
