import type {Milliseconds, Rank} from '@gentianlift/types';

/** What the order of queued calls depends on: see `compareQueued`. */
export type LineItem = {
	rank: Rank;
	/** When the target for its first token is missed. */
	dueAt: Milliseconds;
};

/** Queued calls in the order of `compareQueued`, which is kept as calls come and go, and as they become late. */
export type WaitingLine<Item extends LineItem> = {
	add: (item: Item, now: Milliseconds) => void;
	remove: (item: Item) => void;
	/** Whether none in the line goes before a new item, or has the same position. */
	isFirst: (item: LineItem, now: Milliseconds) => boolean;
	/** Calls `keep` with each item in order, and removes those for which it returns false. */
	retain: (now: Milliseconds, keep: (item: Item) => boolean) => void;
	getLength: () => number;
};

/** Items of one rank, each list by due time. Items that have just become late are the first ones of those on time. */
type RankLine<Item> = {onTime: Item[]; late: Item[]};

/** Returns the index of the first item that is due later. */
const findInsertionIndex = (items: readonly LineItem[], dueAt: Milliseconds): number => {
	let low = 0;
	let high = items.length;
	while (low < high) {
		const middle = Math.floor((low + high) / 2);
		if (items[middle]!.dueAt <= dueAt) {
			low = middle + 1;
		} else {
			high = middle;
		}
	}

	return low;
};

const insert = <Item extends LineItem>(items: Item[], item: Item): void => {
	items.splice(findInsertionIndex(items, item.dueAt), 0, item);
};

/** Moves those that have become late; they are due later than all that were late before, except for those added since. */
const moveLate = <Item extends LineItem>({onTime, late}: RankLine<Item>, now: Milliseconds): void => {
	for (const item of onTime.splice(0, findInsertionIndex(onTime, now))) {
		insert(late, item);
	}
};

const removeFrom = <Item>(items: Item[], item: Item): void => {
	const index = items.indexOf(item);
	if (index !== -1) {
		items.splice(index, 1);
	}
};

/** Creates an empty line. */
export const createWaitingLine = <Item extends LineItem>(): WaitingLine<Item> => {
	const lines = new Map<Rank, RankLine<Item>>();
	/** Ranks of the lines, the highest first. */
	let ranks: Rank[] = [];

	const getLine = (rank: Rank): RankLine<Item> => {
		const known = lines.get(rank);
		if (known !== undefined) {
			return known;
		}

		const line: RankLine<Item> = {onTime: [], late: []};
		lines.set(rank, line);
		ranks = [...lines.keys()].toSorted((one, other) => one - other);
		return line;
	};

	const dropEmptyLines = (): void => {
		for (const [rank, {onTime, late}] of lines) {
			if (onTime.length === 0 && late.length === 0) {
				lines.delete(rank);
			}
		}

		ranks = ranks.filter(rank => lines.has(rank));
	};

	const isFirstInRank = ({onTime, late}: RankLine<Item>, dueAt: Milliseconds, now: Milliseconds): boolean => {
		const isLate = dueAt <= now;
		const [first] = isLate ? late : onTime;
		return (first === undefined || dueAt < first.dueAt) && (!isLate || onTime.length === 0);
	};

	return {
		add(item, now) {
			const line = getLine(item.rank);
			moveLate(line, now);
			insert(item.dueAt <= now ? line.late : line.onTime, item);
		},
		remove(item) {
			const line = lines.get(item.rank);
			if (line !== undefined) {
				removeFrom(line.onTime, item);
				removeFrom(line.late, item);
				dropEmptyLines();
			}
		},
		isFirst({rank, dueAt}, now) {
			if (ranks.some(other => other < rank)) {
				return false;
			}

			const line = lines.get(rank);
			if (line === undefined) {
				return true;
			}

			moveLate(line, now);
			return isFirstInRank(line, dueAt, now);
		},
		retain(now, keep) {
			for (const rank of ranks) {
				const line = lines.get(rank)!;
				moveLate(line, now);
				line.onTime = line.onTime.filter(item => keep(item));
				line.late = line.late.filter(item => keep(item));
			}

			dropEmptyLines();
		},
		getLength() {
			let length = 0;
			for (const {onTime, late} of lines.values()) {
				length += onTime.length + late.length;
			}

			return length;
		},
	};
};
