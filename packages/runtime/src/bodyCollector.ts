/**
 * Collects a body in few large pieces, however small the chunks are in which it arrives.
 */

/** Chunks from this size on are kept as they are; smaller ones are copied together. */
const minOwnPieceBytes = 4 * 1024;
const minTailBytes = 1024;
const maxTailBytes = 64 * 1024;
const minUsedTailShare = 3 / 4;
/** What the process keeps for a buffer, beside its bytes: the object and the entry of its allocation. */
const bufferOverheadBytes = 256;

/** The body of one request or answer, or of one event. */
export class BodyCollector {
    private readonly pieces: Buffer[] = [];
    /** The last piece, if it has been allocated here; its first `tailLength` bytes are used. */
    private tail: Buffer | undefined;
    private tailLength = 0;
    private length = 0;
    private held = 0;

    /** The bytes of the body so far. */
    get byteLength(): number {
        return this.length;
    }

    /** The memory that the body so far takes. */
    get heldBytes(): number {
        return this.held;
    }

    /** Adds a chunk. Takes time in proportion to its length. */
    append(chunk: Buffer): void {
        this.length += chunk.length;
        if (this.pieces.length === 0 && this.tail === undefined || chunk.length >= minOwnPieceBytes) {
            this.closeTail();
            this.pieces.push(chunk);
            this.held += chunk.length + bufferOverheadBytes;
            return;
        }
        this.copyToTail(chunk);
    }

    /** The whole body, as one buffer. */
    take(): Buffer {
        this.closeTail();
        return this.pieces.length === 1 ? this.pieces[0] : Buffer.concat(this.pieces, this.length);
    }

    /** Releases the body; its length remains. */
    clear(): void {
        this.pieces.length = 0;
        this.tail = undefined;
        this.tailLength = 0;
        this.held = 0;
    }

    private copyToTail(chunk: Buffer): void {
        if (this.tail === undefined || this.tailLength + chunk.length > this.tail.length) {
            this.closeTail();
            const size = Math.min(maxTailBytes, Math.max(minTailBytes, chunk.length, this.length));
            // An allocation of its own: a slice of Node's pool would keep the pool's whole slab.
            this.tail = Buffer.allocUnsafeSlow(size);
            this.held += size + bufferOverheadBytes;
        }
        this.tailLength += chunk.copy(this.tail, this.tailLength);
    }

    /** Between large chunks, a tail would keep much more memory than it uses. */
    private closeTail(): void {
        if (this.tail === undefined) {
            return;
        }
        const used = this.tail.subarray(0, this.tailLength);
        const isSparse = this.tailLength < minUsedTailShare * this.tail.length;
        if (isSparse) {
            this.held -= this.tail.length - this.tailLength;
        }
        this.pieces.push(isSparse ? copyOf(used) : used);
        this.tail = undefined;
        this.tailLength = 0;
    }
}

function copyOf(buffer: Buffer): Buffer {
    const copy = Buffer.allocUnsafeSlow(buffer.length);
    buffer.copy(copy);
    return copy;
}
