/**
 * Divides the request rate that a backend server accepts from all instances together. Instances don't consult each
 * other: each sends its share, by its rank among them. Where the limit is low, only the first in rank have a share, so that
 * the requests that all may send at once stay few.
 */
import type { Milliseconds } from "@verbenaspring/model";

/** The part of a server's limit that one instance may use. */
export interface LimitShare {
    readonly perSecond: number;
    /** The most requests at once, after none for a while. At least 1, or 0 for an instance without a share. */
    readonly burst: number;
}

/** What an instance may send to a server. */
export interface RequestAllowance {
    readonly share: LimitShare;
    /** The requests that it could send at `updatedAt`; may be fractional or negative. */
    readonly requests: number;
    readonly updatedAt: Milliseconds;
}

/** Requests at once that all instances together may send beyond those that the limit allows in a second. */
const totalBurst = 4;
/** A server with a lower limit still gets this many requests a second, so that the end of its limit is noticed. */
const minPerSecond = 0.25;
const millisecondsPerSecond = 1_000;

/**
 * Returns the share of one instance. The shares of all ranks add up to the limit, and their bursts to at most what the
 * limit allows in a second and {@link totalBurst} more.
 *
 * @param perSecond the limit, in requests a second
 * @param rank the rank of the instance for this server, from 0
 * @param instances the number of instances that may send
 * @example
 * const share = limitShare(1.4, taskRank(own, others, server), 5);
 */
export function limitShare(perSecond: number, rank: number, instances: number): LimitShare {
    const holders = Math.max(1, Math.min(instances, Math.floor(totalBurst + perSecond)));
    return rank < holders
        ? { perSecond: Math.max(minPerSecond, perSecond) / holders, burst: (totalBurst + perSecond) / holders }
        : { perSecond: 0, burst: 0 };
}

/** Returns an allowance that starts without requests. */
export function createAllowance(share: LimitShare, now: Milliseconds): RequestAllowance {
    return { share, requests: 0, updatedAt: now };
}

/**
 * Returns the allowance as of now, with a new share from now on.
 *
 * @example
 * allowance = updateAllowance(allowance, allowance.share, now);
 */
export function updateAllowance(
    { share, requests, updatedAt }: RequestAllowance,
    newShare: LimitShare,
    now: Milliseconds,
): RequestAllowance {
    const gained = share.perSecond * (now - updatedAt) / millisecondsPerSecond;
    return { share: newShare, requests: Math.min(newShare.burst, requests + gained), updatedAt: now };
}

/** Returns the allowance after a request was sent. */
export function spendAllowance(allowance: RequestAllowance, now: Milliseconds): RequestAllowance {
    const updated = updateAllowance(allowance, allowance.share, now);
    return { ...updated, requests: updated.requests - 1 };
}

/** Returns the time until a request may be sent: 0 if one may be sent now, infinite without a share. */
export function timeUntilAllowed(allowance: RequestAllowance, now: Milliseconds): Milliseconds {
    const { requests, share } = updateAllowance(allowance, allowance.share, now);
    return requests >= 1 ? 0 : (1 - requests) * millisecondsPerSecond / share.perSecond;
}
