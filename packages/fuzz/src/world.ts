/**
 * The virtual world of the fuzzer: the real reducers of entries and sidecars, joined by small fakes, in virtual time.
 */
import { type RandomSource, seededSource } from "@verbenaspring/coordination";
import { VirtualClock } from "@verbenaspring/emulator";
import {
    createEntryState,
    defaultEntryPolicies,
    type EntryEffect,
    type EntryEvent,
    type EntryPolicies,
    type EntryState,
    type ListedInstance,
    type OperatorAnswer,
    type OperatorCall,
    reduceEntry,
} from "@verbenaspring/entry";
import {
    type BackendServerId,
    type ChangeId,
    type ConfigurationRecord,
    identifier,
    type LogOffset,
    type Milliseconds,
    type RequestId,
} from "@verbenaspring/model";
import {
    createSidecarState,
    defaultSidecarPolicies,
    reduceSidecar,
    type SidecarEffect,
    type SidecarEvent,
    type SidecarPolicies,
    type SidecarState,
} from "@verbenaspring/sidecar";
import { ConfigurationOracle } from "./configurationOracle.js";
import { FakeBackend } from "./fakeBackend.js";
import { FakeLog } from "./fakeLog.js";
import { Network, type VirtualLink } from "./network.js";
import { createNode, deliver, freeze, keepTicking, type NodeDriver, type VirtualNode } from "./nodes.js";
import { type Ask, Oracle } from "./oracle.js";
import {
    bearerDigest,
    entryCount,
    entryTimings,
    firstDocuments,
    plainService,
    services,
    sidecarTimings,
} from "./worldSettings.js";

/** Parts that a mutation may replace. */
export interface WorldParts {
    readonly entry: EntryPolicies;
    readonly sidecar: SidecarPolicies;
}

/** The parts as the daemons have them. */
export const defaultWorldParts: WorldParts = { entry: defaultEntryPolicies, sidecar: defaultSidecarPolicies };

type EntryNode = VirtualNode<EntryEvent, EntryState>;
type SidecarNode = VirtualNode<SidecarEvent, SidecarState>;

/** What a caller asks. */
export interface AskOptions {
    readonly id: string;
    readonly kind: Ask["kind"];
    readonly entrySlot: number;
    readonly length: number;
    readonly timeLimit: Milliseconds;
    readonly key?: string;
    readonly cursor?: Ask["cursor"];
}

const listInterval: Milliseconds = 400;
const listLag: Milliseconds = 600;
const replaceDelay: Milliseconds = 150;
const peerLatency: Milliseconds = 10;
const expireInterval: Milliseconds = 2_000;
const configurationRetention: Milliseconds = 40_000;
const checkInterval: Milliseconds = 100;
/** A drain is in force this long after it was accepted, or after the last fault that could keep it back. */
const drainTolerance: Milliseconds = 7_000;

/** One schedule's world. */
export class World {
    readonly clock = new VirtualClock();
    readonly oracle = new Oracle(this.clock);
    readonly configuration = new ConfigurationOracle(this.oracle);
    readonly backends: FakeBackend[];
    readonly log: FakeLog;
    readonly network: Network;
    readonly entries: EntryNode[] = [];
    readonly sidecars: SidecarNode[] = [];
    /** The last time at which a fault was at work. */
    faultUntil: Milliseconds = 0;
    hadFault = false;
    private readonly source: RandomSource;
    private readonly listedLeaving = new Set<number>();
    private shownLeaving: ReadonlySet<number> = new Set();
    private readonly drainAccepted = new Map<BackendServerId, Milliseconds>();
    private readonly pendingOperations = new Map<string, (answer: OperatorAnswer) => void>();
    private readonly entryDriver: NodeDriver<EntryEvent, EntryEffect, EntryState>;
    private readonly sidecarDriver: NodeDriver<SidecarEvent, SidecarEffect, SidecarState>;
    private counter = 0;

    constructor(seed: number, parts: WorldParts) {
        this.source = seededSource(seed);
        const { random } = this.source;
        this.log = new FakeLog(this.clock, random);
        this.log.onStored = (stream, offset, value) => {
            if (stream === "configuration") {
                this.configuration.noteRecord(offset, value as ConfigurationRecord);
            }
        };
        this.backends = services.map((service, index) =>
            new FakeBackend(identifier(`${service}-${index}`), this.clock, random, this.oracle)
        );
        this.network = new Network(this.clock, random, {
            opened: link => this.openAtSidecar(link),
            toSidecar: (link, message) =>
                this.atSidecarOf(link, {
                    kind: "linkMessage",
                    entry: identifier(link.entryIncarnation),
                    linkNumber: link.number,
                    message,
                }),
            toEntry: ({ entryIncarnation, backendServer, number: linkNumber }, message) =>
                this.atEntry(entryIncarnation, { kind: "linkMessage", backendServer, linkNumber, message }),
            closedAtEntry: ({ entryIncarnation, backendServer, number: linkNumber }) =>
                this.atEntry(entryIncarnation, { kind: "linkClosed", backendServer, linkNumber }),
            closedAtSidecar: link =>
                this.atSidecarOf(link, {
                    kind: "linkClosed",
                    entry: identifier(link.entryIncarnation),
                    linkNumber: link.number,
                }),
        });
        this.entryDriver = {
            reduce: (state, event, now) => reduceEntry(state, event, now, this.source, parts.entry),
            perform: (node, effect) => this.performEntry(node, effect),
            check: node => this.checkEntry(node),
        };
        this.sidecarDriver = {
            reduce: (state, event, now) => reduceSidecar(state, event, now, this.source, parts.sidecar),
            perform: (node, effect) => this.performSidecar(node, effect),
            check: node => this.checkSidecar(node),
        };
        this.writeDocuments();
        services.forEach((_, slot) => this.sidecars[slot] = this.createSidecar(slot));
        for (let slot = 0; slot < entryCount; slot++) {
            this.entries[slot] = this.createEntry();
        }
        this.publishLists();
        this.expireRecords();
        this.checkOften();
    }

    private writeDocuments(): void {
        for (const { kind, document } of firstDocuments) {
            const changeId = identifier<ChangeId>(this.source.newIdentifier());
            const change = { changeId, kind, name: document.name as string, expectedRevision: -1, document };
            this.log.append("configuration", { type: "change", change }, () => undefined, () => undefined);
        }
    }

    // Processes.

    private createEntry(): EntryNode {
        const incarnation = `entry${this.counter++}`;
        const node = createNode<EntryEvent, EntryState>(
            incarnation,
            createEntryState({ ...entryTimings, incarnation: identifier(incarnation) }),
        );
        this.clock.schedule(0, () => {
            deliver(node, { kind: "instancesListed", instances: this.listed() }, this.clock, this.entryDriver);
            keepTicking(node, { kind: "tick" }, this.clock, this.entryDriver);
        });
        return node;
    }

    private createSidecar(slot: number): SidecarNode {
        const incarnation = `sidecar${this.counter++}`;
        const { backendServer } = this.backends[slot];
        const options = {
            ...sidecarTimings,
            incarnation: identifier<never>(incarnation),
            backendServer,
            service: services[slot],
        };
        const node = createNode<SidecarEvent, SidecarState>(incarnation, createSidecarState(options));
        this.oracle.refusesStartsSince.delete(backendServer);
        keepTicking(node, { kind: "tick" }, this.clock, this.sidecarDriver);
        return node;
    }

    /** Kills an entry; a new one takes its place. */
    killEntry(slot: number): void {
        const node = this.entries[slot];
        if (!node.isAlive) {
            return;
        }
        this.endEntry(slot, node);
        this.oracle.loseConnections(node.incarnation);
    }

    private endEntry(slot: number, node: EntryNode): void {
        node.isAlive = false;
        this.network.linksOf(node.incarnation).forEach(link => this.network.drop(link));
        this.clock.schedule(replaceDelay, () => this.entries[slot] = this.createEntry());
    }

    /** Kills a sidecar; a new one takes its place. What ran at the engine for the old one is dropped. */
    killSidecar(slot: number): void {
        const node = this.sidecars[slot];
        if (!node.isAlive) {
            return;
        }
        this.backends[slot].dropAll();
        this.endSidecar(slot, node);
    }

    private endSidecar(slot: number, node: SidecarNode): void {
        node.isAlive = false;
        const { backendServer } = this.backends[slot];
        this.network.linksTo(backendServer).forEach(link => this.network.drop(link));
        this.clock.schedule(replaceDelay, () => this.sidecars[slot] = this.createSidecar(slot));
    }

    /** Freezes an entry. Its callers can be told nothing meanwhile. */
    freezeEntry(slot: number, duration: Milliseconds): void {
        const node = this.entries[slot];
        this.excuse(node.incarnation);
        freeze(node, duration, this.clock, this.entryDriver);
    }

    private excuse(entryIncarnation: string): void {
        this.oracle.openAsks(entryIncarnation).forEach(ask => ask.isExcused = true);
    }

    /** Freezes a sidecar. */
    freezeSidecar(slot: number, duration: Milliseconds): void {
        freeze(this.sidecars[slot], duration, this.clock, this.sidecarDriver);
    }

    /** Asks a sidecar for a planned stop. */
    stopSidecar(slot: number): void {
        const node = this.sidecars[slot];
        node.isStopping = true;
        this.atSidecar(node, { kind: "stopRequested" });
        this.noteLeaving(node, slot);
    }

    private noteLeaving(node: SidecarNode, slot: number): void {
        if (node.isAlive && !node.isFrozen) {
            this.oracle.refusesStartsSince.set(this.backends[slot].backendServer, this.clock.now);
        }
    }

    /** Asks an entry for a planned stop. */
    stopEntry(slot: number): void {
        const node = this.entries[slot];
        node.isStopping = true;
        deliver(node, { kind: "stopRequested" }, this.clock, this.entryDriver);
    }

    /** Marks a fault as at work for a time. */
    noteFault(duration: Milliseconds): void {
        this.hadFault = true;
        this.faultUntil = Math.max(this.faultUntil, this.clock.now + duration);
    }

    // The platform.

    private listed(): ListedInstance[] {
        return services.map((service, slot) => ({
            backendServer: this.backends[slot].backendServer,
            service,
            failureDomain: identifier(`domain${slot % 3}`),
            linkAddress: `127.0.0.1:${slot}`,
            leaving: this.shownLeaving.has(slot),
        }));
    }

    /** The platform reclaims a backend server for a time: its list says so, late. */
    reclaim(slot: number, duration: Milliseconds): void {
        this.listedLeaving.add(slot);
        this.clock.schedule(duration, () => this.listedLeaving.delete(slot));
    }

    private publishLists(): void {
        const leaving = new Set(this.listedLeaving);
        this.clock.schedule(listLag, () => {
            this.shownLeaving = leaving;
            const instances = this.listed();
            this.entries.forEach(node =>
                deliver(node, { kind: "instancesListed", instances }, this.clock, this.entryDriver)
            );
            this.sidecars.forEach((node, slot) => this.tellSidecar(node, slot, leaving.has(slot)));
        });
        this.clock.schedule(listInterval, () => this.publishLists());
    }

    private tellSidecar(node: SidecarNode, slot: number, leaving: boolean): void {
        this.atSidecar(node, { kind: "listed", leaving });
        this.atSidecar(node, { kind: "backendStatus", reachable: !this.backends[slot].isDead });
        if (leaving) {
            this.noteLeaving(node, slot);
        }
        else if (!node.isStopping) {
            // A frozen sidecar takes this word when it thaws, before anything that came later.
            this.oracle.refusesStartsSince.delete(this.backends[slot].backendServer);
        }
    }

    private expireRecords(): void {
        this.log.expire("configuration", configurationRetention);
        this.clock.schedule(expireInterval, () => this.expireRecords());
    }

    private checkOften(): void {
        this.oracle.checkWaiting();
        this.clock.schedule(checkInterval, () => this.checkOften());
    }

    // Delivery.

    private openAtSidecar(link: VirtualLink): void {
        const slot = this.slotOf(link.backendServer);
        const node = this.sidecars[slot];
        if (!node.isAlive) {
            this.network.close(link.entryIncarnation, link.backendServer, link.number, "sidecar");
            return;
        }
        link.sidecarIncarnation = node.incarnation;
        const { backendServer, number: linkNumber } = link;
        this.atSidecar(node, {
            kind: "linkOpened",
            entry: identifier(link.entryIncarnation),
            linkNumber,
            backendServer,
        });
    }

    private slotOf(backendServer: BackendServerId): number {
        return this.backends.findIndex(backend => backend.backendServer === backendServer);
    }

    private atSidecarOf(link: VirtualLink, event: SidecarEvent): void {
        const node = this.sidecars[this.slotOf(link.backendServer)];
        if (node.incarnation === link.sidecarIncarnation) {
            this.atSidecar(node, event);
        }
    }

    private atSidecar(node: SidecarNode, event: SidecarEvent): void {
        deliver(node, event, this.clock, this.sidecarDriver);
    }

    private atEntry(incarnation: string, event: EntryEvent): void {
        const node = this.entries.find(entry => entry.incarnation === incarnation);
        if (node !== undefined) {
            deliver(node, event, this.clock, this.entryDriver);
        }
    }

    // Effects.

    private performEntry(node: EntryNode, effect: EntryEffect): void {
        const slot = this.entries.indexOf(node);
        switch (effect.kind) {
            case "openLink":
                return this.network.open(node.incarnation, slot, effect.backendServer, effect.linkNumber);
            case "sendMessage":
                return this.network.sendUp(node.incarnation, effect.backendServer, effect.linkNumber, effect.message);
            case "closeLink":
                return this.network.close(node.incarnation, effect.backendServer, effect.linkNumber, "entry");
            case "readConfiguration":
                return this.read(node, "configuration", effect.from);
            case "readClaims":
                return this.read(node, "claims", effect.from);
            case "appendClaims":
                return this.append(node, "claims", effect.statements, { kind: "claimsAppended" }, {
                    kind: "claimsAppendFailed",
                });
            case "appendChange": {
                const { changeId } = effect.change;
                const record: ConfigurationRecord = { type: "change", change: effect.change };
                return this.append(
                    node,
                    "configuration",
                    record,
                    { kind: "changeAppended", changeId },
                    { kind: "changeAppendFailed", changeId },
                );
            }
            case "appendSnapshot":
                return this.log.append(
                    "configuration",
                    { type: "snapshot", snapshot: effect.snapshot },
                    () => undefined,
                    () => undefined,
                );
            case "requestPeerSnapshots":
                return this.askPeers(node);
            case "answerOperator":
                this.pendingOperations.get(effect.callId)?.(effect.answer);
                this.pendingOperations.delete(effect.callId);
                return;
            case "violated":
                return this.oracle.fail("invariant", effect.violation.message);
            case "observe":
                return;
            case "exit":
                return this.exitEntry(slot, node);
            default:
                return this.oracle.noteAnswer(effect);
        }
    }

    private exitEntry(slot: number, node: EntryNode): void {
        const [cut] = this.oracle.openAsks(node.incarnation);
        if (cut !== undefined) {
            this.oracle.fail("planned_stop_cuts_nothing", `${cut.id} waits at ${node.incarnation}, which exits`);
        }
        this.endEntry(slot, node);
    }

    private read(node: EntryNode, stream: "configuration" | "claims", from: LogOffset): void {
        this.log.read(
            stream,
            from,
            page => {
                const event = { kind: `${stream}Read`, ...page } as EntryEvent;
                deliver(node, event, this.clock, this.entryDriver);
            },
            () => deliver(node, { kind: `${stream}ReadFailed` }, this.clock, this.entryDriver),
        );
    }

    private append(node: EntryNode, stream: string, value: unknown, done: EntryEvent, failed: EntryEvent): void {
        this.log.append(
            stream,
            value,
            () => deliver(node, done, this.clock, this.entryDriver),
            () => deliver(node, failed, this.clock, this.entryDriver),
        );
    }

    private askPeers(node: EntryNode): void {
        const peers = this.entries.filter(peer => peer !== node && peer.isAlive && !peer.isFrozen);
        const snapshots = peers.map(({ state: { configuration: { through, documents } } }) => ({
            through,
            documents: [...documents.values()],
        }));
        this.clock.schedule(
            peerLatency,
            () => deliver(node, { kind: "peersAnswered", snapshots }, this.clock, this.entryDriver),
        );
    }

    private performSidecar(node: SidecarNode, effect: SidecarEffect): void {
        const slot = this.sidecars.indexOf(node);
        const backend = this.backends[slot];
        const reply = (event: SidecarEvent): void => this.atSidecar(node, event);
        switch (effect.kind) {
            case "sendMessage":
                return this.network.sendDown(effect.entry, backend.backendServer, effect.linkNumber, effect.message);
            case "closeLink":
                return this.network.close(effect.entry, backend.backendServer, effect.linkNumber, "sidecar");
            case "startGeneration":
                this.noteStart(backend.backendServer, effect.work.body);
                return backend.start(effect, reply);
            case "callService":
                this.noteStart(backend.backendServer, effect.work.body);
                return backend.call(effect, reply);
            case "resumeGeneration":
                return backend.resume(effect.generationId, effect.from, reply);
            case "cancelGeneration":
                return backend.cancel(effect.generationId);
            case "violated":
                return this.oracle.fail("invariant", effect.violation.message);
            case "observe":
                return;
            case "exit":
                return this.exitSidecar(slot, node);
        }
    }

    private noteStart(backendServer: BackendServerId, body: string): void {
        const { askId } = JSON.parse(body) as { askId: string; };
        this.oracle.noteStart(backendServer, askId);
        const drained = this.drainAccepted.get(backendServer);
        if (drained !== undefined && this.clock.now - Math.max(drained, this.faultUntil) > drainTolerance) {
            this.oracle.fail("leaving_gets_no_new_work", `${askId} started on ${backendServer}, drained at ${drained}`);
        }
    }

    private exitSidecar(slot: number, node: SidecarNode): void {
        if (this.backends[slot].unfinished > 0) {
            this.oracle.fail("planned_stop_cuts_nothing", `${node.incarnation} exits with generations in progress`);
        }
        this.endSidecar(slot, node);
    }

    // Checks after each event.

    private checkEntry(node: EntryNode): void {
        const { through, documents, pendingChanges: waiting } = node.state.configuration;
        if (through >= 0 && waiting.length === 0) {
            this.configuration.checkView(node.incarnation, through, documents, true);
        }
    }

    private checkSidecar(node: SidecarNode): void {
        const { through, documents } = node.state.configuration;
        if (through >= 0) {
            this.configuration.checkView(node.incarnation, through, documents, false);
        }
    }

    // Callers and operators.

    /** A caller asks at an entry. */
    ask(options: AskOptions): void {
        const node = this.entries[options.entrySlot];
        if (!node.isAlive) {
            return;
        }
        const { id, kind, length, timeLimit, key, cursor } = options;
        const requestId = identifier<RequestId>(this.source.newIdentifier());
        this.oracle.noteAsk({
            id,
            kind,
            key,
            length,
            deadline: this.clock.now + timeLimit,
            entrySlot: options.entrySlot,
            entryIncarnation: node.incarnation,
            requestId,
            offset: cursor?.next ?? 0,
            generation: cursor?.generationId,
            tokens: [],
            cursor,
            end: undefined,
            lastHeard: this.clock.now,
            isExcused: node.isFrozen,
        });
        const isEngine = kind === "stream" || kind === "whole";
        const event: EntryEvent = {
            kind: "callerRequested",
            requestId,
            call: {
                bearerDigest,
                target: isEngine
                    ? {
                        kind: "completion",
                        route: identifier("plan"),
                        streamed: kind === "stream",
                        promptTokens: 10,
                        maximumTokens: 1_000,
                    }
                    : {
                        kind: "service",
                        service: plainService,
                        method: kind === "lookup" ? "GET" : "POST",
                        path: kind === "lookup" ? "/slots" : "/confirm",
                    },
                contentType: "",
                body: JSON.stringify({ askId: id, length }),
                idempotency: key === undefined ? undefined : { keyDigest: key, requestDigest: key },
                cursor: cursor as never,
                timeLimit,
                traceparent: "",
            },
        };
        deliver(node, event, this.clock, this.entryDriver);
    }

    /** A caller goes away. */
    leave(ask: Ask): void {
        ask.end = { kind: "left" };
        this.tellEntry(ask, { kind: "callerLeft", requestId: ask.requestId });
    }

    /** A caller stops reading for a time. */
    block(ask: Ask, duration: Milliseconds): void {
        this.tellEntry(ask, { kind: "callerBlocked", requestId: ask.requestId });
        this.clock.schedule(duration, () => this.tellEntry(ask, { kind: "callerDrained", requestId: ask.requestId }));
    }

    private tellEntry(ask: Ask, event: EntryEvent): void {
        this.atEntry(ask.entryIncarnation, event);
    }

    /** An operator puts or removes the drain of a backend server, expecting the revision that the entry shows. */
    changeDrain(entrySlot: number, slot: number, isDrained: boolean): void {
        const node = this.entries[entrySlot];
        const { backendServer } = this.backends[slot];
        if (!node.isAlive || node.isFrozen) {
            return;
        }
        const document = `drain/${backendServer}`;
        const expectedRevision = node.state.configuration.documents.get(document)?.revision ?? -1;
        const call: OperatorCall = {
            kind: "change",
            document: "drain",
            name: backendServer,
            value: isDrained ? { name: backendServer } : undefined,
            expectedRevision,
        };
        const callId = this.source.newIdentifier();
        this.pendingOperations.set(callId, answer => {
            if (answer.kind === "changed") {
                this.configuration.noteAccepted(document, expectedRevision, callId, answer.revision);
                this.noteDrain(backendServer, isDrained);
            }
        });
        deliver(node, { kind: "operatorCalled", callId, call }, this.clock, this.entryDriver);
    }

    private noteDrain(backendServer: BackendServerId, isDrained: boolean): void {
        if (isDrained) {
            this.drainAccepted.set(backendServer, this.clock.now);
            return;
        }
        this.drainAccepted.delete(backendServer);
    }

    // The end of a schedule.

    /** Ends every fault. */
    heal(): void {
        this.log.isOut = false;
        this.log.slowness = 0;
        this.log.losesAnswers = false;
        this.listedLeaving.clear();
        this.network.heal();
        for (const backend of this.backends) {
            backend.isDead = false;
            backend.isStalled = false;
            backend.breaksAnswers = false;
        }
    }

    /** Checks that everything has settled. */
    checkSettled(): void {
        this.oracle.checkAllEnded();
        for (const { incarnation, state, isAlive } of this.entries.filter(node => node.isAlive)) {
            const isCurrent = state.configuration.through >= this.configuration.lastChange;
            if (isAlive && !isCurrent) {
                this.oracle.fail(
                    "configuration_never_reverts",
                    `${incarnation} does not hold the newest configuration`,
                );
            }
            this.checkEmpty(incarnation, { requests: state.requests.size, attempts: state.attempts.size });
        }
        for (const [slot, { incarnation, state, isAlive }] of this.sidecars.entries()) {
            if (!isAlive) {
                continue;
            }
            this.configuration.checkNewest(incarnation, state.configuration.documents, [
                `service/${services[slot]}`,
                `drain/${this.backends[slot].backendServer}`,
            ]);
            this.checkEmpty(incarnation, { attempts: state.attempts.size, generations: state.generations.size });
        }
    }

    private checkEmpty(who: string, sizes: Readonly<Record<string, number>>): void {
        for (const [what, size] of Object.entries(sizes)) {
            if (size > 0) {
                this.oracle.fail("state_is_bounded", `${who} still has ${size} ${what}`);
            }
        }
    }
}
