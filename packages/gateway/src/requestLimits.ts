/**
 * The request limits that backend servers declare in their answers: the requests a second that a server accepts from
 * all gateways together. Gateways report the limits to each other, and each sends its share.
 */
import {
    createAllowance,
    type LimitShare,
    limitShare,
    type RequestAllowance,
    spendAllowance,
    taskRank,
    timeUntilAllowed,
    updateAllowance,
} from "@verbenaspring/coordination";
import type { BackendServerId, Milliseconds } from "@verbenaspring/model";
import { recentMembers } from "./members.js";
import type { ResponseHead } from "./messages.js";
import type { PeerRequestLimit } from "./peerReport.js";
import { publishAndReport } from "./peers.js";
import type { Attempt, GatewayState } from "./state.js";
import { logDecision, type Transaction } from "./transaction.js";

/** The newest known declaration of a server. */
export interface RequestLimit {
    /** Undefined if the server declares none any more. */
    readonly perSecond: number | undefined;
    /** When it was declared, or the earliest time at which it can have been if another gateway observed it. */
    readonly observedAt: Milliseconds;
    /** Whether it was in an answer to this gateway, and not to another one. */
    readonly isOwnObservation: boolean;
    /** This gateway's place among those that send to the server; undefined without a limit. */
    readonly standing: Standing | undefined;
    /** What this gateway may send while there is a limit. */
    readonly allowance: RequestAllowance;
}

/** The rank of a gateway among those that are assumed to send. */
interface Standing {
    readonly rank: number;
    readonly instances: number;
    readonly countedAt: Milliseconds;
}

/** The limits of all servers that have ever declared one. Owned and changed by the event loop. */
export type RequestLimits = Map<BackendServerId, RequestLimit>;

type Observation = Pick<RequestLimit, "perSecond" | "observedAt" | "isOwnObservation">;

/** How long an observation is published: until it has certainly reached every gateway. */
const publishedFor: Milliseconds = 5_000;
/** How often the shares follow changes of the gateways that are alive. */
const standingUpdateInterval: Milliseconds = 500;
const noShare: LimitShare = { perSecond: 0, burst: 0 };

/**
 * Records the limit that an answer of the attempt's server declares. An answer without one ends the limit, unless its
 * request was sent before the limit was last declared: answers may overtake each other.
 */
export function recordRequestLimit(transaction: Transaction, attempt: Attempt, { requestLimit }: ResponseHead): void {
    const { state: { requestLimits }, now } = transaction;
    const { id } = attempt.server.record;
    const known = requestLimits.get(id);
    if (requestLimit === "unreadable") {
        return logDecision(transaction, "warn", "request_limit_unreadable", { server: id });
    }
    if (requestLimit === undefined && (known === undefined || attempt.startedAt < known.observedAt)) {
        return;
    }
    setRequestLimit(transaction, id, { perSecond: requestLimit, observedAt: now, isOwnObservation: true });
    if ((requestLimit === undefined) !== (known?.perSecond === undefined)) {
        publishAndReport(transaction);
    }
}

/**
 * Applies a limit that another gateway observed, if it is certain to be newer than the known one.
 *
 * @param publishedNotBefore the earliest time at which the other gateway can have published it; -Infinity if unknown
 */
export function applyPeerLimit(
    transaction: Transaction,
    { backendServer, perSecond, age }: PeerRequestLimit,
    publishedNotBefore: Milliseconds,
): void {
    const { requestLimits, servers } = transaction.state;
    const observedAt = publishedNotBefore - age;
    const known = requestLimits.get(backendServer);
    const server = servers.get(backendServer);
    // What was observed before the server restarted does not apply to its new incarnation.
    const isOfIncarnation = server !== undefined && observedAt >= (server.restart?.learnedAt ?? -Infinity);
    if (isOfIncarnation && (known === undefined || known.observedAt < observedAt)) {
        setRequestLimit(transaction, backendServer, { perSecond, observedAt, isOwnObservation: false });
    }
}

function setRequestLimit(transaction: Transaction, id: BackendServerId, observation: Observation): void {
    const { state, now } = transaction;
    const previous = state.requestLimits.get(id);
    const { perSecond } = observation;
    const standing = perSecond === undefined ? undefined : previous?.standing ?? standingFor(state, id, now);
    const share = perSecond === undefined || standing === undefined ? noShare : shareOf(perSecond, standing);
    const allowance = previous?.perSecond === undefined
        ? createAllowance(share, now)
        : updateAllowance(previous.allowance, share, now);
    state.requestLimits.set(id, { ...observation, standing, allowance });
    if (perSecond !== previous?.perSecond) {
        logDecision(transaction, "info", "request_limit_changed", {
            server: id,
            limit: perSecond,
            previous: previous?.perSecond,
            share: Math.round(100 * share.perSecond) / 100,
            isOwnObservation: observation.isOwnObservation,
        });
    }
}

/** Updates the shares of this gateway when others have started or stopped. */
export function updateLimitShares({ state, now }: Transaction): void {
    for (const [id, limit] of state.requestLimits) {
        const { perSecond, standing } = limit;
        if (perSecond !== undefined && standing !== undefined && now - standing.countedAt >= standingUpdateInterval) {
            const newStanding = standingFor(state, id, now);
            const allowance = updateAllowance(limit.allowance, shareOf(perSecond, newStanding), now);
            state.requestLimits.set(id, { ...limit, standing: newStanding, allowance });
        }
    }
}

function standingFor(state: GatewayState, id: BackendServerId, now: Milliseconds): Standing {
    const others = recentMembers(state, now).map(({ record }) => record.address);
    const rank = taskRank(state.options.peerAddress, others, id);
    return { rank, instances: others.length + 1, countedAt: now };
}

function shareOf(perSecond: number, { rank, instances }: Standing): LimitShare {
    return limitShare(perSecond, rank, instances);
}

/** Counts a request that is sent to a server towards its limit. */
export function spendRequest({ requestLimits }: GatewayState, id: BackendServerId, now: Milliseconds): void {
    const limit = requestLimits.get(id);
    if (limit?.perSecond !== undefined) {
        requestLimits.set(id, { ...limit, allowance: spendAllowance(limit.allowance, now) });
    }
}

/** Whether a server declares a limit. */
export function isLimited({ requestLimits }: GatewayState, id: BackendServerId): boolean {
    return requestLimits.get(id)?.perSecond !== undefined;
}

/** Whether the limit of a server, if it declares one, allows this gateway to send a request now. */
export function isWithinLimit({ requestLimits }: GatewayState, id: BackendServerId, now: Milliseconds): boolean {
    const limit = requestLimits.get(id);
    return limit?.perSecond === undefined || timeUntilAllowed(limit.allowance, now) === 0;
}

/** The time until the limit of a server allows this gateway another request; infinite if it has no share of it. */
export function timeUntilWithinLimit(
    { requestLimits }: GatewayState,
    id: BackendServerId,
    now: Milliseconds,
): Milliseconds {
    const limit = requestLimits.get(id);
    return limit?.perSecond === undefined ? 0 : timeUntilAllowed(limit.allowance, now);
}

/** The limits that this gateway observed a short time ago, as it publishes them. */
export function observedLimits({ requestLimits }: GatewayState, now: Milliseconds): PeerRequestLimit[] {
    return [...requestLimits]
        .filter(([, { isOwnObservation, observedAt }]) => isOwnObservation && now - observedAt <= publishedFor)
        .map(([backendServer, { perSecond, observedAt }]) => ({ backendServer, perSecond, age: now - observedAt }));
}
