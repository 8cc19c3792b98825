/**
 * Starts gateways as real processes, with stand-ins of the platform's store and backend servers.
 */
import {
    findFreeGatewayAddresses,
    type GatewayProcess,
    isGatewayProcessReady,
    type MachineLimits,
    readResponseBody,
    type ResponseBody,
    startGatewayProcess,
    waitUntil,
} from "@verbenaspring/bench";
import type { ServerPlan } from "@verbenaspring/emulator";
import {
    type BackendServerStandIn,
    type BackendServerStandIns,
    createBackendServerStandIns,
    type PlatformStore,
    startPlatformStore,
} from "@verbenaspring/stand-ins";
import { spawnSync } from "node:child_process";
import { mkdtempSync, rmSync } from "node:fs";
import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { Agent, request } from "undici";

/** Builds the program that the platform runs, and returns the arguments of Node.js that start it. */
export function buildDeployedGateway(): string[] {
    const built = spawnSync(process.execPath, ["scripts/buildDeploy.mjs"], { encoding: "utf8" });
    if (built.status !== 0) {
        throw new Error(built.stderr);
    }
    return ["--max-old-space-size=110", "--max-semi-space-size=4", "target/start.cjs", "gateway"];
}

/** Registers a server of a test's own as `large` at the plain service, and waits until the first gateway knows it. */
export async function registerServer(cluster: GatewayCluster, server: Server, slots: number): Promise<void> {
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    const record = { service: "plain", address, zone: "near", slots, state: "ready", sequence: 1 };
    cluster.store.put("keyed.servers", "large", record);
    await cluster.waitUntilKnown(cluster.gateways[0], "large");
}

/** A response as its caller received it. */
export interface GatewayResponse extends ResponseBody {
    readonly status: number;
    readonly headers: Readonly<Record<string, string | string[] | undefined>>;
}

/** Details of a request that a test sets. */
export interface RequestOptions {
    readonly promptTokens?: number;
    /** The caller's id for the attempt; by default a new one. */
    readonly attemptId?: string;
    readonly headers?: Readonly<Record<string, string>>;
    /** Called when the head of the response has arrived; that of a stream comes with its first event. */
    readonly onHead?: () => void;
}

const host = "platform.example";
/** With the heap of the deployment: what callers may make a gateway hold follows from the machine's memory without it. */
const boundedCommand = ["--max-old-space-size=110", "packages/cli/dist/gatewayProcess.js"];

/** The gateways, the store and the backend servers of one test. */
export class GatewayCluster {
    readonly gateways: GatewayProcess[] = [];
    readonly backendServers: BackendServerStandIn[] = [];
    private readonly folder = mkdtempSync(join(tmpdir(), "verbenaspring-gateway-"));
    private readonly serverStandIns: BackendServerStandIns;
    // Each request has a connection of its own, so that none waits behind another.
    private readonly agent = new Agent({ pipelining: 0 });
    private requestCount = 0;

    private constructor(
        readonly store: PlatformStore,
        private readonly machine: MachineLimits | undefined,
        private readonly command: readonly string[],
    ) {
        this.serverStandIns = createBackendServerStandIns(store);
    }

    /**
     * @param machine what each gateway's machine has; by default what the gateway assumes where the settings state nothing
     * @param command the arguments of Node that start a gateway of such a machine
     */
    static async start(gateways: number, machine?: MachineLimits, command = boundedCommand): Promise<GatewayCluster> {
        const cluster = new GatewayCluster(await startPlatformStore(), machine, command);
        cluster.configure(1);
        for (let index = 0; index < gateways; index++) {
            await cluster.addGateway();
        }
        return cluster;
    }

    /** Writes a configuration with one route of each type. */
    configure(
        version: number,
        extraPrefixes: readonly string[] = [],
        store: PlatformStore = this.store,
        timeoutMs = 5_000,
        maxBodyBytes = 1_000,
    ): void {
        const route = (name: string, service: string, overrides: object): object => ({
            name,
            hostname: host,
            pathPrefix: `/${name}/`,
            timeoutMs,
            targetLatencyMs: 1_000,
            priority: 1,
            service,
            maxAttempts: 1,
            public: true,
            ...overrides,
        });
        const engine = { kvCapacity: 100_000, kvBytes: 1, replicas: true, migrations: true, stride: 1 };
        store.put("keyed.op", "config", {
            version,
            routes: [
                route("confirm", "plain", { routeType: "non_idempotent" }),
                route("lookup", "plain", { routeType: "idempotent", maxAttempts: 2 }),
                route("plan", "engine", { routeType: "streaming", timeoutMs: 20_000 }),
                route("note", "engine", { routeType: "streaming", streamResume: true, maxAttempts: 3 }),
                ...extraPrefixes.map(name => route(name, "plain", { routeType: "idempotent" })),
            ],
            services: [
                { name: "plain", healthCheckPath: "/healthz" },
                { name: "engine", healthCheckPath: "/healthz", backend: engine },
            ],
            limits: { maxHeaderBytes: 8_192, maxBodyBytes, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
        });
    }

    async addGateway(): Promise<GatewayProcess> {
        const addresses = await findFreeGatewayAddresses();
        this.seedAddress ??= addresses.peerAddress;
        const gateway = startGatewayProcess({
            name: `gateway-${this.gateways.length}`,
            folder: this.folder,
            ...addresses,
            seedAddress: this.seedAddress,
            storeAddress: this.store.address,
            ...(this.machine === undefined ? {} : { machine: this.machine, command: this.command }),
        });
        this.gateways.push(gateway);
        await waitUntil(`${gateway.settingsFile} is ready`, () => isGatewayProcessReady(gateway));
        return gateway;
    }

    private seedAddress: string | undefined;
    /** The number of events in each streamed answer. */
    private streamEventCount = 0;

    /**
     * Starts a backend server, and waits until every gateway knows it.
     *
     * @param expose returns the address to register, such as that of a relay; by default the server's own
     */
    async addServer(
        id: string,
        service: "plain" | "engine",
        workTime: number,
        events = 0,
        softwareVersion?: string,
        expose?: (address: string) => Promise<string>,
    ): Promise<BackendServerStandIn> {
        const plan = { ...createServerPlan(id, service, workTime), softwareVersion };
        const server = await this.serverStandIns.start(plan, expose === undefined ? {} : { expose });
        this.streamEventCount = Math.max(this.streamEventCount, events);
        this.backendServers.push(server);
        await Promise.all(this.gateways.map(gateway => this.waitUntilKnown(gateway, id)));
        return server;
    }

    /** Kills all gateways at once. */
    async killGateways(): Promise<void> {
        const killed = this.gateways.splice(0);
        killed.forEach(({ child }) => child.kill("SIGKILL"));
        await Promise.all(killed.map(({ exited }) => exited));
    }

    /** Waits until a gateway knows a backend server. */
    waitUntilKnown(gateway: GatewayProcess, id: string): Promise<void> {
        const isKnown = (): boolean => gateway.output().includes(`server=${id} change=added`);
        return waitUntil(`${id} is known`, isKnown);
    }

    /** Sends a request to a gateway, and reads the whole response. */
    async sendRequest(
        gateway: GatewayProcess,
        path: string,
        options: RequestOptions = {},
    ): Promise<GatewayResponse> {
        const attemptId = options.attemptId ?? `attempt-${++this.requestCount}`;
        const response = await request(`http://${gateway.callerAddress}${withLength(path, this.streamEventCount)}`, {
            method: "POST",
            headers: {
                host,
                "attempt-id": attemptId,
                "deadline-ms": "20000",
                "token-usage": `${options.promptTokens ?? 10},300`,
                ...options.headers,
            },
            body: `body of ${attemptId}`,
            dispatcher: this.agent,
        });
        options.onHead?.();
        return { status: response.statusCode, headers: response.headers, ...await readResponseBody(response.body) };
    }

    async stop(): Promise<void> {
        this.gateways.forEach(({ child }) => child.kill("SIGKILL"));
        await Promise.all(this.gateways.map(({ exited }) => exited));
        await this.serverStandIns.close();
        await this.store.close();
        await this.agent.destroy();
        rmSync(this.folder, { recursive: true, force: true });
    }
}

/** Adds the number of events of the answer to the path of a streamed route, from which the engine stand-in reads it. */
function withLength(path: string, events: number): string {
    return path.startsWith("/plan/") || path.startsWith("/note/") ? `${path}?length=${events}` : path;
}

function createServerPlan(id: string, service: "plain" | "engine", workTime: number): ServerPlan {
    return service === "plain" ? { kind: "plain", id, service, slots: 8, workTime } : {
        kind: "engine",
        id,
        service,
        slots: 8,
        memoryTokens: 100_000,
        tokensPerEvent: 1,
        stepTime: workTime,
        stepTimePerRun: 0,
        prefillRate: 100,
        transferRate: 100,
    };
}
