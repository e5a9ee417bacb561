import {getHash} from '@gentianlift/routing';
import type {HostId, Milliseconds} from '@gentianlift/types';

/** Returns a seed for a host's random numbers; hosts that start in the same millisecond get unrelated ones. `startedAt` is the wall-clock time. */
export const getRandomSeed = (host: HostId, startedAt: Milliseconds): number => getHash(`${host}/${startedAt}`);
