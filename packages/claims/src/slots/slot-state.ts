import type {Claim, ClaimOutcome} from '@gentianlift/types';
import {z} from 'zod';

/** What stays of a settled claim without its details. */
export type CompactClaim = {
	kind: 'finished' | 'unknown';
	digest: string;
	status: number;
};

/** Content of a slot's value. */
export type SlotState = {
	/** Unique for each write. */
	token: string;
	/** Whether the floor was read after the slot was created; until then a claim in it doesn't start. */
	checked: boolean;
	/** Claims by identity. */
	claims: Map<string, Claim>;
	/** Settled claims without details, by identity. */
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

/** Writes a slot's state as the text of its value. */
export const writeSlotState = (state: SlotState): string => JSON.stringify({
	token: state.token,
	checked: state.checked,
	claims: Object.fromEntries(state.claims),
	compact: Object.fromEntries(state.compact),
});

/** Reads a slot's state from the text of its value; undefined if the text is not one. */
export const readSlotState = (text: string): SlotState | undefined => {
	try {
		const parsed = slotSchema.parse(JSON.parse(text));
		return {...parsed, claims: new Map(Object.entries(parsed.claims)), compact: new Map(Object.entries(parsed.compact))};
	} catch {
		return undefined;
	}
};
