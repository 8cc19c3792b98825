/**
 * Judges backend servers by how their attempts ended, since a server that fails requests may well pass its own health
 * check. A server that fails many in a row is left out for a while; a floor keeps enough of them in use.
 */
import type { Milliseconds } from "@verbenaspring/model";

/** How the attempts at one server ended lately. */
export interface ServerHealth {
    /** The share of failed attempts, in [0, 1], where late ones weigh more. */
    failureShare: number;
    /** Time to the first byte of an answer, where late ones weigh more; undefined before the first. */
    responseTime: Milliseconds | undefined;
    consecutiveFailures: number;
    ejections: number;
    ejectedUntil: Milliseconds;
}

/** The weight of the newest attempt in a moving average. */
const newestWeight = 0.12;
/** Failures in a row after which a server is left out. */
const failuresUntilEjection = 3;
const shortestEjection: Milliseconds = 1_000;
const longestEjection: Milliseconds = 8_000;
/** The least share of a service's servers that stays in use, whatever their health. */
const leastInUse = 0.5;

/** The health of a server of which nothing is known. */
export function createServerHealth(): ServerHealth {
    return { failureShare: 0, responseTime: undefined, consecutiveFailures: 0, ejections: 0, ejectedUntil: 0 };
}

/**
 * Takes an attempt that the server answered.
 *
 * @example
 * noteSuccess(health, 23);
 */
export function recordSuccess(health: ServerHealth, responseTime: Milliseconds): void {
    health.failureShare *= 1 - newestWeight;
    health.responseTime = health.responseTime === undefined
        ? responseTime
        : health.responseTime + newestWeight * (responseTime - health.responseTime);
    health.consecutiveFailures = 0;
    health.ejections = 0;
}

/**
 * Takes an attempt that the server answered with a failure of its own. That may be for the request's sake, so it only
 * counts for the share, which placement compares with that of the other servers.
 */
export function recordErrorResponse(health: ServerHealth, responseTime: Milliseconds): void {
    const { failureShare } = health;
    recordSuccess(health, responseTime);
    health.failureShare = failureShare + newestWeight * (1 - failureShare);
}

/**
 * Takes an attempt without an answer. Returns whether the server is left out from now on.
 *
 * @param isDown whether nothing listens at the server's address, so that one attempt is enough
 */
export function recordFailure(health: ServerHealth, now: Milliseconds, isDown = false): boolean {
    health.failureShare += newestWeight * (1 - health.failureShare);
    health.consecutiveFailures = isDown ? failuresUntilEjection : health.consecutiveFailures + 1;
    if (health.consecutiveFailures < failuresUntilEjection || now < health.ejectedUntil) {
        return false;
    }
    health.ejectedUntil = now + Math.min(longestEjection, shortestEjection * 2 ** health.ejections);
    health.ejections++;
    health.consecutiveFailures = 0;
    return true;
}

/**
 * The candidates without those that are left out. Where too few would remain, those that come back first stay in use.
 *
 * @example
 * const usable = withoutEjected(servers, server => healthOf(server), now);
 */
export function withoutEjected<Candidate>(
    candidates: readonly Candidate[],
    healthOf: (candidate: Candidate) => ServerHealth | undefined,
    now: Milliseconds,
): readonly Candidate[] {
    const ejectedUntil = (candidate: Candidate): Milliseconds => healthOf(candidate)?.ejectedUntil ?? 0;
    const inUse = candidates.filter(candidate => ejectedUntil(candidate) <= now);
    const least = Math.ceil(candidates.length * leastInUse);
    if (inUse.length >= least) {
        return inUse;
    }
    return [...candidates].sort((one, other) => ejectedUntil(one) - ejectedUntil(other)).slice(0, least);
}
