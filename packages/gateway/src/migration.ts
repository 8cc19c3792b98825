/**
 * Migrates streams away from a server that leaves. A stream needs no migration if a new run can continue it, or if it
 * has a usable replica at a server that stays. The memory of the others is copied to another engine while they run, and
 * the stream continues from that replica, which lacks only what was generated meanwhile. Each server has one migration
 * at a time, since all of them share its network link.
 */
import { chooseReplicaHost, migrationPlacement } from "@verbenaspring/coordination";
import type { BackendServerId, Milliseconds } from "@verbenaspring/model";
import { endAttempt } from "./attempts.js";
import type { BackendServer } from "./backendServers.js";
import type { GatewayEvent } from "./event.js";
import { expectedOutput } from "./messages.js";
import { acceptingHolder, isReplicaKept, usableHolder } from "./replicas.js";
import { requestFields } from "./requests.js";
import { canSendAgain, sendTo } from "./sending.js";
import { isSuperseded } from "./serverIncarnations.js";
import { engineOf, otherServers, replicaView, setMigrationTarget } from "./serverLoad.js";
import { isPaused } from "./serverPauses.js";
import type { Attempt, GatewayRequest } from "./state.js";
import { logDecision, type Transaction } from "./transaction.js";

type MigrationAnswered = Extract<GatewayEvent, { readonly kind: "migrationAnswered"; }>;

interface MigratableStream {
    readonly request: GatewayRequest;
    readonly attempt: Attempt;
}

/** A stream that is expected to end sooner is not migrated: its server keeps running for longer than that. */
const minimumRemainingTime: Milliseconds = 700;

/** After this many failed targets a stream is not migrated: more attempts would take the link from other streams. */
const maximumMigrationTargets = 4;

/**
 * Starts the next migration from a server that leaves, longest remaining stream first. While the server wants no calls,
 * its migrations wait.
 */
export function migrateStreams(transaction: Transaction, id: BackendServerId): void {
    const { requests } = transaction.state;
    if (isPaused(transaction.state, id, transaction.now)) {
        return;
    }
    const streams = [...requests.values()].flatMap(request => migratableStreams(transaction, request));
    const atServer = streams.filter(({ attempt }) => attempt.server.record.id === id);
    if (atServer.some(({ attempt }) => attempt.migrationTarget !== undefined)) {
        return;
    }
    const longestFirst = atServer.sort((one, other) =>
        remainingTime(transaction, other.request) - remainingTime(transaction, one.request)
    );
    // A stream without a target must not block the others.
    longestFirst.some(stream => startMigration(transaction, stream));
}

/** Starts a migration for a stream whose first event came after its server began to leave. */
export function migrateAfterFirstEvent(transaction: Transaction, attempt: Attempt): void {
    const server = transaction.state.servers.get(attempt.server.record.id);
    const isFirst = attempt.migrationTarget === undefined && attempt.firstEventAt === transaction.now;
    if (isFirst && server?.leavingSince !== undefined) {
        migrateStreams(transaction, attempt.server.record.id);
    }
}

function migratableStreams(transaction: Transaction, request: GatewayRequest): MigratableStream[] {
    const { attempt, route } = request;
    if (attempt === undefined || !route.isStream || attempt.firstEventAt === undefined) {
        return [];
    }
    if (isSuperseded(transaction.state, attempt.server)) {
        return [];
    }
    const canMigrate = engineOf(transaction.state, request.service)?.canMigrate === true;
    const replica = usableHolder(transaction.state, attempt, transaction.now);
    const hasTargetsLeft = attempt.failedTargets.size < maximumMigrationTargets;
    const isSafe = route.canResume || (replica !== undefined && replica.leavingSince === undefined);
    return canMigrate && hasTargetsLeft && !isSafe && remainingTime(transaction, request) > minimumRemainingTime
        ? [{ request, attempt }]
        : [];
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
function startMigration(transaction: Transaction, { request, attempt }: MigratableStream): boolean {
    const target = chooseTarget(transaction, request, attempt);
    if (target === undefined) {
        logDecision(transaction, "warn", "move_without_target", requestFields(transaction, request));
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
        migrationPlacement,
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
