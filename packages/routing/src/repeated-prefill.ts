import type {Milliseconds} from '@gentianlift/types';

/** Weight of the time to prefill tokens that another upstream has cached, as this repeats work. */
const redundantPrefillFactor = 8;

/** Returns the cost of prefilling tokens that another upstream has cached, at `prefillRate` tokens per millisecond. */
export const getRepeatedPrefillCost = (tokens: number, prefillRate: number): Milliseconds => redundantPrefillFactor * tokens / prefillRate;
