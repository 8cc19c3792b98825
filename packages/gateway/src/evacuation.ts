/**
 * Moves streams away from a server that leaves. A run whose memory is copied elsewhere as it grows needs no move. The
 * others are copied while they run, then stopped for the last part; one at a time from each server, since all moves
 * share its link.
 */
import { chooseCopyHolder } from "@verbenaspring/coordination";
import type { BackendServerId, Milliseconds } from "@verbenaspring/model";
import { canSendAgain, continueAfter, endAttempt, sendTo } from "./attempts.js";
import type { BackendServer } from "./backendServers.js";
import type { GatewayEvent, MoveResult } from "./event.js";
import { describe } from "./requests.js";
import { copyView, engineOf, usableServers } from "./serverLoad.js";
import type { Attempt, GatewayRequest, Move } from "./state.js";
import { liveReplica } from "./streams.js";
import { record, type Transaction } from "./transaction.js";

type MoveAnswered = Extract<GatewayEvent, { readonly kind: "moveAnswered"; }>;

interface MovableStream {
    readonly request: GatewayRequest;
    readonly attempt: Attempt;
}

/** A stream that ends within this time is not worth a move; its server serves on for longer. */
const shortRest: Milliseconds = 700;

/** Starts to move the streams of a server that leaves. */
export function evacuate(transaction: Transaction, id: BackendServerId): void {
    const { requests } = transaction.state;
    const streams = [...requests.values()].flatMap(request => movable(transaction, request));
    const atServer = streams.filter(({ attempt }) => attempt.server.record.id === id);
    if (atServer.some(({ attempt }) => attempt.move !== undefined)) {
        return;
    }
    const [first] = atServer.sort((one, other) =>
        restOf(transaction, other.request) - restOf(transaction, one.request)
    );
    if (first !== undefined) {
        startMove(transaction, first);
    }
}

/** Moves a stream whose first event came after its server's notice. */
export function evacuateStarted(transaction: Transaction, attempt: Attempt): void {
    const server = transaction.state.servers.get(attempt.server.record.id);
    const isFirst = attempt.move === undefined && attempt.firstEventAt === transaction.now;
    if (isFirst && server?.leavingSince !== undefined) {
        evacuate(transaction, attempt.server.record.id);
    }
}

function movable(transaction: Transaction, request: GatewayRequest): MovableStream[] {
    const { attempt, route } = request;
    if (attempt === undefined || !route.isStream || attempt.firstEventAt === undefined) {
        return [];
    }
    const canMove = engineOf(transaction.state, request.service)?.canMove === true;
    const isSafe = route.canResume || liveReplica(transaction.state, attempt) !== undefined;
    return canMove && !isSafe && restOf(transaction, request) > shortRest ? [{ request, attempt }] : [];
}

/** How long the stream is expected to go on. */
function restOf({ state }: Transaction, { head, service, lastEvent }: GatewayRequest): Milliseconds {
    const foreseen = Math.min(head.maximumTokens, head.estimatedTokens ?? head.maximumTokens);
    const made = (lastEvent ?? 0) * (engineOf(state, service)?.tokensPerEvent ?? 1);
    // An estimate that was passed says little; half of what was made is then the rest.
    const rest = foreseen > made ? foreseen - made : made / 2;
    return rest * state.tokenPace;
}

function startMove(transaction: Transaction, { request, attempt }: MovableStream): void {
    const target = chooseTarget(transaction, request, attempt);
    if (target === undefined) {
        record(transaction, "warn", "move_without_target", describe(transaction, request));
        return;
    }
    attempt.move = { target, phase: "copying", hasRunEnded: false };
    askForMove(transaction, request, attempt, attempt.move);
}

function chooseTarget(
    { state, now }: Transaction,
    request: GatewayRequest,
    attempt: Attempt,
): BackendServer | undefined {
    const engine = engineOf(state, request.service);
    if (engine === undefined) {
        return undefined;
    }
    const others = usableServers(state, request.service, now)
        .filter(server => server.record.id !== attempt.server.record.id);
    const share = attempt.memoryTokens / engine.memoryTokens;
    return chooseCopyHolder(others, other => copyView(state, other, attempt.server, now), share, moveLimit);
}

/** A stream that would else be lost may fill an engine's memory further than a copy that is only kept in reserve. */
const moveLimit = 0.95;

function askForMove(
    { effects }: Transaction,
    request: GatewayRequest,
    attempt: Attempt,
    { target, phase }: Move,
): void {
    effects.push({
        kind: "moveRun",
        requestId: request.id,
        attemptId: attempt.id,
        callerAttemptId: request.head.callerAttemptId,
        sourceAddress: attempt.server.record.address,
        targetAddress: target.record.address,
        isLast: phase === "stopping",
    });
}

/** Takes the end of a move. */
export function takeMoveAnswered(transaction: Transaction, event: MoveAnswered): void {
    const request = transaction.state.attempts.get(event.attemptId);
    const attempt = request?.attempt;
    if (request === undefined || attempt?.move === undefined) {
        return;
    }
    const { result } = event;
    record(transaction, "info", "move_answered", {
        ...describe(transaction, request),
        target: attempt.move.target.record.id,
        isLast: event.isLast,
        result: result.kind,
    });
    if (attempt.move.phase === "copying") {
        takeCopied(transaction, request, attempt, attempt.move, result);
        return;
    }
    takeStopped(transaction, request, attempt, attempt.move, result);
    evacuate(transaction, attempt.server.record.id);
}

function takeCopied(
    transaction: Transaction,
    request: GatewayRequest,
    attempt: Attempt,
    move: Move,
    result: MoveResult,
): void {
    if (result.kind !== "moved") {
        // The run goes on where it is; the next stream may have more luck with another target.
        attempt.move = undefined;
        return;
    }
    move.phase = "stopping";
    askForMove(transaction, request, attempt, move);
}

function takeStopped(
    transaction: Transaction,
    request: GatewayRequest,
    attempt: Attempt,
    move: Move,
    result: MoveResult,
): void {
    const handle = result.kind === "failed" ? undefined : result.handle;
    const server = result.kind === "moved" ? move.target : attempt.server;
    if (handle === undefined) {
        attempt.move = undefined;
        if (move.hasRunEnded) {
            endAttempt(transaction, request, attempt, "ended");
            continueAfter(transaction, request, attempt, "answer_truncated");
        }
        return;
    }
    endAttempt(transaction, request, attempt, move.hasRunEnded ? "ended" : "cancel");
    if (!canSendAgain(transaction, request)) {
        return continueAfter(transaction, request, attempt, "answer_truncated");
    }
    const copy = { source: attempt.server.record.address, name: handle };
    sendTo(transaction, request, { server, continuesFrom: copy });
}
