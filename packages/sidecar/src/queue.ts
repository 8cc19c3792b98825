/**
 * The queue of waiting attempts: what its order depends on, and how long an attempt in it will wait.
 */
import { countAhead, expectedWait, type OrganisationShares, type Work } from "@verbenaspring/coordination";
import type { Milliseconds, OrganisationId } from "@verbenaspring/model";
import type { Generation, SidecarAttempt, SidecarState } from "./state.js";
import type { Transaction } from "./transaction.js";

/** A queued attempt with the properties that its place in the order depends on. */
export interface WaitingAttempt extends Pick<Work, "organisation" | "workKind" | "weight"> {
    readonly attempt: SidecarAttempt;
    readonly work: Work;
    readonly arrivedAt: Milliseconds;
}

/** The forecast wait of one attempt. */
export interface WaitForecast {
    /** Waiting attempts of the same work kind that start before it. */
    readonly ahead: number;
    readonly expected: Milliseconds;
}

/** Lists the queued attempts in order of arrival. */
export function listWaitingAttempts(state: SidecarState): WaitingAttempt[] {
    return [...state.queue].map(id => createWaitingAttempt(state.attempts.get(id)!));
}

/** Creates the view of an attempt that the queue's order is defined on. */
export function createWaitingAttempt(attempt: SidecarAttempt): WaitingAttempt {
    const work = attempt.work!;
    const { organisation, workKind, weight } = work;
    return { attempt, work, organisation, workKind, weight, arrivedAt: attempt.arrivedAt };
}

/** Sums the running generations of each organisation, divided by its weight. */
export function sumHeldShares(state: SidecarState): OrganisationShares {
    const shares = new Map<OrganisationId, number>();
    for (const { work: { organisation, weight } } of listRunningGenerations(state)) {
        shares.set(organisation, (shares.get(organisation) ?? 0) + 1 / weight);
    }
    return shares;
}

/** Lists the generations that are running at the backend server. */
export function listRunningGenerations(state: SidecarState): Generation[] {
    return [...state.running].map(id => state.generations.get(id)!);
}

/** Forecasts the wait of an attempt. Only work of its kind counts, since short work hardly waits for long work. */
export function forecastWait({ state, policies }: Transaction, attempt: SidecarAttempt): WaitForecast {
    const candidate = createWaitingAttempt(attempt);
    const { workKind } = candidate;
    const sameKind = listWaitingAttempts(state).filter(waiting => waiting.workKind === workKind);
    const ahead = countAhead(sameKind, candidate, sumHeldShares(state), policies.queueOrder);
    const running = listRunningGenerations(state).filter(({ work }) => work.workKind === workKind).length;
    return { ahead, expected: expectedWait(ahead, running, state.meanDurations[workKind]) };
}

/** Forecasts the wait of long work that would arrive now. Routing compares this figure. */
export function forecastQueueWait(state: SidecarState): Milliseconds {
    return state.queue.size === 0 ? 0 : expectedWait(state.queue.size, state.running.size, state.meanDurations.long);
}
