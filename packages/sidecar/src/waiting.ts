/**
 * The queue as those who wait in it see it: who is ahead, and how long it will take.
 */
import { countAhead, expectedWait, type OrganisationShares, type Work } from "@verbenaspring/coordination";
import type { Milliseconds, OrganisationId } from "@verbenaspring/model";
import type { Generation, SidecarAttempt, SidecarState } from "./state.js";
import type { Transaction } from "./transaction.js";

/** A queued attempt with what its order depends on. */
export interface WaitingAttempt extends Pick<Work, "organisation" | "workKind" | "weight"> {
    readonly attempt: SidecarAttempt;
    readonly work: Work;
    readonly arrivedAt: Milliseconds;
}

/** What an attempt can expect. */
export interface WaitForecast {
    /** Attempts of its kind that start before it. */
    readonly ahead: number;
    readonly expected: Milliseconds;
}

/** The queue. */
export function waitingAttempts(state: SidecarState): WaitingAttempt[] {
    return [...state.queue].map(id => waitingAttempt(state.attempts.get(id)!));
}

/** An attempt as the queue's order sees it. */
export function waitingAttempt(attempt: SidecarAttempt): WaitingAttempt {
    const work = attempt.work!;
    const { organisation, workKind, weight } = work;
    return { attempt, work, organisation, workKind, weight, arrivedAt: attempt.arrivedAt };
}

/** The running attempts of each organisation, divided by its weight. */
export function heldShares(state: SidecarState): OrganisationShares {
    const shares = new Map<OrganisationId, number>();
    for (const { work: { organisation, weight } } of runningGenerations(state)) {
        shares.set(organisation, (shares.get(organisation) ?? 0) + 1 / weight);
    }
    return shares;
}

/** The generations that the backend server works on. */
export function runningGenerations(state: SidecarState): Generation[] {
    return [...state.running].map(id => state.generations.get(id)!);
}

/** Forecasts the wait of an attempt, from those of its kind: short work hardly waits for long. */
export function forecastWait({ state, policies: parts }: Transaction, attempt: SidecarAttempt): WaitForecast {
    const candidate = waitingAttempt(attempt);
    const { workKind } = candidate;
    const sameKind = waitingAttempts(state).filter(waiting => waiting.workKind === workKind);
    const ahead = countAhead(sameKind, candidate, heldShares(state), parts.queueOrder);
    const running = runningGenerations(state).filter(({ work }) => work.workKind === workKind).length;
    return { ahead, expected: expectedWait(ahead, running, state.meanDurations[workKind]) };
}

/** The wait of long work that came now, which is what routing compares. */
export function forecastQueueWait(state: SidecarState): Milliseconds {
    return state.queue.size === 0 ? 0 : expectedWait(state.queue.size, state.running.size, state.meanDurations.long);
}
