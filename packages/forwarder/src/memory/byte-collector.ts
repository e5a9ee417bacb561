import {Buffer} from 'node:buffer';

/** Collects chunks of bytes. What it keeps takes hardly more memory than the bytes themselves, however small the chunks are. */
export type ByteCollector = {
	push: (chunk: Uint8Array) => void;
	/** Returns the number of bytes. */
	getLength: () => number;
	/** Returns all bytes, and begins anew without them. */
	take: () => Uint8Array;
};

/** Number of chunks that are joined into one. */
const joinedChunks = 256;

/** Creates a collector without bytes. */
export const createByteCollector = (): ByteCollector => {
	let blocks: Uint8Array[] = [];
	/** Chunks since the last block; a chunk of few bytes may keep the memory of a whole read. */
	let chunks: Uint8Array[] = [];
	let length = 0;

	const joinChunks = (): void => {
		blocks.push(Buffer.concat(chunks));
		chunks = [];
		if (blocks.length === joinedChunks) {
			blocks = [Buffer.concat(blocks)];
		}
	};

	return {
		push(chunk) {
			if (chunk.length === 0) {
				return;
			}

			length += chunk.length;
			chunks.push(chunk);
			if (chunks.length === joinedChunks) {
				joinChunks();
			}
		},
		getLength: () => length,
		take() {
			const parts = [...blocks, ...chunks];
			blocks = [];
			chunks = [];
			length = 0;
			return parts.length === 1 ? parts[0]! : Buffer.concat(parts);
		},
	};
};
