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
export type OrganisationShares = ReadonlyMap<OrganisationId, number>;

/** A rank; the lowest starts first. */
export type QueueOrder = (waiting: WaitingView, shares: OrganisationShares) => number;

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

/** Short work passes long work that does not fit while it holds less than this share of the backend server. */
const passingShare = 0.25;

/** What a choice is made from. */
export interface QueueChoice<Waiting extends WaitingView> {
    readonly queue: Iterable<Waiting>;
    readonly shares: OrganisationShares;
    readonly order: QueueOrder;
    /** Whether the backend server can take an attempt now. */
    readonly fits: (waiting: Waiting) => boolean;
    /** The share of the backend server that short work holds, in [0, 1]; 1 lets none pass. */
    readonly shortShare: number;
}

/**
 * The waiting attempt that starts now, or undefined where none can. Short work passes long work that does not fit, as
 * far as its share goes; the rest of the backend server is kept for the long work, so that it does not starve.
 *
 * @example
 * const next = chooseNext({ queue, shares, order: fairShortFirst, fits, shortShare: 0.1 });
 */
export function chooseNext<Waiting extends WaitingView>(
    { queue, shares, order, fits, shortShare }: QueueChoice<Waiting>,
): Waiting | undefined {
    const first = lowestRank(queue, shares, order, () => true);
    if (first === undefined || fits(first)) {
        return first;
    }
    if (first.workKind === "short" || shortShare >= passingShare) {
        return undefined;
    }
    const passing = lowestRank(queue, shares, order, waiting => waiting.workKind === "short");
    return passing !== undefined && fits(passing) ? passing : undefined;
}

/**
 * How many waiting attempts would start before another one that came now.
 *
 * @example
 * const ahead = countAhead(queue, candidate, shares, fairShortFirst);
 */
export function countAhead(
    queue: Iterable<WaitingView>,
    candidate: WaitingView,
    shares: OrganisationShares,
    order: QueueOrder,
): number {
    const rank = order(candidate, shares);
    let ahead = 0;
    for (const waiting of queue) {
        if (order(waiting, shares) < rank) {
            ahead++;
        }
    }
    return ahead;
}

function lowestRank<Waiting extends WaitingView>(
    queue: Iterable<Waiting>,
    shares: OrganisationShares,
    order: QueueOrder,
    isWanted: (waiting: Waiting) => boolean,
): Waiting | undefined {
    let best: Waiting | undefined;
    let bestRank = Infinity;
    for (const waiting of queue) {
        const rank = order(waiting, shares);
        if (rank < bestRank && isWanted(waiting)) {
            best = waiting;
            bestRank = rank;
        }
    }
    return best;
}
