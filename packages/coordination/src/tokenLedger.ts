/**
 * The entry's account of one answer: which attempt it comes from and which token is next.
 */
import { type AttemptId, InvariantViolation } from "@verbenaspring/model";

/** One answer's account. Owned and changed by the loop. */
export interface TokenLedger {
    /** The attempt that the answer comes from; set by the first token that is forwarded. */
    pinnedAttempt?: AttemptId;
    /** The index of the next token to forward. */
    next: number;
}

/** What to do with a run of tokens. */
export type TokenDecision =
    | { readonly action: "forward"; readonly texts: readonly string[]; readonly from: number; }
    | { readonly action: "drop"; }
    /** Tokens are missing before this run: ask for them again from `next`. */
    | { readonly action: "ask_again"; readonly next: number; };

/** Decides whether tokens of an attempt belong to the answer. */
export type PinRule = (ledger: TokenLedger, attemptId: AttemptId) => boolean;

/** Once an attempt's token has been forwarded, no other attempt's token may be. */
export const firstAttemptPinned: PinRule = (ledger, attemptId) =>
    ledger.pinnedAttempt === undefined || ledger.pinnedAttempt === attemptId;

/**
 * Accepts a run of tokens that starts at `from`: forwards just the part that the caller has not had.
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
    const fresh = texts.slice(ledger.next - from);
    if (fresh.length === 0) {
        return { action: "drop" };
    }
    const start = ledger.next;
    ledger.pinnedAttempt ??= attemptId;
    ledger.next += fresh.length;
    return { action: "forward", texts: fresh, from: start };
}

/**
 * Asserts that a run about to be written continues the answer and comes from the pinned attempt.
 *
 * @throws InvariantViolation where it doesn't
 * @example
 * assertContinues(ledger, written, decision.from, attemptId);
 */
export function assertContinues(ledger: TokenLedger, written: number, from: number, attemptId: AttemptId): void {
    if (from !== written) {
        throw new InvariantViolation("next_token_index_only", `wrote ${written} tokens, next run starts at ${from}`);
    }
    if (ledger.pinnedAttempt !== attemptId) {
        throw new InvariantViolation("one_pinned_attempt", `pinned ${ledger.pinnedAttempt}, tokens of ${attemptId}`);
    }
}
