import {getEra} from '@gentianlift/platform';
import type {Milliseconds} from '@gentianlift/types';
import type {FleetView} from './fleet-view.js';
import type {ChangeBatch} from './packet.js';

/**
Applies changes of the store that a relay has sent, unless they leave a gap; returns whether they are of the era that the view knows.

A batch that starts after the view's revision would leave a gap; `followFleet` catches up once the revisions in load reports show that this host is behind. A relay of another era has not noticed yet that the store was restored, or this host has not.
*/
export const applyRelayedChanges = ({after, revision, changes}: ChangeBatch, view: Pick<FleetView, 'getRevision' | 'recordContact' | 'applyChanges'>, now: Milliseconds): boolean => {
	const known = view.getRevision();
	if (known === 0) {
		return true;
	}

	if (getEra(after) !== getEra(known)) {
		return false;
	}

	if (after <= known) {
		view.recordContact(true, now);
		view.applyChanges(changes, revision, now);
	}

	return true;
};
