/**
 * One budget for what clients make the process hold, in bytes of memory: request heads, bodies, unread answers. It
 * decides whose connection to cut when the budget is reached: the largest, not the newest. It has no input or output.
 */
import type { Milliseconds } from "@verbenaspring/model";

/** What a connection makes the process hold. `running` are the bodies of requests that have been passed on. */
export const heldKinds = ["connections", "heads", "bodies", "running", "answers"] as const;

/** A kind of what is held. */
export type HeldKind = typeof heldKinds[number];

/** The bounds of one process on what clients make it hold. */
export interface CallerBounds {
    /** Everything together. */
    readonly totalBytes: number;
    /** Bytes that the caller of a stream may leave unread before the stream is paused. */
    readonly streamBytes: number;
    /** Connections at the callers' listener. */
    readonly connections: number;
}

/** What the bounds are calculated from. */
export interface CallerBoundsOptions {
    /** The memory of the machine for the process. */
    readonly memoryBytes: number;
    /** The limit of the JavaScript heap. */
    readonly heapBytes: number;
    /** The limit of file descriptors; undefined where it is unknown. */
    readonly maxFileDescriptors: number | undefined;
    /** Lowers the bound on everything together; it cannot raise it. */
    readonly maxBytes?: number | undefined;
}

const megabyte = 1024 * 1024;
/** What the program, its code and its buffers take, beside the heap. */
const programBytes = 48 * megabyte;
/** Two bodies of the largest size, their pieces and their copies. */
const minTotalBytes = 12 * megabyte;
/** The largest share of the machine's memory; answers of backend servers take as much again. */
const maxTotalShare = 1 / 8;
const maxTotalBytes = 64 * megabyte;
const maxStreamBytes = 256 * 1024;
/** The share of the budget that a single stream may leave unread. */
const streamShare = 1 / 64;
/** Descriptors that are kept for files. */
const reservedDescriptors = 200;
/** The share of the other descriptors for callers; the rest is for backend servers, peers, readiness and metrics. */
const callerDescriptorShare = 1 / 2;
/** The smallest limit of descriptors that machines have. */
const defaultMaxFileDescriptors = 2_212;

/**
 * The bounds of a process: what the machine's memory leaves beside the heap and the program, within a minimum that lets
 * the largest request through and a maximum share of the memory.
 *
 * @example
 * callerBounds({ memoryBytes: 178 * 2 ** 20, heapBytes: 122 * 2 ** 20, maxFileDescriptors: 2_212 }).connections; // 1006
 */
export function callerBounds(options: CallerBoundsOptions): CallerBounds {
    const { memoryBytes, heapBytes, maxFileDescriptors, maxBytes = Infinity } = options;
    const remainingBytes = memoryBytes - heapBytes - programBytes;
    const upperBytes = Math.min(maxTotalBytes, maxTotalShare * memoryBytes);
    const totalBytes = Math.floor(Math.min(maxBytes, Math.max(minTotalBytes, Math.min(upperBytes, remainingBytes))));
    const descriptors = (maxFileDescriptors ?? defaultMaxFileDescriptors) - reservedDescriptors;
    return {
        totalBytes,
        streamBytes: Math.min(maxStreamBytes, Math.floor(streamShare * totalBytes)),
        connections: Math.max(1, Math.floor(callerDescriptorShare * descriptors)),
    };
}

/** What one connection makes the process hold. */
export interface BudgetHolder {
    /** The client's address. */
    readonly address: string;
    readonly openedAt: Milliseconds;
    readonly heldBytes: Record<HeldKind, number>;
}

/** What a connection holds at least: its socket, its parser and their buffers. */
const connectionBytes = 8 * 1024;
/** Beyond the budget, holders below this size are cut only when the total exceeds {@link hardLimitFactor}. */
const minCutBytes = 32 * 1024;
/** Small requests are accepted up to this multiple of the budget, so that full bodies do not exclude them. */
const hardLimitFactor = 1.25;

/** The share of the budget for answers, so that bodies of requests find room beside them. */
export const answersShare = 3 / 4;

/** The budget of one process. Holders are added when their connection opens, and removed when it has closed. */
export class CallerBudget<Holder extends BudgetHolder = BudgetHolder> {
    readonly holders = new Set<Holder>();
    private readonly bytesByAddress = new Map<string, number>();
    private readonly bytesByKind = createHeldBytes();
    private total = 0;
    private peak = 0;

    /** @param limitBytes the bound on everything that is held */
    constructor(readonly limitBytes: number) {}

    /** Everything that is held at present. */
    get totalBytes(): number {
        return this.total;
    }

    /** The highest total so far. */
    get peakBytes(): number {
        return this.peak;
    }

    /** What is held of one kind at present. */
    heldOf(kind: HeldKind): number {
        return this.bytesByKind[kind];
    }

    /** Adds a connection's holder. */
    open(holder: Holder): void {
        this.holders.add(holder);
        this.change(holder, "connections", connectionBytes);
    }

    /** Removes a holder and everything that it holds. */
    close(holder: Holder): void {
        heldKinds.forEach(kind => this.change(holder, kind, -holder.heldBytes[kind]));
        this.holders.delete(holder);
    }

    /** Adds to what a holder holds, or subtracts from it. Returns false beyond the budget: see {@link largest}. */
    change(holder: Holder, kind: HeldKind, bytes: number): boolean {
        if (!this.holders.has(holder)) {
            return true;
        }
        holder.heldBytes[kind] += bytes;
        this.bytesByKind[kind] += bytes;
        this.total += bytes;
        this.peak = Math.max(this.peak, this.total);
        this.changeAddress(holder.address, bytes);
        return this.total <= this.limitBytes;
    }

    /**
     * The holder to reject or disconnect now; undefined within the budget. It is the largest connection of the address
     * that holds most. Running requests do not count for it, unless nothing else is left.
     *
     * @param isCut whether a holder is being closed already
     * @param isTaking whether a holder's client takes its answer at present; the answer then counts as a running request
     */
    largest(
        isCut: (holder: Holder) => boolean,
        isTaking: (holder: Holder) => boolean = () => false,
    ): Holder | undefined {
        if (this.total <= this.limitBytes) {
            return undefined;
        }
        const candidates = [...this.holders].filter(holder => !isCut(holder));
        const size = (holder: Holder): number =>
            cuttableBytes(holder) - (isTaking(holder) ? holder.heldBytes.answers : 0);
        const largeOnes = candidates.filter(holder => size(holder) >= minCutBytes);
        if (largeOnes.length > 0) {
            return this.findLargest(largeOnes, size);
        }
        return this.total > hardLimitFactor * this.limitBytes ? this.findLargest(candidates, allBytes) : undefined;
    }

    private findLargest(holders: readonly Holder[], size: (holder: Holder) => number): Holder | undefined {
        const addressBytes = ({ address }: Holder): number => this.bytesByAddress.get(address) ?? 0;
        let largest: Holder | undefined;
        for (const holder of holders) {
            const difference = largest === undefined ? 1 : addressBytes(holder) - addressBytes(largest);
            if (largest === undefined || difference > 0 || difference === 0 && size(holder) > size(largest)) {
                largest = holder;
            }
        }
        return largest;
    }

    private changeAddress(address: string, bytes: number): void {
        const held = (this.bytesByAddress.get(address) ?? 0) + bytes;
        if (held > 0) {
            this.bytesByAddress.set(address, held);
        }
        else {
            this.bytesByAddress.delete(address);
        }
    }
}

/** What a holder that holds nothing has. */
export function createHeldBytes(): Record<HeldKind, number> {
    return { connections: 0, heads: 0, bodies: 0, running: 0, answers: 0 };
}

function cuttableBytes({ heldBytes }: BudgetHolder): number {
    return heldBytes.heads + heldBytes.bodies + heldBytes.answers;
}

function allBytes(holder: BudgetHolder): number {
    return cuttableBytes(holder) + holder.heldBytes.running + holder.heldBytes.connections;
}

/** Memory of a request that has been parsed, beside its header bytes: its objects, its response and a short body. */
const requestBytes = 4 * 1024;
/** Memory of a header's name or value, beside its bytes. */
const headerPartBytes = 48;

/**
 * The memory that the head of a request takes.
 *
 * @param headerParts names and values together
 * @example
 * headBytes(["host", "h"].length, 5);
 */
export function headBytes(headerParts: number, headerBytes: number): number {
    return requestBytes + headerPartBytes * headerParts + headerBytes;
}
