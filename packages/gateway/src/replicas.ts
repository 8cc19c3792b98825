/**
 * Replicas of runs at other servers: whether one is likely to exist, and whether its holder accepts the run.
 */
import type { Milliseconds } from "@verbenaspring/model";
import type { BackendServer } from "./backendServers.js";
import { isWithinDrainLimit } from "./drainLimit.js";
import { isEvacuated } from "./evacuations.js";
import { hasGivenNotice } from "./leavingServers.js";
import type { EngineCapabilities } from "./routingConfiguration.js";
import { acceptsRequest, engineOf } from "./serverLoad.js";
import type { Attempt, GatewayRequest, GatewayState, RunCopy } from "./state.js";
import { hasSameVersion } from "./streamVersions.js";
import type { Transaction } from "./transaction.js";

/** The assumed longest time between two updates of a replica. The platform sends several in a second. */
const replicaUpdateInterval: Milliseconds = 500;
/** The most of a pause between two reads of events that counts as time in which the run produced events. */
const longestCountedPause: Milliseconds = 200;
/** A transfer between failure domains takes so many times as long as one within. */
const remoteTransferFactor = 2;

/**
 * How long after this gateway learnt that a server is leaving the server still accepts streams that would otherwise be
 * lost: later it would leave before they end.
 */
const takeoverWindow: Milliseconds = 1_000;

/**
 * Updates the time for which a run is known to have produced events, when events of it are read. Events that are read
 * after a freeze of the gateway or a preemption of the run say little of the time before them.
 */
export function recordProduction(
    state: GatewayState,
    { service }: GatewayRequest,
    attempt: Attempt,
    now: Milliseconds,
): void {
    const engine = engineOf(state, service);
    const pause = now - attempt.lastActivityAt;
    if (engine === undefined || attempt.firstEventAt === undefined) {
        return;
    }
    attempt.producingTime = pause > keptFor(engine)
        ? 0
        : attempt.producingTime + Math.min(pause, longestCountedPause);
}

/** Whether a replica of a run is to be expected, and by what. */
export interface ReplicaExpectation {
    /** How long the run is known to have produced events. */
    readonly producingTime: Milliseconds;
    /** For how long it has to do so until its memory was transferred. */
    readonly completeAfter: Milliseconds;
    /** Why no replica is to be expected; undefined if one is. */
    readonly lack: ReplicaLack | undefined;
}

/** Why no replica of a run is to be expected. */
export type ReplicaLack = "not_begun" | "too_young" | "ended" | "expired";

/**
 * Whether a replica of a run is to be expected: the run has produced events for long enough that its memory was
 * transferred, has not been silent for longer than a replica is kept, and has not ended. A holder without a replica is
 * to refuse the request, but one that loses its answers begins it anew. No message says whether a holder has had room
 * for a replica, and of a run that ended early only the end says so. Undefined if the service has no engines.
 *
 * @example
 * const lack = expectReplica(transaction, request, attempt)?.lack;
 */
export function expectReplica(
    { state, now }: Transaction,
    { head, service, eventCount }: GatewayRequest,
    { firstEventAt, lastActivityAt, producingTime }: Attempt,
): ReplicaExpectation | undefined {
    const engine = engineOf(state, service);
    if (engine === undefined) {
        return undefined;
    }
    const generated = eventCount * engine.tokensPerEvent;
    const completeAfter = replicaUpdateInterval + transferTime(engine, head.promptTokens + generated);
    // A request that names no maximum has 0.
    const hasEnded = head.maximumTokens > 0 && generated >= head.maximumTokens;
    const lacks: readonly (readonly [ReplicaLack, boolean])[] = [
        ["not_begun", firstEventAt === undefined],
        ["too_young", producingTime < completeAfter],
        ["ended", hasEnded],
        ["expired", now - lastActivityAt > keptFor(engine)],
    ];
    const [lack] = lacks.find(([, isLacking]) => isLacking) ?? [];
    return { producingTime, completeAfter, lack };
}

function isReplicaLikely(transaction: Transaction, request: GatewayRequest, attempt: Attempt): boolean {
    const expectation = expectReplica(transaction, request, attempt);
    return expectation !== undefined && expectation.lack === undefined;
}

/** Whether a replica that was updated at a time or later is still kept. */
function isReplicaKept(
    { state, now }: Transaction,
    { service }: GatewayRequest,
    updatedAt: Milliseconds | undefined,
): boolean {
    const engine = engineOf(state, service);
    return engine !== undefined && updatedAt !== undefined && now - updatedAt <= keptFor(engine);
}

/** For how long a replica is kept that was last updated with, or up to an interval before, an event. */
function keptFor({ replicaLifetime }: EngineCapabilities): Milliseconds {
    return replicaLifetime - replicaUpdateInterval;
}

/** What a run that ended early can continue from: a migration's copy, its replica, or the memory that its server keeps. */
export type ContinuationSource = "copy" | "replica" | "stopped_run";

/** A server at which a run can continue. */
export interface Continuation {
    readonly from: ContinuationSource;
    readonly server: BackendServer;
    /** The name of the memory at the address of the run's server. */
    readonly name: string;
}

/**
 * How a run that ended early can continue. Its own server is the last choice, since it leaves.
 *
 * @param tried what attempts to continue it were to continue from
 * @example
 * const next = findContinuation(transaction, request, attempt, new Set(["copy"]));
 */
export function findContinuation(
    transaction: Transaction,
    request: GatewayRequest,
    attempt: Attempt,
    tried: ReadonlySet<ContinuationSource>,
): Continuation | undefined {
    const { copy, stoppedHandle } = attempt;
    const copyHolder = copy && usableCopyHolder(transaction, request, attempt, copy);
    const ways: readonly (readonly [ContinuationSource, BackendServer | undefined, string | undefined])[] = [
        ["copy", copyHolder, copy?.name],
        ["replica", findReplicaHolder(transaction, request, attempt), request.head.callerAttemptId],
        ["stopped_run", stoppedServer(transaction, request, attempt), stoppedHandle ?? copy?.name],
    ];
    const [first] = ways.flatMap(([from, server, name]) =>
        tried.has(from) || server === undefined || name === undefined ? [] : [{ from, server, name }]
    );
    return first;
}

/**
 * The server that stopped a run when it was asked to, if it keeps the memory and a request still reaches it before the
 * drain limit. The time counts from the request for the copy, which was before the stop.
 */
function stoppedServer(
    transaction: Transaction,
    request: GatewayRequest,
    { server, hasStopped, copy }: Attempt,
): BackendServer | undefined {
    const { state, now } = transaction;
    const known = state.servers.get(server.record.id);
    const isSame = known !== undefined && known.record.startedAt === server.record.startedAt;
    const canRun = hasStopped && isSame && isReplicaKept(transaction, request, copy?.requestedAt)
        && isWithinDrainLimit(state, known, now) && !isEvacuated(state, known.record)
        && acceptsRequest(state, known, now);
    return canRun ? known : undefined;
}

/** The server at which a lost run can continue from its replica; undefined if none is likely to hold one. */
export function findReplicaHolder(
    transaction: Transaction,
    request: GatewayRequest,
    attempt: Attempt,
): BackendServer | undefined {
    return isReplicaLikely(transaction, request, attempt)
        ? usableHolder(transaction.state, attempt, transaction.now)
        : undefined;
}

function transferTime({ transferRate }: EngineCapabilities, tokens: number): Milliseconds {
    return remoteTransferFactor * tokens / transferRate;
}

/** The holder of a run's replica, if it is still registered as the same incarnation and accepts the run. */
function usableHolder(
    state: GatewayState,
    { server, replica }: Attempt,
    now: Milliseconds,
): BackendServer | undefined {
    const holder = replica === undefined ? undefined : acceptingHolder(state, replica, server, now);
    return holder?.removedAt === undefined ? holder : undefined;
}

/**
 * The holder of a run's replica, if it stays, accepts the run and keeps the replica, which may not be complete yet.
 */
export function findStayingHolder(
    transaction: Transaction,
    request: GatewayRequest,
    attempt: Attempt,
): BackendServer | undefined {
    const holder = usableHolder(transaction.state, attempt, transaction.now);
    return holder?.leavingSince === undefined && isReplicaKept(transaction, request, attempt.lastActivityAt)
        ? holder
        : undefined;
}

/** Why the holder of a run's replica can't take the run, or that it can; undefined without a replica. */
export function replicaState(
    { state, now }: Transaction,
    { server, replica }: Attempt,
): "usable" | "gone" | "restarted" | "leaving" | "refusing" | undefined {
    if (replica === undefined) {
        return undefined;
    }
    const known = state.servers.get(replica.record.id);
    if (known === undefined || known.removedAt !== undefined) {
        return "gone";
    }
    if (known.record.startedAt !== replica.record.startedAt) {
        return "restarted";
    }
    if (acceptsTakeover(state, known, server, now)) {
        return "usable";
    }
    return known.leavingSince !== undefined || hasGivenNotice(state, known.record) ? "leaving" : "refusing";
}

/** The server at which a run can continue from the copy that a migration made, if it still keeps the copy. */
export function usableCopyHolder(
    transaction: Transaction,
    request: GatewayRequest,
    { server }: Attempt,
    { holder, requestedAt }: RunCopy,
): BackendServer | undefined {
    return isReplicaKept(transaction, request, requestedAt)
        ? acceptingHolder(transaction.state, holder, server, transaction.now)
        : undefined;
}

/**
 * A server as it is known now, if it accepts a run of another server and is the incarnation that it was: one that has
 * started again under its id has lost its replicas.
 */
function acceptingHolder(
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
    server: BackendServer,
    origin: BackendServer,
    now: Milliseconds,
): boolean {
    const { record, leavingSince } = server;
    const isStaying = leavingSince === undefined
        || (now - leavingSince <= takeoverWindow && isWithinDrainLimit(state, server, now));
    return isStaying && hasSameVersion(record, origin.record) && !hasGivenNotice(state, record)
        && !isEvacuated(state, record)
        && acceptsRequest(state, server, now);
}
