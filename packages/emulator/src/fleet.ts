/**
 * The workers of a platform: their addresses, what they register in the store, and how they come and go.
 */
import type { Milliseconds } from "@verbenaspring/model";
import type { Clock } from "./clock.js";
import { type EngineOptions, EngineServer } from "./engineServer.js";
import { type PlainOptions, PlainServer } from "./plainServer.js";
import type { RunObserver, ServerModel } from "./serverModel.js";
import type { StoreModel } from "./storeModel.js";

/** The topic of the operator's records, and the key of the configuration in it. */
export const operatorTopic = "keyed.op";
export const configurationKey = "config";
/** The topic of the workers' registrations. */
export const serverTopic = "keyed.servers";

/** What a worker is made of, without its place. */
export type ServerPlan =
    | ({ readonly kind: "plain"; } & Omit<PlainOptions, "address">)
    | ({ readonly kind: "engine"; } & Omit<EngineOptions, "address">);

interface FleetMember {
    readonly plan: ServerPlan;
    readonly model: ServerModel;
    readonly failureDomain: string;
    readonly born: number;
    state: "ready" | "draining";
    sequence: number;
    /** When the store took the notice that it leaves. */
    noticedAt: Milliseconds | undefined;
    isGone: boolean;
    /** Lost heartbeats: the registration is dropped after three. */
    isSilenced: boolean;
    missed: number;
}

/** Where a fleet registers, and who hears of its runs. */
export interface FleetOptions {
    readonly clock: Clock;
    readonly store: StoreModel;
    readonly observeRun: RunObserver;
    readonly heartbeatInterval: Milliseconds;
    /** Whether registrations reach the store now. */
    readonly canRegister?: () => boolean;
}

/** Heartbeats that a worker may miss before its registration is dropped. */
const missedHeartbeats = 3;
const failureDomains = ["north", "south"];

/** All workers, living and gone. */
export class Fleet {
    private readonly members = new Map<string, FleetMember>();
    private readonly byAddress = new Map<string, FleetMember>();
    private addresses = 0;
    private births = 0;

    constructor(private readonly options: FleetOptions) {
        this.beat();
    }

    /** Starts a worker. One that had the same id and is gone starts anew under it, with a later birth. */
    add(plan: ServerPlan, address = this.nextAddress()): ServerModel {
        const { clock, observeRun: watch } = this.options;
        const model = plan.kind === "plain"
            ? new PlainServer({ ...plan, address }, clock, watch)
            : new EngineServer({ ...plan, address }, clock, watch, other => this.engineAt(other));
        const member: FleetMember = {
            plan,
            model,
            failureDomain: failureDomains[this.members.size % failureDomains.length],
            born: ++this.births,
            state: "ready",
            sequence: 0,
            noticedAt: undefined,
            isGone: false,
            isSilenced: false,
            missed: 0,
        };
        this.members.set(plan.id, member);
        this.byAddress.set(address, member);
        this.register(member);
        return model;
    }

    /** The worker that listens at an address. */
    findByAddress(address: string): ServerModel | undefined {
        const member = this.byAddress.get(address);
        return member === undefined || member.isGone ? undefined : member.model;
    }

    /** The living workers, in the order of their start. */
    liveServers(): ServerModel[] {
        return [...this.members.values()].filter(({ isGone }) => !isGone).map(({ model }) => model);
    }

    findPlan(id: string): ServerPlan | undefined {
        return this.members.get(id)?.plan;
    }

    /** When the store took a worker's notice. */
    drainPublishedAt(id: string): Milliseconds | undefined {
        return this.members.get(id)?.noticedAt;
    }

    /** Announces that a worker leaves, and ends it some time later. */
    leave(id: string, after: Milliseconds): void {
        const member = this.members.get(id);
        if (member === undefined || member.isGone || member.state === "draining") {
            return;
        }
        member.state = "draining";
        this.register(member);
        this.options.clock.schedule(after, () => this.end(member, true));
    }

    /** Ends a worker without a word; its registration lapses. */
    crash(id: string): void {
        const member = this.members.get(id);
        if (member !== undefined && !member.isGone) {
            this.end(member, false);
        }
    }

    /** Starts a worker anew under its old id; it knows nothing of before. */
    restart(id: string): void {
        const member = this.members.get(id);
        if (member !== undefined) {
            this.crash(id);
            this.add(member.plan);
        }
    }

    /** Another writer puts bytes under a worker's key that can't be read. */
    corruptRegistration(id: string): void {
        this.options.store.append(serverTopic, id, Buffer.from("{\"service\":"));
    }

    /** The heartbeats of a worker reach the store no more, or again. */
    suppressHeartbeats(id: string, isSilenced: boolean): void {
        const member = this.members.get(id);
        if (member !== undefined) {
            member.isSilenced = isSilenced;
        }
    }

    private engineAt(address: string): EngineServer | undefined {
        const model = this.findByAddress(address);
        return model instanceof EngineServer ? model : undefined;
    }

    /** An address of its own on a network that nobody has. */
    private nextAddress(): string {
        const number = ++this.addresses;
        return `10.9.${number >> 8}.${number & 255}:9000`;
    }

    private end(member: FleetMember, wasAnnounced: boolean): void {
        if (member.isGone) {
            return;
        }
        member.isGone = true;
        member.model.crash();
        if (wasAnnounced) {
            this.drop(member);
        }
    }

    private beat(): void {
        for (const member of this.members.values()) {
            this.beatMember(member);
        }
        this.options.clock.schedule(this.options.heartbeatInterval, () => this.beat());
    }

    private beatMember(member: FleetMember): void {
        if (!member.isGone && !member.isSilenced && this.options.canRegister?.() !== false) {
            return this.register(member);
        }
        member.missed++;
        if (member.missed === missedHeartbeats) {
            this.drop(member);
        }
    }

    private register(member: FleetMember): void {
        if (this.options.canRegister?.() === false) {
            return;
        }
        const { clock, store } = this.options;
        const { model, state, failureDomain, born } = member;
        member.missed = 0;
        member.sequence++;
        if (state === "draining") {
            member.noticedAt ??= clock.now;
        }
        const entry = {
            service: model.options.service,
            address: model.options.address,
            zone: failureDomain,
            version: "1",
            slots: model.slots,
            state,
            coldRemainingMs: 0,
            sequence: member.sequence,
            born,
        };
        store.append(serverTopic, model.options.id, Buffer.from(JSON.stringify(entry)));
    }

    private drop({ model }: FleetMember): void {
        if (this.members.get(model.options.id)?.model === model) {
            this.options.store.append(serverTopic, model.options.id, new Uint8Array());
        }
    }
}
