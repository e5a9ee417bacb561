import {
	parseJson, type Diagnostic, type Parsed,
} from '@gentianlift/config';
import type {Address, HostId} from '@gentianlift/types';
import {z} from 'zod';

/** A host's operators' listener. */
export type OperatorTarget = {host: HostId; address: Address};

/** Where the command line finds the key-value service and the hosts. */
export type Targets = {keyValueUrl?: string; operators: OperatorTarget[]};

/** Flags that say where to find them; each overrides the environment, and both override the settings file. */
export type TargetFlags = {settings?: string; keyValueUrl?: string; operators?: string};

const schema = z.strictObject({
	keyValueUrl: z.string().optional(),
	operators: z.array(z.strictObject({host: z.string(), address: z.string()})).default([]),
});

const getFaults = (error: z.ZodError): Diagnostic[] =>
	error.issues.map(({path, message}) => ({path: ['$', ...path].join('.'), found: 'another value', expected: message}));

const parseTargets = (text: string): Parsed<Targets> => {
	const document = parseJson(text);
	if (document.kind === 'invalid') {
		return document;
	}

	const result = schema.safeParse(document.value);
	return result.success ? {kind: 'valid', value: result.data} : {kind: 'invalid', faults: getFaults(result.error)};
};

/** Parses `host=address` pairs with commas between them; undefined if one is wrong. */
export const parseOperators = (text: string): OperatorTarget[] | undefined => {
	const pairs = text.split(',').filter(pair => pair !== '').map(pair => pair.split('='));
	const targets = pairs.flatMap(([host, address]) => host === undefined || address === undefined || address === '' ? [] : [{host, address}]);
	return targets.length === pairs.length ? targets : undefined;
};

/** Merges what the settings file, the environment and the flags say. */
export const mergeTargets = (fileText: string | undefined, flags: TargetFlags, environment: Record<string, string | undefined>): Parsed<Targets> => {
	const file: Parsed<Targets> = fileText === undefined ? {kind: 'valid', value: {operators: []}} : parseTargets(fileText);
	if (file.kind === 'invalid') {
		return file;
	}

	const listed = flags.operators ?? environment.GENTIANLIFT_OPERATORS;
	const operators = listed === undefined ? file.value.operators : parseOperators(listed);
	if (operators === undefined) {
		return {kind: 'invalid', faults: [{path: '--operators', found: listed ?? '', expected: 'host=address pairs with commas between them'}]};
	}

	const targets: Targets = {...file.value, operators};
	const keyValueUrl = flags.keyValueUrl ?? environment.GENTIANLIFT_KEY_VALUE_URL;
	return {kind: 'valid', value: keyValueUrl === undefined ? targets : {...targets, keyValueUrl}};
};
