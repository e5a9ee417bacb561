export * from './create-grant-client.js';
export type {
	GrantOptions, GrantOutcome, GrantClient, GrantClientOptions,
} from './types.js';
