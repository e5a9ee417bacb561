/** Removes the entries of a map that were set first, down to a size. */
export const dropOldest = (map: Map<string, unknown>, size: number): void => {
	for (const key of map.keys()) {
		if (map.size <= size) {
			return;
		}

		map.delete(key);
	}
};

/** Moves an entry of a map to its end. */
export const setLast = <Value>(map: Map<string, Value>, key: string, value: Value): void => {
	map.delete(key);
	map.set(key, value);
};
