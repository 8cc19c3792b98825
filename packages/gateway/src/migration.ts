/**
 * Migrates streams away from a server that leaves or is evacuated. The memory of a stream is copied to another engine
 * while it runs, and the stream continues from that replica, which lacks only what was generated meanwhile. Each server
 * has one migration at a time, since all of them share its network link.
 *
 * At a server that leaves, a stream needs no migration if a new run can continue it, or if it has a usable replica at a
 * server that stays. An evacuated server goes on, so its streams are migrated to empty the failure domain: those that
 * would be lost with it first, and only with memory and retries that others leave unused.
 */
import { chooseReplicaHost, migrationPlacement, replicaPlacement } from "@verbenaspring/coordination";
import type { BackendServerId, Milliseconds } from "@verbenaspring/model";
import { endAttempt } from "./attempts.js";
import type { BackendServer } from "./backendServers.js";
import { isEvacuated } from "./evacuations.js";
import type { GatewayEvent } from "./event.js";
import { expectedOutput } from "./messages.js";
import { acceptingHolder, isReplicaKept, usableHolder } from "./replicas.js";
import { requestFields } from "./requests.js";
import { canSendAgain, sendTo } from "./sending.js";
import { isSuperseded } from "./serverIncarnations.js";
import { engineOf, otherServers, replicaView, setMigrationTarget } from "./serverLoad.js";
import { isPaused } from "./serverPauses.js";
import type { Attempt, GatewayRequest, GatewayState } from "./state.js";
import { logDecision, type Transaction } from "./transaction.js";

type MigrationAnswered = Extract<GatewayEvent, { readonly kind: "migrationAnswered"; }>;

/** Why streams are migrated away from a server. */
type MigrationReason = "leaving" | "evacuated";

interface MigratableStream {
    readonly request: GatewayRequest;
    readonly attempt: Attempt;
    /** Whether it could continue elsewhere if its server failed. */
    readonly isSafe: boolean;
}

/** A stream that is expected to end sooner is not migrated: its server keeps running for longer than that. */
const minimumRemainingTime: Milliseconds = 700;

/** How often streams at evacuated servers are checked: their forecasts and the memory of other engines change. */
const evacuationCheckInterval: Milliseconds = 1_000;
/** Streams that end sooner stay at an evacuated server, where the settings name no bound. */
const defaultEvacuationLimit: Milliseconds = 5_000;
/** Retries that migrations from evacuated servers leave for requests that fail. */
const reservedRetries = 1;

/** After this many failed targets a stream is not migrated: more attempts would take the link from other streams. */
const maximumMigrationTargets = 4;

/**
 * Starts the next migration from a server that leaves or is evacuated: streams that would be lost with it first, and of
 * these the longest remaining one. While the server wants no calls, its migrations wait.
 */
export function migrateStreams(transaction: Transaction, id: BackendServerId): void {
    const { state, now } = transaction;
    const reason = migrationReason(state, id);
    if (reason === undefined || isPaused(state, id, now)) {
        return;
    }
    const atServer = [...state.requests.values()].filter(({ attempt }) => attempt?.server.record.id === id);
    if (atServer.some(({ attempt }) => attempt?.migrationTarget !== undefined)) {
        return;
    }
    const underWay = [...state.attempts.values()].filter(({ attempt }) => attempt?.migrationTarget !== undefined);
    const streams = atServer.flatMap(request => migratableStreams(transaction, request, reason, underWay.length));
    const inOrder = streams.sort((one, other) =>
        Number(one.isSafe) - Number(other.isSafe)
        || remainingTime(transaction, other.request) - remainingTime(transaction, one.request)
    );
    // A stream without a target must not block the others.
    inOrder.some(stream => startMigration(transaction, stream, reason));
}

/** Why the streams of a server are migrated away; undefined if they stay. A server that is not known any more has left. */
function migrationReason(state: GatewayState, id: BackendServerId): MigrationReason | undefined {
    const server = state.servers.get(id);
    if (server === undefined || server.leavingSince !== undefined) {
        return "leaving";
    }
    return isEvacuated(state, server.record) ? "evacuated" : undefined;
}

/** Starts the migrations from evacuated servers that are due. */
export function migrateFromEvacuated(transaction: Transaction): void {
    const { state, now } = transaction;
    if (state.evacuations.size === 0 || now < state.nextEvacuationCheckAt) {
        return;
    }
    state.nextEvacuationCheckAt = now + evacuationCheckInterval;
    const ids = new Set([...state.attempts.values()].flatMap(({ attempt }) => attempt?.server.record.id ?? []));
    [...ids].filter(id => migrationReason(state, id) === "evacuated").forEach(id => migrateStreams(transaction, id));
}

/** Starts a migration for a stream whose first event came after its server began to leave. */
export function migrateAfterFirstEvent(transaction: Transaction, attempt: Attempt): void {
    const server = transaction.state.servers.get(attempt.server.record.id);
    const isFirst = attempt.migrationTarget === undefined && attempt.firstEventAt === transaction.now;
    if (isFirst && server?.leavingSince !== undefined) {
        migrateStreams(transaction, attempt.server.record.id);
    }
}

/** @param underWay the migrations under way, each of which needs a retry when it ends */
function migratableStreams(
    transaction: Transaction,
    request: GatewayRequest,
    reason: MigrationReason,
    underWay: number,
): MigratableStream[] {
    const { state, now } = transaction;
    const { attempt, route } = request;
    if (attempt === undefined || !route.isStream || attempt.firstEventAt === undefined) {
        return [];
    }
    if (isSuperseded(state, attempt.server)) {
        return [];
    }
    const canMigrate = engineOf(state, request.service)?.canMigrate === true;
    const replica = usableHolder(state, attempt, now);
    const hasTargetsLeft = attempt.failedTargets.size < maximumMigrationTargets;
    const isSafe = route.canResume || (replica !== undefined && replica.leavingSince === undefined);
    const remaining = remainingTime(transaction, request);
    const isDue = reason === "evacuated"
        // A stream is cut at its deadline, wherever it runs.
        ? Math.min(remaining, request.deadline - now) > (state.options.evacuationLimit ?? defaultEvacuationLimit)
            && canSendAgain(transaction, request, reservedRetries + underWay)
        : remaining > minimumRemainingTime && !isSafe;
    return canMigrate && hasTargetsLeft && isDue ? [{ request, attempt, isSafe }] : [];
}

/** The expected time until the stream ends. */
function remainingTime({ state }: Transaction, { head, service, lastEvent }: GatewayRequest): Milliseconds {
    const expected = expectedOutput(head);
    const generated = (lastEvent ?? 0) * (engineOf(state, service)?.tokensPerEvent ?? 1);
    // Once the output exceeds its estimate, half of what was generated is expected to follow.
    const remaining = expected > generated ? expected - generated : generated / 2;
    return remaining * state.timePerToken;
}

/** Starts the migration of a stream. Returns false if no engine can take its run. */
function startMigration(
    transaction: Transaction,
    { request, attempt }: MigratableStream,
    reason: MigrationReason,
): boolean {
    const target = chooseTarget(transaction, request, attempt, reason);
    if (target === undefined) {
        // The streams of evacuated servers are checked every second, and go on where they are.
        const level = reason === "evacuated" ? "debug" : "warn";
        logDecision(transaction, level, "move_without_target", requestFields(transaction, request));
        return false;
    }
    setMigrationTarget(transaction.state, attempt, target);
    attempt.migrationStartedAt = transaction.now;
    transaction.effects.push({
        kind: "migrateRun",
        attemptId: attempt.id,
        callerAttemptId: request.head.callerAttemptId,
        sourceAddress: attempt.server.record.address,
        targetAddress: target.record.address,
    });
    return true;
}

function chooseTarget(
    { state, now, source }: Transaction,
    request: GatewayRequest,
    attempt: Attempt,
    reason: MigrationReason,
): BackendServer | undefined {
    const engine = engineOf(state, request.service);
    if (engine === undefined) {
        return undefined;
    }
    const eligible = otherServers(state, attempt.server, now).filter(({ record: { id } }) =>
        !attempt.failedTargets.has(id)
    );
    const share = attempt.memoryTokens / engine.memoryTokens;
    return chooseReplicaHost(
        eligible,
        other => replicaView(state, other, attempt.server, now),
        share,
        source.random,
        // The other failure domains get the requests of the evacuated one, so its streams use only what runs leave free.
        reason === "evacuated" ? replicaPlacement : migrationPlacement,
    );
}

/**
 * Handles the end of a migration, and starts the next one. If the replica is complete, the target still accepts it and
 * another send is allowed, the old run is cancelled and the stream continues at the target. Otherwise the old run
 * continues.
 */
export function handleMigrationAnswered(transaction: Transaction, event: MigrationAnswered): void {
    const request = transaction.state.attempts.get(event.attemptId);
    const attempt = request?.attempt;
    if (request === undefined || attempt?.migrationTarget === undefined) {
        return;
    }
    const { result } = event;
    const target = attempt.migrationTarget;
    const holder = isReplicaKept(transaction, request, attempt.migrationStartedAt)
        ? acceptingHolder(transaction.state, target, attempt.server, transaction.now)
        : undefined;
    logDecision(transaction, "info", "move_answered", {
        ...requestFields(transaction, request),
        fromVersion: attempt.server.record.softwareVersion,
        target: target.record.id,
        targetVersion: target.record.softwareVersion,
        result: result.kind,
        status: result.kind === "refused" ? result.status : undefined,
        detail: result.kind === "failed" ? result.detail : undefined,
        lastHeardAge: Math.round(transaction.now - attempt.lastActivityAt),
    });
    setMigrationTarget(transaction.state, attempt, undefined);
    if (result.kind !== "moved") {
        attempt.failedTargets.add(target.record.id);
    }
    if (result.kind === "moved" && holder !== undefined && canSendAgain(transaction, request)) {
        endAttempt(transaction, request, attempt, "cancel");
        const continuesFrom = { source: attempt.server.record.address, name: result.handle };
        sendTo(transaction, request, { server: holder, continuesFrom, replicaEvidence: "moved" });
    }
    migrateStreams(transaction, attempt.server.record.id);
}
