export * from './create-grant-client.js';
export type {
	AskOptions, Grant, GrantClient, GrantClientOptions,
} from './types.js';
