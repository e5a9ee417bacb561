import {Buffer} from 'node:buffer';

/** Collects chunks of bytes. What it keeps takes hardly more than twice the memory of the bytes themselves, however small the chunks are. */
export type ByteCollector = {
	push: (chunk: Uint8Array) => void;
	/** Returns the number of bytes. */
	getLength: () => number;
	/** Returns all bytes, and begins anew without them. */
	take: () => Uint8Array;
};

/** Size, in bytes, from which a chunk is kept as it is; smaller ones are copied, as the object of each takes hundreds of bytes. */
const keptChunkBytes = 4096;
/** Smallest and largest buffer, in bytes, into which small chunks are copied. */
const minBufferBytes = 64;
const maxBufferBytes = 64 * 1024;

/** Creates a collector without bytes. */
export const createByteCollector = (): ByteCollector => {
	let blocks: Uint8Array[] = [];
	/** Bytes of small chunks since the last block, and room for more; a first small chunk serves as one without room. */
	let buffer: Uint8Array = new Uint8Array(0);
	let usedBytes = 0;
	let length = 0;

	const endBuffer = (): void => {
		if (usedBytes > 0) {
			blocks.push(buffer.subarray(0, usedBytes));
		}

		buffer = new Uint8Array(0);
		usedBytes = 0;
	};

	const enlargeBuffer = (bytes: number): void => {
		const larger = Buffer.allocUnsafeSlow(Math.min(Math.max(minBufferBytes, 2 * bytes), maxBufferBytes));
		larger.set(buffer.subarray(0, usedBytes));
		buffer = larger;
	};

	const copy = (chunk: Uint8Array): void => {
		const bytes = usedBytes + chunk.length;
		if (bytes > buffer.length) {
			enlargeBuffer(bytes);
		}

		buffer.set(chunk, usedBytes);
		usedBytes = bytes;
	};

	const add = (chunk: Uint8Array): void => {
		if (chunk.length >= keptChunkBytes) {
			endBuffer();
			blocks.push(chunk);
			return;
		}

		if (usedBytes + chunk.length > maxBufferBytes) {
			endBuffer();
		}

		if (usedBytes > 0) {
			copy(chunk);
			return;
		}

		buffer = chunk;
		usedBytes = chunk.length;
	};

	return {
		push(chunk) {
			if (chunk.length > 0) {
				length += chunk.length;
				add(chunk);
			}
		},
		getLength: () => length,
		take() {
			// Bytes with room behind them are copied, so that nothing keeps the room.
			const hasRoom = buffer.length > usedBytes;
			endBuffer();
			const parts = blocks;
			blocks = [];
			length = 0;
			return parts.length === 1 && !hasRoom ? parts[0]! : Buffer.concat(parts);
		},
	};
};
