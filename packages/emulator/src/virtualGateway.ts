/**
 * One gateway process in virtual time: the real reducer, with its effects played on the models. It can be frozen, killed
 * and stopped.
 */
import type { Random, Source } from "@verbenaspring/coordination";
import {
    type BackendAnswer,
    type BackendCall,
    type BackendHead,
    createGatewayState,
    type Decision,
    type DecodedItem,
    type GatewayEffect,
    type GatewayEvent,
    type GatewayOptions,
    type GatewayState,
    type MoveResult,
    type PeerReport,
    reduceGateway,
    type TopicName,
} from "@verbenaspring/gateway";
import {
    type AttemptId,
    type BackendServerId,
    type CallerAttemptId,
    identifier,
    type Milliseconds,
    type PeerAddress,
} from "@verbenaspring/model";
import { decodeTopicItem } from "@verbenaspring/platform";
import type { Clock } from "./clock.js";
import type { Fleet } from "./fleet.js";
import type { CallHandle, CallObserver, MoveOutcome, ServerCall } from "./serverModel.js";
import type { VirtualChannel, VirtualNetwork } from "./virtualNetwork.js";
import type { StoreAnswer, StoreRead, VirtualStore } from "./virtualStore.js";

/** Effects by which a caller hears something. */
export type AnswerEffect = Extract<GatewayEffect, { readonly kind: `answer${string}`; }>;

/** Changes to what the reducer sees or asks for; a mutation takes a mechanism out by them. */
export interface GatewayParts {
    readonly changeEvent: (event: GatewayEvent, state: GatewayState) => GatewayEvent | undefined;
    readonly changeEffect: (effect: GatewayEffect, state: GatewayState) => GatewayEffect | undefined;
}

/** The reducer as it is. */
export const soundGatewayParts: GatewayParts = { changeEvent: event => event, changeEffect: effect => effect };

/** What a gateway process runs in. */
export interface GatewayHost {
    readonly clock: Clock;
    readonly random: Random;
    readonly network: VirtualNetwork;
    readonly fleet: Fleet;
    readonly store: VirtualStore;
    readonly parts: GatewayParts;
    readonly gatewayAt: (address: PeerAddress) => VirtualGateway | undefined;
    readonly answered: (gateway: VirtualGateway, effect: AnswerEffect) => void;
    readonly recorded: (gateway: VirtualGateway, decision: Decision) => void;
    /** A worker was reached with a call, whatever it then does with it. */
    readonly arrived: (gateway: VirtualGateway, call: BackendCall) => void;
    readonly exited: (gateway: VirtualGateway) => void;
}

interface SentAttempt {
    readonly call: BackendCall;
    readonly channel: VirtualChannel;
    handle: CallHandle | undefined;
    isCancelled: boolean;
}

/** A link between two gateways; `opener` counts as the near end of its channel. */
interface PeerLink {
    readonly opener: VirtualGateway;
    readonly accepter: VirtualGateway;
    readonly channel: VirtualChannel;
}

const tickInterval: Milliseconds = 50;
const connectTimeout: Milliseconds = 400;
const probeTimeout: Milliseconds = 500;
const moveTimeout: Milliseconds = 3_000;
/** The part of the sends over a cut path for which no open channel was kept, so that connecting fails. */
const newChannelPart = 0.5;
/** The id of no server: the call may go to whichever listens at the address. */
export const noTarget = identifier<BackendServerId>("");
const refusedStatus = 503;
const mistakenStatus = 421;
const success = 200;

/** A gateway process. */
export class VirtualGateway {
    readonly state: GatewayState;
    isAlive = true;
    /** Since when the process was asked to stop. */
    stopRequestedAt: Milliseconds | undefined;
    private frozenUntil: Milliseconds = 0;
    private readonly inbox: GatewayEvent[] = [];
    private readonly attempts = new Map<AttemptId, SentAttempt>();
    private readonly links = new Map<PeerAddress, Set<PeerLink>>();

    constructor(
        readonly options: GatewayOptions,
        readonly incarnation: string,
        private readonly host: GatewayHost,
        private readonly source: Source,
    ) {
        this.state = createGatewayState(options, identifier(incarnation));
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
    take(event: GatewayEvent): void {
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
        this.take({ kind: "stopRequested" });
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
            this.attempts.forEach(attempt => this.cancel(attempt));
            [...this.links.keys()].forEach(address => this.closeLinks(address));
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
            this.take({ kind: "tick" });
        }
        this.host.clock.schedule(tickInterval, () => this.tick());
    }

    private reduce(event: GatewayEvent): void {
        const { parts, clock } = this.host;
        const changed = parts.changeEvent(event, this.state);
        if (changed === undefined) {
            return;
        }
        for (const effect of reduceGateway(this.state, changed, clock.now, this.source)) {
            const asked = parts.changeEffect(effect, this.state);
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
                return this.send(effect.call);
            case "cancelAttempt":
                return this.cancelAttempt(effect.attemptId);
            case "probeServer":
                return this.probe(effect);
            case "moveRun":
                return this.move(effect);
            case "openPeerLink":
                return this.openLink(effect.address, effect.report);
            case "sendReport":
                return this.sendReport(effect.address, effect.report);
            case "closePeerLink":
                return this.closeLinks(effect.address);
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
            case "record":
                return this.host.recorded(this, effect.decision);
        }
    }

    private send(call: BackendCall): void {
        const { network, clock, random } = this.host;
        const channel = network.open(this.name, call.address);
        const attempt: SentAttempt = { call, channel, handle: undefined, isCancelled: false };
        this.attempts.set(call.attemptId, attempt);
        if (network.isCut(this.name, call.address) && random() < newChannelPart) {
            clock.schedule(connectTimeout, () => this.fail(attempt, "connect_timeout", false));
            return;
        }
        channel.send("there", () => this.arrive(attempt));
    }

    private arrive(attempt: SentAttempt): void {
        const server = this.host.fleet.at(attempt.call.address);
        if (server === undefined) {
            attempt.channel.send("back", () => this.fail(attempt, "connect_refused", false));
            return;
        }
        if (!attempt.isCancelled) {
            this.host.arrived(this, attempt.call);
            attempt.handle = server.start(toServerCall(attempt.call), this.observe(attempt));
        }
    }

    private observe(attempt: SentAttempt): CallObserver {
        const { call, channel } = attempt;
        const { attemptId } = call;
        const report = (event: GatewayEvent, isLast: boolean): void =>
            channel.send("back", () => {
                if (this.attempts.get(attemptId) !== attempt) {
                    return;
                }
                if (isLast) {
                    this.forget(attempt);
                }
                this.take(event);
            });
        return {
            refused: reason => {
                const status = reason === "not_the_target" ? mistakenStatus : refusedStatus;
                const head = { ...headOf(call.head.callerAttemptId, status), isNotRun: true, isSealed: false };
                report({ kind: "attemptAnswered", attemptId, answer: { ...head, body: new Uint8Array() } }, true);
            },
            opened: () => {
                const head = { ...headOf(call.head.callerAttemptId, success), isEventStream: true };
                report({ kind: "streamOpened", attemptId, head }, false);
            },
            event: ({ id, lineage }) => {
                const bytes = Buffer.from(`id: ${id}\ndata: ${lineage}\n\n`);
                report({ kind: "streamEvents", attemptId, events: [{ id, bytes }] }, false);
            },
            ended: () => report({ kind: "streamEnded", attemptId }, true),
            answered: ({ status, callerAttemptId, body }) => {
                const answer: BackendAnswer = {
                    ...headOf(identifier(callerAttemptId), status),
                    body: Buffer.from(body),
                };
                report({ kind: "attemptAnswered", attemptId, answer }, true);
            },
            broken: () => report({ kind: "attemptFailed", attemptId, failure: "channel_lost", wasSent: true }, true),
        };
    }

    private fail(attempt: SentAttempt, failure: "connect_refused" | "connect_timeout", wasSent: boolean): void {
        const { attemptId } = attempt.call;
        if (this.attempts.get(attemptId) === attempt) {
            this.forget(attempt);
            this.take({ kind: "attemptFailed", attemptId, failure, wasSent });
        }
    }

    private forget({ call, channel }: SentAttempt): void {
        this.attempts.delete(call.attemptId);
        channel.close();
    }

    private cancelAttempt(attemptId: AttemptId): void {
        const attempt = this.attempts.get(attemptId);
        if (attempt !== undefined) {
            this.attempts.delete(attemptId);
            this.cancel(attempt);
        }
    }

    private cancel(attempt: SentAttempt): void {
        attempt.channel.send("there", () => {
            attempt.isCancelled = true;
            attempt.handle?.cancel();
        });
        attempt.channel.close();
    }

    private probe({ backendServer, address }: Extract<GatewayEffect, { readonly kind: "probeServer"; }>): void {
        this.callOnce<readonly { readonly callerAttemptId: string; readonly events: number; }[]>(
            address,
            probeTimeout,
            reply => {
                const server = this.host.fleet.at(address);
                if (server !== undefined && server.behaviour !== "silent") {
                    reply(server.report());
                }
            },
            runs => {
                const known = runs?.map(run => ({
                    ...run,
                    callerAttemptId: identifier<CallerAttemptId>(run.callerAttemptId),
                }));
                this.take({ kind: "serverProbed", backendServer, report: known && { runs: known } });
            },
        );
    }

    private move(effect: Extract<GatewayEffect, { readonly kind: "moveRun"; }>): void {
        const { attemptId, callerAttemptId, sourceAddress, targetAddress } = effect;
        this.callOnce<MoveOutcome>(
            sourceAddress,
            moveTimeout,
            reply => this.host.fleet.at(sourceAddress)?.move(callerAttemptId, targetAddress, reply),
            outcome => {
                this.take({ kind: "moveAnswered", attemptId, result: moveResult(outcome) });
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
            return this.take({ kind: "topicReadFailed", topic, failure: answer.failure });
        }
        const items = answer.items.map(item => ({ item, records: decodeTopicItem(topic, item) }));
        this.take({ kind: "topicRead", topic, isSnapshot: from === undefined, items, next: answer.next });
    }

    private openLink(address: PeerAddress, report: PeerReport): void {
        const { network, gatewayAt } = this.host;
        const channel = network.open(this.name, address);
        const accepter = gatewayAt(address);
        if (accepter === undefined) {
            channel.send("back", () => this.take({ kind: "peerLinkClosed", address }));
            channel.close();
            return;
        }
        const link: PeerLink = { opener: this, accepter, channel };
        this.addLink(address, link);
        channel.send("there", () => accepter.acceptLink(link, report));
    }

    private acceptLink(link: PeerLink, report: PeerReport): void {
        if (!this.isAlive) {
            link.channel.send("back", () => link.opener.loseLink(this.name, link));
            return;
        }
        this.addLink(link.opener.name, link);
        this.hear(report);
    }

    private hear(report: PeerReport): void {
        const decode = (name: TopicName): DecodedItem[] =>
            (report.topics.find(topic => topic.name === name)?.items ?? [])
                .map(item => ({ item, records: decodeTopicItem(name, item) }));
        const items = { configuration: decode("configuration"), backendServers: decode("backendServers") };
        this.take({ kind: "peerReported", report, items });
    }

    private sendReport(address: PeerAddress, report: PeerReport): void {
        const [link] = this.links.get(address) ?? [];
        if (link === undefined) {
            return;
        }
        const isOpener = link.opener === this;
        const other = isOpener ? link.accepter : link.opener;
        link.channel.send(isOpener ? "there" : "back", () => other.hear(report));
    }

    private closeLinks(address: PeerAddress): void {
        for (const link of this.links.get(address) ?? []) {
            const isOpener = link.opener === this;
            const other = isOpener ? link.accepter : link.opener;
            link.channel.send(isOpener ? "there" : "back", () => other.loseLink(this.name, link));
            link.channel.close();
        }
        this.links.delete(address);
    }

    private addLink(address: PeerAddress, link: PeerLink): void {
        const links = this.links.get(address) ?? new Set();
        this.links.set(address, links.add(link));
    }

    private loseLink(address: PeerAddress, link: PeerLink): void {
        const links = this.links.get(address);
        if (links?.delete(link) === true && links.size === 0) {
            this.links.delete(address);
            this.take({ kind: "peerLinkClosed", address });
        }
    }
}

function moveResult(outcome: MoveOutcome | undefined): MoveResult {
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

function headOf(callerAttemptId: CallerAttemptId, status: number): BackendHead {
    return {
        status,
        callerAttemptId,
        isSealed: true,
        isNotRun: false,
        isEncoded: false,
        isEventStream: false,
        endsWithChannel: false,
        headers: [],
    };
}

/** The call as the wire would carry it; the path of a call names the length of its answer. */
function toServerCall(call: BackendCall): ServerCall {
    const { head, timeLeft, priority, replicaAddress, lastEvent, continuesFrom } = call;
    const length = /[?&]length=(\d+)/.exec(head.target);
    const normalPriority = 5;
    return {
        callerAttemptId: head.callerAttemptId,
        target: call.backendServer === noTarget ? undefined : call.backendServer,
        path: head.target,
        body: "",
        timeLimit: timeLeft,
        promptTokens: head.promptTokens,
        outputTokens: length === null ? head.maximumTokens : Number(length[1]),
        priority: priority ?? normalPriority,
        lastEvent: lastEvent ?? 0,
        replicaAddress,
        copy: continuesFrom,
    };
}
