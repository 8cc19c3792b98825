/**
 * Assigns a task to one instance on behalf of all, without an election. Each instance computes its rank for the task
 * among the instances that it knows to be alive. The first in rank performs the task; the others take over if no result
 * has arrived within a timeout that grows with the rank. If two instances perform it at once, that costs only one extra
 * call.
 */
import type { Milliseconds } from "@verbenaspring/model";
import { hashText } from "./hash.js";

/** Timeouts after which an instance performs a task that is assigned to another. */
export interface TakeoverTimeouts {
    /** Timeout of the second in rank. */
    readonly base: Milliseconds;
    /** Added for each further rank. */
    readonly step: Milliseconds;
    /** Upper bound for all ranks: many instances doing the work at once are better than none. */
    readonly max: Milliseconds;
}

/**
 * Returns the rank of this instance for a task; rank 0 performs it. Ranks differ by task, so that no instance performs
 * all of them.
 *
 * @example
 * const rank = taskRank("10.1.0.19:8748", livePeers, "configuration");
 */
export function taskRank(own: string, others: Iterable<string>, task: string): number {
    const rankOf = (name: string): number => hashText(`${task}/${name}`);
    const ownRank = rankOf(own);
    return [...others].filter(other => rankOf(other) < ownRank).length;
}

/** Returns the age of the last result at which an instance of this rank performs the task; 0 for the first in rank. */
export function takeoverTimeout(rank: number, { base, step, max }: TakeoverTimeouts): Milliseconds {
    return rank === 0 ? 0 : Math.min(max, base + step * (rank - 1));
}
