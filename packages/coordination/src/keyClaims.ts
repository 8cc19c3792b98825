/**
 * Claims of request keys. Every entry folds the same stream of the platform's log, and the lowest offset wins a key, so
 * a non-idempotent request that is asked again through any entry is run by one of them only.
 */
import type { ClaimId, KeyDigest, LogOffset, Milliseconds } from "@verbenaspring/model";
import type { OffsetRecord } from "./configurationFold.js";

/** The answer that a claim's winner recorded. */
export interface ClaimAnswer {
    readonly status: number;
    readonly contentType: string;
    readonly body: string;
}

/** One statement about a key. Many travel in one log record. */
export type ClaimStatement =
    | { readonly type: "claim"; readonly key: KeyDigest; readonly claimId: ClaimId; readonly requestDigest: string; }
    | { readonly type: "release"; readonly key: KeyDigest; readonly claimId: ClaimId; }
    | { readonly type: "answer"; readonly key: KeyDigest; readonly claimId: ClaimId; readonly answer: ClaimAnswer; };

/** A key's winner. */
export interface WinningClaim {
    readonly claimId: ClaimId;
    readonly requestDigest: string;
    readonly readAt: Milliseconds;
    readonly answer?: ClaimAnswer;
}

/** Keys with their winners, in the order in which they were claimed. Owned and changed by the loop. */
export interface ClaimState {
    readonly held: Map<KeyDigest, WinningClaim>;
    next: LogOffset;
    /** True once every record up to the log's end has been folded. */
    caughtUp: boolean;
}

/** A claim whose place in the log is now known. */
export interface ClaimResult {
    readonly claimId: ClaimId;
    readonly key: KeyDigest;
    readonly won: boolean;
    /** True where the key had no holder before, so this claim has not been seen since the key was last free. */
    readonly first: boolean;
    readonly holder: WinningClaim;
}

/** Decides whether a claim wins against the present holder of its key. */
export type ClaimRule = (holder: WinningClaim | undefined, claimId: ClaimId) => boolean;

/** The first claim in the log wins; the same claim appended twice is still the winner. */
export const lowestOffsetWins: ClaimRule = (holder, claimId) => holder === undefined || holder.claimId === claimId;

/** No claims yet. */
export function emptyClaims(): ClaimState {
    return { held: new Map(), next: 0, caughtUp: false };
}

/**
 * Folds records in order and returns a verdict for every claim that they hold.
 *
 * @example
 * const verdicts = foldClaims(claims, records, now);
 */
export function foldClaims(
    state: ClaimState,
    records: readonly OffsetRecord<readonly ClaimStatement[]>[],
    now: Milliseconds,
    rule: ClaimRule = lowestOffsetWins,
): ClaimResult[] {
    const verdicts: ClaimResult[] = [];
    for (const record of records) {
        if (record.offset < state.next) {
            continue;
        }
        state.next = record.offset + 1;
        for (const statement of record.value) {
            foldStatement(state, statement, now, rule, verdicts);
        }
    }
    return verdicts;
}

function foldStatement(
    state: ClaimState,
    statement: ClaimStatement,
    now: Milliseconds,
    rule: ClaimRule,
    verdicts: ClaimResult[],
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
        verdicts.push({
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
 * Forgets keys read longer than `retention` ago. A key repeated after that counts as new.
 *
 * @example
 * forgetClaims(claims, now, 3_600_000);
 */
export function expireClaims(state: ClaimState, now: Milliseconds, retention: Milliseconds): void {
    for (const [key, claim] of state.held) {
        if (now - claim.readAt <= retention) {
            return;
        }
        state.held.delete(key);
    }
}
