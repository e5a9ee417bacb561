/** Items that reports name: each once in the next report, and again in full reports, as datagrams get lost. */
export type RepeatedItems<Item> = {
	add: (item: Item) => void;
	/** Returns the items of the next report. */
	getNext: (isFull: boolean) => Item[];
	/** Records that a report has named what `getNext` returned. */
	markReported: (isFull: boolean) => void;
};

/** Bounds on items. */
export type RepeatedItemLimits = {
	/** Maximum number in one report, which bounds its datagram. */
	perReport: number;
	/** Maximum number that wait for a report; beyond it the oldest are dropped. */
	pending: number;
	/** Number of full reports that repeat an item. */
	repeats: number;
};

/** Creates an empty list. */
export const createRepeatedItems = <Item>({perReport, pending, repeats}: RepeatedItemLimits): RepeatedItems<Item> => {
	let newItems: Item[] = [];
	let repeatedItems: Array<{item: Item; remainingReports: number}> = [];

	const countRepeats = (): void => {
		repeatedItems = repeatedItems
			.map(({item, remainingReports}) => ({item, remainingReports: remainingReports - 1}))
			.filter(({remainingReports}) => remainingReports > 0);
	};

	return {
		add(item) {
			newItems.push(item);
			newItems = newItems.slice(-pending);
		},
		getNext: isFull => [...newItems, ...(isFull ? repeatedItems.map(({item}) => item) : [])].slice(0, perReport),
		markReported(isFull) {
			if (isFull) {
				countRepeats();
			}

			const reported = newItems.slice(0, perReport).map(item => ({item, remainingReports: repeats}));
			repeatedItems = [...repeatedItems, ...reported].filter(({remainingReports}) => remainingReports > 0).slice(-perReport);
			newItems = newItems.slice(perReport);
		},
	};
};
