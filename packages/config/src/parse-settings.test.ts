import {expect, test} from 'vitest';
import {formatDiagnostic, parseJson, parseSettings} from './index.js';

const settings = {
	host: 'a',
	zone: 'attica-a',
	callerAddress: '127.0.0.1:1001',
	operatorAddress: '127.0.0.1:1002',
	peerAddress: '127.0.0.1:1003',
	gossipAddress: '127.0.0.1:1003',
	peerKeys: ['0123456789abcdef'],
	keyValueUrl: 'http://127.0.0.1:1010',
	hostListUrl: 'http://127.0.0.1:1011',
	weightStoreUrl: 'http://127.0.0.1:1012',
};

const getDiagnostics = (document: unknown): string[] => {
	const parsed = parseSettings(document);
	return parsed.kind === 'invalid' ? parsed.faults.map(fault => formatDiagnostic(fault)) : [];
};

test('fills in defaults', () => {
	const parsed = parseSettings({...settings, callerLimits: {connections: 7}});
	expect(parsed.kind === 'valid' && parsed.value).toMatchObject({
		seeds: [], logLevel: 'info', order: 'policy', callerLimits: {connections: 7, bodyTimeout: 30_000},
	});
});

test('reports all errors without revealing a peer key', () => {
	expect(getDiagnostics({
		...settings, peerKeys: ['short'], callerAddress: 'localhost:80', keyValueUrl: 'ftp://x', zone: undefined, port: 1,
	})).toEqual([
		'$.zone: found nothing, expected a text',
		'$.callerAddress: found "localhost:80", expected an IP address and a port, such as 127.0.0.1:8000 or [::1]:8000',
		'$.peerKeys[0]: found a value that is not shown, expected a text of at least 16 characters',
		'$.keyValueUrl: found "ftp://x", expected an http or https URL',
		'$.port: found 1, expected no field of this name',
	]);
});

test('rejects two listeners with the same address', () => {
	expect(getDiagnostics({...settings, peerAddress: settings.callerAddress}))
		.toEqual(['$.peerAddress: found "127.0.0.1:1001", expected an address of its own; $.callerAddress has the same']);
});

test('rejects text that is not JSON', () => {
	expect(parseJson('{').kind).toBe('invalid');
});
