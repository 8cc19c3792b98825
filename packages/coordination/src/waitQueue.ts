/**
 * The order in which waiting attempts start: short work before long, organisations by the share they already hold,
 * and everything in turn as it ages.
 */
import type { Milliseconds, OrganisationId } from "@verbenaspring/model";

/** A waiting attempt as the order sees it. */
export interface WaitingView {
    readonly organisation: OrganisationId;
    readonly workKind: "short" | "long";
    readonly weight: number;
    readonly arrivedAt: Milliseconds;
}

/** What each organisation holds of the backend server now: running attempts divided by its weight. */
export type HeldShares = ReadonlyMap<OrganisationId, number>;

/** A rank; the lowest starts first. */
export type QueueOrder = (waiting: WaitingView, shares: HeldShares) => number;

/** A long attempt starts as if it had come this much later; so it is passed over for that long at most. */
const longWorkHandicap: Milliseconds = 10_000;
/** Each running attempt of the organisation, at weight 1, counts as this much later an arrival. */
const shareHandicap: Milliseconds = 2_000;
const mostShareHandicap: Milliseconds = 20_000;

/** Baseline: first in, first out. */
export const firstInFirstOut: QueueOrder = waiting => waiting.arrivedAt;

/** Short before long and fair between organisations. Every handicap is bounded, so nothing starves. */
export const fairShortFirst: QueueOrder = (waiting, shares) => {
    const handicap = waiting.workKind === "long" ? longWorkHandicap : 0;
    const share = shares.get(waiting.organisation) ?? 0;
    return waiting.arrivedAt + handicap + Math.min(mostShareHandicap, share * shareHandicap);
};

/**
 * The waiting attempt that starts next, or undefined where none waits.
 *
 * @example
 * const next = chooseNext(queue, shares, fairShortFirst);
 */
export function chooseNext<Waiting extends WaitingView>(
    queue: Iterable<Waiting>,
    shares: HeldShares,
    order: QueueOrder,
): Waiting | undefined {
    let best: Waiting | undefined;
    let bestRank = Infinity;
    for (const waiting of queue) {
        const rank = order(waiting, shares);
        if (rank < bestRank) {
            best = waiting;
            bestRank = rank;
        }
    }
    return best;
}
