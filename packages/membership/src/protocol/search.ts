import type {Random} from '@gentianlift/clock';
import type {Settings} from '@gentianlift/types';
import type {Outbox, Target} from './outbox.js';
import type {Spreader} from './spreader.js';
import type {View} from './view.js';

/** Looks for hosts that this one doesn't have as present. */
export type Search = {
	/** Asks a seed or an earlier host for its table, as long as this host is alone. */
	joinFleet: () => void;
	/** Tries one host that is gone, or a seed that isn't known, so that halves find each other again. */
	heal: () => void;
};

/** What a search needs. */
export type SearchOptions = {random: Random; view: View; outbox: Outbox; spreader: Spreader; seeds: Settings['seeds']};

/** Creates the search of a host. */
export const createSearch = ({random, view, outbox, spreader, seeds}: SearchOptions): Search => {
	const {host: self} = view.getSelf();

	const getAbsent = (): Target[] => {
		const gone = view.table.getAll().filter(({standing}) => standing === 'gone');
		const unknown = seeds.filter(({host}) => view.table.get(host) === undefined && host !== self);
		return [...gone, ...unknown];
	};

	return {
		joinFleet() {
			const target = random.pick(getAbsent());
			if (target !== undefined && view.table.getPresent().length === 1) {
				spreader.askTable(target);
			}
		},
		heal() {
			const target = random.pick(getAbsent());
			if (target === undefined) {
				return;
			}

			if (view.table.get(target.host) === undefined) {
				spreader.askTable(target);
			} else {
				outbox.send(target, {kind: 'ping'});
			}
		},
	};
};
