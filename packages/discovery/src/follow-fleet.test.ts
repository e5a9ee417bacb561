import {createManualClock} from '@gentianlift/clock';
import {createSilentLogger} from '@gentianlift/logger';
import type {
	ChangeFeed, ChangesOutcome, Entry, Snapshot, SnapshotOutcome,
} from '@gentianlift/types';
import {expect, test} from 'vitest';
import {createFleetView} from './fleet-view.js';
import {followFleet} from './follow-fleet.js';
import type {ChangeBatch} from './packet.js';
import {registerHost} from './register-host.js';

const unavailable = {kind: 'unavailable', reason: 'test'} as const;

/** Answer of a store that holds no entries. */
const emptyService: SnapshotOutcome = {kind: 'found', snapshot: {entries: [], revision: 1}};

/** Follows a fake store whose answers the test sets; a watch call without a prepared answer returns no changes after its limit, or fails if the store can't be read. */
const createFollower = (snapshot: SnapshotOutcome = emptyService) => {
	const clock = createManualClock();
	let gaps = 0;
	const view = createFleetView({
		decode: () => ({kind: 'other'}), logger: createSilentLogger(),
		onGap() {
			gaps += 1;
		},
	});
	const state: {snapshot: SnapshotOutcome; changes: ChangesOutcome[]; peer: Snapshot | undefined; newest: number; reads: number; watches: number; hasRelayFeed: boolean; forwarded: ChangeBatch[]} = {
		snapshot, changes: [], peer: undefined, newest: 0, reads: 0, watches: 0, hasRelayFeed: false, forwarded: [],
	};
	const feed: ChangeFeed = {
		async readAll() {
			state.reads += 1;
			return state.snapshot;
		},
		async waitForChanges(revision, limit) {
			state.watches += 1;
			const next = state.changes.shift() ?? (state.snapshot.kind === 'unavailable' ? state.snapshot : undefined);
			if (next === undefined) {
				await clock.sleep(limit);
			}

			return next ?? {kind: 'changed', changes: [], revision};
		},
	};
	const follower = followFleet({
		feed, view, clock, logger: createSilentLogger(), fetchFromPeer: async () => state.peer, getNewestRevision: () => state.newest, hasRelayFeed: () => state.hasRelayFeed,
		onChanges(batch) {
			state.forwarded.push(batch);
		},
	});
	return {
		clock, view, state, follower, countGaps: () => gaps,
	};
};

const entry = (key: string, revision: number): Entry => ({key, value: '', revision});

test('changes are applied as the watch returns them', async () => {
	const {clock, view, state} = createFollower();
	state.changes.push({kind: 'changed', changes: [{kind: 'written', entry: entry('a', 2)}], revision: 2});
	await clock.advance(10);
	expect(view.getRevision()).toBe(2);
	expect(view.getSnapshot().entries).toEqual([entry('a', 2)]);
});

test('calls to a store that refuses them back off, and a refresh makes none', async () => {
	const {clock, state, follower} = createFollower(unavailable);
	await clock.advance(5000);
	expect(state.reads).toBeLessThan(10);
	const {reads} = state;
	await follower.refresh();
	expect(state.reads).toBe(reads);
});

// Guards against: a store that holds more than a host can read ends the host, or keeps it busy with reading it again and again.
test('a host goes on by what it knows while the store holds too much, and takes what it holds later', async () => {
	const {clock, view, state, follower} = createFollower({kind: 'found', snapshot: {entries: [entry('a', 1)], revision: 1}});
	await clock.advance(10);
	state.snapshot = {kind: 'oversized'};
	state.changes.push({kind: 'compacted'});
	state.reads = 0;
	await clock.advance(12_000);
	expect(view.getSnapshot()).toEqual({entries: [entry('a', 1)], revision: 1});
	expect(view.isStoreReached()).toBe(false);
	expect(state.reads).toBeGreaterThan(1);
	expect(state.reads).toBeLessThan(6);
	expect(follower.countOversizedReplies()).toBe(state.reads);

	state.snapshot = {kind: 'found', snapshot: {entries: [entry('b', 5)], revision: 5}};
	await clock.advance(5000);
	expect(view.getSnapshot()).toEqual({entries: [entry('b', 5)], revision: 5});
	expect(view.isStoreReached()).toBe(true);
});

// Guards against: a host that was away for long asks for the same changes, which are too many to read, for ever.
test('changes that are too many are replaced by the whole state', async () => {
	const {clock, view, state} = createFollower();
	await clock.advance(10);
	state.snapshot = {kind: 'found', snapshot: {entries: [entry('b', 5)], revision: 5}};
	state.changes.push({kind: 'oversized'});
	await clock.advance(4000);
	expect(view.getSnapshot()).toEqual({entries: [entry('b', 5)], revision: 5});
});

// Guards against: a host lacks for ever the entries for which its view had no room once.
test('the whole state is read again once a view that was full has room', async () => {
	const {clock, view, state} = createFollower();
	await clock.advance(10);
	const written = Array.from({length: 30_000}, (_, index) => ({kind: 'written', entry: entry(`x${index}`, 2)} as const));
	state.changes.push({kind: 'changed', changes: written, revision: 2});
	await clock.advance(4000);
	expect(view.isIncomplete()).toBe(true);
	expect(state.reads).toBe(1);
	state.snapshot = {kind: 'found', snapshot: {entries: [entry('a', 3)], revision: 3}};
	state.changes.push({kind: 'changed', changes: written.map(({entry: {key}}) => ({kind: 'removed', key, revision: 3})), revision: 3});
	await clock.advance(4000);
	expect(view.getSnapshot()).toEqual({entries: [entry('a', 3)], revision: 3});
	expect(view.isIncomplete()).toBe(false);
});

test('a host with a relay feed does not call the store', async () => {
	const {clock, state} = createFollower();
	await clock.advance(10);
	state.hasRelayFeed = true;
	await clock.advance(3000);
	const {watches} = state;
	await clock.advance(10_000);
	expect(state.watches).toBe(watches);
	state.hasRelayFeed = false;
	await clock.advance(1000);
	expect(state.watches).toBeGreaterThan(watches);
});

test('a host that watches the store passes on the changes', async () => {
	const {clock, state} = createFollower();
	state.changes.push({kind: 'changed', changes: [{kind: 'written', entry: entry('a', 2)}], revision: 2});
	await clock.advance(10);
	expect(state.forwarded).toEqual([{after: 1, revision: 2, changes: [{kind: 'written', entry: entry('a', 2)}]}]);
});

test('a compacted history makes the follower read all entries again', async () => {
	const {clock, view, state} = createFollower();
	state.changes.push({kind: 'compacted'});
	state.snapshot = {kind: 'found', snapshot: {entries: [entry('a', 8)], revision: 9}};
	await clock.advance(10);
	expect(view.getRevision()).toBe(9);
});

// Guards against: an upstream of another version that joined and was lost during a short break of one host leaves no trace there, so that a stream which it began goes on at the only version that the host knows.
test('after a call that failed, changes are followed from where they were known, and none is skipped', async () => {
	const {clock, view, state, countGaps} = createFollower();
	await clock.advance(10);
	const {reads} = state;
	state.changes.push(unavailable, {
		kind: 'changed', revision: 4, changes: [{kind: 'written', entry: entry('joined', 3)}, {kind: 'removed', key: 'joined', revision: 4}],
	});
	state.snapshot = {kind: 'found', snapshot: {entries: [], revision: 4}};
	await clock.advance(3000);
	expect(view.getRevision()).toBe(4);
	expect([state.reads - reads, countGaps()]).toEqual([0, 0]);
});

// Guards against: as before, where the history is lost or only another host can be read.
test('changes that were skipped are a gap', async () => {
	const {clock, state, countGaps} = createFollower();
	await clock.advance(10);
	expect(countGaps()).toBe(0);
	state.snapshot = {kind: 'found', snapshot: {entries: [], revision: 9}};
	state.changes.push({kind: 'compacted'});
	await clock.advance(3000);
	expect(countGaps()).toBe(1);
	state.snapshot = unavailable;
	state.changes.push(unavailable, unavailable, unavailable, unavailable);
	state.peer = {entries: [], revision: 12};
	state.newest = 12;
	await clock.advance(3000);
	expect(countGaps()).toBe(2);
});

test('what a host confirms is read in a call that begins after the question', async () => {
	const {clock, view, state, follower} = createFollower();
	await clock.advance(10);
	state.changes.push({kind: 'changed', changes: [{kind: 'written', entry: entry('a', 2)}], revision: 2});
	expect(await follower.confirm()).toBe(true);
	expect(view.getRevision()).toBe(2);
	state.changes.push(unavailable);
	expect(await follower.confirm()).toBe(false);
	expect(await follower.confirm()).toBe(false);
});

test('a host whose calls the store refuses reads the view of another host', async () => {
	const {clock, view, state} = createFollower();
	await clock.advance(10);
	state.snapshot = unavailable;
	state.changes.push(unavailable);
	state.peer = {entries: [entry('a', 5)], revision: 5};
	state.newest = 5;
	await clock.advance(3000);
	expect(view.isStoreReached()).toBe(false);
	expect(view.getRevision()).toBe(5);
});

test('a stalled watch is detected by the revisions of other hosts', async () => {
	const {clock, view, state} = createFollower();
	await clock.advance(10);
	state.snapshot = {kind: 'found', snapshot: {entries: [entry('a', 5)], revision: 5}};
	state.newest = 5;
	await clock.advance(600);
	expect(view.getRevision()).toBe(5);
});

test('a host that starts during an outage of the store reads the view of another host', async () => {
	const {clock, view, state} = createFollower(unavailable);
	state.peer = {entries: [entry('a', 5)], revision: 5};
	await clock.advance(400);
	expect(view.getRevision()).toBe(5);
});

test('an older snapshot does not replace newer state', async () => {
	const {clock, view, state, follower} = createFollower();
	state.changes.push({kind: 'changed', changes: [{kind: 'written', entry: entry('a', 7)}], revision: 7});
	await clock.advance(10);
	state.snapshot = {kind: 'found', snapshot: {entries: [], revision: 3}};
	state.changes.push({kind: 'compacted'});
	await follower.refresh();
	expect(state.reads).toBe(2);
	expect(view.getSnapshot().entries).toEqual([entry('a', 7)]);
});

test('a registration is renewed, written again after its lease is lost, and removed at the end', async () => {
	const clock = createManualClock();
	const calls: string[] = [];
	const state = {isLost: false, expected: [] as number[]};
	const registration = registerHost({
		store: {
			async compareAndSwap({expected}) {
				state.expected.push(expected);
				const isExpected = expected === 4;
				return isExpected ? {kind: 'applied', revision: 5} : {kind: 'rejected', revision: 4};
			},
			async grantLease(expiresIn) {
				calls.push('grant');
				return {kind: 'held', lease: 'l', expiresIn};
			},
			async renewLease() {
				calls.push('renew');
				return state.isLost ? {kind: 'lost'} : {kind: 'held', lease: 'l', expiresIn: 1};
			},
			async endLease() {
				calls.push('end');
				return {kind: 'lost'};
			},
		},
		record: {
			host: 'h', incarnation: 1, zone: 'a', callers: 'c', peers: 'p', notes: 'n', strength: 1, isStopping: false,
		},
		clock,
		logger: createSilentLogger(),
	});
	await clock.advance(10);
	expect(state.expected).toEqual([0, 4]);
	await clock.advance(2000);
	expect(calls).toEqual(['grant', 'renew']);
	state.isLost = true;
	await clock.advance(2500);
	expect(calls).toEqual(['grant', 'renew', 'renew', 'grant']);
	await registration.end();
	expect(calls.at(-1)).toBe('end');
});
