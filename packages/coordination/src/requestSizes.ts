/**
 * Keeps small requests from taking all the room that becomes free at engines. A small request fits where a large one does
 * not, so while capacity is short small ones would fill every engine before a large one fits into any. Requests of a kind
 * therefore start only while the largest of that kind could.
 */

/** What a request needs at an engine. */
export interface RequestSize {
    readonly promptTokens: number;
    /** Tokens that its run is expected to hold in memory. */
    readonly memoryTokens: number;
}

/** The sizes of the newest requests of one kind, oldest first. */
export interface RecentSizes {
    readonly sizes: RequestSize[];
}

/** How many sizes are kept: the largest of them is on average in the largest tenth of all. */
const sizesKept = 10;
/** Fewer sizes than this say little about the largest requests of a kind. */
const minimumSizes = 5;

/**
 * Adds a request to the recent sizes of its kind.
 *
 * @example
 * recordSize(recent, { promptTokens: 2_400, memoryTokens: 2_700 });
 */
export function recordSize({ sizes }: RecentSizes, size: RequestSize): void {
    sizes.push(size);
    if (sizes.length > sizesKept) {
        sizes.shift();
    }
}

/**
 * Returns the size for which there has to be room before a request may start: in each measure, the largest of its own
 * size and the recent ones. While few sizes are known, it is its own.
 *
 * @example
 * const { promptTokens } = largestSize(recent, own);
 */
export function largestSize({ sizes }: RecentSizes, own: RequestSize): RequestSize {
    const known = sizes.length < minimumSizes ? [own] : [own, ...sizes];
    return {
        promptTokens: Math.max(...known.map(size => size.promptTokens)),
        memoryTokens: Math.max(...known.map(size => size.memoryTokens)),
    };
}

/** How much of a service's capacity is in use. */
export interface CapacityUse {
    /** Share of the memory of all engines that runs hold, without copies. */
    readonly runLoad: number;
    /** Share of the engines at which a prompt waits or is processed. */
    readonly readingShare: number;
}

/** Above this share of memory, or of engines with prompts, requests of some size find no engine. */
const maxSpareUse = 0.55;

/**
 * Whether memory or the time for prompts is short, so that room for the largest requests has to be kept. With capacity to
 * spare, keeping it would only refuse requests that hinder nobody.
 *
 * @example
 * const keepsRoom = isCapacityShort({ runLoad: 0.7, readingShare: 0.3 });
 */
export function isCapacityShort({ runLoad, readingShare }: CapacityUse): boolean {
    return runLoad > maxSpareUse || readingShare > maxSpareUse;
}
