import {promisify} from 'node:util';
import {constants, gzip} from 'node:zlib';
import {createRecentAnswers, type Clock} from '@gentianlift/clock';
import type {Milliseconds} from '@gentianlift/types';
import type {FleetView} from './fleet-view.js';

/** The view of this host for others, as compressed JSON (gzip). After a large change, many hosts read it at once over slow links. */
export type CompressedView = {
	get: () => Promise<Uint8Array>;
};

const compress = promisify(gzip);
/** Time in which hosts get the same text; the view also changes without a new revision. */
const lifetime: Milliseconds = 200;

/** Creates it for a view. */
export const createCompressedView = (view: Pick<FleetView, 'getRevision' | 'getSnapshot'>, clock: Clock): CompressedView => {
	const answers = createRecentAnswers<Uint8Array>(clock, lifetime);
	const build = async (): Promise<Uint8Array> => compress(JSON.stringify(view.getSnapshot()), {level: constants.Z_BEST_SPEED});
	return {
		get: async () => answers.get(String(view.getRevision()), build),
	};
};
