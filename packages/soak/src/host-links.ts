import type {Address} from '@gentianlift/types';
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
	/** Replaces the addresses of upstreams in an entry of the key-value service by those of this host's links. */
	translate: (value: string) => string;
	/** Stops or resumes to listen for an upstream, as that does. */
	setListening: (upstream: number, isListening: boolean) => void;
	/** Cuts all links in a mode; undefined opens them. */
	cut: (mode: CutMode | undefined) => void;
	close: () => void;
};

/** Opens links from the IP address to the upstreams' addresses. */
export const openHostLinks = async (ip: string, upstreams: readonly Address[]): Promise<HostLinks> => {
	const links = await Promise.all(upstreams.map(async address => openLink(ip, address)));
	const listening = upstreams.map(() => true);
	let mode: CutMode | undefined;

	const update = (link: Link, index: number): void => {
		link.setListening(mode === undefined && listening[index] === true);
	};

	return {
		translate(value) {
			let translated = value;
			for (const [index, link] of links.entries()) {
				translated = translated.replaceAll(`"${upstreams[index]}"`, `"${link.address}"`);
			}

			return translated;
		},
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
