import {initTRPC} from '@trpc/server';
import type {
	ClaimRequest, ClaimSettlement, GrantResponse, GrantRequest, HostId, PeerHandlers, QuotaRequest, RequestId,
} from '@gentianlift/types';
import {compactCodec} from './compact.js';

/** Context of a procedure: its authenticated caller. */
export type PeerContext = {from: HostId};

const trpc = initTRPC.context<PeerContext>().create({transformer: compactCodec});

/** Returns an object as a message without validating its fields, since only authenticated hosts can send one. */
const castMessage = <Message>(value: unknown): Message => {
	if (typeof value !== 'object' || value === null) {
		throw new TypeError('The message is not an object.');
	}

	return value as Message;
};

/** Creates the router of the procedures that other hosts can call. */
export const createPeerRouter = (handlers: PeerHandlers) => trpc.router({
	exchangeGrants: trpc.procedure.input(castMessage<GrantRequest>).mutation(async ({ctx, input}) => handlers.exchangeGrants(ctx.from, input)),
	pushGrants: trpc.procedure.input(castMessage<GrantResponse>).mutation(async ({ctx, input}) => handlers.pushGrants(ctx.from, input)),
	exchangeQuota: trpc.procedure.input(castMessage<QuotaRequest>).mutation(async ({ctx, input}) => handlers.exchangeQuota(ctx.from, input)),
	claim: trpc.procedure.input(castMessage<ClaimRequest>).mutation(async ({ctx, input}) => handlers.claim(ctx.from, input)),
	settleClaim: trpc.procedure.input(castMessage<ClaimSettlement>).mutation(async ({ctx, input}) => handlers.settleClaim(ctx.from, input)),
	readConfiguration: trpc.procedure.input(castMessage<{after: number}>).mutation(async ({ctx, input}) => handlers.readConfiguration(ctx.from, input)),
	readPlacementFacts: trpc.procedure.input(castMessage<Record<string, never>>).mutation(async ({ctx, input}) => handlers.readPlacementFacts(ctx.from, input)),
	readAccount: trpc.procedure.input(castMessage<{request: RequestId}>).mutation(async ({ctx, input}) => handlers.readAccount(ctx.from, input)),
});

/** Type of the router, from which the client derives its procedures. */
export type PeerRouter = ReturnType<typeof createPeerRouter>;
