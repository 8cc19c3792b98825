/**
 * Moves streams away from a server that leaves. A run whose memory is copied elsewhere as it grows needs no move. The
 * others are copied while they run, and go on from the copy, which lacks only what was made meanwhile; one at a time from
 * each server, since all moves share its link.
 */
import { chooseReplicaHost, migrationPlacement } from "@verbenaspring/coordination";
import type { BackendServerId, Milliseconds } from "@verbenaspring/model";
import { endAttempt } from "./attempts.js";
import type { BackendServer } from "./backendServers.js";
import type { GatewayEvent } from "./event.js";
import { foreseenOutput } from "./messages.js";
import { describe } from "./requests.js";
import { canSendAgain, sendTo } from "./sending.js";
import { copyView, engineOf, otherServers } from "./serverLoad.js";
import type { Attempt, GatewayRequest } from "./state.js";
import { liveReplica, takesRescue } from "./streams.js";
import { record, type Transaction } from "./transaction.js";

type MoveAnswered = Extract<GatewayEvent, { readonly kind: "moveAnswered"; }>;

interface MovableStream {
    readonly request: GatewayRequest;
    readonly attempt: Attempt;
}

/** A stream that ends within this time is not worth a move; its server serves on for longer. */
const shortRest: Milliseconds = 700;

/** Targets that a stream is offered to at most: where all refuse, more calls only take the link from the others. */
const mostMoveTargets = 4;

/** Starts to move the streams of a server that leaves. */
export function evacuate(transaction: Transaction, id: BackendServerId): void {
    const { requests } = transaction.state;
    const streams = [...requests.values()].flatMap(request => movable(transaction, request));
    const atServer = streams.filter(({ attempt }) => attempt.server.record.id === id);
    if (atServer.some(({ attempt }) => attempt.moveTarget !== undefined)) {
        return;
    }
    const longestFirst = atServer.sort((one, other) =>
        restOf(transaction, other.request) - restOf(transaction, one.request)
    );
    // One without a target must not hold up the others.
    longestFirst.some(stream => startMove(transaction, stream));
}

/** Moves a stream whose first event came after its server's notice. */
export function evacuateStarted(transaction: Transaction, attempt: Attempt): void {
    const server = transaction.state.servers.get(attempt.server.record.id);
    const isFirst = attempt.moveTarget === undefined && attempt.firstEventAt === transaction.now;
    if (isFirst && server?.leavingSince !== undefined) {
        evacuate(transaction, attempt.server.record.id);
    }
}

function movable(transaction: Transaction, request: GatewayRequest): MovableStream[] {
    const { attempt, route } = request;
    if (attempt === undefined || !route.isStream || attempt.firstEventAt === undefined) {
        return [];
    }
    const canMove = engineOf(transaction.state, request.service)?.canMigrate === true;
    const replica = liveReplica(transaction.state, attempt, transaction.now);
    const hasTriesLeft = attempt.refusedTargets.size < mostMoveTargets;
    const isSafe = route.canResume || (replica !== undefined && replica.leavingSince === undefined);
    return canMove && hasTriesLeft && !isSafe && restOf(transaction, request) > shortRest ? [{ request, attempt }] : [];
}

/** How long the stream is expected to go on. */
function restOf({ state }: Transaction, { head, service, lastEvent }: GatewayRequest): Milliseconds {
    const foreseen = foreseenOutput(head);
    const made = (lastEvent ?? 0) * (engineOf(state, service)?.tokensPerEvent ?? 1);
    // An estimate that was passed says little; half of what was made is then the rest.
    const rest = foreseen > made ? foreseen - made : made / 2;
    return rest * state.tokenPace;
}

/** Returns whether a move began. */
function startMove(transaction: Transaction, { request, attempt }: MovableStream): boolean {
    const target = chooseTarget(transaction, request, attempt);
    if (target === undefined) {
        record(transaction, "warn", "move_without_target", describe(transaction, request));
        return false;
    }
    attempt.moveTarget = target;
    transaction.effects.push({
        kind: "moveRun",
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
    return chooseReplicaHost(
        open,
        other => copyView(state, other, attempt.server, now),
        share,
        source.random,
        migrationPlacement,
    );
}

/** Takes the end of a move: the stream goes on from the copy, and the old run ends. */
export function takeMoveAnswered(transaction: Transaction, event: MoveAnswered): void {
    const request = transaction.state.attempts.get(event.attemptId);
    const attempt = request?.attempt;
    if (request === undefined || attempt?.moveTarget === undefined) {
        return;
    }
    const { result } = event;
    const target = attempt.moveTarget;
    const known = transaction.state.servers.get(target.record.id);
    const isTaken = result.kind === "moved" && known !== undefined && takesRescue(known, transaction.now);
    record(transaction, "info", "move_answered", {
        ...describe(transaction, request),
        target: target.record.id,
        result: result.kind,
        status: result.kind === "refused" ? result.status : undefined,
        detail: result.kind === "failed" ? result.detail : undefined,
        lastHeardAge: Math.round(transaction.now - attempt.lastHeard),
    });
    attempt.moveTarget = undefined;
    if (result.kind !== "moved") {
        attempt.refusedTargets.add(target.record.id);
    }
    if (isTaken && canSendAgain(transaction, request)) {
        endAttempt(transaction, request, attempt, "cancel");
        const copy = { source: attempt.server.record.address, name: result.handle };
        sendTo(transaction, request, { server: target, continuesFrom: copy });
    }
    evacuate(transaction, attempt.server.record.id);
}
