/**
 * Collects a body in few large blocks, however small the chunks are in which it arrives.
 */
import type { Milliseconds } from "@verbenaspring/model";

const minBlockBytes = 1024;
const maxBlockBytes = 64 * 1024;
/** What the process keeps for a buffer, beside its bytes: the object and the entry of its allocation. */
const bufferOverheadBytes = 256;

/**
 * Blocks of the largest size that are free for other bodies, for a short time. Bodies without end fill new blocks faster
 * than the garbage collector releases those of bodies that were given up.
 */
const freeBlocks: Buffer[] = [];
const maxFreeBlocks = 256;
const freeBlockLifetime: Milliseconds = 1_000;
let freeBlocksTimer: NodeJS.Timeout | undefined;

function reuseBlocks(blocks: readonly Buffer[]): void {
    const reusable = blocks.filter(block => block.length === maxBlockBytes);
    freeBlocks.push(...reusable.slice(0, maxFreeBlocks - freeBlocks.length));
    if (freeBlocks.length > 0) {
        freeBlocksTimer ??= setTimeout(() => {
            freeBlocksTimer = undefined;
            freeBlocks.length = 0;
        }, freeBlockLifetime).unref();
    }
}

/** The body of one request or answer, or of one event. */
export class BodyCollector {
    /** The first chunk as it came, since most bodies have only one. */
    private first: Buffer | undefined;
    /** The other chunks; all blocks but the last one are full. */
    private readonly blocks: Buffer[] = [];
    private lastBlockLength = 0;
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
        if (this.first === undefined) {
            this.first = chunk;
            this.held += chunk.length + bufferOverheadBytes;
            return;
        }
        for (let offset = 0; offset < chunk.length;) {
            const copied = chunk.copy(this.usableBlock(), this.lastBlockLength, offset);
            this.lastBlockLength += copied;
            offset += copied;
        }
    }

    /** The whole body, as one buffer. The collector keeps nothing of it but its length. */
    take(): Buffer {
        const first = this.first ?? Buffer.alloc(0);
        const body = this.blocks.length === 0 ? first : Buffer.concat([first, ...this.blocks], this.length);
        this.clear();
        return body;
    }

    /** Releases the body; its length remains. */
    clear(): void {
        reuseBlocks(this.blocks.splice(0));
        this.first = undefined;
        this.lastBlockLength = 0;
        this.held = 0;
    }

    /** The last block, or a new one if it is full. */
    private usableBlock(): Buffer {
        const last = this.blocks.at(-1);
        if (last !== undefined && this.lastBlockLength < last.length) {
            return last;
        }
        const size = Math.min(maxBlockBytes, Math.max(minBlockBytes, this.length));
        // An allocation of its own: a slice of Node's pool would keep the pool's whole slab.
        const block = (size === maxBlockBytes ? freeBlocks.pop() : undefined) ?? Buffer.allocUnsafeSlow(size);
        this.blocks.push(block);
        this.lastBlockLength = 0;
        this.held += size + bufferOverheadBytes;
        return block;
    }
}
