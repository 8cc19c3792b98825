/**
 * The policies of an entry. Each is a function that an embedding program, an experiment or a test may replace.
 */
import {
    acceptTokens,
    betterOfTwo,
    type ChangeRule,
    type ClaimRule,
    expectedRevisionRule,
    firstAttemptPinned,
    hashText,
    lowestOffsetWins,
    type PinRule,
    type RoutingPolicy,
} from "@verbenaspring/coordination";
import type { AttemptId } from "@verbenaspring/model";
import type { EntryAttempt, EntryRequest, EntryState } from "./state.js";

/** The replaceable policies of an entry. */
export interface EntryPolicies {
    readonly routing: RoutingPolicy;
    readonly pinRule: PinRule;
    /** Decides which received tokens are forwarded to the caller. */
    readonly acceptTokens: typeof acceptTokens;
    readonly changeRule: ChangeRule;
    readonly claimRule: ClaimRule;
    /** Finds the attempt that a sidecar's message belongs to. */
    readonly findAttempt: (state: EntryState, attemptId: AttemptId) => EntryAttempt | undefined;
    /** Whether a request may be dispatched again after an attempt that may have run was lost. */
    readonly mayRunAgain: (request: EntryRequest) => boolean;
    /** Whether nothing is in progress that a planned stop waits for. */
    readonly mayExit: (state: EntryState) => boolean;
    /** A uniform hash of a string, for choosing links. */
    readonly hash: (text: string) => number;
}

/** The policies that the daemon uses. */
export const defaultEntryPolicies: EntryPolicies = {
    routing: betterOfTwo,
    pinRule: firstAttemptPinned,
    acceptTokens,
    changeRule: expectedRevisionRule,
    claimRule: lowestOffsetWins,
    findAttempt: (state, attemptId) => state.attempts.get(attemptId),
    mayRunAgain: request => request.work.idempotent && !hasDelivered(request),
    mayExit: state => state.requests.size === 0 && state.pendingChanges.size === 0 && !hasStatements(state),
    hash: hashText,
};

/** Whether the caller has been sent tokens, which those of another generation can't continue. */
function hasDelivered(request: EntryRequest): boolean {
    return request.streamed && request.writtenTokens > 0;
}

function hasStatements(state: EntryState): boolean {
    return state.pendingStatements.length > 0 || state.statementsInFlight !== undefined;
}
