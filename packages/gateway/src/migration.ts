/**
 * Moves streams away from a server that leaves. A run whose memory is copied elsewhere as it grows needs no move. The
 * others are copied while they run, and go on from the copy, which lacks only what was made meanwhile; one at a time from
 * each server, since all moves share its link.
 */
import { chooseCopyHolder, rescueCopies } from "@verbenaspring/coordination";
import type { BackendServerId, Milliseconds } from "@verbenaspring/model";
import { endAttempt } from "./attempts.js";
import type { BackendServer } from "./backendServers.js";
import type { GatewayEvent } from "./event.js";
import { expectedOutput } from "./messages.js";
import { requestFields } from "./requests.js";
import { canSendAgain, sendTo } from "./sending.js";
import { engineOf, otherServers, replicaView } from "./serverLoad.js";
import type { Attempt, GatewayRequest } from "./state.js";
import { acceptsTakeover, usableReplica } from "./streams.js";
import { logDecision, type Transaction } from "./transaction.js";

type MigrationAnswered = Extract<GatewayEvent, { readonly kind: "migrationAnswered"; }>;

interface MigratableStream {
    readonly request: GatewayRequest;
    readonly attempt: Attempt;
}

/** A stream that ends within this time is not worth a move; its server serves on for longer. */
const minimumRemainingTime: Milliseconds = 700;

/** Targets that a stream is offered to at most: where all refuse, more calls only take the link from the others. */
const maximumMigrationTargets = 4;

/** Starts to move the streams of a server that leaves. */
export function migrateStreams(transaction: Transaction, id: BackendServerId): void {
    const { requests } = transaction.state;
    const streams = [...requests.values()].flatMap(request => migratableStreams(transaction, request));
    const atServer = streams.filter(({ attempt }) => attempt.server.record.id === id);
    if (atServer.some(({ attempt }) => attempt.migrationTarget !== undefined)) {
        return;
    }
    const longestFirst = atServer.sort((one, other) =>
        remainingTime(transaction, other.request) - remainingTime(transaction, one.request)
    );
    // One without a target must not hold up the others.
    longestFirst.some(stream => startMigration(transaction, stream));
}

/** Moves a stream whose first event came after its server's notice. */
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
    const canMigrate = engineOf(transaction.state, request.service)?.canMigrate === true;
    const replica = usableReplica(transaction.state, attempt, transaction.now);
    const hasTriesLeft = attempt.refusedTargets.size < maximumMigrationTargets;
    const isSafe = route.canResume || (replica !== undefined && replica.leavingSince === undefined);
    return canMigrate && hasTriesLeft && !isSafe && remainingTime(transaction, request) > minimumRemainingTime
        ? [{ request, attempt }]
        : [];
}

/** How long the stream is expected to go on. */
function remainingTime({ state }: Transaction, { head, service, lastEvent }: GatewayRequest): Milliseconds {
    const foreseen = expectedOutput(head);
    const made = (lastEvent ?? 0) * (engineOf(state, service)?.tokensPerEvent ?? 1);
    // An estimate that was passed says little; half of what was made is then the rest.
    const rest = foreseen > made ? foreseen - made : made / 2;
    return rest * state.timePerToken;
}

/** Returns whether a move began. */
function startMigration(transaction: Transaction, { request, attempt }: MigratableStream): boolean {
    const target = chooseTarget(transaction, request, attempt);
    if (target === undefined) {
        logDecision(transaction, "warn", "move_without_target", requestFields(transaction, request));
        return false;
    }
    attempt.migrationTarget = target;
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
    const open = otherServers(state, attempt.server, now).filter(({ record: { id } }) =>
        !attempt.refusedTargets.has(id)
    );
    const share = attempt.memoryTokens / engine.memoryTokens;
    return chooseCopyHolder(
        open,
        other => replicaView(state, other, attempt.server, now),
        share,
        source.random,
        rescueCopies,
    );
}

/** Takes the end of a move: the stream goes on from the copy, and the old run ends. */
export function handleMigrationAnswered(transaction: Transaction, event: MigrationAnswered): void {
    const request = transaction.state.attempts.get(event.attemptId);
    const attempt = request?.attempt;
    if (request === undefined || attempt?.migrationTarget === undefined) {
        return;
    }
    const { result } = event;
    const target = attempt.migrationTarget;
    const known = transaction.state.servers.get(target.record.id);
    const isTaken = result.kind === "moved" && known !== undefined && acceptsTakeover(known, transaction.now);
    logDecision(transaction, "info", "move_answered", {
        ...requestFields(transaction, request),
        target: target.record.id,
        result: result.kind,
        status: result.kind === "refused" ? result.status : undefined,
        detail: result.kind === "failed" ? result.detail : undefined,
        lastHeardAge: Math.round(transaction.now - attempt.lastHeardAt),
    });
    attempt.migrationTarget = undefined;
    if (result.kind !== "moved") {
        attempt.refusedTargets.add(target.record.id);
    }
    if (isTaken && canSendAgain(transaction, request)) {
        endAttempt(transaction, request, attempt, "cancel");
        const copy = { source: attempt.server.record.address, name: result.handle };
        sendTo(transaction, request, { server: target, continuesFrom: copy });
    }
    migrateStreams(transaction, attempt.server.record.id);
}
