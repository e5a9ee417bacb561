/** Judges by their sizes whether chunks are those of an answer: the bytes of a body that is sent in very many very small chunks cost a host more work than it has for them. */
export type ChunkSizes = {
	/** Counts a chunk; returns whether there have been too many small ones. */
	add: (chunk: Uint8Array) => boolean;
	/** Begins anew. */
	reset: () => void;
};

/** Mean size, in bytes, below which chunks count as small. */
const smallChunkBytes = 16;

/** Creates a count of chunks, of which there may be `maxSmallChunks` small ones. */
export const createChunkSizes = (maxSmallChunks: number): ChunkSizes => {
	let chunks = 0;
	let bytes = 0;
	return {
		add(chunk) {
			chunks += 1;
			bytes += chunk.length;
			return chunks > maxSmallChunks && bytes < chunks * smallChunkBytes;
		},
		reset() {
			chunks = 0;
			bytes = 0;
		},
	};
};
