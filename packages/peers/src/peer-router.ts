import {initTRPC} from '@trpc/server';
import type {
	ClaimRequest, ClaimSettlement, GrantAnswer, GrantRequest, HostId, PeerHandlers, QuotaRequest, RequestId,
} from '@gentianlift/types';
import {compactCodec} from './compact.js';

/** What a procedure knows of its caller. */
export type PeerContext = {from: HostId};

const trpc = initTRPC.context<PeerContext>().create({transformer: compactCodec});

/** Accepts an object from an authenticated host as the message it claims to be. */
const getMessage = <Message>(value: unknown): Message => {
	if (typeof value !== 'object' || value === null) {
		throw new TypeError('The message is not an object.');
	}

	return value as Message;
};

/** Creates the typed procedures that answer other hosts. */
export const createPeerRouter = (handlers: PeerHandlers) => trpc.router({
	exchangeGrants: trpc.procedure.input(getMessage<GrantRequest>).mutation(async ({ctx, input}) => handlers.exchangeGrants(ctx.from, input)),
	pushGrants: trpc.procedure.input(getMessage<GrantAnswer>).mutation(async ({ctx, input}) => handlers.pushGrants(ctx.from, input)),
	exchangeQuota: trpc.procedure.input(getMessage<QuotaRequest>).mutation(async ({ctx, input}) => handlers.exchangeQuota(ctx.from, input)),
	claim: trpc.procedure.input(getMessage<ClaimRequest>).mutation(async ({ctx, input}) => handlers.claim(ctx.from, input)),
	settleClaim: trpc.procedure.input(getMessage<ClaimSettlement>).mutation(async ({ctx, input}) => handlers.settleClaim(ctx.from, input)),
	readConfiguration: trpc.procedure.input(getMessage<{after: number}>).mutation(async ({ctx, input}) => handlers.readConfiguration(ctx.from, input)),
	readPlacementFacts: trpc.procedure.input(getMessage<Record<string, never>>).mutation(async ({ctx, input}) => handlers.readPlacementFacts(ctx.from, input)),
	readAccount: trpc.procedure.input(getMessage<{request: RequestId}>).mutation(async ({ctx, input}) => handlers.readAccount(ctx.from, input)),
});

/** Type of the procedures, for the client side. */
export type PeerRouter = ReturnType<typeof createPeerRouter>;
