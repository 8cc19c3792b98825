/**
 * One gateway process in virtual time: the real reducer, whose effects are performed on the models. The process can be
 * frozen, killed and stopped.
 */
import type { Random, RandomSource } from "@verbenaspring/coordination";
import {
    type BackendCall,
    createGatewayState,
    type Decision,
    decodePeerItems,
    type GatewayEffect,
    type GatewayEvent,
    type GatewayOptions,
    type GatewayState,
    type MigrationResult,
    type PeerReport,
    reduceGateway,
    type ServerReport,
    type StreamRegisterCall,
    type TopicName,
} from "@verbenaspring/gateway";
import {
    type CallerAttemptId,
    identifier,
    type LogOffset,
    type Milliseconds,
    type PeerAddress,
} from "@verbenaspring/model";
import { decodeTopicItem, type SnapshotCalls, snapshotCalls } from "@verbenaspring/platform";
import type { Clock } from "./clock.js";
import type { Fleet } from "./fleet.js";
import type { MigrationOutcome, RunReport } from "./serverModel.js";
import { listenerInterval, VirtualCalls } from "./virtualCalls.js";
import type { VirtualNetwork } from "./virtualNetwork.js";
import { type LinkOwner, VirtualPeerLinks } from "./virtualPeerLinks.js";
import type { StoreAnswer, VirtualStore } from "./virtualStore.js";
import { appendStreamRecords, readStreamRegister, writeBaseVersion } from "./virtualStreamRegister.js";

/** Effects that send something to a caller. */
export type AnswerEffect = Extract<GatewayEffect, { readonly kind: `answer${string}`; }>;

/**
 * Functions that replace the reducer's events and effects, or drop them by returning undefined, and the calls by which a
 * snapshot is read. The fuzzer's mutations use them to disable a mechanism.
 */
export interface GatewayInterceptors {
    readonly mapEvent: (event: GatewayEvent, state: GatewayState) => GatewayEvent | undefined;
    readonly mapEffect: (effect: GatewayEffect, state: GatewayState) => GatewayEffect | undefined;
    readonly snapshotCalls: () => SnapshotCalls;
}

/** Interceptors that leave everything unchanged. */
export const passThroughInterceptors: GatewayInterceptors = {
    mapEvent: event => event,
    mapEffect: effect => effect,
    snapshotCalls,
};

/** What a backend server replies to a probe. */
interface ProbeReply {
    readonly runs: readonly RunReport[];
    readonly isLeaving: boolean;
    readonly coldRemaining: Milliseconds | undefined;
    readonly startedAt: number | undefined;
}

/** What comes back from an address at which no server listens. */
const connectionRefused = Symbol("connection refused");

/** Environment of a gateway process. */
export interface GatewayEnvironment {
    readonly clock: Clock;
    readonly random: Random;
    readonly network: VirtualNetwork;
    readonly fleet: Fleet;
    readonly store: VirtualStore;
    readonly interceptors: GatewayInterceptors;
    readonly findGateway: (address: PeerAddress) => VirtualGateway | undefined;
    readonly answered: (gateway: VirtualGateway, effect: AnswerEffect) => void;
    readonly decisionLogged: (gateway: VirtualGateway, decision: Decision) => void;
    /** Is called when a call reaches a backend server, even if the server then refuses it. */
    readonly callArrived: (gateway: VirtualGateway, call: BackendCall, sentAt: Milliseconds) => void;
    /** Is called when a backend server refuses a call and asks the gateway for a pause. */
    readonly pauseRequested: (gateway: VirtualGateway, call: BackendCall, pause: Milliseconds) => void;
    readonly exited: (gateway: VirtualGateway) => void;
}

const tickInterval: Milliseconds = 50;
const probeTimeout: Milliseconds = 500;
const migrationTimeout: Milliseconds = 3_000;
const stopTimeout: Milliseconds = 500;
const refusedStatus = 503;

/** A gateway process. */
export class VirtualGateway implements LinkOwner {
    readonly state: GatewayState;
    isAlive = true;
    /** When the process was first asked to stop. */
    stopRequestedAt: Milliseconds | undefined;
    private frozenUntil: Milliseconds = 0;
    private readonly inbox: GatewayEvent[] = [];
    readonly links: VirtualPeerLinks;
    private readonly calls: VirtualCalls;

    constructor(
        readonly options: GatewayOptions,
        readonly incarnation: string,
        private readonly environment: GatewayEnvironment,
        private readonly source: RandomSource,
    ) {
        this.state = createGatewayState(options, identifier(incarnation));
        this.calls = new VirtualCalls(this.name, environment, {
            handleEvent: event => this.handleEvent(event),
            callArrived: (call, sentAt) => environment.callArrived(this, call, sentAt),
            pauseRequested: (call, pause) => environment.pauseRequested(this, call, pause),
        });
        this.links = new VirtualPeerLinks(
            this,
            environment.network,
            address => environment.findGateway(address)?.links,
        );
        environment.clock.schedule(tickInterval * environment.random(), () => this.tick());
    }

    /** The name of the process on the network. */
    get name(): PeerAddress {
        return this.options.peerAddress;
    }

    /** The version of the configuration in force; undefined before the first one. */
    get configurationVersion(): number | undefined {
        return this.state.configuration?.version;
    }

    get isFrozen(): boolean {
        return this.environment.clock.now < this.frozenUntil;
    }

    /** Reduces an event now or, while the process is frozen, when it runs again. */
    handleEvent(event: GatewayEvent): void {
        if (!this.isAlive) {
            return;
        }
        if (this.isFrozen || this.inbox.length > 0) {
            this.inbox.push(event);
            return;
        }
        this.reduce(event);
    }

    /** Requests a planned stop: the process exits when its work is done. */
    stop(): void {
        this.stopRequestedAt ??= this.environment.clock.now;
        this.handleEvent({ kind: "stopRequested" });
    }

    /** Suspends the process; events that arrive meanwhile are queued. */
    freeze(duration: Milliseconds): void {
        const { clock } = this.environment;
        this.frozenUntil = Math.max(this.frozenUntil, clock.now + duration);
        clock.schedule(this.frozenUntil - clock.now, () => this.thaw());
    }

    /**
     * Ends the process. `reset` closes its connections; `power` models a power loss, of which no other process is told.
     */
    kill(how: "reset" | "power"): void {
        if (!this.isAlive) {
            return;
        }
        this.isAlive = false;
        if (how === "reset") {
            this.calls.cancelAll();
            this.links.closeAll();
        }
    }

    private thaw(): void {
        while (this.isAlive && !this.isFrozen && this.inbox.length > 0) {
            this.reduce(this.inbox.shift()!);
        }
    }

    private tick(): void {
        if (!this.isAlive) {
            return;
        }
        if (!this.isFrozen) {
            this.handleEvent({ kind: "tick" });
        }
        this.environment.clock.schedule(tickInterval, () => this.tick());
    }

    private reduce(event: GatewayEvent): void {
        const { interceptors, clock } = this.environment;
        const mappedEvent = interceptors.mapEvent(event, this.state);
        if (mappedEvent === undefined) {
            return;
        }
        for (const effect of reduceGateway(this.state, mappedEvent, clock.now, this.source)) {
            const mappedEffect = interceptors.mapEffect(effect, this.state);
            if (mappedEffect !== undefined) {
                this.perform(mappedEffect);
            }
        }
    }

    private perform(effect: GatewayEffect): void {
        if (isAnswer(effect)) {
            return this.answer(effect);
        }
        if (isOfSockets(effect)) {
            return;
        }
        switch (effect.kind) {
            case "sendAttempt":
                return this.calls.send(effect.call);
            case "cancelAttempt":
                return this.calls.cancel(effect.attemptId);
            case "probeServer": {
                const { backendServer, startedAt } = effect;
                return this.probe(
                    effect,
                    report => this.handleEvent({ kind: "serverProbed", backendServer, startedAt, report }),
                );
            }
            case "checkAnswerEnd": {
                const { attemptId } = effect;
                return this.probe(
                    effect,
                    report => this.handleEvent({ kind: "answerEndChecked", attemptId, report }),
                );
            }
            case "migrateRun":
                return this.migrateRun(effect);
            case "openPeerLink":
                return this.links.open(effect.address, effect.report);
            case "sendReport":
                return this.links.send(effect.address, effect.report);
            case "closePeerLink":
                return this.links.close(effect.address);
            case "readTopic":
                return this.read(effect.topic, effect.from, effect.wait);
            case "readSnapshot":
                return this.readSnapshot(effect.topic);
            case "callStreamRegister":
                return this.callStreamRegister(effect.call);
            case "exit":
                this.kill("reset");
                return this.environment.exited(this);
            case "logDecision":
                return this.environment.decisionLogged(this, effect.decision);
        }
    }

    /** Callers take each answer at once. */
    private answer(effect: AnswerEffect): void {
        const { kind, requestId } = effect;
        if (kind === "answerWhole" || kind === "answerEnd") {
            this.environment.clock.schedule(0, () => this.handleEvent({ kind: "answerTaken", requestId }));
        }
        this.environment.answered(this, effect);
    }

    private callStreamRegister(call: StreamRegisterCall): void {
        switch (call.kind) {
            case "read":
                return this.environment.store.perform(
                    this.name,
                    model => readStreamRegister(model, call.from),
                    page =>
                        this.handleEvent(
                            page === undefined
                                ? { kind: "streamRegisterReadFailed" }
                                : { kind: "streamRegisterRead", page },
                        ),
                );
            case "record":
                return this.environment.store.perform(
                    this.name,
                    model => {
                        appendStreamRecords(model, call.records);
                        return true;
                    },
                    isRecorded => this.handleEvent({ kind: "streamsRecorded", isRecorded: isRecorded === true }),
                );
            case "writeBase":
                return this.environment.store.perform(
                    this.name,
                    model => writeBaseVersion(model, call.baseVersion, call.at),
                    () => this.handleEvent({ kind: "baseVersionWritten" }),
                );
        }
    }

    private probe(
        { address, hasReport }: { readonly address: string; readonly hasReport: boolean; },
        done: (report: ServerReport | undefined) => void,
    ): void {
        this.sendRequest<ProbeReply | typeof connectionRefused>(
            address,
            probeTimeout,
            reply => this.answerProbe(address, hasReport, reply),
            outcome => {
                const reply = outcome === connectionRefused ? undefined : outcome;
                const runs = reply?.runs.map(run => ({
                    ...run,
                    callerAttemptId: identifier<CallerAttemptId>(run.callerAttemptId),
                }));
                done(reply && runs && { ...reply, runs });
            },
        );
    }

    private answerProbe(
        address: string,
        hasReport: boolean,
        reply: (value: ProbeReply | typeof connectionRefused) => void,
    ): void {
        const { fleet, clock } = this.environment;
        const server = fleet.findByAddress(address);
        if (server === undefined && fleet.isListening(address)) {
            clock.schedule(listenerInterval, () => this.answerProbe(address, hasReport, reply));
        }
        else if (server === undefined) {
            reply(connectionRefused);
        }
        else if (server.behaviour !== "silent" || !hasReport) {
            const coldRemaining = fleet.coldRemainingOf(server.options.id);
            const startedAt = hasReport ? fleet.findStart(address) : undefined;
            reply({ runs: server.report(), isLeaving: server.isLeaving, startedAt, coldRemaining });
        }
    }

    private migrateRun(effect: Extract<GatewayEffect, { readonly kind: "migrateRun"; }>): void {
        const { attemptId, callerAttemptId, sourceAddress, targetAddress, isStopping } = effect;
        this.sendRequest<MigrationOutcome>(
            sourceAddress,
            isStopping ? stopTimeout : migrationTimeout,
            reply =>
                this.environment.fleet.findByAddress(sourceAddress)
                    ?.migrate(callerAttemptId, targetAddress, isStopping, reply),
            outcome => {
                const result = toMigrationResult(outcome);
                this.handleEvent({ kind: "migrationAnswered", attemptId, isStopping, result });
            },
        );
    }

    /** Sends a request on its own connection. `done` is called once, with undefined if the timeout passes first. */
    private sendRequest<Reply>(
        address: string,
        timeout: Milliseconds,
        serve: (reply: (value: Reply) => void) => void,
        done: (value: Reply | undefined) => void,
    ): void {
        let isOver = false;
        const channel = this.environment.network.open(this.name, address);
        const finish = (value: Reply | undefined): void => {
            if (!isOver) {
                isOver = true;
                channel.close();
                done(value);
            }
        };
        this.environment.clock.schedule(timeout, () => finish(undefined));
        channel.send("upstream", () => serve(value => channel.send("downstream", () => finish(value))));
    }

    private read(topic: TopicName, from: LogOffset, wait: Milliseconds): void {
        const read = { reader: this.name, topic, from, wait };
        this.environment.store.read(read, answer => this.handleRead(topic, false, answer));
    }

    private readSnapshot(topic: TopicName): void {
        const { store, interceptors } = this.environment;
        const read = { reader: this.name, topic, calls: interceptors.snapshotCalls() };
        store.readSnapshot(read, answer => this.handleRead(topic, true, answer));
    }

    private handleRead(topic: TopicName, isSnapshot: boolean, answer: StoreAnswer): void {
        if (answer.kind === "failed") {
            return this.handleEvent({ kind: "topicReadFailed", topic, failure: answer.failure });
        }
        const items = answer.items.map(item => ({ item, records: decodeTopicItem(topic, item) }));
        const { next, isAtEnd } = answer;
        this.handleEvent({ kind: "topicRead", topic, isSnapshot, items, next, isAtEnd });
    }

    /** Handles the close of the last link to another gateway. */
    handleLinkClosed(address: PeerAddress): void {
        this.handleEvent({ kind: "peerLinkClosed", address });
    }

    /** Handles the close of one of several links to another gateway. */
    handleReportsLost(address: PeerAddress): void {
        this.handleEvent({ kind: "peerReportsLost", address });
    }

    /** Handles a report from another gateway. */
    handleReport(report: PeerReport): void {
        const items = decodePeerItems(this.state, report, decodeTopicItem);
        this.handleEvent({ kind: "peerReported", report, items });
    }
}

function toMigrationResult(outcome: MigrationOutcome | undefined): MigrationResult {
    const notFoundStatus = 404;
    const busyStatus = 409;
    switch (outcome?.kind) {
        case undefined:
            return { kind: "failed", detail: "no answer in time" };
        case "moved":
            return outcome;
        case "no_run":
            return { kind: "refused", status: notFoundStatus };
        case "no_room":
            return { kind: "refused", status: refusedStatus };
        case "busy":
            return { kind: "refused", status: busyStatus };
    }
}

/** Whether an effect concerns only sockets, which are not emulated: virtual servers close theirs when they stop. */
const socketEffects: ReadonlySet<GatewayEffect["kind"]> = new Set([
    "applyLimits",
    "startDraining",
    "closeIdleChannels",
    "returnToAttempt",
]);

function isOfSockets(effect: GatewayEffect): effect is SocketEffect {
    return socketEffects.has(effect.kind);
}

type SocketEffect = Extract<
    GatewayEffect,
    { readonly kind: "applyLimits" | "startDraining" | "closeIdleChannels" | "returnToAttempt"; }
>;

function isAnswer(effect: GatewayEffect): effect is AnswerEffect {
    return effect.kind.startsWith("answer");
}
