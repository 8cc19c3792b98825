/**
 * The fuzzer's world of entries and sidecars. It runs their real reducers in virtual time and connects them by small
 * fakes.
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
import { createNode, deliver, freeze, type NodeDriver, scheduleTicks, type VirtualNode } from "./nodes.js";
import { type CallerRequest, Oracle } from "./oracle.js";
import {
    bearerDigest,
    entryCount,
    entryTimings,
    initialDocuments,
    plainService,
    services,
    sidecarTimings,
} from "./worldSettings.js";

/** The policies that a mutation may replace. */
export interface WorldPolicies {
    readonly entry: EntryPolicies;
    readonly sidecar: SidecarPolicies;
}

/** The policies that the daemons use. */
export const defaultWorldPolicies: WorldPolicies = { entry: defaultEntryPolicies, sidecar: defaultSidecarPolicies };

type EntryNode = VirtualNode<EntryEvent, EntryState>;
type SidecarNode = VirtualNode<SidecarEvent, SidecarState>;

/** A request that a caller sends. */
export interface RequestOptions {
    readonly id: string;
    readonly kind: CallerRequest["kind"];
    readonly entrySlot: number;
    readonly length: number;
    readonly timeLimit: Milliseconds;
    readonly key?: string;
    readonly cursor?: CallerRequest["cursor"];
}

/** How often the platform publishes its list of instances, and how long it takes to arrive. */
const listingInterval: Milliseconds = 400;
const listingLag: Milliseconds = 600;
/** How long after the end of a process a new one takes its place. */
const restartDelay: Milliseconds = 150;
const peerLatency: Milliseconds = 10;
const expireInterval: Milliseconds = 2_000;
const configurationRetention: Milliseconds = 40_000;
const checkInterval: Milliseconds = 100;
/** How long after its acceptance, or after the last fault that could delay it, a drain takes effect at the latest. */
const drainTolerance: Milliseconds = 7_000;

/** The world of one schedule. */
export class World {
    readonly clock = new VirtualClock();
    readonly oracle = new Oracle(this.clock);
    readonly configuration = new ConfigurationOracle(this.oracle);
    readonly backends: FakeBackend[];
    readonly log: FakeLog;
    readonly network: Network;
    readonly entries: EntryNode[] = [];
    readonly sidecars: SidecarNode[] = [];
    /** When the effects of all faults so far end. */
    faultsEndAt: Milliseconds = 0;
    hadFault = false;
    private readonly source: RandomSource;
    /** Backend servers that the platform reclaims. */
    private readonly reclaimedSlots = new Set<number>();
    /** Backend servers that the last published list shows as leaving. */
    private listedLeavingSlots: ReadonlySet<number> = new Set();
    private readonly drainAcceptedAt = new Map<BackendServerId, Milliseconds>();
    private readonly operatorCallbacks = new Map<string, (answer: OperatorAnswer) => void>();
    private readonly entryDriver: NodeDriver<EntryEvent, EntryEffect, EntryState>;
    private readonly sidecarDriver: NodeDriver<SidecarEvent, SidecarEffect, SidecarState>;
    private incarnationCount = 0;

    constructor(seed: number, policies: WorldPolicies) {
        this.source = seededSource(seed);
        const { random } = this.source;
        this.log = new FakeLog(this.clock, random);
        this.log.onStored = (stream, offset, value) => {
            if (stream === "configuration") {
                this.configuration.recordLogRecord(offset, value as ConfigurationRecord);
            }
        };
        this.backends = services.map((service, index) =>
            new FakeBackend(identifier(`${service}-${index}`), this.clock, random, this.oracle)
        );
        this.network = new Network(this.clock, random, {
            opened: link => this.acceptLink(link),
            toSidecar: (link, message) =>
                this.deliverOverLink(link, {
                    kind: "linkMessage",
                    entry: identifier(link.entryIncarnation),
                    linkNumber: link.linkNumber,
                    message,
                }),
            toEntry: ({ entryIncarnation, backendServer, linkNumber }, message) =>
                this.deliverToEntry(entryIncarnation, { kind: "linkMessage", backendServer, linkNumber, message }),
            closedAtEntry: ({ entryIncarnation, backendServer, linkNumber }) =>
                this.deliverToEntry(entryIncarnation, { kind: "linkClosed", backendServer, linkNumber }),
            closedAtSidecar: link =>
                this.deliverOverLink(link, {
                    kind: "linkClosed",
                    entry: identifier(link.entryIncarnation),
                    linkNumber: link.linkNumber,
                }),
        });
        this.entryDriver = {
            reduce: (state, event, now) => reduceEntry(state, event, now, this.source, policies.entry),
            perform: (node, effect) => this.performEntry(node, effect),
            check: node => this.checkEntry(node),
        };
        this.sidecarDriver = {
            reduce: (state, event, now) => reduceSidecar(state, event, now, this.source, policies.sidecar),
            perform: (node, effect) => this.performSidecar(node, effect),
            check: node => this.checkSidecar(node),
        };
        this.appendInitialDocuments();
        services.forEach((_, slot) => this.sidecars[slot] = this.createSidecar(slot));
        for (let slot = 0; slot < entryCount; slot++) {
            this.entries[slot] = this.createEntry();
        }
        this.publishListings();
        this.expireRecords();
        this.checkPeriodically();
    }

    private appendInitialDocuments(): void {
        for (const { kind, document } of initialDocuments) {
            const changeId = identifier<ChangeId>(this.source.newIdentifier());
            const change = { changeId, kind, name: document.name as string, expectedRevision: -1, document };
            this.log.append("configuration", { type: "change", change }, () => undefined, () => undefined);
        }
    }

    // Processes.

    private createEntry(): EntryNode {
        const incarnation = `entry${this.incarnationCount++}`;
        const node = createNode<EntryEvent, EntryState>(
            incarnation,
            createEntryState({ ...entryTimings, incarnation: identifier(incarnation) }),
        );
        this.clock.schedule(0, () => {
            deliver(node, { kind: "instancesListed", instances: this.currentListing() }, this.clock, this.entryDriver);
            scheduleTicks(node, { kind: "tick" }, this.clock, this.entryDriver);
        });
        return node;
    }

    private createSidecar(slot: number): SidecarNode {
        const incarnation = `sidecar${this.incarnationCount++}`;
        const { backendServer } = this.backends[slot];
        const options = {
            ...sidecarTimings,
            incarnation: identifier<never>(incarnation),
            backendServer,
            service: services[slot],
        };
        const node = createNode<SidecarEvent, SidecarState>(incarnation, createSidecarState(options));
        this.oracle.leavingSince.delete(backendServer);
        scheduleTicks(node, { kind: "tick" }, this.clock, this.sidecarDriver);
        return node;
    }

    /** Kills an entry. A new one takes its place. */
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
        this.clock.schedule(restartDelay, () => this.entries[slot] = this.createEntry());
    }

    /** Kills a sidecar. A new one takes its place, and the engine drops the generations of the old one. */
    killSidecar(slot: number): void {
        const node = this.sidecars[slot];
        if (!node.isAlive) {
            return;
        }
        this.backends[slot].dropGenerations();
        this.endSidecar(slot, node);
    }

    private endSidecar(slot: number, node: SidecarNode): void {
        node.isAlive = false;
        const { backendServer } = this.backends[slot];
        this.network.linksTo(backendServer).forEach(link => this.network.drop(link));
        this.clock.schedule(restartDelay, () => this.sidecars[slot] = this.createSidecar(slot));
    }

    /** Freezes an entry. Its open requests become exempt from time limits, since it can send nothing meanwhile. */
    freezeEntry(slot: number, duration: Milliseconds): void {
        const node = this.entries[slot];
        this.exemptOpenRequests(node.incarnation);
        freeze(node, duration, this.clock, this.entryDriver);
    }

    private exemptOpenRequests(entryIncarnation: string): void {
        this.oracle.openRequests(entryIncarnation).forEach(request => request.isExempt = true);
    }

    /** Freezes a sidecar. */
    freezeSidecar(slot: number, duration: Milliseconds): void {
        freeze(this.sidecars[slot], duration, this.clock, this.sidecarDriver);
    }

    /** Requests a planned stop of a sidecar. */
    stopSidecar(slot: number): void {
        const node = this.sidecars[slot];
        node.isStopping = true;
        this.deliverToSidecar(node, { kind: "stopRequested" });
        this.recordLeaving(node, slot);
    }

    private recordLeaving(node: SidecarNode, slot: number): void {
        if (node.isAlive && !node.isFrozen) {
            this.oracle.leavingSince.set(this.backends[slot].backendServer, this.clock.now);
        }
    }

    /** Requests a planned stop of an entry. */
    stopEntry(slot: number): void {
        const node = this.entries[slot];
        node.isStopping = true;
        deliver(node, { kind: "stopRequested" }, this.clock, this.entryDriver);
    }

    /** Records a fault with the time for which it and its effects last. */
    recordFault(duration: Milliseconds): void {
        this.hadFault = true;
        this.faultsEndAt = Math.max(this.faultsEndAt, this.clock.now + duration);
    }

    // The platform.

    private currentListing(): ListedInstance[] {
        return services.map((service, slot) => ({
            backendServer: this.backends[slot].backendServer,
            service,
            failureDomain: identifier(`domain${slot % 3}`),
            linkAddress: `127.0.0.1:${slot}`,
            leaving: this.listedLeavingSlots.has(slot),
        }));
    }

    /** Lists a backend server as leaving for a time, as if the platform reclaimed it. The list arrives with a lag. */
    reclaim(slot: number, duration: Milliseconds): void {
        this.reclaimedSlots.add(slot);
        this.clock.schedule(duration, () => this.reclaimedSlots.delete(slot));
    }

    private publishListings(): void {
        const leaving = new Set(this.reclaimedSlots);
        this.clock.schedule(listingLag, () => {
            this.listedLeavingSlots = leaving;
            const instances = this.currentListing();
            this.entries.forEach(node =>
                deliver(node, { kind: "instancesListed", instances }, this.clock, this.entryDriver)
            );
            this.sidecars.forEach((node, slot) => this.deliverListing(node, slot, leaving.has(slot)));
        });
        this.clock.schedule(listingInterval, () => this.publishListings());
    }

    private deliverListing(node: SidecarNode, slot: number, leaving: boolean): void {
        this.deliverToSidecar(node, { kind: "listed", leaving });
        this.deliverToSidecar(node, { kind: "backendStatus", reachable: !this.backends[slot].isDown });
        if (leaving) {
            this.recordLeaving(node, slot);
        }
        else if (!node.isStopping) {
            // A frozen sidecar handles this event when it thaws, before any that arrives later.
            this.oracle.leavingSince.delete(this.backends[slot].backendServer);
        }
    }

    private expireRecords(): void {
        this.log.expire("configuration", configurationRetention);
        this.clock.schedule(expireInterval, () => this.expireRecords());
    }

    private checkPeriodically(): void {
        this.oracle.checkWaiting();
        this.clock.schedule(checkInterval, () => this.checkPeriodically());
    }

    // Delivery.

    private acceptLink(link: VirtualLink): void {
        const slot = this.slotOf(link.backendServer);
        const node = this.sidecars[slot];
        if (!node.isAlive) {
            this.network.close(link.entryIncarnation, link.backendServer, link.linkNumber, "sidecar");
            return;
        }
        link.sidecarIncarnation = node.incarnation;
        const { backendServer, linkNumber } = link;
        this.deliverToSidecar(node, {
            kind: "linkOpened",
            entry: identifier(link.entryIncarnation),
            linkNumber,
            backendServer,
        });
    }

    private slotOf(backendServer: BackendServerId): number {
        return this.backends.findIndex(backend => backend.backendServer === backendServer);
    }

    /** Delivers an event to the sidecar that accepted a link, unless that incarnation is gone. */
    private deliverOverLink(link: VirtualLink, event: SidecarEvent): void {
        const node = this.sidecars[this.slotOf(link.backendServer)];
        if (node.incarnation === link.sidecarIncarnation) {
            this.deliverToSidecar(node, event);
        }
    }

    private deliverToSidecar(node: SidecarNode, event: SidecarEvent): void {
        deliver(node, event, this.clock, this.sidecarDriver);
    }

    private deliverToEntry(incarnation: string, event: EntryEvent): void {
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
                return this.requestPeerSnapshots(node);
            case "answerOperator":
                this.operatorCallbacks.get(effect.callId)?.(effect.answer);
                this.operatorCallbacks.delete(effect.callId);
                return;
            case "violated":
                return this.oracle.fail("invariant", effect.violation.message);
            case "observe":
                return;
            case "exit":
                return this.exitEntry(slot, node);
            default:
                return this.oracle.recordAnswer(effect);
        }
    }

    private exitEntry(slot: number, node: EntryNode): void {
        const [openRequest] = this.oracle.openRequests(node.incarnation);
        if (openRequest !== undefined) {
            this.oracle.fail(
                "planned_stop_cuts_nothing",
                `${openRequest.id} is open at ${node.incarnation}, which exits`,
            );
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

    private requestPeerSnapshots(node: EntryNode): void {
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
        const reply = (event: SidecarEvent): void => this.deliverToSidecar(node, event);
        switch (effect.kind) {
            case "sendMessage":
                return this.network.sendDown(effect.entry, backend.backendServer, effect.linkNumber, effect.message);
            case "closeLink":
                return this.network.close(effect.entry, backend.backendServer, effect.linkNumber, "sidecar");
            case "startGeneration":
                this.recordStart(backend.backendServer, effect.work.body);
                return backend.start(effect, reply);
            case "callService":
                this.recordStart(backend.backendServer, effect.work.body);
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

    /** Checks that the backend server may start work: it is neither leaving nor was drained long before. */
    private recordStart(backendServer: BackendServerId, body: string): void {
        const { askId } = JSON.parse(body) as { askId: string; };
        this.oracle.recordStart(backendServer, askId);
        const drainedAt = this.drainAcceptedAt.get(backendServer);
        if (drainedAt !== undefined && this.clock.now - Math.max(drainedAt, this.faultsEndAt) > drainTolerance) {
            this.oracle.fail(
                "leaving_gets_no_new_work",
                `${askId} started on ${backendServer}, drained at ${drainedAt}`,
            );
        }
    }

    private exitSidecar(slot: number, node: SidecarNode): void {
        if (this.backends[slot].unfinishedCount > 0) {
            this.oracle.fail("planned_stop_cuts_nothing", `${node.incarnation} exits with generations in progress`);
        }
        this.endSidecar(slot, node);
    }

    // Checks after each event.

    private checkEntry(node: EntryNode): void {
        const { through, documents, pendingChanges } = node.state.configuration;
        if (through >= 0 && pendingChanges.length === 0) {
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

    /** Sends a caller's request to an entry. */
    sendRequest(options: RequestOptions): void {
        const node = this.entries[options.entrySlot];
        if (!node.isAlive) {
            return;
        }
        const { id, kind, length, timeLimit, key, cursor } = options;
        const requestId = identifier<RequestId>(this.source.newIdentifier());
        this.oracle.recordRequest({
            id,
            kind,
            key,
            length,
            deadlineAt: this.clock.now + timeLimit,
            entrySlot: options.entrySlot,
            entryIncarnation: node.incarnation,
            requestId,
            offset: cursor?.next ?? 0,
            generation: cursor?.generationId,
            tokens: [],
            cursor,
            end: undefined,
            lastOutputAt: this.clock.now,
            isExempt: node.isFrozen,
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

    /** Closes a caller's connection. */
    leave(request: CallerRequest): void {
        request.end = { kind: "left" };
        this.deliverToEntryOfRequest(request, { kind: "callerLeft", requestId: request.requestId });
    }

    /** Makes a caller stop reading for a time. */
    block(request: CallerRequest, duration: Milliseconds): void {
        this.deliverToEntryOfRequest(request, { kind: "callerBlocked", requestId: request.requestId });
        this.clock.schedule(
            duration,
            () => this.deliverToEntryOfRequest(request, { kind: "callerDrained", requestId: request.requestId }),
        );
    }

    private deliverToEntryOfRequest(request: CallerRequest, event: EntryEvent): void {
        this.deliverToEntry(request.entryIncarnation, event);
    }

    /** Puts or removes the drain of a backend server as an operator who expects the revision that the entry holds. */
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
        this.operatorCallbacks.set(callId, answer => {
            if (answer.kind === "changed") {
                this.configuration.recordAcceptedChange(document, expectedRevision, callId, answer.revision);
                this.recordDrain(backendServer, isDrained);
            }
        });
        deliver(node, { kind: "operatorCalled", callId, call }, this.clock, this.entryDriver);
    }

    private recordDrain(backendServer: BackendServerId, isDrained: boolean): void {
        if (isDrained) {
            this.drainAcceptedAt.set(backendServer, this.clock.now);
            return;
        }
        this.drainAcceptedAt.delete(backendServer);
    }

    // The end of a schedule.

    /** Ends every fault, except that links whose frames are lost keep losing them until they are replaced. */
    endFaults(): void {
        this.log.isUnavailable = false;
        this.log.slowness = 0;
        this.log.failsCompletedAppends = false;
        this.reclaimedSlots.clear();
        this.network.endHolds();
        for (const backend of this.backends) {
            backend.isDown = false;
            backend.isStalled = false;
            backend.failsServiceCalls = false;
        }
    }

    /** Checks what must hold when all faults have ended and the settle time has passed. */
    checkSettled(): void {
        this.oracle.checkAllEnded();
        for (const { incarnation, state, isAlive } of this.entries.filter(node => node.isAlive)) {
            const hasNewest = state.configuration.through >= this.configuration.lastChangeOffset;
            if (isAlive && !hasNewest) {
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

    private checkEmpty(incarnation: string, sizes: Readonly<Record<string, number>>): void {
        for (const [collection, size] of Object.entries(sizes)) {
            if (size > 0) {
                this.oracle.fail("state_is_bounded", `${incarnation} still has ${size} ${collection}`);
            }
        }
    }
}
