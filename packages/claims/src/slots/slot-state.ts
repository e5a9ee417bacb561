import type {Claim, ClaimOutcome} from '@gentianlift/types';
import {z} from 'zod';

/** A settled claim without its details. */
export type CompactClaim = {
	kind: 'finished' | 'unknown';
	digest: string;
	/** HTTP status of the response; 0 if the outcome is unknown. */
	status: number;
};

/** Content of a slot. */
export type SlotState = {
	/** Id of the write that stored the state, so that no two writes have the same value, even of the same claims. Nothing reads it: the revision alone decides which of two writes is applied. */
	token: string;
	/** Whether the bucket of a timed slot was found open, so that it isn't checked again. Until then, the removal progress is read before an operation on the slot is answered. Always false for untimed keys. */
	checked: boolean;
	/** Claims by key hash, in the order in which they were added. */
	claims: Map<string, Claim>;
	/** Settled claims without details, by key hash. */
	compact: Map<string, CompactClaim>;
};

const outcomeSchema: z.ZodType<ClaimOutcome> = z.discriminatedUnion('kind', [
	z.object({kind: z.literal('claimed')}),
	z.object({
		kind: z.literal('finished'), status: z.number(), contentType: z.string().exactOptional(), body: z.string().exactOptional(),
	}),
	z.object({kind: z.literal('not-run')}),
	z.object({kind: z.literal('unknown'), reason: z.string()}),
]);

const claimSchema: z.ZodType<Claim> = z.object({
	customer: z.string(),
	key: z.string(),
	digest: z.string(),
	className: z.string().exactOptional(),
	request: z.string(),
	host: z.string(),
	incarnation: z.number(),
	claimedAt: z.number(),
	settledAt: z.number().exactOptional(),
	upstream: z.string().exactOptional(),
	givenUp: z.array(z.string()).exactOptional(),
	outcome: outcomeSchema,
});

const compactSchema: z.ZodType<CompactClaim> = z.object({
	kind: z.enum(['finished', 'unknown']), digest: z.string(), status: z.number(),
});

const slotSchema = z.object({
	token: z.string(),
	checked: z.boolean(),
	claims: z.record(z.string(), claimSchema),
	compact: z.record(z.string(), compactSchema),
});

/** Creates the state of a slot that has no value yet. */
export const createSlotState = (): SlotState => ({
	token: '', checked: false, claims: new Map(), compact: new Map(),
});

/** Serializes a slot's state as JSON. */
export const serializeSlotState = (state: SlotState): string => JSON.stringify({
	token: state.token,
	checked: state.checked,
	claims: Object.fromEntries(state.claims),
	compact: Object.fromEntries(state.compact),
});

/** Parses a slot's state from JSON; undefined if the text is invalid. */
export const parseSlotState = (text: string): SlotState | undefined => {
	try {
		const parsed = slotSchema.parse(JSON.parse(text));
		return {...parsed, claims: new Map(Object.entries(parsed.claims)), compact: new Map(Object.entries(parsed.compact))};
	} catch {
		return undefined;
	}
};
