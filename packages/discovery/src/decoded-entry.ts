import type {RoutingConfiguration, Upstream} from '@gentianlift/routing';

/** Decoded content of an entry that the operators or an upstream have written. */
export type DecodedEntry
	= | {kind: 'configuration'; configuration: RoutingConfiguration}
		/** `text` is a short value that decodes to the same upstream, for an entry whose own is long. */
		| {kind: 'upstream'; upstream: Upstream; text?: string}
		| {kind: 'unreadable'; reason: string}
		| {kind: 'other'};
