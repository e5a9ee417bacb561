import {splitAddress, type Address} from '@gentianlift/types';
import type {LinkAddresses} from './deployment.js';
import {openLink, type Link} from './link.js';

/**
 * How a host's links to all upstreams are cut; new connections are refused:
 * - `reset`: open connections are reset
 * - `silent`: open connections pass nothing more
 * - `established`: open connections live on
 */
export const cutModes = ['reset', 'silent', 'established'] as const;
/** One of `cutModes`. */
export type CutMode = typeof cutModes[number];

/** One host's links to all upstreams, behind those that the upstreams share. */
export type HostLinks = {
	/** Stops or resumes to listen for an upstream, as that does. */
	setListening: (upstream: number, isListening: boolean) => void;
	/** Cuts all links in a mode; undefined opens them. */
	cut: (mode: CutMode | undefined) => void;
	close: () => void;
};

/** Returns the arguments with which Node runs a program that connects to a host's own links. */
export const runLinked = ({network, firstUpstream, count, firstLink}: LinkAddresses, programPath: string): string[] =>
	['scripts/run-linked-host.js', network, ...[firstUpstream, count, firstLink].map(String), programPath];

/** Opens links to the upstreams' addresses, each on the port of its upstream. */
export const openHostLinks = async ({network, firstLink}: LinkAddresses, upstreams: readonly Address[]): Promise<HostLinks> => {
	const links = await Promise.all(upstreams.map(async (address, index) => openLink(`${network}.${firstLink + index}`, address, splitAddress(address).port)));
	const listening = upstreams.map(() => true);
	let mode: CutMode | undefined;

	const update = (link: Link, index: number): void => {
		link.setListening(mode === undefined && listening[index] === true);
	};

	return {
		setListening(upstream, isListening) {
			const link = links[upstream];
			listening[upstream] = isListening;
			if (link !== undefined) {
				update(link, upstream);
			}
		},
		cut(next) {
			mode = next;
			for (const [index, link] of links.entries()) {
				update(link, index);
				link.setState(mode === undefined || mode === 'established' ? {kind: 'open'} : {kind: mode});
			}
		},
		close() {
			for (const link of links) {
				link.close();
			}
		},
	};
};
