import {readFileSync} from 'node:fs';
import type {Configuration} from '@gentianlift/types';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {formatDiagnostic, parseConfiguration} from './index.js';

const exampleText = readFileSync(new URL('../../../examples/kopi.json', import.meta.url), 'utf8');

const getDiagnostics = (change: (configuration: Configuration) => unknown): string[] => {
	const configuration = JSON.parse(exampleText) as Configuration;
	change(configuration);
	const parsed = parseConfiguration(configuration);
	return parsed.kind === 'invalid' ? parsed.faults.map(fault => formatDiagnostic(fault)) : [];
};

const invalidChanges: Array<[string, (configuration: Configuration) => unknown, string]> = [
	['a duplicate address', ({inventory}) => {
		inventory.engines[3]!.address = inventory.services[0]!.instances[0]!.address;
	}, 'found "127.0.0.1:18121", expected an address that no other upstream has; $.inventory.engines[3].address has the same'],
	['an unknown model', ({inventory}) => inventory.engines[0]!.models.push('x'), '$.inventory.engines[0].models[2]: found "x", expected the name of a model'],
	['an engine with an adapter but not its model',
		({inventory}) =>
			inventory.engines[6]!.adapters.push('reader-14b-certificates'),
		'$.inventory.engines[6].adapters[1]: found "reader-14b-certificates", expected an adapter of a model of this engine, not of reader-14b'],
	['a duplicate model', ({inventory}) =>
		inventory.models.push(inventory.models[0]!), 'found "counter-8b", expected a name that no other model or adapter has; $.inventory.models[0].name has the same'],
	['an adapter of an unknown model', ({inventory}) => {
		inventory.adapters[0]!.model = 'x';
	}, '$.inventory.adapters[0].model: found "x", expected the name of a model'],
	['a key digest shared by two customers',
		({inventory}) =>
			inventory.customers[1]!.keyDigests.push(inventory.customers[0]!.keyDigests[0]!),
		'expected a digest that stands nowhere else; $.inventory.customers[0].keyDigests[0] has the same'],
	['a plain-text key', ({inventory}) => inventory.customers[1]!.keyDigests.push('secret'), 'expected a SHA-256 digest of 64 lower-case hex digits'],
	['an unknown class', ({inventory}) => inventory.customers[9]!.classes.push('x'), '$.inventory.customers[9].classes[1]: found "x", expected the name of a class'],
	['an unknown time zone', ({inventory}) => {
		inventory.customers[0]!.timeZone = 'Europe/Piraeus';
	}, '$.inventory.customers[0].timeZone: found "Europe/Piraeus", expected an IANA time zone, such as Europe/Athens'],
	['hours that overlap', ({rules}) => {
		rules.classes[0]!.hours[1]!.to = '13:00';
	}, '$.rules.classes[0].hours[2]: found "12:00 to 18:00", expected hours that don\'t overlap; those before it last until 13:00'],
	['a gap in the hours', ({rules}) => {
		rules.classes[0]!.hours[1]!.to = '11:30';
	}, '$.rules.classes[0].hours: found "no hours from 11:30 to 12:00", expected hours from 00:00 to 24:00 without a hole'],
	['hours that end before 24:00', ({rules}) => rules.classes[0]!.hours.pop(), '$.rules.classes[0].hours: found "no hours from 18:00 to 24:00"'],
	['hours past midnight', ({rules}) => {
		rules.classes[3]!.hours[0] = {from: '20:00', to: '06:00', targets: {whole: 1}};
	}, 'expected an end after the start; split hours that pass midnight in two'],
	['hours without a target', ({rules}) => {
		rules.classes[3]!.hours[0]!.targets = {};
	}, '$.rules.classes[3].hours[0].targets: found {}, expected a target for firstToken or whole'],
	['tiers in a cycle', ({rules}) => rules.tiers[0]!.outranks.push('sales'), '$.rules.tiers[0].outranks: found ["sales"], expected tiers that don\'t outrank background in turn'],
	['tiers without a total order', ({rules}) => rules.tiers[3]!.outranks.pop(), 'expected an order between background and sales: one must outrank the other'],
	['floors that exceed the whole capacity', ({rules}) => {
		rules.tiers[1]!.floor = 0.9;
	}, '$.rules.tiers: found "floors that sum to 1.15", expected floors that sum to less than 1'],
	['a class of an unknown tier', ({rules}) => {
		rules.classes[0]!.tier = 'x';
	}, '$.rules.classes[0].tier: found "x", expected the name of a tier'],
	['a match of both models and a service', ({rules}) => {
		rules.classes[0]!.match.service = 'orders';
	}, 'expected either models, or service, method and pathPrefix; both never match at once'],
	['a match with an empty list of models', ({rules}) => {
		rules.classes[0]!.match.models = [];
	}, 'expected at least one model; an empty list never matches'],
	['a match of an unknown service', ({rules}) => {
		rules.classes[4]!.match.service = 'x';
	}, '$.rules.classes[4].match.service: found "x", expected the name of a service'],
	['a match of models that no engine can load', ({inventory}) => {
		inventory.engines = inventory.engines.filter(({models}) => !models.includes('planner-32b'));
	}, '$.rules.classes[2].match.models: found ["planner-32b"], expected a model that some engine may hold'],
	['an unknown field', ({rules}) => Object.assign(rules.classes[0]!, {timeout: 3}), '$.rules.classes[0].timeout: found 3, expected no field of this name'],
	['a missing field', ({inventory}) => Reflect.deleteProperty(inventory.engines[0]!, 'fencing'), '$.inventory.engines[0].fencing: found nothing, expected one of "checked", "ignored"'],
];

test.each(invalidChanges)('rejects %s', (_name, change, expected) => {
	expect(getDiagnostics(change).filter(line => line.includes(expected))).toHaveLength(1);
});

test('reports schema errors and reference errors together', () => {
	const diagnostics = getDiagnostics(configuration => {
		for (const [, change] of [invalidChanges[1]!, invalidChanges[8]!, invalidChanges[16]!, invalidChanges[22]!]) {
			change(configuration);
		}
	});
	expect(diagnostics).toHaveLength(4);
});

test('parsing is idempotent', () => {
	const parsed = parseConfiguration(JSON.parse(exampleText));
	expect(parsed.kind === 'valid' && parseConfiguration(parsed.value)).toEqual(parsed);
});

test.each([undefined, null, 3, 'x', [], {}, {inventory: [], rules: 3}])('rejects %j', document => {
	expect(parseConfiguration(document).kind).toBe('invalid');
});

const replaceNested = (value: unknown, keyIndexes: number[], replacement: unknown): unknown => {
	const [keyIndex, ...rest] = keyIndexes;
	if (keyIndex === undefined || typeof value !== 'object' || value === null) {
		return replacement;
	}

	const keys = Object.keys(value);
	const key = keys[keyIndex % Math.max(1, keys.length)] ?? 'added';
	const entries = {...value as Record<string, unknown>};
	const changed = {...entries, [key]: replaceNested(entries[key], rest, replacement)};
	return Array.isArray(value) ? Object.values(changed) : changed;
};

test('never throws for a randomly modified document, and reports at least one diagnostic if it is invalid', () => {
	fc.assert(fc.property(fc.array(fc.nat(20), {maxLength: 6}), fc.jsonValue({maxDepth: 2}), (keyIndexes, replacement) => {
		const parsed = parseConfiguration(replaceNested(JSON.parse(exampleText), keyIndexes, replacement));
		expect(parsed.kind === 'valid' || parsed.faults.length > 0).toBe(true);
	}), {seed: 3, numRuns: 500});
});
