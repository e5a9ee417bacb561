import {promisify} from 'node:util';
import {constants, gzip} from 'node:zlib';
import {createRecentAnswers, type Clock} from '@gentianlift/clock';
import type {Milliseconds} from '@gentianlift/types';

/** Large answers to other hosts as compressed JSON (gzip). After a large change, many hosts read the same at once over slow links. */
export type CompressedAnswers = {
	/** Returns the text of an answer; what is asked for is built once for all that ask the same at once. */
	get: (question: string, build: () => unknown) => Promise<Uint8Array>;
};

const compress = promisify(gzip);
/** Time in which hosts that ask the same get the same text. */
const lifetime: Milliseconds = 200;

/** Creates it without answers. */
export const createCompressedAnswers = (clock: Clock): CompressedAnswers => {
	const answers = createRecentAnswers<Uint8Array>(clock, lifetime);
	return {
		get: async (question, build) => answers.get(question, async () => compress(JSON.stringify(build()), {level: constants.Z_BEST_SPEED})),
	};
};
