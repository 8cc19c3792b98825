/**
 * What both daemons share.
 */

/** A running daemon. */
export interface Daemon {
    /** Begins a planned stop. */
    readonly stop: () => void;
    /** Resolves when the planned stop is complete. */
    readonly stopped: Promise<void>;
}

/** A promise with its handle outside. */
export interface Deferred {
    readonly promise: Promise<void>;
    readonly resolve: () => void;
}

/** Creates a promise that is resolved from outside. */
export function createDeferred(): Deferred {
    let resolve: () => void = () => undefined;
    const promise = new Promise<void>(fulfil => resolve = fulfil);
    return { promise, resolve };
}

/** An error as one line, with the place that it came from. */
export function describeError(error: unknown): string {
    return error instanceof Error ? error.stack ?? error.message : String(error);
}

/** How many characters of an incarnation tell two lives apart in a log. */
export const loggedIncarnationLength = 8;
