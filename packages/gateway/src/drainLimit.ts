/**
 * How long requests may be sent to a server that leaves. The platform counts from its acknowledgement of the leaving, which
 * a gateway learns later: it counts from the earliest time at which the acknowledgement can have been given.
 */
import type { Milliseconds } from "@verbenaspring/model";
import type { BackendServer } from "./backendServers.js";
import type { GatewayState } from "./state.js";
import type { Transaction } from "./transaction.js";

/** The bound of a platform whose settings state none. */
const defaultDrainLimit: Milliseconds = 2_000;
/** A request reaches its server this long after it was sent at the latest, as a new connection may take it. */
const longestDelivery: Milliseconds = 400;
/** How old a view of the servers becomes while the store answers any gateway: the last takeover, and a read that fails. */
const longestViewAge: Milliseconds = 2_300;
/** A view of the servers is no older than this while each read of them gets its answer. */
const usualViewAge: Milliseconds = 600;
/** A gateway whose last report was created less than this ago is in contact, and would have reported reads of its own. */
const contactTimeout: Milliseconds = 1_000;

/**
 * The earliest time at which the platform can have acknowledged a leaving that this gateway learns now: when its view of
 * the servers was last known to be complete. If the view is older than while any gateway can read, and the reads of this
 * one got no answer since, the store was out and acknowledged nothing meanwhile.
 *
 * @example
 * const change = applyRemoval(state.servers, id, now, earliestAcknowledgement(transaction));
 */
export function earliestAcknowledgement({ state, now }: Transaction): Milliseconds {
    const { knownAsOf, lastFailure } = state.followers.backendServers;
    if (knownAsOf === undefined || lastFailure === undefined || lastFailure.at < knownAsOf) {
        return knownAsOf ?? now;
    }
    // A store that refuses the reads of one gateway may serve others.
    const wasStoreOut = now - knownAsOf > longestViewAge
        && (lastFailure.failure !== "refused" || isInContact(state, now));
    return wasStoreOut ? now : knownAsOf;
}

function isInContact({ peers }: GatewayState, now: Milliseconds): boolean {
    return [...peers.values()].some(({ link, reportedAsOf }) =>
        link === "open" && reportedAsOf !== undefined && now - reportedAsOf <= contactTimeout
    );
}

/**
 * Whether a request that is sent now reaches a server before the platform expects no more requests there.
 *
 * @example
 * const accepting = leaving.filter(server => isWithinDrainLimit(state, server, now));
 */
export function isWithinDrainLimit(
    { options }: GatewayState,
    { leavingNotBefore }: BackendServer,
    now: Milliseconds,
): boolean {
    return leavingNotBefore === undefined
        || now + longestDelivery <= leavingNotBefore + (options.drainLimit ?? defaultDrainLimit);
}

/**
 * For how long a server that leaves is certain to keep running: the drain limit at least, counted from the earliest time at
 * which its leaving can have been acknowledged.
 */
export function certainRunTime(
    { options }: GatewayState,
    { leavingNotBefore }: Pick<BackendServer, "leavingNotBefore">,
    now: Milliseconds,
): Milliseconds {
    return Math.max(0, (leavingNotBefore ?? now) + (options.drainLimit ?? defaultDrainLimit) - now);
}

/** When the drain limit of a server that leaves ends, whose leaving was acknowledged between two views of the servers. */
export interface DrainEnd {
    readonly earliest: Milliseconds;
    readonly latest: Milliseconds;
}

/** When the drain limit of a server ends; undefined if it does not leave, or if the views were too far apart to tell. */
export function drainEnd(
    { options }: GatewayState,
    { leavingNotBefore, leavingSince }: Pick<BackendServer, "leavingNotBefore" | "leavingSince">,
): DrainEnd | undefined {
    if (
        leavingNotBefore === undefined || leavingSince === undefined || leavingSince - leavingNotBefore > usualViewAge
    ) {
        return undefined;
    }
    const limit = options.drainLimit ?? defaultDrainLimit;
    return { earliest: leavingNotBefore + limit, latest: leavingSince + limit };
}
