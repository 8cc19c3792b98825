/**
 * The failures that a caller, an operator or an embedding program can meet. Each has a type, a status and a field that
 * says whether the request was run.
 */
import type { Milliseconds } from "./identifiers.js";

/** What is known about whether a request was run. */
export type RunOutcome = "not_run" | "outcome_unknown" | "generation_lost" | "already_accepted";

/** Every failure type that reaches a caller, with its HTTP status. */
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
    leaving: 503,
    log_unavailable: 503,
    configuration_unavailable: 503,
    already_accepted: 409,
    resumed_elsewhere: 409,
    key_reused: 422,
    internal: 500,
} as const;

/** The name of a failure, as callers see it in `error.type`. */
export type FailureType = keyof typeof failureStatus;

/** A failure as data, as it travels through reducers and to callers. */
export interface Failure {
    readonly type: FailureType;
    readonly message: string;
    readonly outcome: RunOutcome;
    /** When to come back, in milliseconds; absent where coming back can't help. */
    readonly retryAfter?: Milliseconds;
}

/**
 * Builds a failure.
 *
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

/** An invariant of the design did not hold. The request concerned fails; the process serves on. */
export class InvariantViolation extends VerbenaspringError {
    readonly type = "invariant_violation";

    constructor(readonly invariant: InvariantName, readonly detail: string) {
        super(`${invariant}: ${detail}`);
        this.name = "InvariantViolation";
    }
}

/** The invariants that the reducers assert while they serve. */
export type InvariantName =
    | "next_token_index_only"
    | "one_pinned_attempt"
    | "withdrawn_attempt_never_starts"
    | "not_run_never_after_start"
    | "one_start_an_attempt"
    | "no_start_while_leaving"
    | "configuration_offset_grows";

/** One fault in a settings file. */
export interface SettingsProblem {
    readonly line: number;
    readonly key: string;
    readonly expected: string;
}

/** A settings file has faults; all of them are listed. */
export class SettingsError extends VerbenaspringError {
    readonly type = "settings_invalid";

    constructor(readonly file: string, readonly problems: readonly SettingsProblem[]) {
        super(problems.map(fault => `${file}:${fault.line}: ${fault.key}: ${fault.expected}`).join("\n"));
        this.name = "SettingsError";
    }
}

/** A call to the platform's log or instance list failed. */
export class PlatformError extends VerbenaspringError {
    readonly type = "platform_unavailable";

    constructor(readonly operation: string, readonly detail: string) {
        super(`${operation}: ${detail}`);
        this.name = "PlatformError";
    }
}

/** A record of the log or a message of a peer does not have the shape that the schema gives. */
export class MalformedMessageError extends VerbenaspringError {
    readonly type = "malformed_message";

    constructor(readonly source: string, readonly detail: string) {
        super(`${source}: ${detail}`);
        this.name = "MalformedMessageError";
    }
}
