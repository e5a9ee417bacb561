import {getDifference, type Change} from '@gentianlift/config';
import type {Configuration, ConfigurationVersion} from '@gentianlift/types';

/** What an operator wants to be accepted. */
export type Publication = {
	/** A valid configuration. */
	configuration: Configuration;
	/** Version that the change was made from; 0 if there was none. */
	base: number;
	/** Unique text of this publication. */
	token: string;
	author: string;
	note: string;
};

/** What the publisher finds at the service. */
export type Finding = {
	/** The newest accepted version, if any. */
	current?: ConfigurationVersion;
	/** The version that follows the base, once a newer one is current; absent if it couldn't be found. */
	successor?: ConfigurationVersion;
};

/** What the publisher does next. */
export type PublishStep
	= | {kind: 'write'; version: number}
		| {kind: 'read-successor'; version: number}
		| {kind: 'accepted'; version: ConfigurationVersion}
		| {kind: 'unchanged'; version: ConfigurationVersion}
		| {kind: 'conflict'; current?: ConfigurationVersion; changes: Change[]};

const getConflict = (publication: Publication, current: ConfigurationVersion | undefined): PublishStep => {
	const changes = getDifference(current?.configuration, publication.configuration);
	if (current !== undefined && changes.length === 0) {
		return {kind: 'unchanged', version: current};
	}

	return current === undefined ? {kind: 'conflict', changes} : {kind: 'conflict', current, changes};
};

/**
Gets what a publisher does after it read the service.
`isWritten` says that one of its writes may have taken effect or may still do so. Only a further compare-and-swap on the same
revision settles that: once the revision has moved on, whoever moved it, an earlier write can't take effect any more.
*/
export const getPublishStep = (publication: Publication, {current, successor}: Finding, isWritten: boolean): PublishStep => {
	const version = current?.version ?? 0;
	const next = publication.base + 1;
	if (current?.token === publication.token) {
		return {kind: 'accepted', version: current};
	}

	if (version === publication.base) {
		const isSame = current !== undefined && getDifference(current.configuration, publication.configuration).length === 0;
		return isSame ? {kind: 'unchanged', version: current} : {kind: 'write', version: next};
	}

	if (!isWritten || version <= next) {
		return getConflict(publication, current);
	}

	if (successor === undefined) {
		return {kind: 'read-successor', version: next};
	}

	return successor.token === publication.token ? {kind: 'accepted', version: successor} : getConflict(publication, current);
};
