/**
 * Exit codes of `verbenaspring` and `verbenactl`.
 */

export const exitCode = {
    success: 0,
    failure: 1,
    /** The settings have errors. */
    settings: 2,
    /** The document's revision is not the expected one. */
    conflict: 3,
    /** No entry could be reached, or the platform's log is unavailable. */
    unavailable: 4,
    /** Invalid command line, as `EX_USAGE` in sysexits.h. */
    usage: 64,
} as const;
