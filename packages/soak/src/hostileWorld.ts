/**
 * One gateway as the platform runs it, before a store and backend servers of the load tool.
 */
import {
    findFreeAddress,
    findFreeGatewayAddresses,
    type GatewayProcess,
    isGatewayProcessReady,
    type MachineLimits,
    startGatewayProcess,
    waitUntil,
} from "@verbenaspring/bench";
import { configurationKey, operatorTopic, serverTopic } from "@verbenaspring/emulator";
import { type PlatformStore, startPlatformStore } from "@verbenaspring/stand-ins";
import { mkdtempSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { Worker } from "node:worker_threads";
import type { ServerThreadData } from "./hostileServers.js";
import { type AttackedAddresses, hostileRoutesHost } from "./hostileTargets.js";

/** A running gateway, and what it needs. */
export interface HostileWorld {
    readonly gateway: GatewayProcess;
    readonly addresses: AttackedAddresses;
    readonly close: () => Promise<void>;
}

/** The smallest gateway machine. */
export const smallestMachine: MachineLimits = { memoryMb: 178, maxFds: 2_212 };
const heartbeatInterval = 300;

/**
 * Starts a gateway with the command of `deploy/system.toml` before two healthy servers, or a healthy and a failing one.
 * The bundle of the gateway must have been built.
 *
 * @example
 * const world = await startHostileWorld(false);
 */
export async function startHostileWorld(hasFailingServer: boolean): Promise<HostileWorld> {
    const folder = mkdtempSync(join(tmpdir(), "verbenaspring-hostile-"));
    const store = await startPlatformStore();
    store.put(operatorTopic, configurationKey, configuration());
    const servers = new Worker(new URL("hostileServers.js", import.meta.url), {
        workerData: { failing: [false, hasFailingServer] } satisfies ServerThreadData,
    });
    const heartbeats = keepRegistered(store, await firstMessage<readonly string[]>(servers));
    const free = await findFreeGatewayAddresses();
    const metrics = await findFreeAddress();
    const gateway = startGatewayProcess({
        name: "gateway",
        folder,
        ...free,
        seedAddress: free.peerAddress,
        storeAddress: store.address,
        machine: smallestMachine,
        command: deployedCommand(),
        metricsPort: Number(metrics.split(":")[1]),
    });
    await waitUntil("the gateway is ready", () => isGatewayProcessReady(gateway));
    return {
        gateway,
        addresses: {
            callers: free.callerAddress,
            readiness: free.readinessAddress,
            metrics,
            peers: free.peerAddress,
        },
        close: async () => {
            clearInterval(heartbeats);
            gateway.child.kill("SIGKILL");
            await gateway.exited;
            await servers.terminate();
            await store.close();
            rmSync(folder, { recursive: true, force: true });
        },
    };
}

/** The arguments of Node with which the platform runs a gateway. */
function deployedCommand(): string[] {
    const line = /^run = "node (.*)"$/m.exec(readFileSync("deploy/system.toml", "utf8"));
    if (line === null) {
        throw new Error("deploy/system.toml has no command of a gateway");
    }
    return line[1].split(" ");
}

function firstMessage<Message>(worker: Worker): Promise<Message> {
    return new Promise((resolve, reject) => {
        worker.once("message", resolve);
        worker.once("error", reject);
    });
}

function keepRegistered(store: PlatformStore, addresses: readonly string[]): NodeJS.Timeout {
    let sequence = 0;
    const register = (): void => {
        sequence++;
        addresses.forEach((address, index) =>
            store.put(serverTopic, `server${index}`, {
                service: "plain",
                address,
                zone: "near",
                slots: 256,
                state: "ready",
                born: 1,
                sequence,
            })
        );
    };
    register();
    return setInterval(register, heartbeatInterval);
}

function configuration(): object {
    const route = (name: string, fields: object): object => ({
        name,
        hostname: hostileRoutesHost,
        pathPrefix: `/${name}/`,
        service: "plain",
        public: true,
        targetLatencyMs: 1_000,
        ...fields,
    });
    return {
        version: 1,
        routes: [
            route("ordinary", { routeType: "idempotent", maxAttempts: 3, timeoutMs: 5_000 }),
            route("feed", { routeType: "streaming", timeoutMs: 60_000 }),
        ],
        services: [{ name: "plain" }],
        limits: {
            maxHeaderBytes: 16 * 1024,
            maxBodyBytes: 4 * 1024 * 1024,
            headerTimeoutMs: 3_000,
            idleTimeoutMs: 15_000,
        },
    };
}
