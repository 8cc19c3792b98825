/**
 * The processes of a soak: gateways, each before relays to its callers and the store, and the emulator's workers behind
 * relays of their own.
 */
import {
    type FaultRelay,
    findFreeGatewayAddresses,
    type GatewayProcess,
    isGatewayProcessReady,
    startFaultRelay,
    startGatewayProcess,
    waitUntil,
} from "@verbenaspring/bench";
import { configurationKey, operatorTopic } from "@verbenaspring/emulator";
import { configurationOf, type ServerKind, serverPlan, VersionOracle } from "@verbenaspring/fuzz";
import {
    createPlatformWorkers,
    type PlatformStore,
    type PlatformWorker,
    type PlatformWorkers,
    startPlatformStore,
} from "@verbenaspring/stand-ins";
import { mkdirSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { SoakOracle } from "./soakOracle.js";

/** One life of a gateway's process. */
export interface SoakGateway {
    /** The slot's name, which the process after it has too. */
    readonly name: string;
    readonly process: GatewayProcess;
    /** Where callers reach it, through a relay. */
    readonly callers: FaultRelay;
    readonly store: FaultRelay;
    /** When the soak ended or stopped it. */
    killedAt: number | undefined;
    stopRequestedAt: number | undefined;
    /** When the channels of its callers that were open went silent for good. */
    callersSilencedAt: number;
    /** Whether it has taken callers; signals before that would meet a program that has not started. */
    hasStarted: boolean;
    hasExited: boolean;
}

/** A worker with the relay before it. */
export interface SoakWorker {
    readonly worker: PlatformWorker;
    readonly relay: FaultRelay;
}

/** How a world is made. */
export interface SoakWorldOptions {
    readonly gateways: number;
    readonly checksTimeLimits: boolean;
}

/** All that runs. */
export class SoakWorld {
    readonly gateways: SoakGateway[] = [];
    readonly workers: SoakWorker[] = [];
    readonly oracle: SoakOracle;
    readonly versions: VersionOracle<SoakGateway>;
    readonly store: PlatformStore;
    private readonly fleet: PlatformWorkers;
    private readonly folder = mkdtempSync(join(tmpdir(), "verbenaspring-soak-"));
    private readonly allGateways: SoakGateway[] = [];
    private readonly relays: FaultRelay[] = [];
    private seedAddress: string | undefined;
    private isClosing = false;
    private workerCount = 0;
    private processCount = 0;

    private constructor(store: PlatformStore, checksTimes: boolean) {
        this.store = store;
        this.oracle = new SoakOracle(checksTimes, server => this.fleet.fleet.noticedAt(server));
        this.versions = new VersionOracle<SoakGateway>(this.oracle);
        this.fleet = createPlatformWorkers(
            store,
            run => this.oracle.recordRun(run),
            (call, server) => this.oracle.recordArrival(call, server),
        );
    }

    static async start({ gateways, checksTimeLimits: checksTimes }: SoakWorldOptions): Promise<SoakWorld> {
        const world = new SoakWorld(await startPlatformStore(), checksTimes);
        try {
            await world.startAll(gateways);
            return world;
        }
        catch (error) {
            await world.close();
            throw error;
        }
    }

    private async startAll(gateways: number): Promise<void> {
        this.configure();
        for (const kind of ["plain", "plain", "engine", "engine", "engine"] as const) {
            await this.addWorker(kind);
        }
        await this.startGateway(0);
        await Promise.all(Array.from({ length: gateways - 1 }, (_, index) => this.startGateway(index + 1)));
    }

    /** The operator writes the next version. */
    configure(): void {
        this.store.put(operatorTopic, configurationKey, configurationOf(this.versions.newest + 1));
        this.versions.noteWritten(performance.now());
    }

    /** Starts the process of a slot, and waits until it takes callers. */
    async startGateway(slot: number): Promise<void> {
        const free = await findFreeGatewayAddresses();
        const peerAddress = this.gateways[slot]?.process.options.peerAddress ?? free.peerAddress;
        this.seedAddress ??= peerAddress;
        const store = await this.relayTo(this.store.address);
        const process = startGatewayProcess({
            name: `gateway-${this.processCount++}`,
            folder: this.folder,
            ...free,
            peerAddress,
            seedAddress: this.seedAddress,
            storeAddress: store.address,
        });
        const callers = await this.relayTo(free.callerAddress);
        const gateway: SoakGateway = {
            name: `slot-${slot}`,
            process,
            callers,
            store,
            killedAt: undefined,
            stopRequestedAt: undefined,
            callersSilencedAt: -Infinity,
            hasStarted: false,
            hasExited: false,
        };
        this.gateways[slot] = gateway;
        this.allGateways.push(gateway);
        void process.exited.then(code => this.noteExit(gateway, code));
        await waitUntil(
            `${gateway.name} is ready`,
            async () => gateway.hasExited || await isGatewayProcessReady(process),
        );
        gateway.hasStarted = true;
    }

    private noteExit(gateway: SoakGateway, code: number | null): void {
        gateway.hasExited = true;
        gateway.callers.close();
        gateway.store.close();
        if (this.isClosing) {
            return;
        }
        if (gateway.killedAt === undefined && gateway.stopRequestedAt === undefined) {
            this.oracle.fail("processes_end_only_when_asked", `${gateway.name} ended with ${code}`);
        }
        else if (gateway.killedAt === undefined && code !== 0) {
            this.oracle.fail("planned_stops_end_well", `${gateway.name} ended with ${code}`);
        }
    }

    async addWorker(kind: ServerKind, id = `${kind}${++this.workerCount}`): Promise<void> {
        let relay: FaultRelay | undefined;
        const worker = await this.fleet.start(serverPlan(kind, id), {
            expose: async address => {
                relay = await this.relayTo(address);
                return relay.address;
            },
        });
        this.workers.push({ worker, relay: relay! });
    }

    private async relayTo(address: string): Promise<FaultRelay> {
        const relay = await startFaultRelay(address);
        this.relays.push(relay);
        return relay;
    }

    /** Ends a worker's part in the world. */
    removeWorker(gone: SoakWorker): void {
        const index = this.workers.indexOf(gone);
        if (index >= 0) {
            this.workers.splice(index, 1);
        }
    }

    garble(id: string): void {
        this.fleet.fleet.garble(id);
    }

    silenceHeartbeats(id: string, isSilenced: boolean): void {
        this.fleet.fleet.silence(id, isSilenced);
    }

    /** Writes what the gateways logged, for tracing. */
    writeLogs(folder: string): void {
        mkdirSync(folder, { recursive: true });
        this.allGateways.forEach(({ process }) =>
            writeFileSync(join(folder, `${process.options.name}.log`), process.output())
        );
    }

    /** Ends all processes at once, where the soak itself is ended. */
    killGateways(): void {
        this.allGateways.filter(({ hasExited: isGone }) => !isGone).forEach(({ process }) =>
            process.child.kill("SIGKILL")
        );
    }

    /** Ends all processes that this world started. */
    async close(): Promise<void> {
        this.isClosing = true;
        this.killGateways();
        await Promise.all(this.allGateways.map(({ process }) => process.exited));
        this.relays.forEach(relay => relay.close());
        await this.fleet.close();
        await this.store.close();
        rmSync(this.folder, { recursive: true, force: true });
    }
}
