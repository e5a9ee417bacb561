import type {Change, Entry, Select} from '@gentianlift/types';
import type {ItemOutcome} from './reply-scanner.js';

const getLength = (value: Entry | Change): number => {
	if (!('kind' in value)) {
		return value.key.length + value.value.length;
	}

	return value.kind === 'written' ? getLength(value.entry) : value.key.length;
};

/** Keeps what is selected of an entry or a change that a list of the store holds; all of it without a selection. */
export const selectItem = <Value extends Entry | Change>(value: Value, select: Select<Value> | undefined): ItemOutcome => {
	const selected = select === undefined ? value : select(value);
	return selected === undefined ? {kind: 'dropped'} : {kind: 'kept', item: selected, bytes: getLength(selected)};
};
