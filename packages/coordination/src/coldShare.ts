/**
 * Divides the request rate of a backend server that has just started between instances. As with declared limits
 * (`requestLimit.ts`) each instance sends its share, by its rank among the instances that it knows.
 */
import type { LimitShare } from "./requestLimit.js";

/** How many requests a cold server may receive from all instances together. */
export interface ColdRate {
    /** Requests a second that the server is to receive. */
    readonly perSecond: number;
    /** In any second at most `perSecond * overshoot + tolerance` requests may arrive. */
    readonly overshoot: number;
    readonly tolerance: number;
}

/** The number of instances that are assumed by one that knows no other although there are others. */
const assumedInstances = 32;
/** Instances that may send without the others knowing of them: each needs a part of the bound. */
const undetectedInstances = 2;

/**
 * Returns the share of one instance. The rates of all ranks add up to `perSecond`. Rates and bursts together add up to
 * at most the bound, less what instances that are not counted may send. Only the first in rank have a share where the
 * bound is too low for one request at once from each. Where it is too low even for a single one, the rate is reduced.
 *
 * @param rank the rank of the instance for this server, from 0
 * @param instances the number of instances that may send
 * @example
 * const share = coldShare({ perSecond: 31, overshoot: 1.5, tolerance: 5 }, taskRank(own, others, server), 24);
 */
export function coldShare(rate: ColdRate, rank: number, instances: number): LimitShare {
    const { perSecond, overshoot, tolerance } = rate;
    const bound = perSecond * overshoot + tolerance;
    const { perSecond: undetectedRate, burst: undetectedBurst } = undetectedShare(rate, assumedInstances);
    const totalBurst = bound - perSecond - undetectedInstances * (undetectedRate + undetectedBurst);
    const holders = Math.max(1, Math.min(instances, Math.floor(totalBurst)));
    if (rank >= holders) {
        return { perSecond: 0, burst: 0 };
    }
    return totalBurst >= 1
        ? { perSecond: perSecond / holders, burst: totalBurst / holders }
        : { perSecond: Math.max(0, Math.min(perSecond, bound - 1)), burst: 1 };
}

/**
 * Returns the share of an instance that the others may not have counted yet, or that may not know them.
 *
 * @param instances the number of instances that it knows
 * @example
 * const share = undetectedShare({ perSecond: 31, overshoot: 1.5, tolerance: 5 }, 1); // 0.97 requests a second
 */
export function undetectedShare({ perSecond }: ColdRate, instances: number): LimitShare {
    return { perSecond: perSecond / Math.max(assumedInstances, instances), burst: 1 };
}
