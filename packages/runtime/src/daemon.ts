/**
 * Types and helpers that the entry, sidecar and gateway daemons share.
 */

/** A running daemon. */
export interface Daemon {
    /** Begins a planned stop. */
    readonly stop: () => void;
    /** Resolves when the planned stop is complete. */
    readonly stopped: Promise<void>;
}

/** A promise together with the function that resolves it. */
export interface Deferred {
    readonly promise: Promise<void>;
    readonly resolve: () => void;
}

/** Creates a promise that its holder resolves. */
export function createDeferred(): Deferred {
    let resolve: () => void = () => undefined;
    const promise = new Promise<void>(fulfil => resolve = fulfil);
    return { promise, resolve };
}

/** Formats an error for a log field: its stack trace if it has one, otherwise its message. */
export function describeError(error: unknown): string {
    return error instanceof Error ? error.stack ?? error.message : String(error);
}

/** Characters of an incarnation that log lines show; enough to distinguish two incarnations of one process. */
export const loggedIncarnationLength = 8;
