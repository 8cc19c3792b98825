/**
 * Performs the effects of the entry's reducer. Their outcomes return to the reducer as events.
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
import { EntryTelemetry } from "./entryTelemetry.js";
import { createEventChannel } from "./eventLoop.js";
import { createLinkClient, type LinkClient } from "./linkClient.js";
import type { EventLog } from "./logging.js";
import type { Metrics } from "./metrics.js";
import { createOperatorServer, type OperatorServer, requestConfigurationSnapshots } from "./operatorServer.js";
import { createLogClient, type LogClient, readInstances } from "./platformClient.js";
import { systemSource } from "./randomSource.js";
import { createTracing, type Tracing } from "./tracing.js";

const peerRequestTimeout: Milliseconds = 1_000;
const configurationStream = "configuration";
const claimsStream = "claims";

type AnswerEffect = Extract<EntryEffect, { readonly kind: `answer${string}`; }>;
type LogEffect = Extract<EntryEffect, { readonly kind: `${"read" | "append"}${string}`; }>;

/** Owns the entry's servers, links and clients, and performs the reducer's effects on them. */
export class EntryRunner {
    readonly events = createEventChannel<EntryEvent>();
    private readonly stopCompletion = createDeferred();
    readonly stopped = this.stopCompletion.promise;
    private readonly tracing: Tracing;
    private readonly telemetry: EntryTelemetry;
    private readonly links: LinkClient;
    private readonly callers: CallerServer;
    private readonly operators: OperatorServer;
    private readonly logClient: LogClient;
    private readonly pendingOperatorCalls = new Map<string, (answer: OperatorAnswer) => void>();
    private pollTimer: NodeJS.Timeout | undefined;

    constructor(
        private readonly settings: EntrySettings,
        private readonly state: EntryState,
        private readonly log: EventLog,
        private readonly metrics: Metrics,
    ) {
        const { push } = this.events;
        this.tracing = createTracing("verbenaspring-entry", settings.observation.traceAddress);
        this.telemetry = new EntryTelemetry(metrics, log, this.tracing);
        this.logClient = createLogClient(settings.platform.logAddress, settings.platform.requestTimeout);
        this.links = createLinkClient(state.options.incarnation, settings.link.batchInterval, {
            message: (backendServer, linkNumber, message) =>
                push({ kind: "linkMessage", backendServer, linkNumber, message }),
            closed: (backendServer, linkNumber) => push({ kind: "linkClosed", backendServer, linkNumber }),
        });
        this.callers = this.createCallers();
        this.operators = createOperatorServer({
            token: settings.operatorToken,
            handleCall: call => this.handleOperatorCall(call),
            snapshot: () => takeSnapshot(state.configuration),
        });
    }

    /** Starts listening for callers and operators, reads the instance list and begins to poll it. */
    async listen(): Promise<void> {
        await this.callers.listen(this.settings.callerAddress);
        await this.operators.listen(this.settings.operatorAddress);
        await this.readInstanceList();
        this.pollTimer = setInterval(() => void this.readInstanceList(), this.settings.platform.pollInterval);
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
                return this.requestPeerSnapshots();
            case "observe":
                return this.telemetry.observe(effect.observation);
            case "violated":
                return this.reportViolation(effect);
            case "exit":
                void this.exit();
                return;
            case "answerOperator":
                this.pendingOperatorCalls.get(effect.callId)?.(effect.answer);
                this.pendingOperatorCalls.delete(effect.callId);
                return;
            case "readConfiguration":
            case "readClaims":
            case "appendClaims":
            case "appendChange":
            case "appendSnapshot":
                return this.performLogEffect(effect);
            default:
                return this.performAnswerEffect(effect);
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
                const traceparent = this.telemetry.begin(requestId, call.traceparent);
                push({ kind: "callerRequested", requestId, call: { ...call, traceparent } });
            },
            leftEarly: request => this.log("info", "caller_left_early", { request }),
            left: requestId => push({ kind: "callerLeft", requestId }),
            blocked: requestId => push({ kind: "callerBlocked", requestId }),
            drained: requestId => push({ kind: "callerDrained", requestId }),
        });
    }

    private handleOperatorCall(call: OperatorCall): Promise<OperatorAnswer> {
        const callId = systemSource.newIdentifier();
        return new Promise(resolve => {
            this.pendingOperatorCalls.set(callId, resolve);
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

    private requestPeerSnapshots(): void {
        const { peerAddresses, operatorToken } = this.settings;
        void requestConfigurationSnapshots(peerAddresses, operatorToken, peerRequestTimeout)
            .then(snapshots => this.events.push({ kind: "peersAnswered", snapshots }));
    }

    private performLogEffect(effect: LogEffect): void {
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
                this.logAppendFailure(configurationStream, error);
                this.events.push({ kind: "changeAppendFailed", changeId });
            },
        );
    }

    private append(
        stream: string,
        value: unknown,
        successKind: "claimsAppended" | undefined,
        failureKind: "claimsAppendFailed" | undefined,
    ): void {
        this.logClient.append(stream, value).then(
            () => successKind && this.events.push({ kind: successKind }),
            error => {
                this.logAppendFailure(stream, error);
                return failureKind && this.events.push({ kind: failureKind });
            },
        );
    }

    private logAppendFailure(stream: string, error: unknown): void {
        this.log("warn", "log_append_failed", { stream, error: String(error) });
    }

    private performAnswerEffect(effect: Exclude<AnswerEffect, { readonly kind: "answerOperator"; }>): void {
        const { requestId } = effect;
        const answer = this.callers.answer(requestId);
        switch (effect.kind) {
            case "answerTokens": {
                const { from, texts, generation } = effect;
                this.telemetry.recordTokens(requestId, texts.length, from);
                return answer?.writeTokens(formatCursor({ ...generation, next: from + texts.length }), texts);
            }
            case "answerComment":
                this.telemetry.recordWrite(requestId);
                return answer?.writeComment(effect.reason, effect.ahead, effect.expected);
            default:
                this.telemetry.end(requestId, effect.kind === "answerFailure" ? effect.failure.type : "completed");
                this.callers.removeAnswer(requestId);
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
        clearInterval(this.pollTimer);
        await this.callers.close();
        this.operators.close();
        await this.tracing.flush();
        this.stopCompletion.resolve();
    }
}
