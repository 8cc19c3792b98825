/**
 * The one door: every event of a gateway goes through {@link reduceGateway}, which changes the state and returns the
 * effects. It reads no clock, no chance and no I/O of its own.
 */
import type { RandomSource } from "@verbenaspring/coordination";
import type { Milliseconds } from "@verbenaspring/model";
import { takeAnswer, takeAttemptFailed, tendRequests } from "./attempts.js";
import { takeStopRequested, tendStop } from "./draining.js";
import type { GatewayEffect } from "./effect.js";
import { takeMoveAnswered } from "./evacuation.js";
import type { GatewayEvent } from "./event.js";
import { takeTopicRead, takeTopicReadFailed, tendFollowers } from "./followers.js";
import type { GatewayOptions } from "./options.js";
import { takePeerLinkClosed, takePeerReport, tendPeers } from "./peers.js";
import { takeCallerLeft, takeRequest } from "./requests.js";
import { takeServerProbed } from "./silence.js";
import type { GatewayState } from "./state.js";
import { takeStreamEnded, takeStreamEvents, takeStreamOpened } from "./streams.js";
import { record, type Transaction } from "./transaction.js";
import { tendWaiting } from "./waiting.js";

/**
 * Takes one event. The state is changed in place; the effects are for the caller to perform, in order.
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
    takeEvent(transaction, event);
    return transaction.effects;
}

function takeEvent(transaction: Transaction, event: GatewayEvent): void {
    switch (event.kind) {
        case "tick":
            tendPeers(transaction);
            tendFollowers(transaction);
            tendRequests(transaction);
            tendWaiting(transaction);
            return tendStop(transaction);
        case "requestReceived":
            return takeRequest(transaction, event);
        case "callerLeft":
            return takeCallerLeft(transaction, event.requestId);
        case "attemptAnswered":
            return takeAnswer(transaction, event.attemptId, event.answer);
        case "streamOpened":
            return takeStreamOpened(transaction, event.attemptId, event.head);
        case "streamEvents":
            return takeStreamEvents(transaction, event.attemptId, event.events);
        case "streamEnded":
            return takeStreamEnded(transaction, event.attemptId);
        case "attemptFailed":
            return takeAttemptFailed(transaction, event);
        case "serverProbed":
            return takeServerProbed(transaction, event);
        default:
            return takeNews(transaction, event);
    }
}

type NewsEvent = Extract<
    GatewayEvent,
    { readonly kind: `topic${string}` | `peer${string}` | "moveAnswered" | "settingsChanged" | "stopRequested"; }
>;

function takeNews(transaction: Transaction, event: NewsEvent): void {
    switch (event.kind) {
        case "topicRead":
            return takeTopicRead(transaction, event);
        case "topicReadFailed":
            return takeTopicReadFailed(transaction, event);
        case "moveAnswered":
            return takeMoveAnswered(transaction, event);
        case "peerReported":
            return takePeerReport(transaction, event);
        case "peerLinkClosed":
            return takePeerLinkClosed(transaction, event.address);
        case "settingsChanged":
            return takeSettings(transaction, event.options);
        case "stopRequested":
            return takeStopRequested(transaction);
    }
}

function takeSettings(transaction: Transaction, options: GatewayOptions): void {
    const { state } = transaction;
    state.options = options;
    state.retryBudget.options = options.retries;
    record(transaction, "info", "settings_applied", {
        retryRatio: options.retries.ratio,
        retrySlack: options.retries.slack,
        retryWindow: options.retries.window,
        stopLimit: options.stopLimit,
    });
}
