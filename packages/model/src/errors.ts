/**
 * The failures reported to callers and operators, and the errors thrown to embedding programs. A failure has a type
 * with an HTTP status, and states whether the request was run.
 */
import type { Milliseconds } from "./identifiers.js";

/** What is known about whether a request was run. */
export type RunOutcome = "not_run" | "outcome_unknown" | "generation_lost" | "already_accepted";

/** HTTP status by failure type, for all failures that reach callers. */
export const failureStatus = {
    malformed_request: 400,
    body_too_large: 413,
    headers_too_large: 431,
    request_timeout: 408,
    unauthenticated: 401,
    route_not_found: 404,
    service_not_found: 404,
    not_found: 404,
    cursor_invalid: 400,
    generation_not_found: 410,
    generation_lost: 502,
    outcome_unknown: 504,
    backend_server_failed: 502,
    deadline_exceeded: 504,
    overloaded: 503,
    no_backend_server: 503,
    request_suspended: 503,
    leaving: 503,
    log_unavailable: 503,
    configuration_unavailable: 503,
    already_accepted: 409,
    resumed_elsewhere: 409,
    key_reused: 422,
    internal: 500,
} as const;

/** The type of a failure, sent to callers as `error.type`. */
export type FailureType = keyof typeof failureStatus;

/** A failure as a value, as it is passed between reducers and sent to callers. */
export interface Failure {
    readonly type: FailureType;
    readonly message: string;
    readonly outcome: RunOutcome;
    /** Time after which to retry; undefined if a retry can't succeed. */
    readonly retryAfter?: Milliseconds;
}

/**
 * Creates a failure.
 *
 * @param retryAfter time after which to retry; undefined if a retry can't succeed
 * @example
 * failure("overloaded", "the queue is full", "not_run", 2_000);
 */
export function failure(type: FailureType, message: string, outcome: RunOutcome, retryAfter?: Milliseconds): Failure {
    return { type, message, outcome, retryAfter };
}

/** Base class of the errors that this project throws. */
export abstract class VerbenaspringError extends Error {
    abstract readonly type: string;
}

/**
 * Thrown when an invariant of the design is violated. The affected request fails, and the process continues to serve.
 */
export class InvariantViolation extends VerbenaspringError {
    readonly type = "invariant_violation";

    constructor(readonly invariant: InvariantName, readonly detail: string) {
        super(`${invariant}: ${detail}`);
        this.name = "InvariantViolation";
    }
}

/** The invariants that the reducers check at run time. */
export type InvariantName =
    | "next_token_index_only"
    | "one_pinned_attempt"
    | "withdrawn_attempt_never_starts"
    | "not_run_never_after_start"
    | "one_start_an_attempt"
    | "no_start_while_leaving"
    | "configuration_offset_grows";

/** One problem in a settings file. */
export interface SettingsProblem {
    readonly line: number;
    /** Path of the setting, with dots; a word in parentheses if the problem concerns the whole file or its syntax. */
    readonly key: string;
    readonly expected: string;
}

/** Thrown for an invalid settings file. Lists all of its problems. */
export class SettingsError extends VerbenaspringError {
    readonly type = "settings_invalid";

    constructor(readonly file: string, readonly problems: readonly SettingsProblem[]) {
        super(problems.map(problem => `${file}:${problem.line}: ${problem.key}: ${problem.expected}`).join("\n"));
        this.name = "SettingsError";
    }
}

/** Thrown when a call to the platform's log or instance list fails. */
export class PlatformError extends VerbenaspringError {
    readonly type = "platform_unavailable";

    constructor(readonly operation: string, readonly detail: string) {
        super(`${operation}: ${detail}`);
        this.name = "PlatformError";
    }
}

/** Thrown when a record of the log or a message of a peer doesn't conform to its schema. */
export class MalformedMessageError extends VerbenaspringError {
    readonly type = "malformed_message";

    constructor(readonly source: string, readonly detail: string) {
        super(`${source}: ${detail}`);
        this.name = "MalformedMessageError";
    }
}
