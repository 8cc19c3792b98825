/**
 * The runs that a request may have begun. Each send enters the ledger, and leaves it only on evidence that it began no
 * run: its server refused it, or it was never sent.
 */
import type { AttemptId } from "@verbenaspring/model";

/** The sends that may have begun a run. */
export interface RunLedger {
    /** Sends that begin a run of their own. */
    readonly newRuns: Set<AttemptId>;
    /** Sends that continue the run of an earlier send from its replica. */
    readonly continuations: Set<AttemptId>;
}

/** The ledger of a request that was not sent yet. */
export function createRunLedger(): RunLedger {
    return { newRuns: new Set(), continuations: new Set() };
}

/** Records a send before it is made. */
export function recordSend(ledger: RunLedger, attemptId: AttemptId, isContinuation: boolean): void {
    (isContinuation ? ledger.continuations : ledger.newRuns).add(attemptId);
}

/** Records the evidence that a send began no run. */
export function recordNoRun(ledger: RunLedger, attemptId: AttemptId): void {
    ledger.newRuns.delete(attemptId);
    ledger.continuations.delete(attemptId);
}

/**
 * How often the request may have run. Continuations count with the run that they continue.
 *
 * @example
 * recordSend(ledger, first, false);
 * recordSend(ledger, second, true);
 * countPossibleRuns(ledger); // 1
 */
export function countPossibleRuns({ newRuns, continuations }: RunLedger): number {
    return Math.max(newRuns.size, Math.min(1, continuations.size));
}
