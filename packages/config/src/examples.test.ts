import {readFileSync} from 'node:fs';
import type {Configuration} from '@gentianlift/types';
import {expect, test} from 'vitest';
import {findCustomerByKey, parseConfiguration} from './index.js';

const readExample = (name: string): unknown =>
	JSON.parse(readFileSync(new URL(`../../../examples/${name}.json`, import.meta.url), 'utf8'));

const keys = readExample('keys') as Array<{deployment: string; customer: string; key: string}>;

const getExample = (name: string): Configuration => {
	const parsed = parseConfiguration(readExample(name));
	if (parsed.kind === 'invalid') {
		throw new Error(JSON.stringify(parsed.faults, undefined, '\t'));
	}

	return parsed.value;
};

test('sorts the tiers of the examples, the highest first', () => {
	expect(getExample('kopi').rules.tiers.map(({name}) => name)).toEqual(['sales', 'yard', 'planning', 'background']);
	expect(getExample('alfoldi').rules.tiers.map(({name}) => name)).toEqual(['members', 'office', 'tenders']);
});

test.each(['kopi', 'alfoldi'])('each customer of the %s example is found by its test key', name => {
	const configuration = getExample(name);
	const found = keys.filter(({deployment}) => deployment === name)
		.map(({customer, key}) => [customer, findCustomerByKey(configuration, key)?.id]);
	expect(found).toEqual(configuration.inventory.customers.map(({id}) => [id, id]));
	expect(findCustomerByKey(configuration, 'another key')).toBeUndefined();
});
