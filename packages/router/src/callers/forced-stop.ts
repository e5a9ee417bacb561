import {createFailure} from '@gentianlift/errors';
import type {RunState} from '@gentianlift/types';
import type {HostParts} from '../parts.js';

/** Throws `forced-stop` if an operator has cut the open requests of the host. */
export const checkForcedStop = ({open}: HostParts, ran: RunState): void => {
	if (open.cut.signal.aborted) {
		throw createFailure('forced-stop', {ran});
	}
};
