import type {RoutingConfiguration, Upstream} from '@gentianlift/routing';

/** Decoded content of an entry that the operators or an upstream have written. */
export type DecodedEntry
	= | {kind: 'configuration'; configuration: RoutingConfiguration}
		| {kind: 'upstream'; upstream: Upstream}
		| {kind: 'unreadable'; reason: string}
		| {kind: 'other'};
