/**
 * Divides work that one instance does for all, without an election: each instance ranks itself among those that it knows
 * to live. The first does the work; the next ones do it too once nothing has come for a time that grows with the rank.
 * Two that do it at once only cost a call.
 */
import type { Milliseconds } from "@verbenaspring/model";
import { hashText } from "./hash.js";

/** How long an instance waits for the others' work. */
export interface TakeoverTimeouts {
    /** For the second in rank. */
    readonly base: Milliseconds;
    /** More for each further rank. */
    readonly step: Milliseconds;
    /** For all further ranks; many that do the work at once are better than nobody. */
    readonly max: Milliseconds;
}

/**
 * This instance's rank for a duty: 0 does it. Ranks differ by duty, so that no instance does all.
 *
 * @example
 * const rank = dutyRank("10.1.0.19:8748", livePeers, "configuration");
 */
export function taskRank(own: string, others: Iterable<string>, duty: string): number {
    const rankOf = (name: string): number => hashText(`${duty}/${name}`);
    const ownRank = rankOf(own);
    return [...others].filter(other => rankOf(other) < ownRank).length;
}

/** How old the work of others may be before an instance of this rank does it by itself; at once for the first. */
export function takeoverTimeout(rank: number, { base, step, max: longest }: TakeoverTimeouts): Milliseconds {
    return rank === 0 ? 0 : Math.min(longest, base + step * (rank - 1));
}
