/**
 * The reducer. {@link reduceGateway} is the only way to change a gateway's state. It is deterministic: time and random
 * numbers are parameters, and I/O is returned as effects.
 */
import type { RandomSource } from "@verbenaspring/coordination";
import type { Milliseconds } from "@verbenaspring/model";
import { checkAbandonedRuns } from "./abandonedRuns.js";
import { endsUnframed, findCheckedAttempt } from "./answerEnds.js";
import { checkRequests, handleAnswer, handleAttemptFailed } from "./attempts.js";
import { updateColdServers } from "./coldServers.js";
import { forgetSuspects } from "./crashSuspects.js";
import { checkStop, handleStopRequested } from "./draining.js";
import type { GatewayEffect } from "./effect.js";
import type { GatewayEvent } from "./event.js";
import { handleTopicRead, handleTopicReadFailed, startDueReads } from "./followers.js";
import { handleServerProbed } from "./liveness.js";
import { checkMigrations, handleMigrationAnswered } from "./migration.js";
import type { GatewayOptions } from "./options.js";
import {
    handlePeerLinkClosed,
    handlePeerReport,
    handlePeerReportsLost,
    maintainPeers,
    reportPlacements,
} from "./peers.js";
import { updateLimitShares } from "./requestLimits.js";
import { handleCallerLeft, handleRequest } from "./requests.js";
import { detectSuspension, releaseHeldRequests } from "./resumption.js";
import { recordTaken } from "./routeDurations.js";
import { dispatch } from "./sending.js";
import { endServerPauses } from "./serverPauses.js";
import { type AttemptEvent, settleSilentAttempt } from "./silentAttempts.js";
import type { GatewayState } from "./state.js";
import {
    checkStreamRegister,
    handleBaseVersionWritten,
    handleStreamRegisterRead,
    handleStreamRegisterReadFailed,
    handleStreamsRecorded,
} from "./streamRegister.js";
import { handleAnswerEndChecked, handleStreamEnded, handleStreamEvents, handleStreamOpened } from "./streams.js";
import { logDecision, type Transaction } from "./transaction.js";
import { checkWaitingRequests } from "./waiting.js";

/**
 * Handles one event. The state is changed in place.
 *
 * @param now a monotonic time in milliseconds
 * @param source random numbers and identifiers
 * @returns the effects, which the caller performs in order
 *
 * @example
 * const effects = reduceGateway(state, { kind: "tick" }, now, source);
 */
export function reduceGateway(
    state: GatewayState,
    event: GatewayEvent,
    now: Milliseconds,
    source: RandomSource,
): GatewayEffect[] {
    state.startedAt ??= now;
    const transaction: Transaction = { state, source, now, effects: [] };
    const { placements, waiting: { size } } = state;
    detectSuspension(transaction);
    handleEvent(transaction, event);
    if (state.placements !== placements || state.waiting.size !== size) {
        reportPlacements(transaction);
    }
    return transaction.effects;
}

function handleEvent(transaction: Transaction, event: GatewayEvent): void {
    switch (event.kind) {
        case "tick":
            maintainPeers(transaction);
            startDueReads(transaction);
            updateLimitShares(transaction);
            updateColdServers(transaction);
            endServerPauses(transaction);
            forgetSuspects(transaction);
            checkStreamRegister(transaction);
            checkRequests(transaction);
            checkWaitingRequests(transaction);
            releaseHeldRequests(transaction).forEach(request => dispatch(transaction, request));
            checkMigrations(transaction);
            checkAbandonedRuns(transaction);
            return checkStop(transaction);
        case "requestReceived":
            return handleRequest(transaction, event);
        case "callerLeft":
            return handleCallerLeft(transaction, event.requestId);
        case "answerTaken":
            return recordTaken(transaction.state, event.requestId, transaction.now);
        case "unsentAnswers":
            transaction.state.unsentAnswers = event.count;
            return;
        case "serverProbed":
            return handleServerProbed(transaction, event);
        case "answerEndChecked":
            return handleAnswerEndChecked(transaction, event);
        case "attemptAnswered":
        case "attemptFailed":
        case "streamOpened":
        case "streamEvents":
        case "streamEnded":
            if (!settleSilentAttempt(transaction, event)) {
                handleAttemptEvent(transaction, event);
            }
            return event.kind === "attemptAnswered" ? releaseAnswer(transaction, event) : undefined;
        default:
            return handlePlatformEvent(transaction, event);
    }
}

/** Has the channels release an answer without framing, unless it is being checked whether it is whole. */
function releaseAnswer(
    transaction: Transaction,
    { attemptId, answer }: Extract<AttemptEvent, { readonly kind: "attemptAnswered"; }>,
): void {
    if (endsUnframed(answer) && findCheckedAttempt(transaction, attemptId) === undefined) {
        transaction.effects.push({ kind: "cancelAttempt", attemptId });
    }
}

function handleAttemptEvent(transaction: Transaction, event: AttemptEvent): void {
    switch (event.kind) {
        case "attemptAnswered":
            return handleAnswer(transaction, event.attemptId, event.answer);
        case "streamOpened":
            return handleStreamOpened(transaction, event.attemptId, event.head);
        case "streamEvents":
            return handleStreamEvents(transaction, event.attemptId, event.events);
        case "streamEnded":
            return handleStreamEnded(transaction, event.attemptId);
        case "attemptFailed":
            return handleAttemptFailed(transaction, event);
    }
}

type PlatformEvent = Extract<
    GatewayEvent,
    {
        readonly kind:
            | `topic${string}`
            | `peer${string}`
            | `streamRegister${string}`
            | "streamsRecorded"
            | "baseVersionWritten"
            | "migrationAnswered"
            | "settingsChanged"
            | "stopRequested";
    }
>;

function handlePlatformEvent(transaction: Transaction, event: PlatformEvent): void {
    switch (event.kind) {
        case "topicRead":
            return handleTopicRead(transaction, event);
        case "topicReadFailed":
            return handleTopicReadFailed(transaction, event);
        case "migrationAnswered":
            return handleMigrationAnswered(transaction, event);
        case "streamRegisterRead":
            return handleStreamRegisterRead(transaction, event.page);
        case "streamRegisterReadFailed":
            return handleStreamRegisterReadFailed(transaction);
        case "streamsRecorded":
            return handleStreamsRecorded(transaction, event.isRecorded);
        case "baseVersionWritten":
            return handleBaseVersionWritten(transaction);
        case "peerReported":
            return handlePeerReport(transaction, event);
        case "peerLinkClosed":
            return handlePeerLinkClosed(transaction, event.address);
        case "peerReportsLost":
            return handlePeerReportsLost(transaction, event.address);
        case "settingsChanged":
            return handleSettingsChanged(transaction, event.options);
        case "stopRequested":
            return handleStopRequested(transaction, event.readDelay ?? 0);
    }
}

function handleSettingsChanged(transaction: Transaction, options: GatewayOptions): void {
    const { state } = transaction;
    state.options = options;
    state.retryBudget.options = options.retries;
    logDecision(transaction, "info", "settings_applied", {
        retryRatio: options.retries.ratio,
        retrySlack: options.retries.slack,
        retryWindow: options.retries.window,
        stopLimit: options.stopLimit,
        evacuationLimit: options.evacuationLimit,
        drainLimit: options.drainLimit,
        configurationLimit: options.configurationLimit,
    });
}
