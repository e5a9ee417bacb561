import type {SeedRunReport} from './run-seed.js';

/** A guarantee that a seed is known to break, as listed in `KNOWN-RED.txt`. */
export type KnownFailure = {seed: number; guarantee: string};

/** Parses `SEED=GUARANTEE`; throws a TypeError for any other text. */
export const parseKnownFailure = (text: string): KnownFailure => {
	const [seed = '', guarantee = ''] = text.split('=', 2);
	if (!/^\d+$/v.test(seed) || guarantee === '') {
		throw new TypeError(`--known must be SEED=GUARANTEE, not ${text}`);
	}

	return {seed: Number(seed), guarantee};
};

/** Whether a run broke what it is known to break, and nothing else. */
export const isKnownFailure = ({seed, violations, failures}: SeedRunReport, known: KnownFailure | undefined): boolean =>
	seed === known?.seed && failures.length === 0 && violations.length > 0 && violations.every(({guarantee}) => guarantee === known.guarantee);
