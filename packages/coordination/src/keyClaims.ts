/**
 * Claims of request keys. Every entry folds the same stream of the platform's log, and the claim with the lowest offset
 * wins a key. A non-idempotent request that is repeated, through whichever entry, is therefore run by only one of them.
 */
import type { ClaimId, KeyDigest, LogOffset, Milliseconds } from "@verbenaspring/model";
import type { OffsetRecord } from "./configurationFold.js";

/** The answer that the winner of a key recorded. */
export interface ClaimAnswer {
    readonly status: number;
    readonly contentType: string;
    readonly body: string;
}

/** A statement about a key. One log record carries many of them. */
export type ClaimStatement =
    | { readonly type: "claim"; readonly key: KeyDigest; readonly claimId: ClaimId; readonly requestDigest: string; }
    | { readonly type: "release"; readonly key: KeyDigest; readonly claimId: ClaimId; }
    | { readonly type: "answer"; readonly key: KeyDigest; readonly claimId: ClaimId; readonly answer: ClaimAnswer; };

/** The claim that won a key. */
export interface WinningClaim {
    readonly claimId: ClaimId;
    readonly requestDigest: string;
    readonly readAt: Milliseconds;
    readonly answer?: ClaimAnswer;
}

/** Keys with their winning claims, in the order of the claims. Owned by the event loop, which changes it in place. */
export interface ClaimState {
    readonly held: Map<KeyDigest, WinningClaim>;
    next: LogOffset;
    /** True once every record up to the log's end has been folded. */
    caughtUp: boolean;
}

/** The result of a claim, known once its record has been read from the log. */
export interface ClaimResult {
    readonly claimId: ClaimId;
    readonly key: KeyDigest;
    readonly won: boolean;
    /**
     * Whether the key had no holder before, so that this is the first copy of the claim since the key was last free.
     */
    readonly first: boolean;
    readonly holder: WinningClaim;
}

/** Returns whether a claim wins its key from the current holder. */
export type ClaimRule = (holder: WinningClaim | undefined, claimId: ClaimId) => boolean;

/** The first claim in the log wins. The same claim appended twice wins both times. */
export const lowestOffsetWins: ClaimRule = (holder, claimId) => holder === undefined || holder.claimId === claimId;

/** Creates a state without claims. */
export function emptyClaims(): ClaimState {
    return { held: new Map(), next: 0, caughtUp: false };
}

/**
 * Folds records in order of offset and returns the result of every claim in them. Records below the next offset are
 * ignored.
 *
 * @example
 * const results = foldClaims(claims, records, now);
 */
export function foldClaims(
    state: ClaimState,
    records: readonly OffsetRecord<readonly ClaimStatement[]>[],
    now: Milliseconds,
    rule: ClaimRule = lowestOffsetWins,
): ClaimResult[] {
    const results: ClaimResult[] = [];
    for (const record of records) {
        if (record.offset < state.next) {
            continue;
        }
        state.next = record.offset + 1;
        for (const statement of record.value) {
            foldStatement(state, statement, now, rule, results);
        }
    }
    return results;
}

function foldStatement(
    state: ClaimState,
    statement: ClaimStatement,
    now: Milliseconds,
    rule: ClaimRule,
    results: ClaimResult[],
): void {
    const holder = state.held.get(statement.key);
    if (statement.type === "claim") {
        const won = rule(holder, statement.claimId);
        const claim = holder !== undefined && holder.claimId === statement.claimId
            ? holder
            : { claimId: statement.claimId, requestDigest: statement.requestDigest, readAt: now };
        if (won) {
            state.held.set(statement.key, claim);
        }
        results.push({
            claimId: statement.claimId,
            key: statement.key,
            won,
            first: holder === undefined,
            holder: won ? claim : holder!,
        });
        return;
    }
    if (holder?.claimId !== statement.claimId) {
        return;
    }
    if (statement.type === "release") {
        state.held.delete(statement.key);
        return;
    }
    state.held.set(statement.key, { ...holder, answer: statement.answer });
}

/**
 * Removes keys whose claim was read more than `retention` ago. A key that is repeated later counts as new.
 *
 * @example
 * expireClaims(claims, now, 3_600_000);
 */
export function expireClaims(state: ClaimState, now: Milliseconds, retention: Milliseconds): void {
    for (const [key, claim] of state.held) {
        if (now - claim.readAt <= retention) {
            return;
        }
        state.held.delete(key);
    }
}
