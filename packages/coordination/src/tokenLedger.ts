/**
 * Tracks the progress of an answer at the entry: which attempt its tokens come from, and which token is next.
 */
import { type AttemptId, InvariantViolation } from "@verbenaspring/model";

/** The progress of one answer. Owned by the event loop, which changes it in place. */
export interface TokenLedger {
    /** The attempt that the tokens come from; set when the first token is forwarded. */
    pinnedAttempt?: AttemptId;
    /** The index of the next token to forward. */
    next: number;
}

/** What to do with received tokens. */
export type TokenDecision =
    | { readonly action: "forward"; readonly texts: readonly string[]; readonly from: number; }
    | { readonly action: "drop"; }
    /** Tokens are missing before the received ones; request them again from `next` on. */
    | { readonly action: "ask_again"; readonly next: number; };

/** Returns whether tokens of an attempt belong to the answer. */
export type PinRule = (ledger: TokenLedger, attemptId: AttemptId) => boolean;

/** Once a token of one attempt has been forwarded, tokens of other attempts are rejected. */
export const firstAttemptPinned: PinRule = (ledger, attemptId) =>
    ledger.pinnedAttempt === undefined || ledger.pinnedAttempt === attemptId;

/**
 * Accepts tokens that start at index `from` and returns the part that has not been forwarded to the caller yet.
 *
 * @example
 * const decision = acceptTokens(ledger, attemptId, 0, ["Hello", " there"]);
 */
export function acceptTokens(
    ledger: TokenLedger,
    attemptId: AttemptId,
    from: number,
    texts: readonly string[],
    rule: PinRule = firstAttemptPinned,
): TokenDecision {
    if (!rule(ledger, attemptId)) {
        return { action: "drop" };
    }
    if (from > ledger.next) {
        return { action: "ask_again", next: ledger.next };
    }
    const newTexts = texts.slice(ledger.next - from);
    if (newTexts.length === 0) {
        return { action: "drop" };
    }
    const start = ledger.next;
    ledger.pinnedAttempt ??= attemptId;
    ledger.next += newTexts.length;
    return { action: "forward", texts: newTexts, from: start };
}

/**
 * Asserts that tokens about to be written continue the answer and come from the pinned attempt.
 *
 * @param written number of tokens written so far
 * @param from index of the first token to write
 * @throws InvariantViolation if they don't
 * @example
 * assertContinues(ledger, written, decision.from, attemptId);
 */
export function assertContinues(ledger: TokenLedger, written: number, from: number, attemptId: AttemptId): void {
    if (from !== written) {
        throw new InvariantViolation(
            "next_token_index_only",
            `${written} tokens were written, but the next ones start at index ${from}`,
        );
    }
    if (ledger.pinnedAttempt !== attemptId) {
        throw new InvariantViolation(
            "one_pinned_attempt",
            `attempt ${ledger.pinnedAttempt} is pinned, but the tokens are from ${attemptId}`,
        );
    }
}
