/**
 * The entry process: the reducer on one loop, and a runner for its effects.
 */
import { takeSnapshot } from "@verbenaspring/coordination";
import {
    createEntryState,
    type EntryEffect,
    type EntryEvent,
    type EntryObservation,
    type EntryState,
    isReady,
    type OperatorAnswer,
    type OperatorCall,
    reduceEntry,
} from "@verbenaspring/entry";
import {
    type ConfigurationRecord,
    type EntrySettings,
    identifier,
    type Milliseconds,
    type RequestId,
} from "@verbenaspring/model";
import { createCallerServer } from "./callerServer.js";
import { formatCursor } from "./cursor.js";
import { createEventChannel, monotonicNow, runLoop } from "./eventLoop.js";
import { createLinkClient } from "./linkClient.js";
import { createEventLog, type EventLog } from "./logging.js";
import { createMetrics, type Metrics } from "./metrics.js";
import { createOperatorServer, readPeers } from "./operatorServer.js";
import { createLogClient, readInstances } from "./platformClient.js";
import { systemSource } from "./randomSource.js";
import { createTracing, type HopSpan } from "./tracing.js";

const tickInterval: Milliseconds = 50;
/** A link that has been down for this many silence timeouts counts as lost with all that was on it. */
const silencesUntilLost = 5;
const peerTimeout: Milliseconds = 1_000;
const configurationStream = "configuration";
const claimsStream = "claims";

/** A running daemon. */
export interface Daemon {
    /** Begins a planned stop. */
    readonly stop: () => void;
    /** Resolves when the planned stop is complete. */
    readonly stopped: Promise<void>;
}

/**
 * Starts an entry.
 *
 * @example
 * const daemon = await startEntry(settings);
 * process.once("SIGTERM", daemon.stop);
 */
export async function startEntry(settings: EntrySettings): Promise<Daemon> {
    const incarnation = systemSource.newIdentifier();
    const log = createEventLog(settings.observation.logLevel, { role: "entry", incarnation: incarnation.slice(0, 8) });
    const metrics = createMetrics();
    const state = createEntryState({
        incarnation: identifier(incarnation),
        heartbeatInterval: settings.link.heartbeatInterval,
        silenceTimeout: settings.link.silenceTimeout,
        reconnectDelay: settings.link.reconnectDelay,
        lostTimeout: settings.link.silenceTimeout * silencesUntilLost,
        maximumRequests: settings.limits.maximumRequests,
        linksPerService: settings.limits.linksPerService,
        serviceDeadline: settings.serviceDeadline,
        commentInterval: settings.commentInterval,
        keyRetention: settings.keyRetention,
        snapshotInterval: settings.snapshotInterval,
        stopGrace: settings.stopGrace,
        stopTimeout: settings.stopTimeout,
    });
    const runner = createRunner(settings, state, log, metrics);
    metrics.gauge("verbenaspring_requests_in_progress", () => state.requests.size);
    metrics.gauge("verbenaspring_configuration_offset", () => state.configuration.through);
    await runner.listen();
    log("info", "listening", { callers: settings.callerAddress, operators: settings.operatorAddress });
    runLoop<EntryEvent, EntryEffect>({
        sources: [runner.events.stream],
        tick: { kind: "tick" },
        tickInterval,
        reduce: (event, now) => reduceEntry(state, event, now, systemSource),
        perform: runner.perform,
        fail: error => log("error", "loop_failed", { error: describe(error) }),
    });
    return { stop: () => runner.events.push({ kind: "stopRequested" }), stopped: runner.stopped };
}

/** An error as one line, with the place that it came from. */
export function describe(error: unknown): string {
    return error instanceof Error ? error.stack ?? error.message : String(error);
}

function createRunner(settings: EntrySettings, state: EntryState, log: EventLog, metrics: Metrics) {
    const events = createEventChannel<EntryEvent>();
    const { push } = events;
    const tracing = createTracing("verbenaspring-entry", settings.observation.traceAddress);
    const spans = new Map<RequestId, HopSpan>();
    const operatorCalls = new Map<string, (answer: OperatorAnswer) => void>();
    const lastWrites = new Map<RequestId, Milliseconds>();
    const logClient = createLogClient(settings.platform.logAddress, settings.platform.requestTimeout);
    const links = createLinkClient(state.options.incarnation, settings.link.batchInterval, {
        message: (backendServer, linkNumber, message) =>
            push({ kind: "linkMessage", backendServer, linkNumber, message }),
        closed: (backendServer, linkNumber) => push({ kind: "linkClosed", backendServer, linkNumber }),
    });
    const callers = createCallerServer({
        ...settings.limits,
        newIdentifier: systemSource.newIdentifier,
        isReady: () => isReady(state),
        formatMetrics: metrics.format,
    }, {
        requested: (requestId, call, traceparent) => {
            const span = tracing.start("entry", "server", traceparent, { "verbenaspring.request_id": requestId });
            spans.set(requestId, span);
            lastWrites.set(requestId, monotonicNow());
            push({ kind: "callerRequested", requestId, call: { ...call, traceparent: span.traceparent } });
        },
        left: requestId => push({ kind: "callerLeft", requestId }),
        blocked: requestId => push({ kind: "callerBlocked", requestId }),
        drained: requestId => push({ kind: "callerDrained", requestId }),
    });
    const operators = createOperatorServer({
        token: settings.operatorToken,
        call: callOperator,
        snapshot: () => takeSnapshot(state.configuration),
    });
    let finishStop: () => void = () => undefined;
    const stopped = new Promise<void>(resolve => finishStop = resolve);
    const poll = setInterval(() => void pollInstances(), settings.platform.pollInterval);

    function callOperator(call: OperatorCall): Promise<OperatorAnswer> {
        const callId = systemSource.newIdentifier();
        return new Promise(resolve => {
            operatorCalls.set(callId, resolve);
            push({ kind: "operatorCalled", callId, call });
        });
    }

    async function pollInstances(): Promise<void> {
        try {
            const { instanceListAddress, requestTimeout } = settings.platform;
            push({ kind: "instancesListed", instances: await readInstances(instanceListAddress, requestTimeout) });
        }
        catch (error) {
            log("debug", "instance_list_unavailable", { error: String(error) });
        }
    }

    function recordSilence(requestId: RequestId): void {
        const now = monotonicNow();
        const last = lastWrites.get(requestId);
        if (last !== undefined) {
            metrics.record("verbenaspring_stall_milliseconds", now - last);
        }
        lastWrites.set(requestId, now);
    }

    function recordTokens(requestId: RequestId, tokens: number, from: number): void {
        const last = lastWrites.get(requestId);
        if (from > 0 && last !== undefined) {
            metrics.record("verbenaspring_time_between_tokens_milliseconds", (monotonicNow() - last) / tokens);
        }
        metrics.count("verbenaspring_tokens_total", {}, tokens);
        recordSilence(requestId);
    }

    function endAnswer(requestId: RequestId): void {
        recordSilence(requestId);
        lastWrites.delete(requestId);
        callers.forget(requestId);
    }

    function append(
        stream: string,
        value: unknown,
        done: EntryEvent | undefined,
        failed: EntryEvent | undefined,
    ): void {
        logClient.append(stream, value).then(
            () => done && push(done),
            error => {
                log("warn", "log_append_failed", { stream, error: String(error) });
                if (failed !== undefined) {
                    push(failed);
                }
            },
        );
    }

    function readLog<Value>(
        stream: string,
        from: number,
        done: (
            page: { records: readonly { offset: number; value: Value; }[]; earliest: number; end: number; },
        ) => EntryEvent,
        failed: EntryEvent,
    ): void {
        logClient.read<Value>(stream, from).then(page => push(done(page)), () => push(failed));
    }

    function observe(observation: EntryObservation): void {
        const { event, ...fields } = observation;
        switch (observation.event) {
            case "request_finished": {
                const { requestId, organisation, result, duration, tokens, waits } = observation;
                metrics.count("verbenaspring_requests_total", { result });
                waits.forEach(span =>
                    metrics.record("verbenaspring_wait_milliseconds", span.duration, { reason: span.reason })
                );
                spans.get(requestId)?.end({ "verbenaspring.result": result });
                spans.delete(requestId);
                return log("info", event, { requestId, organisation, result, duration: Math.round(duration), tokens });
            }
            case "first_token":
                return metrics.record("verbenaspring_first_token_milliseconds", observation.after);
            case "link_opening":
                return log("debug", event, { ...observation, event: undefined });
            default:
                return log("info", event, fields as Record<string, string | number>);
        }
    }

    async function exit(): Promise<void> {
        log("info", "stopped");
        clearInterval(poll);
        await callers.close();
        operators.close();
        await tracing.flush();
        finishStop();
    }

    function performAnswer(effect: Extract<EntryEffect, { readonly kind: `answer${string}`; }>): void {
        if (effect.kind === "answerOperator") {
            operatorCalls.get(effect.callId)?.(effect.answer);
            operatorCalls.delete(effect.callId);
            return;
        }
        const { requestId } = effect;
        const answer = callers.answer(requestId);
        switch (effect.kind) {
            case "answerTokens": {
                const next = effect.from + effect.texts.length;
                recordTokens(requestId, effect.texts.length, effect.from);
                return answer?.writeTokens(formatCursor({ ...effect.generation, next }), effect.texts);
            }
            case "answerComment":
                recordSilence(requestId);
                return answer?.writeComment(effect.reason, effect.ahead, effect.expected);
            case "answerEnd":
                endAnswer(requestId);
                return answer?.endStream(effect.finishReason);
            case "answerWhole":
                endAnswer(requestId);
                return answer?.endWhole(effect.texts, effect.finishReason);
            case "answerResponse": {
                const { status, contentType, body } = effect.answer;
                endAnswer(requestId);
                return answer?.endResponse(status, contentType, body);
            }
            case "answerFailure":
                endAnswer(requestId);
                return answer?.endFailure(effect.failure);
        }
    }

    function perform(effect: EntryEffect): void {
        switch (effect.kind) {
            case "openLink":
                return links.open(effect.backendServer, effect.address, effect.linkNumber);
            case "sendMessage":
                return links.send(effect.backendServer, effect.linkNumber, effect.message);
            case "closeLink":
                return links.close(effect.backendServer, effect.linkNumber);
            case "readConfiguration":
                return readLog<ConfigurationRecord>(
                    configurationStream,
                    effect.from,
                    page => ({ kind: "configurationRead", ...page }),
                    { kind: "configurationReadFailed" },
                );
            case "readClaims":
                return readLog<never>(
                    claimsStream,
                    effect.from,
                    page => ({ kind: "claimsRead", ...page }),
                    { kind: "claimsReadFailed" },
                );
            case "appendClaims":
                metrics.count("verbenaspring_claim_appends_total");
                metrics.count("verbenaspring_claim_statements_total", {}, effect.statements.length);
                return append(claimsStream, effect.statements, { kind: "claimsAppended" }, {
                    kind: "claimsAppendFailed",
                });
            case "appendChange": {
                const { changeId } = effect.change;
                const record: ConfigurationRecord = { type: "change", change: effect.change };
                const failed: EntryEvent = { kind: "changeAppendFailed", changeId };
                return append(configurationStream, record, { kind: "changeAppended", changeId }, failed);
            }
            case "appendSnapshot":
                return append(
                    configurationStream,
                    { type: "snapshot", snapshot: effect.snapshot },
                    undefined,
                    undefined,
                );
            case "askPeers":
                void readPeers(settings.peerAddresses, settings.operatorToken, peerTimeout)
                    .then(snapshots => push({ kind: "peersAnswered", snapshots }));
                return;
            case "observe":
                return observe(effect.observation);
            case "violated": {
                const { invariant, detail } = effect.violation;
                metrics.count("verbenaspring_invariant_violations_total", { invariant });
                return log("error", "invariant_violated", { invariant, detail, requestId: effect.requestId });
            }
            case "exit":
                void exit();
                return;
            default:
                return performAnswer(effect);
        }
    }

    async function listenAll(): Promise<void> {
        await callers.listen(settings.callerAddress);
        await operators.listen(settings.operatorAddress);
        await pollInstances();
    }

    return { events, perform, listen: listenAll, stopped };
}
