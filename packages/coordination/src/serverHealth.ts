/**
 * Tracks the health of backend servers by the outcomes of their attempts, since a server that fails requests may still
 * pass its own health check. A server that fails several attempts in a row is ejected for a while, but a minimum share
 * of the servers always stays in use.
 */
import type { Milliseconds } from "@verbenaspring/model";

/** Statistics of the recent attempts at one server. */
export interface ServerHealth {
    /** Moving average of the share of failed attempts, in [0, 1]. */
    failureShare: number;
    /** Moving average of the time to the first byte of an answer; undefined before the first answer. */
    responseTime: Milliseconds | undefined;
    consecutiveFailures: number;
    /** Ejections since the last answer; each doubles the duration of the next one, up to `maxEjection`. */
    ejections: number;
    ejectedUntil: Milliseconds;
}

/** Weight of the newest attempt in the exponential moving averages. */
const smoothingFactor = 0.12;
/** Consecutive failures after which a server is ejected. */
const failuresUntilEjection = 3;
const minEjection: Milliseconds = 1_000;
const maxEjection: Milliseconds = 8_000;
/** Share of a service's servers that stays in use regardless of their health. */
const minShareInUse = 0.5;

/** Creates the health of a server without recorded attempts. */
export function createServerHealth(): ServerHealth {
    return { failureShare: 0, responseTime: undefined, consecutiveFailures: 0, ejections: 0, ejectedUntil: 0 };
}

/**
 * Records an attempt that the server answered without an error.
 *
 * @example
 * recordSuccess(health, 23);
 */
export function recordSuccess(health: ServerHealth, responseTime: Milliseconds): void {
    health.failureShare *= 1 - smoothingFactor;
    health.responseTime = health.responseTime === undefined
        ? responseTime
        : health.responseTime + smoothingFactor * (responseTime - health.responseTime);
    health.consecutiveFailures = 0;
    health.ejections = 0;
}

/**
 * Records an attempt that the server answered with an error. Since the request itself may be the cause, the error
 * doesn't count towards ejection; like any answer, it ends a series of failures. It raises the failure share, which
 * placement compares with that of the other servers.
 */
export function recordErrorResponse(health: ServerHealth, responseTime: Milliseconds): void {
    const { failureShare } = health;
    recordSuccess(health, responseTime);
    health.failureShare = failureShare + smoothingFactor * (1 - failureShare);
}

/**
 * Records an attempt without an answer. Returns whether this ejects the server.
 *
 * @param isDown whether nothing listens at the server's address, in which case one failure is enough
 */
export function recordFailure(health: ServerHealth, now: Milliseconds, isDown = false): boolean {
    health.failureShare += smoothingFactor * (1 - health.failureShare);
    health.consecutiveFailures = isDown ? failuresUntilEjection : health.consecutiveFailures + 1;
    if (health.consecutiveFailures < failuresUntilEjection || now < health.ejectedUntil) {
        return false;
    }
    health.ejectedUntil = now + Math.min(maxEjection, minEjection * 2 ** health.ejections);
    health.ejections++;
    health.consecutiveFailures = 0;
    return true;
}

/**
 * Returns the candidates without ejected servers. If fewer than the minimum share would remain, it returns that many of
 * the candidates, those with the earliest end of their ejection first.
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
    const minCount = Math.ceil(candidates.length * minShareInUse);
    if (inUse.length >= minCount) {
        return inUse;
    }
    return [...candidates].sort((one, other) => ejectedUntil(one) - ejectedUntil(other)).slice(0, minCount);
}
