/**
 * The backend servers of a platform: their addresses, their registrations in the store, and how they start and stop.
 */
import type { Milliseconds } from "@verbenaspring/model";
import type { Clock } from "./clock.js";
import { type ColdPeriod, type ColdPlan, ColdState } from "./coldState.js";
import { type EngineOptions, EngineServer } from "./engineServer.js";
import { type PlainOptions, PlainServer } from "./plainServer.js";
import { defaultSoftwareVersion, type RunObserver, type ServerCall, type ServerModel } from "./serverModel.js";
import type { StoreModel } from "./storeModel.js";

/** Topic of the operator's records. */
export const operatorTopic = "keyed.op";
/** Key of the configuration in the operator's topic. */
export const configurationKey = "config";
/** Topic of the backend servers' registrations. */
export const serverTopic = "keyed.servers";

/** Options of a backend server without the address, which the fleet assigns. */
export type ServerPlan =
    | ({ readonly kind: "plain"; } & Omit<PlainOptions, "address">)
    | ({ readonly kind: "engine"; } & Omit<EngineOptions, "address">);

interface FleetMember {
    readonly plan: ServerPlan;
    readonly model: ServerModel;
    readonly failureDomain: string;
    readonly born: number;
    readonly cold: ColdState;
    state: "ready" | "draining";
    sequence: number;
    /** When the state `draining`, or the removal of the registration, first reached the store. */
    drainPublishedAt: Milliseconds | undefined;
    /** Whether it leaves without a notice: its registration is deleted, and it serves on. */
    isWithdrawn: boolean;
    hasEnded: boolean;
    /** Until when connections are accepted after its end. */
    listensUntil: Milliseconds;
    /** Whether heartbeats are lost before they reach the store. */
    areHeartbeatsSuppressed: boolean;
    /** Consecutive heartbeats that did not reach the store. */
    missedHeartbeats: number;
}

/** Environment of a fleet. */
export interface FleetOptions {
    readonly clock: Clock;
    readonly store: StoreModel;
    /** Is called with each run that a backend server starts. */
    readonly observeRun: RunObserver;
    readonly heartbeatInterval: Milliseconds;
    /** Whether registrations currently reach the store; absent if they always do. */
    readonly canRegister?: () => boolean;
    /** Is called when a server has crashed under a deadly call. */
    readonly crashedUnderCall?: (id: string, call: ServerCall) => void;
    /** How servers are cold after they start; absent if they are not. */
    readonly cold?: ColdPlan;
    /** Is called when a server has crashed because it got far too many requests while cold. */
    readonly crashedWhileCold?: (id: string) => void;
}

/** Consecutive missed heartbeats after which a registration is deleted. */
const missedHeartbeatLimit = 3;
/** The failure domains to which servers belong in turn. */
export const failureDomains: readonly string[] = ["north", "south"];
/** How long a server is down after it crashed under a call or under too many. */
const crashDuration: Milliseconds = 3_200;

/** All backend servers, running and stopped. */
export class Fleet {
    /** A part of a prompt that crashes each engine that begins to answer on it. */
    deadlyPart: string | undefined = undefined;
    /** The path of a request that crashes each backend server that begins to run it. */
    deadlyPath: string | undefined = undefined;
    private readonly members = new Map<string, FleetMember>();
    private readonly membersByAddress = new Map<string, FleetMember>();
    private addressCount = 0;
    private startCount = 0;

    constructor(private readonly options: FleetOptions) {
        this.sendHeartbeats();
    }

    /**
     * Starts a backend server. It replaces a stopped one of the same id, in whose failure domain it is, and registers
     * with a higher `born` and a heartbeat number that starts anew.
     */
    add(plan: ServerPlan, address = this.allocateAddress()): ServerModel {
        const { clock, observeRun, cold } = this.options;
        const domainNumber = this.members.size % failureDomains.length;
        const model = plan.kind === "plain"
            ? new PlainServer({ ...plan, address }, clock, observeRun, call => this.crashUnder(plan.id, call))
            : new EngineServer({ ...plan, address }, clock, observeRun, {
                findEngine: other => this.findEngine(other),
                crashUnder: call => this.crashUnder(plan.id, call),
            });
        const member: FleetMember = {
            plan,
            model,
            failureDomain: this.failureDomainOf(plan.id) ?? failureDomains[domainNumber],
            born: ++this.startCount,
            cold: new ColdState(),
            state: "ready",
            sequence: 0,
            drainPublishedAt: undefined,
            isWithdrawn: false,
            hasEnded: false,
            listensUntil: -Infinity,
            areHeartbeatsSuppressed: false,
            missedHeartbeats: 0,
        };
        if (cold !== undefined) {
            member.cold.start(clock.now, cold.duration, !this.membersByAddress.has(address));
        }
        this.members.set(plan.id, member);
        this.membersByAddress.set(address, member);
        this.register(member);
        return model;
    }

    /** Returns the failure domain of a backend server. */
    failureDomainOf(id: string): string | undefined {
        return this.members.get(id)?.failureDomain;
    }

    /** Returns the period in which a backend server is cold now; undefined if it isn't. */
    coldPeriodOf(id: string): ColdPeriod | undefined {
        return this.members.get(id)?.cold.period(this.options.clock.now);
    }

    /** Returns for how much longer a backend server says that it is cold; undefined if the fleet's servers never do. */
    coldRemainingOf(id: string): Milliseconds | undefined {
        const { cold, clock } = this.options;
        return cold && this.members.get(id)?.cold.remaining(clock.now);
    }

    /** Makes a running backend server cold for a duration. Its record says so from its next heartbeat on. */
    makeCold(id: string, duration: Milliseconds): void {
        const member = this.members.get(id);
        if (member !== undefined && !member.hasEnded) {
            member.cold.start(this.options.clock.now, duration);
        }
    }

    /** Makes the running backend servers of a domain cold, as they are after its evacuation. */
    returnDomain(failureDomain: string): void {
        const { cold } = this.options;
        for (const [id, member] of this.members) {
            if (cold !== undefined && member.failureDomain === failureDomain) {
                this.makeCold(id, cold.duration);
            }
        }
    }

    /**
     * Counts a call that reached a backend server, after the model has begun it. Crashes the server for a while if it
     * is cold and got far more calls than it may.
     */
    recordArrival(id: string, { target }: Pick<ServerCall, "target">): void {
        const { cold, clock, crashedWhileCold } = this.options;
        const member = this.members.get(id);
        if (cold === undefined || member === undefined || member.hasEnded || (target ?? id) !== id) {
            return;
        }
        if (member.cold.crashesUnderNext(cold.rate, clock.now)) {
            this.crashForAWhile(id);
            crashedWhileCold?.(id);
        }
    }

    /** Returns the backend server that listens at an address. */
    findByAddress(address: string): ServerModel | undefined {
        const member = this.membersByAddress.get(address);
        return member === undefined || member.hasEnded ? undefined : member.model;
    }

    /** Whether connections to an address, at which no backend server runs, are accepted: they wait for one. */
    isListening(address: string): boolean {
        const member = this.membersByAddress.get(address);
        return member?.hasEnded === true && this.options.clock.now < member.listensUntil;
    }

    /** Returns the start that the server at an address reports, as in its record. */
    findStart(address: string): number | undefined {
        return this.membersByAddress.get(address)?.born;
    }

    /** Returns the running backend servers in the order in which their ids were first added. */
    liveServers(): ServerModel[] {
        return [...this.members.values()].filter(({ hasEnded }) => !hasEnded).map(({ model }) => model);
    }

    findPlan(id: string): ServerPlan | undefined {
        return this.members.get(id)?.plan;
    }

    /** Returns when the store first got a backend server's state `draining`, or deleted its registration for good. */
    drainPublishedAt(id: string): Milliseconds | undefined {
        return this.members.get(id)?.drainPublishedAt;
    }

    /** Registers a backend server as draining, and stops it after a delay. */
    leave(id: string, after: Milliseconds): void {
        const member = this.members.get(id);
        if (member === undefined || member.hasEnded || member.state === "draining") {
            return;
        }
        member.state = "draining";
        member.model.isLeaving = true;
        this.register(member);
        this.options.clock.schedule(after, () => this.end(member, true));
    }

    /**
     * Deletes the registration of a backend server that gives no notice, and stops it after a delay. Does nothing while
     * registrations don't reach the store.
     */
    withdraw(id: string, after: Milliseconds): void {
        const member = this.members.get(id);
        if (
            member === undefined || member.hasEnded || member.state === "draining"
            || this.options.canRegister?.() === false
        ) {
            return;
        }
        member.state = "draining";
        member.isWithdrawn = true;
        member.drainPublishedAt = this.options.clock.now;
        this.unregister(member);
        this.options.clock.schedule(after, () => this.end(member, false));
    }

    /**
     * Stops a backend server without notice; its registration is deleted after the missed heartbeats.
     *
     * @param listensFor how long connections to its address are still accepted, as where a supervisor holds the listener
     */
    crash(id: string, listensFor: Milliseconds = 0): void {
        const member = this.members.get(id);
        if (member !== undefined && !member.hasEnded) {
            member.listensUntil = this.options.clock.now + listensFor;
            this.end(member, false);
        }
    }

    /**
     * Crashes a backend server and starts a new one with the same id, without the state of the old one.
     *
     * @param softwareVersion the version of the new one; by default that of the old one
     * @param address the address of the new one; by default one that was not used before
     */
    restart(id: string, softwareVersion?: string, address?: string): void {
        const member = this.members.get(id);
        if (member !== undefined) {
            this.crash(id);
            this.add(softwareVersion === undefined ? member.plan : { ...member.plan, softwareVersion }, address);
        }
    }

    /** Appends a record with malformed JSON under a backend server's key, as a faulty writer would. */
    corruptRegistration(id: string): void {
        if (this.members.get(id)?.isWithdrawn !== true) {
            this.options.store.append(serverTopic, id, Buffer.from("{\"service\":"));
        }
    }

    /** Sets whether the heartbeats of a backend server are lost before they reach the store. */
    suppressHeartbeats(id: string, areSuppressed: boolean): void {
        const member = this.members.get(id);
        if (member !== undefined) {
            member.areHeartbeatsSuppressed = areSuppressed;
        }
    }

    private crashUnder(id: string, call: ServerCall): boolean {
        const { path, sharedParts } = call;
        const hasDeadlyPart = this.deadlyPart !== undefined && sharedParts.includes(this.deadlyPart);
        if (!hasDeadlyPart && path !== this.deadlyPath) {
            return false;
        }
        this.crashForAWhile(id);
        this.options.crashedUnderCall?.(id, call);
        return true;
    }

    /** Crashes a backend server. Another incarnation starts at its address later. */
    private crashForAWhile(id: string): void {
        const crashed = this.members.get(id);
        this.crash(id);
        this.options.clock.schedule(crashDuration, () => {
            if (crashed?.state === "ready" && this.members.get(id) === crashed) {
                this.add(crashed.plan, crashed.model.options.address);
            }
        });
    }

    private findEngine(address: string): EngineServer | undefined {
        const model = this.findByAddress(address);
        return model instanceof EngineServer ? model : undefined;
    }

    /** Allocates a unique address in a private network. */
    private allocateAddress(): string {
        const number = ++this.addressCount;
        return `10.9.${number >> 8}.${number & 255}:9000`;
    }

    private end(member: FleetMember, wasAnnounced: boolean): void {
        if (member.hasEnded) {
            return;
        }
        member.hasEnded = true;
        member.model.crash();
        if (wasAnnounced) {
            this.unregister(member);
        }
    }

    private sendHeartbeats(): void {
        for (const member of this.members.values()) {
            this.sendHeartbeat(member);
        }
        this.options.clock.schedule(this.options.heartbeatInterval, () => this.sendHeartbeats());
    }

    private sendHeartbeat(member: FleetMember): void {
        if (member.isWithdrawn) {
            return;
        }
        if (!member.hasEnded && !member.areHeartbeatsSuppressed && this.options.canRegister?.() !== false) {
            return this.register(member);
        }
        member.missedHeartbeats++;
        if (member.missedHeartbeats === missedHeartbeatLimit) {
            this.unregister(member);
        }
    }

    private register(member: FleetMember): void {
        if (this.options.canRegister?.() === false) {
            return;
        }
        const { clock, store } = this.options;
        const { model, state, failureDomain, born, cold } = member;
        member.missedHeartbeats = 0;
        member.sequence++;
        if (state === "draining") {
            member.drainPublishedAt ??= clock.now;
        }
        const entry = {
            service: model.options.service,
            address: model.options.address,
            zone: failureDomain,
            version: model.options.softwareVersion ?? defaultSoftwareVersion,
            slots: model.slots,
            state,
            coldRemainingMs: cold.remaining(clock.now),
            sequence: member.sequence,
            born,
        };
        store.append(serverTopic, model.options.id, Buffer.from(JSON.stringify(entry)));
        cold.recordPublished(clock.now);
    }

    private unregister({ model }: FleetMember): void {
        if (this.members.get(model.options.id)?.model === model) {
            this.options.store.append(serverTopic, model.options.id, new Uint8Array());
        }
    }
}
