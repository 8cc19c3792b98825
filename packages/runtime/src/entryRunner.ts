/**
 * Performs an entry's effects; their outcomes come back as events.
 */
import { type OffsetRecord, takeSnapshot } from "@verbenaspring/coordination";
import {
    type EntryEffect,
    type EntryEvent,
    type EntryState,
    isReady,
    type OperatorAnswer,
    type OperatorCall,
} from "@verbenaspring/entry";
import type { ConfigurationRecord, EntrySettings, LogOffset, Milliseconds } from "@verbenaspring/model";
import { type CallerServer, createCallerServer } from "./callerServer.js";
import { formatCursor } from "./cursor.js";
import { createDeferred } from "./daemon.js";
import { EntryMeter } from "./entryMeter.js";
import { createEventChannel } from "./eventLoop.js";
import { createLinkClient, type LinkClient } from "./linkClient.js";
import type { EventLog } from "./logging.js";
import type { Metrics } from "./metrics.js";
import { createOperatorServer, type OperatorServer, readPeers } from "./operatorServer.js";
import { createLogClient, type LogClient, readInstances } from "./platformClient.js";
import { systemSource } from "./randomSource.js";
import { createTracing, type Tracing } from "./tracing.js";

const peerTimeout: Milliseconds = 1_000;
const configurationStream = "configuration";
const claimsStream = "claims";

type AnswerEffect = Extract<EntryEffect, { readonly kind: `answer${string}`; }>;
type LogEffect = Extract<EntryEffect, { readonly kind: `${"read" | "append"}${string}`; }>;

/** The entry's hands. */
export class EntryRunner {
    readonly events = createEventChannel<EntryEvent>();
    private readonly stop = createDeferred();
    readonly stopped = this.stop.promise;
    private readonly tracing: Tracing;
    private readonly meter: EntryMeter;
    private readonly links: LinkClient;
    private readonly callers: CallerServer;
    private readonly operators: OperatorServer;
    private readonly logClient: LogClient;
    private readonly operatorCalls = new Map<string, (answer: OperatorAnswer) => void>();
    private poll: NodeJS.Timeout | undefined;

    constructor(
        private readonly settings: EntrySettings,
        private readonly state: EntryState,
        private readonly log: EventLog,
        private readonly metrics: Metrics,
    ) {
        const { push } = this.events;
        this.tracing = createTracing("verbenaspring-entry", settings.observation.traceAddress);
        this.meter = new EntryMeter(metrics, log, this.tracing);
        this.logClient = createLogClient(settings.platform.logAddress, settings.platform.requestTimeout);
        this.links = createLinkClient(state.options.incarnation, settings.link.batchInterval, {
            message: (backendServer, linkNumber, message) =>
                push({ kind: "linkMessage", backendServer, linkNumber, message }),
            closed: (backendServer, linkNumber) => push({ kind: "linkClosed", backendServer, linkNumber }),
        });
        this.callers = this.createCallers();
        this.operators = createOperatorServer({
            token: settings.operatorToken,
            call: call => this.callOperator(call),
            snapshot: () => takeSnapshot(state.configuration),
        });
    }

    /** Listens at all addresses, and begins to follow the instance list. */
    async listen(): Promise<void> {
        await this.callers.listen(this.settings.callerAddress);
        await this.operators.listen(this.settings.operatorAddress);
        await this.readInstanceList();
        this.poll = setInterval(() => void this.readInstanceList(), this.settings.platform.pollInterval);
    }

    /** Performs one effect. */
    perform(effect: EntryEffect): void {
        switch (effect.kind) {
            case "openLink":
                return this.links.open(effect.backendServer, effect.address, effect.linkNumber);
            case "sendMessage":
                return this.links.send(effect.backendServer, effect.linkNumber, effect.message);
            case "closeLink":
                return this.links.close(effect.backendServer, effect.linkNumber);
            case "requestPeerSnapshots":
                return this.askPeers();
            case "observe":
                return this.meter.observe(effect.observation);
            case "violated":
                return this.reportViolation(effect);
            case "exit":
                void this.exit();
                return;
            case "answerOperator":
                this.operatorCalls.get(effect.callId)?.(effect.answer);
                this.operatorCalls.delete(effect.callId);
                return;
            case "readConfiguration":
            case "readClaims":
            case "appendClaims":
            case "appendChange":
            case "appendSnapshot":
                return this.performLog(effect);
            default:
                return this.performAnswer(effect);
        }
    }

    private createCallers(): CallerServer {
        const { push } = this.events;
        return createCallerServer({
            ...this.settings.limits,
            newIdentifier: systemSource.newIdentifier,
            isReady: () => isReady(this.state),
            formatMetrics: this.metrics.format,
        }, {
            requested: (requestId, call) => {
                const traceparent = this.meter.begin(requestId, call.traceparent);
                push({ kind: "callerRequested", requestId, call: { ...call, traceparent } });
            },
            left: requestId => push({ kind: "callerLeft", requestId }),
            blocked: requestId => push({ kind: "callerBlocked", requestId }),
            drained: requestId => push({ kind: "callerDrained", requestId }),
        });
    }

    private callOperator(call: OperatorCall): Promise<OperatorAnswer> {
        const callId = systemSource.newIdentifier();
        return new Promise(resolve => {
            this.operatorCalls.set(callId, resolve);
            this.events.push({ kind: "operatorCalled", callId, call });
        });
    }

    private async readInstanceList(): Promise<void> {
        const { instanceListAddress, requestTimeout } = this.settings.platform;
        try {
            const instances = await readInstances(instanceListAddress, requestTimeout);
            this.events.push({ kind: "instancesListed", instances });
        }
        catch (error) {
            this.log("debug", "instance_list_unavailable", { error: String(error) });
        }
    }

    private askPeers(): void {
        const { peerAddresses, operatorToken } = this.settings;
        void readPeers(peerAddresses, operatorToken, peerTimeout)
            .then(snapshots => this.events.push({ kind: "peersAnswered", snapshots }));
    }

    private performLog(effect: LogEffect): void {
        switch (effect.kind) {
            case "readConfiguration":
                return this.read<ConfigurationRecord>("configuration", effect.from);
            case "readClaims":
                return this.read("claims", effect.from);
            case "appendClaims":
                this.metrics.count("verbenaspring_claim_appends_total");
                this.metrics.count("verbenaspring_claim_statements_total", {}, effect.statements.length);
                return this.append(claimsStream, effect.statements, "claimsAppended", "claimsAppendFailed");
            case "appendChange":
                return this.appendChange(effect);
            case "appendSnapshot": {
                const record: ConfigurationRecord = { type: "snapshot", snapshot: effect.snapshot };
                return this.append(configurationStream, record, undefined, undefined);
            }
        }
    }

    private read<Value>(stream: "configuration" | "claims", from: LogOffset): void {
        this.logClient.read<Value>(stream, from).then(
            ({ records, earliest, end }) => {
                const page = { records: records as readonly OffsetRecord<never>[], earliest, end };
                this.events.push({ kind: `${stream}Read`, ...page });
            },
            () => this.events.push({ kind: `${stream}ReadFailed` }),
        );
    }

    private appendChange({ change }: Extract<LogEffect, { readonly kind: "appendChange"; }>): void {
        const { changeId } = change;
        const record: ConfigurationRecord = { type: "change", change };
        this.logClient.append(configurationStream, record).then(
            () => this.events.push({ kind: "changeAppended", changeId }),
            error => {
                this.reportAppend(configurationStream, error);
                this.events.push({ kind: "changeAppendFailed", changeId });
            },
        );
    }

    private append(
        stream: string,
        value: unknown,
        done: "claimsAppended" | undefined,
        failed: "claimsAppendFailed" | undefined,
    ): void {
        this.logClient.append(stream, value).then(
            () => done && this.events.push({ kind: done }),
            error => {
                this.reportAppend(stream, error);
                return failed && this.events.push({ kind: failed });
            },
        );
    }

    private reportAppend(stream: string, error: unknown): void {
        this.log("warn", "log_append_failed", { stream, error: String(error) });
    }

    private performAnswer(effect: Exclude<AnswerEffect, { readonly kind: "answerOperator"; }>): void {
        const { requestId } = effect;
        const answer = this.callers.answer(requestId);
        switch (effect.kind) {
            case "answerTokens": {
                const { from, texts, generation } = effect;
                this.meter.recordTokens(requestId, texts.length, from);
                return answer?.writeTokens(formatCursor({ ...generation, next: from + texts.length }), texts);
            }
            case "answerComment":
                this.meter.recordSilence(requestId);
                return answer?.writeComment(effect.reason, effect.ahead, effect.expected);
            default:
                this.meter.end(requestId, effect.kind === "answerFailure" ? effect.failure.type : "completed");
                this.callers.forget(requestId);
        }
        switch (effect.kind) {
            case "answerEnd":
                return answer?.endStream(effect.finishReason);
            case "answerWhole":
                return answer?.endWhole(effect.texts, effect.finishReason);
            case "answerResponse":
                return answer?.endResponse(effect.answer.status, effect.answer.contentType, effect.answer.body);
            case "answerFailure":
                return answer?.endFailure(effect.failure);
        }
    }

    private reportViolation({ violation, requestId }: Extract<EntryEffect, { readonly kind: "violated"; }>): void {
        const { invariant, detail } = violation;
        this.metrics.count("verbenaspring_invariant_violations_total", { invariant });
        this.log("error", "invariant_violated", { invariant, detail, requestId });
    }

    private async exit(): Promise<void> {
        this.log("info", "stopped");
        clearInterval(this.poll);
        await this.callers.close();
        this.operators.close();
        await this.tracing.flush();
        this.stop.resolve();
    }
}
