import {
	parseJson, type Diagnostic, type Parsed,
} from '@gentianlift/config';
import type {Address, HostId} from '@gentianlift/types';
import {z} from 'zod';

/** Operator listener of a host. */
export type OperatorTarget = {host: HostId; address: Address};

/** Addresses of the key-value service and of the hosts' operator listeners. */
export type Targets = {keyValueUrl?: string; operators: OperatorTarget[]};

/** Flags that set the targets. Each overrides its environment variable, and both override the settings file. */
export type TargetFlags = {settings?: string; keyValueUrl?: string; operators?: string};

const settingsSchema = z.strictObject({
	keyValueUrl: z.string().optional(),
	operators: z.array(z.strictObject({host: z.string(), address: z.string()})).default([]),
});

const getDiagnostics = (error: z.ZodError): Diagnostic[] =>
	error.issues.map(({path, message}) => ({path: ['$', ...path].join('.'), found: 'another value', expected: message}));

const parseTargets = (text: string): Parsed<Targets> => {
	const document = parseJson(text);
	if (document.kind === 'invalid') {
		return document;
	}

	const result = settingsSchema.safeParse(document.value);
	return result.success ? {kind: 'valid', value: result.data} : {kind: 'invalid', faults: getDiagnostics(result.error)};
};

/** Parses comma-separated `host=address` pairs; returns undefined if one is malformed. */
export const parseOperators = (text: string): OperatorTarget[] | undefined => {
	const pairs = text.split(',').filter(pair => pair !== '').map(pair => pair.split('='));
	const targets = pairs.flatMap(([host, address]) => host === undefined || address === undefined || address === '' ? [] : [{host, address}]);
	return targets.length === pairs.length ? targets : undefined;
};

/** Merges the targets of the settings file, the environment variables and the flags. */
export const mergeTargets = (fileText: string | undefined, flags: TargetFlags, environment: Record<string, string | undefined>): Parsed<Targets> => {
	const file: Parsed<Targets> = fileText === undefined ? {kind: 'valid', value: {operators: []}} : parseTargets(fileText);
	if (file.kind === 'invalid') {
		return file;
	}

	const operatorList = flags.operators ?? environment.GENTIANLIFT_OPERATORS;
	const operators = operatorList === undefined ? file.value.operators : parseOperators(operatorList);
	if (operators === undefined) {
		return {kind: 'invalid', faults: [{path: '--operators', found: operatorList ?? '', expected: 'host=address pairs with commas between them'}]};
	}

	const targets: Targets = {...file.value, operators};
	const keyValueUrl = flags.keyValueUrl ?? environment.GENTIANLIFT_KEY_VALUE_URL;
	return {kind: 'valid', value: keyValueUrl === undefined ? targets : {...targets, keyValueUrl}};
};
