/**
 * The processes of a soak: gateways, with a relay before each, another between it and the store, and in some plans one
 * to each other gateway, and the emulator's backend servers, each behind a relay.
 */
import {
    type FaultRelay,
    findFreeGatewayAddresses,
    type GatewayProcess,
    isGatewayProcessReady,
    type RelayDirection,
    startFaultRelay,
    startGatewayProcess,
    waitUntil,
} from "@verbenaspring/bench";
import { configurationKey, failureDomains, operatorTopic, OperatorWrites, systemClock } from "@verbenaspring/emulator";
import {
    buildConfiguration,
    type EngineProfile,
    platformLimits,
    type ServerKind,
    serverPlan,
    VersionOracle,
    withOldReports,
} from "@verbenaspring/fuzz";
import {
    type BackendServerStandIn,
    type BackendServerStandIns,
    createBackendServerStandIns,
    type PlatformStore,
    startPlatformStore,
} from "@verbenaspring/stand-ins";
import { mkdirSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { SoakOracle } from "./soakOracle.js";

/** A gateway process. When it has exited, another process takes its slot. */
export interface SoakGateway {
    /** The name of the slot, which its processes share. */
    readonly name: string;
    readonly process: GatewayProcess;
    /** The relay from callers to the gateway. */
    readonly callerRelay: FaultRelay;
    /** The relay from the gateway to the store. */
    readonly storeRelay: FaultRelay;
    readonly failureDomain: string;
    /** When its process was started. */
    readonly startedAt: number;
    /** When the soak killed it. */
    killedAt: number | undefined;
    /** When the soak began a planned stop. */
    stopRequestedAt: number | undefined;
    /** When the relay last silenced the callers' connections that were open, which lasts until they close. */
    callersSilencedAt: number;
    /** Whether it has been ready; a signal before that could end it, as its handlers may not be installed yet. */
    hasStarted: boolean;
    hasExited: boolean;
}

/** A relay between two gateways, and the directions over it from one of them and to it. */
export interface PeerRelay {
    readonly relay: FaultRelay;
    readonly from: RelayDirection;
    readonly to: RelayDirection;
}

/** A backend server and the relay before it. */
export interface SoakBackendServer {
    readonly standIn: BackendServerStandIn;
    readonly relay: FaultRelay;
}

/** The parameters of a world. */
export interface SoakWorldOptions {
    readonly gateways: number;
    readonly engines: number;
    readonly engineProfile: EngineProfile;
    /** Decides whether the streams of an engine are unframed; if undefined, none are, and reports are new. */
    readonly drawUnframed: (() => boolean) | undefined;
    readonly checksTimeLimits: boolean;
    /** Whether what gateways send each other passes through relays. */
    readonly relaysPeerLinks: boolean;
}

/** The versions of the servers' software, which releases bring into service by turns. */
const softwareVersions = ["v1", "v2"];

/** Milliseconds for which servers are cold after they start and after evacuations. */
const coldDuration = 1_500;
/** The program that the platform starts. */
const gatewayProgram = "packages/cli/dist/gatewayProcess.js";
/** Milliseconds after the end of a gateway until the connections of its callers are closed. */
const relayCloseDelay = 200;
/** Milliseconds between two records of what gateways know. */
const observeInterval = 250;

/** Everything that a soak runs. */
export class SoakWorld {
    readonly gateways: SoakGateway[] = [];
    /** The backend servers that faults are drawn for; without those that crash or leave. */
    readonly backendServers: SoakBackendServer[] = [];
    readonly oracle: SoakOracle;
    readonly versions: VersionOracle<SoakGateway>;
    readonly store: PlatformStore;
    private readonly operator: OperatorWrites;
    private readonly observeTimer: NodeJS.Timeout;
    private readonly serverStandIns: BackendServerStandIns;
    private readonly folder = mkdtempSync(join(tmpdir(), "verbenaspring-soak-"));
    /** Every process that was started, also those that have exited. */
    private readonly allGateways: SoakGateway[] = [];
    private readonly relays: FaultRelay[] = [];
    /** The peer addresses of the slots, which their processes share. */
    private peerAddresses: readonly string[] = [];
    /** For each slot, the relays through which its processes open links, by the peer address of the other gateway. */
    private peerRelays: readonly ReadonlyMap<string, FaultRelay>[] = [];
    private isClosing = false;
    /** The index of the newest version of the configuration that was ever stored. */
    private newestStored = -1;
    private serverCount = 0;
    private releaseCount = 0;
    private processCount = 0;

    private constructor(
        store: PlatformStore,
        private readonly engineProfile: EngineProfile,
        private readonly drawUnframed: (() => boolean) | undefined,
        checksTimeLimits: boolean,
    ) {
        this.store = store;
        this.oracle = new SoakOracle(
            checksTimeLimits,
            server => this.serverStandIns.fleet.drainPublishedAt(server),
            server =>
                this.serverStandIns.fleet.liveServers().find(({ options }) => options.id === server)?.requestLimit,
            () => this.gateways.filter(({ hasStarted, hasExited }) => hasStarted && !hasExited),
            server => this.serverStandIns.fleet.liveServers().some(({ options }) => options.id === server),
        );
        this.operator = new OperatorWrites(systemClock(), store.model, () => store.behaviour() === "up");
        this.observeTimer = setInterval(() => this.observe(), observeInterval);
        this.versions = new VersionOracle<SoakGateway>({
            mustMeetTimeLimits: (gateway, at) => this.oracle.mustKnowStore(gateway, at),
            areLinked: (one, other) => this.oracle.areLinked(one, other),
            fail: (promise, detail) => this.oracle.fail(promise, detail),
        }, () => performance.now());
        this.serverStandIns = createBackendServerStandIns(
            store,
            run => this.oracle.recordRun(run),
            {
                arrived: (call, server) => {
                    const { fleet } = this.serverStandIns;
                    this.oracle.recordArrival(call, server);
                    this.oracle.checkDomain(call, server, fleet.failureDomainOf(server), fleet.coldPeriodOf(server));
                },
                pauseRequested: (call, server, pause) => this.oracle.recordPause(call, server, pause),
                crashedWhileCold: server => {
                    this.oracle.faultRecord.recordProcessFault("workers", 0);
                    this.forgetServer(server);
                },
            },
            { rate: platformLimits.coldRate, duration: coldDuration },
        );
    }

    static async start(options: SoakWorldOptions): Promise<SoakWorld> {
        const { engineProfile, drawUnframed, checksTimeLimits } = options;
        const world = new SoakWorld(await startPlatformStore(), engineProfile, drawUnframed, checksTimeLimits);
        try {
            await world.startAll(options);
            return world;
        }
        catch (error) {
            await world.close();
            throw error;
        }
    }

    private async startAll({ gateways, engines, relaysPeerLinks }: SoakWorldOptions): Promise<void> {
        const addresses = await Promise.all(Array.from({ length: gateways }, findFreeGatewayAddresses));
        this.peerAddresses = addresses.map(({ peerAddress }) => peerAddress);
        this.peerRelays = await Promise.all(
            this.peerAddresses.map(opener => this.startPeerRelays(relaysPeerLinks ? opener : undefined)),
        );
        this.configure();
        for (const kind of ["plain", "plain", ...Array.from({ length: engines }, () => "engine" as const)] as const) {
            await this.addServer(kind);
        }
        await this.startGateway(0);
        await Promise.all(Array.from({ length: gateways - 1 }, (_, index) => this.startGateway(index + 1)));
    }

    /** Starts the relays through which the processes with a peer address open links; none without the address. */
    private async startPeerRelays(opener: string | undefined): Promise<ReadonlyMap<string, FaultRelay>> {
        const others = opener === undefined ? [] : this.peerAddresses.filter(address => address !== opener);
        return new Map(
            await Promise.all(others.map(async address => [address, await this.startRelay(address)] as const)),
        );
    }

    /** The relays between a gateway and all others, and which direction over each is from it. */
    peerRelaysOf(gateway: SoakGateway): readonly PeerRelay[] {
        const slot = this.gateways.indexOf(gateway);
        const opened = [...this.peerRelays[slot]?.values() ?? []];
        const accepted = this.peerRelays.flatMap(relays => relays.get(this.peerAddresses[slot]) ?? []);
        return [
            ...opened.map(relay => ({ relay, from: "upstream", to: "downstream" } as const)),
            ...accepted.map(relay => ({ relay, from: "downstream", to: "upstream" } as const)),
        ];
    }

    /** Writes the next version of the configuration to the store, as the platform's operator does. */
    configure(): void {
        this.newestStored = this.versions.newestIndex + 1;
        this.store.put(operatorTopic, configurationKey, this.buildConfiguration(this.newestStored));
        this.versions.recordVersion(performance.now());
    }

    /**
     * Sends the next version of the configuration to the store, which executes the call after a delay in milliseconds and
     * doesn't answer it. Newer versions may be stored by then.
     */
    configureUnanswered(delay: number): void {
        const index = this.versions.newestIndex + 1;
        this.versions.recordUnanswered();
        const execute = (): void => {
            if (this.newestStored > index) {
                this.versions.recordRewrite();
            }
            this.newestStored = Math.max(this.newestStored, index);
            this.store.putUnacknowledged(operatorTopic, configurationKey, this.buildConfiguration(index));
        };
        if (delay === 0) {
            return execute();
        }
        setTimeout(execute, delay);
    }

    private buildConfiguration(index: number): object {
        const cold = { perSecond: platformLimits.coldRate.perSecond, duration: coldDuration };
        return buildConfiguration(index, cold, this.engineProfile);
    }

    /** Starts a process in a slot, and waits until it is ready. Its peer address is that of the process before it. */
    async startGateway(slot: number): Promise<void> {
        const free = await findFreeGatewayAddresses();
        const peerRelaysModule = new URL("peerRelays.js", import.meta.url);
        this.peerRelays[slot].forEach((relay, address) => peerRelaysModule.searchParams.set(address, relay.address));
        const preloads = [new URL("clockJump.js", import.meta.url), peerRelaysModule];
        const storeRelay = await this.startRelay(this.store.address);
        const failureDomain = failureDomains[slot % failureDomains.length];
        const process = startGatewayProcess({
            name: `gateway-${this.processCount++}`,
            failureDomain,
            folder: this.folder,
            ...free,
            peerAddress: this.peerAddresses[slot],
            seedAddress: this.peerAddresses[0],
            storeAddress: storeRelay.address,
            command: [...preloads.flatMap(({ href }) => ["--import", href]), gatewayProgram],
        });
        const callerRelay = await this.startRelay(free.callerAddress);
        const gateway: SoakGateway = {
            name: `slot-${slot}`,
            process,
            callerRelay,
            storeRelay,
            failureDomain,
            startedAt: performance.now(),
            killedAt: undefined,
            stopRequestedAt: undefined,
            callersSilencedAt: -Infinity,
            hasStarted: false,
            hasExited: false,
        };
        this.gateways[slot] = gateway;
        this.allGateways.push(gateway);
        void process.exited.then(code => this.handleExit(gateway, code));
        await waitUntil(
            `${gateway.name} is ready`,
            async () => gateway.hasExited || await isGatewayProcessReady(process),
        );
        gateway.hasStarted = true;
    }

    private handleExit(gateway: SoakGateway, code: number | null): void {
        gateway.hasExited = true;
        // The relay may still hold what the gateway wrote last.
        setTimeout(() => gateway.callerRelay.close(), relayCloseDelay);
        gateway.storeRelay.close();
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

    async addServer(kind: ServerKind, id = `${kind}${++this.serverCount}`): Promise<void> {
        let relay: FaultRelay | undefined;
        const softwareVersion = softwareVersions[this.releaseCount % softwareVersions.length];
        const plan = serverPlan(kind, id, softwareVersion, this.engineProfile);
        const standIn = await this.serverStandIns.start(
            this.drawUnframed === undefined ? plan : withOldReports(plan, this.drawUnframed()),
            {
                expose: async address => {
                    relay = await this.startRelay(address);
                    return relay.address;
                },
            },
        );
        this.backendServers.push({ standIn, relay: relay! });
    }

    /** Requests the evacuation of a failure domain, which may have no server. */
    evacuate(failureDomain: string): void {
        this.operator.evacuate(
            failureDomain,
            () => this.oracle.evacuations.recordRequested(failureDomain, performance.now()),
        );
    }

    /** Withdraws the evacuation of a failure domain. If it was in force, the servers of the domain are cold then. */
    withdraw(failureDomain: string): void {
        this.operator.withdraw(failureDomain, () => {
            const { fleet } = this.serverStandIns;
            const informed = this.oracle.evacuations.recordWithdrawn(failureDomain);
            if (informed === undefined) {
                return;
            }
            fleet.returnDomain(failureDomain);
            for (const { options: { id } } of fleet.liveServers()) {
                const period = fleet.coldPeriodOf(id);
                if (period !== undefined && fleet.failureDomainOf(id) === failureDomain) {
                    this.oracle.coldServers.recordInformed(id, period, informed, performance.now());
                }
            }
        });
    }

    /** Makes a backend server cold for a duration in milliseconds. */
    makeCold(id: string, duration: number): void {
        this.serverStandIns.fleet.makeCold(id, duration);
    }

    /** Crashes a backend server, and starts it again under its id at its address. */
    async restartInPlace(server: SoakBackendServer): Promise<void> {
        this.removeServer(server);
        this.forgetServer(server.standIn.id);
        const standIn = await server.standIn.restart();
        this.backendServers.push({ standIn, relay: server.relay });
    }

    /** Forgets what an incarnation of a backend server told gateways. */
    forgetServer(id: string): void {
        this.oracle.forgetServer(id);
    }

    /** Records which servers are cold, and what gateways know by now. */
    private observe(): void {
        const { fleet } = this.serverStandIns;
        for (const { options: { id } } of fleet.liveServers()) {
            const period = fleet.coldPeriodOf(id);
            if (period !== undefined) {
                this.oracle.coldServers.recordCold(id, period);
            }
        }
        this.oracle.observeGateways();
    }

    /** Servers that start from now on run the other version of their software. */
    release(): void {
        this.releaseCount++;
    }

    private async startRelay(address: string): Promise<FaultRelay> {
        const relay = await startFaultRelay(address);
        this.relays.push(relay);
        return relay;
    }

    /** Removes a backend server from `backendServers`, without ending it. */
    removeServer(server: SoakBackendServer): void {
        const index = this.backendServers.indexOf(server);
        if (index >= 0) {
            this.backendServers.splice(index, 1);
        }
    }

    corruptRegistration(id: string): void {
        this.serverStandIns.fleet.corruptRegistration(id);
    }

    suppressHeartbeats(id: string, isSuppressed: boolean): void {
        this.serverStandIns.fleet.suppressHeartbeats(id, isSuppressed);
    }

    /** Writes the logs of all gateways to a directory. */
    writeLogs(folder: string): void {
        mkdirSync(folder, { recursive: true });
        this.allGateways.forEach(({ process }) =>
            writeFileSync(join(folder, `${process.options.name}.log`), process.output())
        );
    }

    /** Kills all gateways that have not exited. */
    killGateways(): void {
        this.allGateways.filter(({ hasExited }) => !hasExited).forEach(({ process }) => process.child.kill("SIGKILL"));
    }

    /** Kills all processes and closes everything that this world started. */
    async close(): Promise<void> {
        this.isClosing = true;
        clearInterval(this.observeTimer);
        this.killGateways();
        await Promise.all(this.allGateways.map(({ process }) => process.exited));
        this.relays.forEach(relay => relay.close());
        await this.serverStandIns.close();
        await this.store.close();
        rmSync(this.folder, { recursive: true, force: true });
    }
}
