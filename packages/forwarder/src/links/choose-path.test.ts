import type {HostId} from '@gentianlift/types';
import {expect, test} from 'vitest';
import {createDay, cut} from './testing-link-day.js';

// Guards against: a call that can't be repeated is sent to a host that ends meanwhile, as that was running when it was asked.
test('a host that has begun to stop since it was asked gets calls only if no other one is left', async () => {
	const day = createDay();
	await cut(day);
	const choose = (tried: HostId[], ...stopping: HostId[]) =>
		Array.from({length: 20}, () => day.links.choosePath('s', new Set(tried), host => stopping.includes(host)));
	expect(choose([], 'h1').every(path => path.kind === 'over-host' && path.host.host === 'h2')).toBe(true);
	expect(choose(['h2'], 'h1')[0]).toMatchObject({kind: 'over-host', host: {host: 'h1'}});
	expect(choose([], 'h1', 'h2')[0]).toMatchObject({kind: 'over-host'});
});
