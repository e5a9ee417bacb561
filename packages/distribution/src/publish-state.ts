import {getDifference, type FieldChange} from '@gentianlift/config';
import type {Configuration, ConfigurationVersion} from '@gentianlift/types';

/** A configuration that an operator submits for acceptance. */
export type Publication = {
	/** A valid configuration. */
	configuration: Configuration;
	/** Number of the version that the change was based on; 0 if there was none. */
	base: number;
	/** Unique identifier of this publication. */
	token: string;
	author: string;
	note: string;
};

/** Versions that the publisher read from the key-value service. */
export type ObservedVersions = {
	/** The newest accepted version, if any. */
	current?: ConfigurationVersion;
	/** The version right after the base, read from the history once a later one is current; absent if it wasn't read. */
	successor?: ConfigurationVersion;
};

/** Next step of the publisher. */
export type PublishStep
	= | {kind: 'write'; version: number}
		| {kind: 'read-successor'; version: number}
		| {kind: 'accepted'; version: ConfigurationVersion}
		| {kind: 'unchanged'; version: ConfigurationVersion}
		| {kind: 'conflict'; current?: ConfigurationVersion; changes: FieldChange[]};

const getConflictStep = (publication: Publication, current: ConfigurationVersion | undefined): PublishStep => {
	const changes = getDifference(current?.configuration, publication.configuration);
	if (current !== undefined && changes.length === 0) {
		return {kind: 'unchanged', version: current};
	}

	return current === undefined ? {kind: 'conflict', changes} : {kind: 'conflict', current, changes};
};

/**
Returns the publisher's next step after a read of the key-value service.
`hasUnsettledWrite` is whether one of its writes may have taken effect or may still take effect. Another compare-and-swap on the
same revision settles this: once any write has advanced the revision, an earlier write can no longer take effect.
*/
export const getPublishStep = (publication: Publication, {current, successor}: ObservedVersions, hasUnsettledWrite: boolean): PublishStep => {
	const currentNumber = current?.version ?? 0;
	const nextNumber = publication.base + 1;
	if (current?.token === publication.token) {
		return {kind: 'accepted', version: current};
	}

	if (currentNumber === publication.base) {
		const isUnchanged = current !== undefined && getDifference(current.configuration, publication.configuration).length === 0;
		return isUnchanged ? {kind: 'unchanged', version: current} : {kind: 'write', version: nextNumber};
	}

	if (!hasUnsettledWrite || currentNumber <= nextNumber) {
		return getConflictStep(publication, current);
	}

	if (successor === undefined) {
		return {kind: 'read-successor', version: nextNumber};
	}

	return successor.token === publication.token ? {kind: 'accepted', version: successor} : getConflictStep(publication, current);
};
