import type {Milliseconds} from '@gentianlift/types';

/** Silence timeout of short control calls, such as reading a load report or sending an order. */
export const controlTimeout: Milliseconds = 3000;
