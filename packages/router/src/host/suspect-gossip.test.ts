import {createManualClock} from '@gentianlift/clock';
import type {AnnouncementContent} from '@gentianlift/membership';
import type {Suspects} from '@gentianlift/policy';
import type {Announcement} from '@gentianlift/types';
import {expect, test} from 'vitest';
import {startSuspectGossip} from './suspect-gossip.js';

test('suspects reach another host once, and aren\'t published back', async () => {
	const clock = createManualClock();
	const listeners: Array<(announcement: Announcement) => void> = [];
	const published: string[] = [];
	const createHost = (self: string) => {
		let suspects: Suspects = new Map();
		startSuspectGossip({
			clock,
			self,
			membership: {
				onAnnouncement(listener) {
					listeners.push(listener);
					return () => undefined;
				},
				publishAnnouncement(content: AnnouncementContent) {
					published.push(`${self} ${content.key} ${content.value}`);
					for (const listener of listeners) {
						listener({...content, host: self, sequence: published.length});
					}

					return true;
				},
			},
			groupOwner: {
				getSuspects: () => suspects,
				mergeSuspects(others) {
					suspects = new Map([...suspects, ...others]);
				},
			},
		});
		return {
			getSuspects: () => suspects,
			add(fingerprint: string, crashes: string[]) {
				suspects = new Map([...suspects, [fingerprint, {fingerprint, crashes, expiresAt: 60_000}]]);
			},
		};
	};

	const one = createHost('one');
	const two = createHost('two');
	one.add('f', ['e1']);
	await clock.advance(2000);
	expect(two.getSuspects().get('f')?.crashes).toEqual(['e1']);
	two.add('f', ['e1', 'e2']);
	await clock.advance(2000);
	expect(one.getSuspects().get('f')?.crashes).toEqual(['e1', 'e2']);
	expect(published).toEqual(['one f e1', 'two f e1,e2']);
});
