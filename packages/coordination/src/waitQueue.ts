/**
 * The order in which waiting attempts start: short work before long work, organisations with little running work before
 * those with much, and older attempts before newer ones.
 */
import type { Milliseconds, OrganisationId } from "@verbenaspring/model";

/** The properties of a waiting attempt that the queue order uses. */
export interface WaitingView {
    readonly organisation: OrganisationId;
    readonly workKind: "short" | "long";
    readonly weight: number;
    readonly arrivedAt: Milliseconds;
}

/** The running attempts of each organisation at the backend server, divided by the weight of the organisation. */
export type OrganisationShares = ReadonlyMap<OrganisationId, number>;

/** Returns the rank of a waiting attempt; the lowest rank starts first. */
export type QueueOrder = (waiting: WaitingView, shares: OrganisationShares) => number;

/**
 * Long attempts rank as if they had arrived this much later, so later short work can pass them for at most this time.
 */
const longWorkPenalty: Milliseconds = 10_000;
/** Attempts rank as if they had arrived this much later for each running attempt of their organisation, at weight 1. */
const sharePenalty: Milliseconds = 2_000;
const maxSharePenalty: Milliseconds = 20_000;

/** Baseline: first in, first out. */
export const firstInFirstOut: QueueOrder = waiting => waiting.arrivedAt;

/** Short work first, and fair between organisations. All penalties are bounded, so no attempt starves. */
export const fairShortFirst: QueueOrder = (waiting, shares) => {
    const workPenalty = waiting.workKind === "long" ? longWorkPenalty : 0;
    const share = shares.get(waiting.organisation) ?? 0;
    return waiting.arrivedAt + workPenalty + Math.min(maxSharePenalty, share * sharePenalty);
};

/** Short work may overtake long work that does not fit while it holds less than this share of the backend server. */
const overtakingShare = 0.25;

/** The input of {@link chooseNext}. */
export interface QueueChoice<Waiting extends WaitingView> {
    readonly queue: Iterable<Waiting>;
    readonly shares: OrganisationShares;
    readonly order: QueueOrder;
    /** Returns whether the backend server has capacity for an attempt now. */
    readonly fits: (waiting: Waiting) => boolean;
    /** The share of the backend server that short work holds, in [0, 1]; 1 disables overtaking. */
    readonly shortShare: number;
}

/**
 * Returns the waiting attempt to start now, or undefined if none can start. Short work may overtake long work that does
 * not fit, up to its share. The rest of the backend server stays reserved for the long work, so that it does not
 * starve.
 *
 * @example
 * const next = chooseNext({ queue, shares, order: fairShortFirst, fits, shortShare: 0.1 });
 */
export function chooseNext<Waiting extends WaitingView>(
    { queue, shares, order, fits, shortShare }: QueueChoice<Waiting>,
): Waiting | undefined {
    const first = findLowestRank(queue, shares, order, () => true);
    if (first === undefined || fits(first)) {
        return first;
    }
    if (first.workKind === "short" || shortShare >= overtakingShare) {
        return undefined;
    }
    const overtaking = findLowestRank(queue, shares, order, waiting => waiting.workKind === "short");
    return overtaking !== undefined && fits(overtaking) ? overtaking : undefined;
}

/**
 * Counts the waiting attempts that would start before a candidate.
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

function findLowestRank<Waiting extends WaitingView>(
    queue: Iterable<Waiting>,
    shares: OrganisationShares,
    order: QueueOrder,
    isEligible: (waiting: Waiting) => boolean,
): Waiting | undefined {
    let best: Waiting | undefined;
    let bestRank = Infinity;
    for (const waiting of queue) {
        const rank = order(waiting, shares);
        if (rank < bestRank && isEligible(waiting)) {
            best = waiting;
            bestRank = rank;
        }
    }
    return best;
}
