/**
 * One gateway process in virtual time: the real reducer, with its effects played on the models. It can be frozen, killed
 * and stopped.
 */
import type { Random, RandomSource } from "@verbenaspring/coordination";
import {
    type BackendCall,
    createGatewayState,
    type Decision,
    type DecodedItem,
    type GatewayEffect,
    type GatewayEvent,
    type GatewayOptions,
    type GatewayState,
    type MigrationResult,
    type PeerReport,
    reduceGateway,
    type TopicName,
} from "@verbenaspring/gateway";
import { type CallerAttemptId, identifier, type Milliseconds, type PeerAddress } from "@verbenaspring/model";
import { decodeTopicItem } from "@verbenaspring/platform";
import type { Clock } from "./clock.js";
import type { Fleet } from "./fleet.js";
import type { MigrationOutcome } from "./serverModel.js";
import { VirtualCalls } from "./virtualCalls.js";
import type { VirtualNetwork } from "./virtualNetwork.js";
import { type LinkOwner, VirtualPeerLinks } from "./virtualPeerLinks.js";
import type { StoreAnswer, StoreRead, VirtualStore } from "./virtualStore.js";

/** Effects by which a caller hears something. */
export type AnswerEffect = Extract<GatewayEffect, { readonly kind: `answer${string}`; }>;

/** Changes to what the reducer sees or asks for; a mutation takes a mechanism out by them. */
export interface GatewayInterceptors {
    readonly mapEvent: (event: GatewayEvent, state: GatewayState) => GatewayEvent | undefined;
    readonly mapEffect: (effect: GatewayEffect, state: GatewayState) => GatewayEffect | undefined;
}

/** The reducer as it is. */
export const passThroughInterceptors: GatewayInterceptors = { mapEvent: event => event, mapEffect: effect => effect };

/** What a gateway process runs in. */
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
    /** A worker was reached with a call, whatever it then does with it. */
    readonly callArrived: (gateway: VirtualGateway, call: BackendCall) => void;
    readonly exited: (gateway: VirtualGateway) => void;
}

const tickInterval: Milliseconds = 50;
const probeTimeout: Milliseconds = 500;
const moveTimeout: Milliseconds = 3_000;
const refusedStatus = 503;

/** A gateway process. */
export class VirtualGateway implements LinkOwner {
    readonly state: GatewayState;
    isAlive = true;
    /** Since when the process was asked to stop. */
    stopRequestedAt: Milliseconds | undefined;
    private frozenUntil: Milliseconds = 0;
    private readonly inbox: GatewayEvent[] = [];
    readonly links: VirtualPeerLinks;
    private readonly calls: VirtualCalls;

    constructor(
        readonly options: GatewayOptions,
        readonly incarnation: string,
        private readonly host: GatewayEnvironment,
        private readonly source: RandomSource,
    ) {
        this.state = createGatewayState(options, identifier(incarnation));
        this.calls = new VirtualCalls(this.name, host, {
            handleEvent: event => this.handleEvent(event),
            callArrived: call => host.callArrived(this, call),
        });
        this.links = new VirtualPeerLinks(this, host.network, address => host.findGateway(address)?.links);
        host.clock.schedule(tickInterval * host.random(), () => this.tick());
    }

    /** Its name on the network. */
    get name(): PeerAddress {
        return this.options.peerAddress;
    }

    get isFrozen(): boolean {
        return this.host.clock.now < this.frozenUntil;
    }

    /** Takes an event now, or when the process runs again. */
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

    /** Asks the process to stop when its work is done. */
    stop(): void {
        this.stopRequestedAt ??= this.host.clock.now;
        this.handleEvent({ kind: "stopRequested" });
    }

    freeze(duration: Milliseconds): void {
        const { clock } = this.host;
        this.frozenUntil = Math.max(this.frozenUntil, clock.now + duration);
        clock.schedule(this.frozenUntil - clock.now, () => this.thaw());
    }

    /** Ends the process. Its channels are reset, unless its machine lost power and nobody is told. */
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
        this.host.clock.schedule(tickInterval, () => this.tick());
    }

    private reduce(event: GatewayEvent): void {
        const { interceptors: parts, clock } = this.host;
        const changed = parts.mapEvent(event, this.state);
        if (changed === undefined) {
            return;
        }
        for (const effect of reduceGateway(this.state, changed, clock.now, this.source)) {
            const asked = parts.mapEffect(effect, this.state);
            if (asked !== undefined) {
                this.perform(asked);
            }
        }
    }

    private perform(effect: GatewayEffect): void {
        if (isAnswer(effect)) {
            return this.host.answered(this, effect);
        }
        switch (effect.kind) {
            case "sendAttempt":
                return this.calls.send(effect.call);
            case "cancelAttempt":
                return this.calls.cancel(effect.attemptId);
            case "probeServer":
                return this.probe(effect);
            case "migrateRun":
                return this.move(effect);
            case "openPeerLink":
                return this.links.open(effect.address, effect.report);
            case "sendReport":
                return this.links.send(effect.address, effect.report);
            case "closePeerLink":
                return this.links.close(effect.address);
            case "readTopic":
                return this.read(effect.topic, effect.from, effect.wait);
            case "readSnapshot":
                return this.read(effect.topic, undefined, 0);
            case "applyLimits":
            case "startDraining":
                return;
            case "exit":
                this.kill("reset");
                return this.host.exited(this);
            case "logDecision":
                return this.host.decisionLogged(this, effect.decision);
        }
    }

    private probe({ backendServer, address }: Extract<GatewayEffect, { readonly kind: "probeServer"; }>): void {
        this.callOnce<readonly { readonly callerAttemptId: string; readonly events: number; }[]>(
            address,
            probeTimeout,
            reply => {
                const server = this.host.fleet.findByAddress(address);
                if (server !== undefined && server.behaviour !== "silent") {
                    reply(server.report());
                }
            },
            runs => {
                const known = runs?.map(run => ({
                    ...run,
                    callerAttemptId: identifier<CallerAttemptId>(run.callerAttemptId),
                }));
                this.handleEvent({ kind: "serverProbed", backendServer, report: known && { runs: known } });
            },
        );
    }

    private move(effect: Extract<GatewayEffect, { readonly kind: "migrateRun"; }>): void {
        const { attemptId, callerAttemptId, sourceAddress, targetAddress } = effect;
        this.callOnce<MigrationOutcome>(
            sourceAddress,
            moveTimeout,
            reply => this.host.fleet.findByAddress(sourceAddress)?.migrate(callerAttemptId, targetAddress, reply),
            outcome => {
                this.handleEvent({ kind: "migrationAnswered", attemptId, result: moveResult(outcome) });
            },
        );
    }

    /** A call of its own channel, answered once or by undefined when its time is over. */
    private callOnce<Reply>(
        address: string,
        timeout: Milliseconds,
        serve: (reply: (value: Reply) => void) => void,
        done: (value: Reply | undefined) => void,
    ): void {
        let isOver = false;
        const channel = this.host.network.open(this.name, address);
        const finish = (value: Reply | undefined): void => {
            if (!isOver) {
                isOver = true;
                channel.close();
                done(value);
            }
        };
        this.host.clock.schedule(timeout, () => finish(undefined));
        channel.send("there", () => serve(value => channel.send("back", () => finish(value))));
    }

    private read(topic: TopicName, from: number | undefined, wait: Milliseconds): void {
        const read: StoreRead = { reader: this.name, topic, from, wait };
        this.host.store.read(read, answer => this.takeRead(read, answer));
    }

    private takeRead({ topic, from }: StoreRead, answer: StoreAnswer): void {
        if (answer.kind === "failed") {
            return this.handleEvent({ kind: "topicReadFailed", topic, failure: answer.failure });
        }
        const items = answer.items.map(item => ({ item, records: decodeTopicItem(topic, item) }));
        this.handleEvent({ kind: "topicRead", topic, isSnapshot: from === undefined, items, next: answer.next });
    }

    /** Takes the end of the last link to another gateway. */
    handleLinkClosed(address: PeerAddress): void {
        this.handleEvent({ kind: "peerLinkClosed", address });
    }

    /** Takes a report from a link. */
    handleReport(report: PeerReport): void {
        const decode = (name: TopicName): DecodedItem[] =>
            (report.topics.find(topic => topic.name === name)?.items ?? [])
                .map(item => ({ item, records: decodeTopicItem(name, item) }));
        const items = { configuration: decode("configuration"), backendServers: decode("backendServers") };
        this.handleEvent({ kind: "peerReported", report, items });
    }
}

function moveResult(outcome: MigrationOutcome | undefined): MigrationResult {
    const notFound = 404;
    switch (outcome?.kind) {
        case undefined:
            return { kind: "failed", detail: "no answer in time" };
        case "moved":
            return outcome;
        case "no_run":
            return { kind: "refused", status: notFound };
        case "no_room":
            return { kind: "refused", status: refusedStatus };
    }
}

function isAnswer(effect: GatewayEffect): effect is AnswerEffect {
    return effect.kind.startsWith("answer");
}
