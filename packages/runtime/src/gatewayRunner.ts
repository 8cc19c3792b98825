/**
 * Performs the effects of the gateway's reducer. Their outcomes return to the reducer as events.
 */
import {
    type BaseVersion,
    countColdServers,
    type Decision,
    type DecodedItem,
    decodePeerItems,
    type GatewayEffect,
    type GatewayEvent,
    type GatewayState,
    isGatewayReady,
    type PeerReport,
    type ReadFailure,
    type ServerReport,
    type StreamRecord,
    type StreamRegisterCall,
    type TopicItem,
    type TopicName,
} from "@verbenaspring/gateway";
import {
    type AttemptId,
    type FailureType,
    identifier,
    type LogOffset,
    type Milliseconds,
    type RequestId,
} from "@verbenaspring/model";
import type { Server } from "node:http";
import { getHeapStatistics } from "node:v8";
import { type BackendChannels, createBackendChannels } from "./backendChannels.js";
import { answersShare, callerBounds, heldKinds } from "./callerBudget.js";
import { digestContent } from "./contentDigest.js";
import { createDeferred } from "./daemon.js";
import { createEventChannel, monotonicNow } from "./eventLoop.js";
import { createGatewayCallerServer, type GatewayCallerServer } from "./gatewayCallerServer.js";
import type { GatewayAdapter, GatewayDaemonOptions, TopicPage } from "./gatewayDaemon.js";
import type { EventLog } from "./logging.js";
import type { Metrics } from "./metrics.js";
import { createPeerLinks, type PeerLinks } from "./peerLinks.js";
import { createPressureLog, type PressureLog } from "./pressureLog.js";
import { createProbeServer } from "./probeServer.js";
import { listen } from "./socketAddress.js";

/** A healthy backend server answers a probe within a few milliseconds; the rest allows for a slow network. */
const probeTimeout: Milliseconds = 500;

/** A leaving backend server stops a few seconds after its notice, so a longer migration would complete too late. */
const migrationTimeout: Milliseconds = 3_000;
/**
 * A server that is asked to stop a run does so at once, which the run's channel usually shows. Its answer may wait for
 * other transfers; a server that has not answered by now is taken to have lost the request.
 */
const stopTimeout: Milliseconds = 500;

/** Few processes read the metrics. */
const maxMetricsConnections = 16;

/** What a probe finds out about a server that has no report. */
const emptyReport: ServerReport = { isLeaving: false, startedAt: undefined, runs: undefined };

type AttemptEffect = Extract<GatewayEffect, { readonly kind: "sendAttempt" | "cancelAttempt" | "returnToAttempt"; }>;

type PeerEffect = Extract<GatewayEffect, { readonly kind: "openPeerLink" | "sendReport" | "closePeerLink"; }>;

const peerEffects: ReadonlySet<GatewayEffect["kind"]> = new Set(["openPeerLink", "sendReport", "closePeerLink"]);

function isPeerEffect(effect: GatewayEffect): effect is PeerEffect {
    return peerEffects.has(effect.kind);
}

type ProbeEffect = Extract<GatewayEffect, { readonly kind: "probeServer" | "checkAnswerEnd"; }>;

/** What is kept of a request's arrival, for the metrics of its answer. */
interface RequestArrival {
    readonly receivedAt: Milliseconds;
    readonly promptTokens: number;
}

/** Owns the gateway's sockets and performs the reducer's effects on them. */
export class GatewayRunner {
    readonly events = createEventChannel<GatewayEvent>();
    private readonly stopCompletion = createDeferred();
    readonly stopped = this.stopCompletion.promise;
    private readonly callers: GatewayCallerServer;
    private readonly channels: BackendChannels;
    private readonly peerLinks: PeerLinks;
    private readonly readiness: Server;
    private readonly metricsServer: Server | undefined;
    /** Bodies of requests in progress, kept so that further attempts can send them again. */
    private readonly bodies = new Map<RequestId, Buffer>();
    private readonly arrivals = new Map<RequestId, RequestArrival>();
    /** The attempt whose answer goes to the request's caller. */
    private readonly attemptOfRequest = new Map<RequestId, AttemptId>();
    private requestCount = 0;
    private readonly pressure: PressureLog;

    constructor(
        private readonly options: GatewayDaemonOptions,
        private readonly state: GatewayState,
        private readonly adapter: GatewayAdapter,
        private readonly log: EventLog,
        private readonly metrics: Metrics,
        readDelay: (now: Milliseconds) => Milliseconds,
    ) {
        this.pressure = createPressureLog(log, metrics);
        this.callers = this.createCallers(readDelay);
        this.channels = this.createChannels();
        this.peerLinks = this.createPeers();
        this.readiness = createProbeServer(
            () => ({ status: isGatewayReady(this.state) ? 200 : 503, body: "" }),
            (reason, address) => this.pressure.report("readiness", reason, address, monotonicNow()),
        );
        this.metricsServer = options.metricsAddress === undefined
            ? undefined
            : createProbeServer(
                () => ({ status: 200, contentType: "text/plain", body: metrics.format() }),
                (reason, address) => this.pressure.report("metrics", reason, address, monotonicNow()),
                maxMetricsConnections,
            );
        metrics.gauge("verbenaspring_requests_in_progress", () => state.requests.size);
        for (const kind of heldKinds) {
            metrics.gauge(`verbenaspring_caller_held_bytes_${kind}`, () => this.callers.budget.heldOf(kind));
        }
        metrics.gauge("verbenaspring_caller_held_bytes_peak", () => this.callers.budget.peakBytes);
        metrics.gauge("verbenaspring_caller_held_bytes_limit", () => this.callers.budget.limitBytes);
        metrics.gauge("verbenaspring_caller_connections", () => this.callers.budget.holders.size);
        metrics.gauge("verbenaspring_requests_waiting", () => state.waiting.size);
        metrics.gauge("verbenaspring_topic_age_milliseconds_configuration", () => this.topicAge("configuration"));
        metrics.gauge("verbenaspring_topic_age_milliseconds_servers", () => this.topicAge("backendServers"));
        metrics.gauge("verbenaspring_configuration_version", () => state.configuration?.version ?? 0);
        metrics.gauge("verbenaspring_peers_known", () => state.members.size);
        metrics.gauge("verbenaspring_peer_links", () => state.peers.size);
        metrics.gauge("verbenaspring_backend_servers_known", () => state.servers.size);
        metrics.gauge(
            "verbenaspring_backend_servers_limited",
            () => [...state.requestLimits.values()].filter(({ perSecond }) => perSecond !== undefined).length,
        );
        metrics.gauge("verbenaspring_evacuated_domains", () => state.evacuations.size);
        metrics.gauge("verbenaspring_backend_servers_cold", () => countColdServers(state));
        metrics.labelledGauge(
            "verbenaspring_evacuation_age_milliseconds",
            "domain",
            () =>
                new Map([...state.evacuations].map(([name, { since }]) => [name, Math.round(monotonicNow() - since)])),
        );
        metrics.gauge("verbenaspring_crash_suspects", () => state.crashSuspects.suspects.size);
        metrics.gauge("verbenaspring_backend_channels_opened", () => this.channels.openedChannelCount());
    }

    /** Starts listening at the addresses for callers, peers, readiness and metrics. */
    async listen(): Promise<void> {
        await this.callers.listen(this.options.callerAddress);
        await this.peerLinks.listen(this.options.peerAddress);
        await listen(this.readiness, this.options.readinessAddress);
        if (this.metricsServer !== undefined && this.options.metricsAddress !== undefined) {
            await listen(this.metricsServer, this.options.metricsAddress);
        }
    }

    /** Performs one effect. */
    perform(effect: GatewayEffect): void {
        if (isPeerEffect(effect)) {
            return this.performOnPeer(effect);
        }
        switch (effect.kind) {
            case "sendAttempt":
            case "cancelAttempt":
            case "returnToAttempt":
                return this.performOnAttempt(effect);
            case "answerWhole":
                this.callers.writeWhole(effect.requestId, effect.answer);
                this.recordAnswerTime(effect.requestId, "whole");
                return this.removeRequest(effect.requestId);
            case "answerHead":
                return this.callers.writeHead(effect.requestId, effect.head);
            case "answerEvents":
                if (!this.callers.writeEvents(effect.requestId, effect.events)) {
                    this.setPaused(effect.requestId, true);
                }
                return;
            case "answerEnd":
                this.callers.end(effect.requestId);
                this.recordAnswerTime(effect.requestId, "stream");
                this.countGeneration(effect.requestId, "answered");
                return this.removeRequest(effect.requestId);
            case "answerCut":
                this.callers.abort(effect.requestId);
                this.countGeneration(effect.requestId, "cut");
                return this.removeRequest(effect.requestId);
            case "answerFailure":
                this.callers.writeFailure(effect.requestId, effect.failure);
                this.recordAnswerTime(effect.requestId, "failure");
                this.countGeneration(effect.requestId, effect.failure.type);
                this.metrics.count("verbenaspring_failures_total", { type: effect.failure.type });
                return this.removeRequest(effect.requestId);
            case "migrateRun":
                return this.migrateRun(effect);
            case "closeIdleChannels":
                return this.channels.closeIdle(effect.address);
            case "probeServer":
            case "checkAnswerEnd":
                void this.probe(effect).then(report => this.events.push(toProbed(effect, report)));
                return;
            case "readTopic":
                return this.reportRead(
                    effect.topic,
                    false,
                    this.adapter.topics.read(effect.topic, effect.from, effect.wait),
                );
            case "readSnapshot":
                return this.reportRead(effect.topic, true, this.adapter.topics.readNewest(effect.topic));
            case "callStreamRegister":
                return this.callStreamRegister(effect.call);
            case "applyLimits":
                return this.callers.applyLimits(effect.limits);
            case "startDraining":
                return this.callers.startDraining();
            case "exit":
                return this.exit();
            case "logDecision":
                return this.logDecision(effect.decision);
        }
    }

    private performOnPeer(effect: PeerEffect): void {
        switch (effect.kind) {
            case "openPeerLink":
                return this.peerLinks.open(effect.address, effect.report);
            case "sendReport":
                return this.peerLinks.send(effect.address, effect.report);
            case "closePeerLink":
                return this.peerLinks.closePeer(effect.address);
        }
    }

    private performOnAttempt(effect: AttemptEffect): void {
        switch (effect.kind) {
            case "sendAttempt":
                this.attemptOfRequest.set(effect.requestId, effect.call.attemptId);
                return this.channels.send(effect.call, this.bodies.get(effect.requestId) ?? Buffer.alloc(0));
            case "cancelAttempt":
                return this.channels.cancel(effect.attemptId);
            case "returnToAttempt":
                this.attemptOfRequest.set(effect.requestId, effect.attemptId);
                // It may have been paused when the request was sent elsewhere; the next write tells whether it has to be.
                return this.channels.setPaused(effect.attemptId, false);
        }
    }

    private createCallers(readDelay: (now: Milliseconds) => Milliseconds): GatewayCallerServer {
        const { push } = this.events;
        return createGatewayCallerServer(
            this.adapter.decodeCallerHead,
            () => identifier<RequestId>(String(++this.requestCount)),
            readDelay,
            {
                received: (requestId, head, body, arrival) => {
                    this.bodies.set(requestId, body);
                    this.arrivals.set(requestId, {
                        receivedAt: arrival.receivedAt,
                        promptTokens: head.promptTokens,
                    });
                    this.metrics.count("verbenaspring_requests_total");
                    this.metrics.record("verbenaspring_read_delay_milliseconds", arrival.readDelay);
                    const contentDigest = digestContent(head, body);
                    push({ kind: "requestReceived", requestId, head, contentDigest, ...arrival });
                },
                leftEarly: ({ callerAttemptId }, { readDelay }) => {
                    const fields = { request: callerAttemptId, readDelay: Math.round(readDelay) };
                    this.logDecision({ level: "info", event: "caller_left_early", fields });
                },
                left: requestId => {
                    push({ kind: "callerLeft", requestId });
                    this.removeRequest(requestId);
                },
                refused: (type, detail, target = "") => {
                    this.metrics.count("verbenaspring_failures_total", { type });
                    this.pressure.report("callers", type, describeRefusal(detail, target), monotonicNow());
                },
                answerCut: ({ callerAttemptId, reason, isWritten, unsentBytes }) => {
                    const fields = { request: callerAttemptId, reason, isWritten, unsentBytes };
                    this.logDecision({ level: reason === "closed" ? "info" : "warn", event: "answer_cut", fields });
                },
                cut: (reason, address) => this.pressure.report("callers", reason, address, monotonicNow()),
                answerTaken: requestId => push({ kind: "answerTaken", requestId }),
                unsentAnswers: count => push({ kind: "unsentAnswers", count }),
                drained: requestId => this.setPaused(requestId, false),
                answersTaken: () => this.channels.resumeAnswers(),
            },
            callerBounds({
                memoryBytes: this.options.memoryBytes,
                heapBytes: getHeapStatistics().heap_size_limit,
                maxFileDescriptors: this.options.maxFileDescriptors,
                maxBytes: this.options.callerBytes,
            }),
        );
    }

    private createChannels(): BackendChannels {
        const { push } = this.events;
        return createBackendChannels(
            this.adapter,
            {
                answered: (attemptId, answer) => push({ kind: "attemptAnswered", attemptId, answer }),
                opened: (attemptId, head) => push({ kind: "streamOpened", attemptId, head }),
                events: (attemptId, events) => push({ kind: "streamEvents", attemptId, events }),
                ended: attemptId => push({ kind: "streamEnded", attemptId }),
                failed: (attemptId, failure, wasSent) => push({ kind: "attemptFailed", attemptId, failure, wasSent }),
            },
            this.options.memoryBytes,
            {
                unreadBytes: () => this.callers.budget.heldOf("answers"),
                limitBytes: answersShare * this.callers.budget.limitBytes,
            },
        );
    }

    /** Milliseconds since the topic was last known to be up to date with the store; -1 before the first read. */
    private topicAge(topic: TopicName): number {
        const { freshAsOf } = this.state.followers[topic];
        return freshAsOf === undefined ? -1 : Math.round(monotonicNow() - freshAsOf);
    }

    private recordAnswerTime(requestId: RequestId, kind: "whole" | "stream" | "failure"): void {
        const arrival = this.arrivals.get(requestId);
        if (arrival !== undefined) {
            this.metrics.record("verbenaspring_answer_milliseconds", monotonicNow() - arrival.receivedAt, { kind });
        }
    }

    /** Counts the final answers to requests that state the size of their prompt. */
    private countGeneration(requestId: RequestId, end: "answered" | "cut" | FailureType): void {
        const promptTokens = this.arrivals.get(requestId)?.promptTokens ?? 0;
        if (promptTokens > 0) {
            const upTo = String(2 ** Math.ceil(Math.log2(promptTokens)));
            this.metrics.count("verbenaspring_generations_total", { prompt_tokens_up_to: upTo, end });
        }
    }

    private setPaused(requestId: RequestId, isPaused: boolean): void {
        const attemptId = this.attemptOfRequest.get(requestId);
        if (attemptId !== undefined) {
            this.channels.setPaused(attemptId, isPaused);
        }
    }

    private removeRequest(requestId: RequestId): void {
        this.bodies.delete(requestId);
        this.arrivals.delete(requestId);
        this.attemptOfRequest.delete(requestId);
    }

    private reportRead(topic: TopicName, isSnapshot: boolean, read: Promise<TopicPage>): void {
        read.then(
            ({ items, next, isAtEnd = true }) => {
                const decoded = this.decodeItems(topic, items);
                this.events.push({ kind: "topicRead", topic, isSnapshot, items: decoded, next, isAtEnd });
            },
            (error: unknown) => {
                const failure = classifyReadError(error);
                this.metrics.count("verbenaspring_topic_read_failures_total", { topic, failure });
                this.events.push({ kind: "topicReadFailed", topic, failure });
            },
        );
    }

    private callStreamRegister(call: StreamRegisterCall): void {
        switch (call.kind) {
            case "read":
                return this.readStreamRegister(call.from);
            case "record":
                return this.recordStreams(call.records);
            case "writeBase":
                return this.writeBaseVersion(call.baseVersion, call.at);
        }
    }

    private readStreamRegister(from: LogOffset): void {
        this.adapter.streamRegister.read(from).then(
            page => this.events.push({ kind: "streamRegisterRead", page }),
            (error: unknown) => {
                this.countRegisterFailure("read", error);
                this.events.push({ kind: "streamRegisterReadFailed" });
            },
        );
    }

    private recordStreams(records: readonly StreamRecord[]): void {
        this.adapter.streamRegister.record(records).then(
            () => this.events.push({ kind: "streamsRecorded", isRecorded: true }),
            (error: unknown) => {
                this.countRegisterFailure("record", error);
                this.events.push({ kind: "streamsRecorded", isRecorded: false });
            },
        );
    }

    private writeBaseVersion(baseVersion: BaseVersion, at: LogOffset): void {
        this.log("info", "base_version_written", { ...baseVersion, at });
        this.adapter.streamRegister.writeBase(baseVersion, at)
            .catch((error: unknown) => this.countRegisterFailure("write", error))
            .finally(() => this.events.push({ kind: "baseVersionWritten" }));
    }

    private countRegisterFailure(call: "read" | "record" | "write", error: unknown): void {
        this.metrics.count("verbenaspring_stream_register_failures_total", { call });
        this.log("info", "stream_register_failed", { call, failure: classifyReadError(error), error: String(error) });
    }

    private decodeItems(topic: TopicName, items: readonly TopicItem[]): DecodedItem[] {
        return items.map(item => ({ item, records: this.adapter.topics.decode(topic, item) }));
    }

    private handlePeerReport(report: PeerReport): void {
        const items = decodePeerItems(this.state, report, (topic, item) => this.adapter.topics.decode(topic, item));
        this.events.push({ kind: "peerReported", report, items });
    }

    private createPeers(): PeerLinks {
        return createPeerLinks({
            reported: report => this.handlePeerReport(report),
            closed: address => this.events.push({ kind: "peerLinkClosed", address }),
            reportsLost: address => this.events.push({ kind: "peerReportsLost", address }),
            cut: address => this.pressure.report("peers", "connections", address, monotonicNow()),
            waiting: (peer, { count, oldest, isEnd }) =>
                this.log("info", "peer_reports_waiting", { peer, reports: count, oldest: Math.round(oldest), isEnd }),
        });
    }

    private async probe(effect: ProbeEffect): Promise<ServerReport | undefined> {
        const { address, backendServer, hasReport } = effect;
        if (hasReport) {
            const onlyServer = effect.kind === "checkAnswerEnd" ? effect.backendServer : undefined;
            return this.adapter.readReport(address, probeTimeout, onlyServer);
        }
        const path = effect.kind === "checkAnswerEnd" ? effect.healthCheckPath : undefined;
        const hasAnswered = path === undefined
            ? this.channels.canConnect(address)
            : this.adapter.checkHealth(address, backendServer, path, probeTimeout);
        return await hasAnswered ? emptyReport : undefined;
    }

    private migrateRun(effect: Extract<GatewayEffect, { readonly kind: "migrateRun"; }>): void {
        const { attemptId, callerAttemptId, sourceAddress, targetAddress, isStopping } = effect;
        const timeout = isStopping ? stopTimeout : migrationTimeout;
        const answer = this.adapter.migrateRun(sourceAddress, callerAttemptId, targetAddress, isStopping, timeout);
        void answer.then(result => {
            const step = isStopping ? "stop" : "copy";
            this.metrics.count("verbenaspring_moves_total", { result: result.kind, step });
            this.events.push({ kind: "migrationAnswered", attemptId, isStopping, result });
        });
    }

    private logDecision({ level, event, fields }: Decision): void {
        this.metrics.count("verbenaspring_decisions_total", { event });
        this.log(level, event, fields);
    }

    private exit(): void {
        this.log("info", "stopped", { requests: this.state.requests.size });
        this.callers.close();
        this.channels.close();
        this.peerLinks.close();
        this.adapter.topics.close();
        this.readiness.close();
        this.metricsServer?.close();
        this.stopCompletion.resolve();
    }
}

function toProbed(effect: ProbeEffect, report: ServerReport | undefined): GatewayEvent {
    if (effect.kind === "checkAnswerEnd") {
        return { kind: "answerEndChecked", attemptId: effect.attemptId, report };
    }
    const { backendServer, startedAt } = effect;
    return { kind: "serverProbed", backendServer, startedAt, report };
}

/** Characters of a refused request's target that a log line states. */
const maxLoggedTarget = 120;

function describeRefusal(detail: string, target: string): string {
    return target === "" ? detail : `${detail}: ${target.split("?", 1)[0].slice(0, maxLoggedTarget)}`;
}

const knownReadFailures: readonly ReadFailure[] = [
    "records_deleted",
    "beyond_end",
    "refused",
    "timeout",
    "unreachable",
    "malformed",
];

/** Returns the value of the error's field `failure` if it is a known one, otherwise "unreachable". */
export function classifyReadError(error: unknown): ReadFailure {
    const { failure } = error as { readonly failure?: unknown; };
    return knownReadFailures.find(known => known === failure) ?? "unreachable";
}
