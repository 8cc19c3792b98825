/**
 * Exit codes of both binaries.
 */

/** The exit codes, by what happened. */
export const exitCode = {
    success: 0,
    failure: 1,
    settings: 2,
    /** The document has another revision than the one that was expected. */
    conflict: 3,
    /** No entry could be reached, or the platform's log is out. */
    unavailable: 4,
    usage: 64,
} as const;
