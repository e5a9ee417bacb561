import type {Milliseconds} from '@gentianlift/types';

/** Silence after which a short call, such as a report or an order, is given up. */
export const controlTimeout: Milliseconds = 3000;
