/**
 * Replicas of runs at other servers: whether there is evidence of one, and whether its holder accepts the run.
 */
import type { Milliseconds } from "@verbenaspring/model";
import type { BackendServer } from "./backendServers.js";
import { hasGivenNotice } from "./leavingServers.js";
import { isWithinLimit } from "./requestLimits.js";
import type { EngineCapabilities } from "./routingConfiguration.js";
import { engineOf } from "./serverLoad.js";
import { isPaused } from "./serverPauses.js";
import type { Attempt, GatewayRequest, GatewayState } from "./state.js";
import { hasSameVersion } from "./streamVersions.js";
import type { Transaction } from "./transaction.js";

/** The longest time between two updates of a replica. The platform sends several in a second. */
const replicaUpdateInterval: Milliseconds = 500;
/** A transfer between failure domains takes so many times as long as one within. */
const remoteTransferFactor = 2;

/**
 * How long after this gateway learned that a server is leaving the server still accepts streams that would otherwise be
 * lost. Its announcement takes a second or two to spread, and the platform allows three seconds from the announcement
 * to the last request.
 */
const takeoverWindow: Milliseconds = 1_000;

/**
 * Whether there is evidence of a run's replica: the run has produced events for long enough that its memory was
 * transferred, and has not been silent for longer than a replica is kept. A holder without a replica may run the request
 * from its beginning. No message says whether a holder has had room for a replica.
 */
function isReplicaEvident(
    { state, now }: Transaction,
    { head, service }: GatewayRequest,
    { firstEventAt, lastActivityAt }: Attempt,
): boolean {
    const engine = engineOf(state, service);
    if (engine === undefined || firstEventAt === undefined) {
        return false;
    }
    const completeAfter = replicaUpdateInterval + transferTime(engine, head.promptTokens);
    return lastActivityAt - firstEventAt >= completeAfter && now - lastActivityAt <= engine.replicaLifetime;
}

/** The server at which a lost run can continue from its replica; undefined if there is none. */
export function findReplica(
    transaction: Transaction,
    request: GatewayRequest,
    attempt: Attempt,
): BackendServer | undefined {
    return isReplicaEvident(transaction, request, attempt)
        ? usableReplica(transaction.state, attempt, transaction.now)
        : undefined;
}

function transferTime({ transferRate }: EngineCapabilities, tokens: number): Milliseconds {
    return remoteTransferFactor * tokens / transferRate;
}

/** The holder of a run's replica, if it is still registered as the same incarnation and accepts the run. */
export function usableReplica(
    state: GatewayState,
    { server, replica }: Attempt,
    now: Milliseconds,
): BackendServer | undefined {
    const holder = replica === undefined ? undefined : acceptingHolder(state, replica, server, now);
    return holder?.removedAt === undefined ? holder : undefined;
}

/**
 * A server as it is known now, if it accepts a run of another server and is the incarnation that it was: one that has
 * started again under its id has lost its replicas.
 */
export function acceptingHolder(
    state: GatewayState,
    { record: { id, startedAt } }: BackendServer,
    origin: BackendServer,
    now: Milliseconds,
): BackendServer | undefined {
    const known = state.servers.get(id);
    const isSame = known !== undefined && known.record.startedAt === startedAt;
    return isSame && acceptsTakeover(state, known, origin, now) ? known : undefined;
}

/** Whether a server accepts a stream of another one that would otherwise be lost. */
function acceptsTakeover(
    state: GatewayState,
    { record, leavingSince }: BackendServer,
    origin: BackendServer,
    now: Milliseconds,
): boolean {
    const isStaying = leavingSince === undefined || now - leavingSince <= takeoverWindow;
    return isStaying && hasSameVersion(record, origin.record) && !hasGivenNotice(state, record)
        && isWithinLimit(state, record.id, now)
        && !isPaused(state, record.id, now);
}
