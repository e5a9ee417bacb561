import type {RoutingConfiguration, Upstream} from '@gentianlift/routing';

/** Longest value that is held as it is of an upstream's or a host's entry, or of a record that can't be read, in characters. */
export const maxWholeLength = 4096;

/** Decoded content of an entry that the operators or an upstream have written. */
export type DecodedEntry
	= | {kind: 'configuration'; configuration: RoutingConfiguration}
		/** `text` is a short value that decodes to the same upstream, for an entry whose own is longer than `maxWholeLength`. */
		| {kind: 'upstream'; upstream: Upstream; text?: string}
		| {kind: 'unreadable'; reason: string}
		| {kind: 'other'};
