/**
 * What the cases share: a record of what was seen, gateways as processes with the command of the deploy file, the
 * configuration and the registration of workers in the store, and the end of everything that was started.
 */
import { spawn } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { request } from "node:http";
import { createServer as createTcpServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { startStore } from "./store.mjs";

const repository = fileURLToPath(new URL("../..", import.meta.url));
/** The arguments of the command in `deploy/system.toml`. */
const command = ["--max-old-space-size=110", "--max-semi-space-size=4", "target/start.cjs", "gateway"];

/** The bounds of karatau-slots. */
export const bounds = {
    seedLagS: 3,
    reuseAfterS: 2,
    contactMs: 3000,
    ackTimeoutMs: 4000,
    catchUpS: 4,
    drainMs: 2000,
    graceS: 8,
    lossSlackMs: 200,
    configApplyMs: 2000,
    rollbackSlackMs: 250,
    outerMs: 5000,
    revokeStrict: false,
    revokeMs: 5000,
    retryBudgetRatio: 0.2,
    retryWindowS: 10,
    retrySlack: 56,
    recoveryS: 12,
    iterationMs: 120,
    reuseWindowS: 8.5,
};

/** The limits on clients in the configurations. */
export const callerLimits = {
    maxHeaderBytes: 16384,
    maxBodyBytes: 4194304,
    headerTimeoutMs: 3000,
    idleTimeoutMs: 15000,
};

export const pause = ms => new Promise(resolve => setTimeout(resolve, ms));

export async function freeAddress() {
    const server = createTcpServer();
    await new Promise(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address();
    await new Promise(resolve => server.close(resolve));
    return `127.0.0.1:${port}`;
}

/**
 * Runs a case and ends the process: with 1 if `play` returns a broken rule, 0 if it returns undefined, 2 if it throws.
 *
 * @param play gets the world and whether the disruption is to happen
 */
export async function runCase(folder, play) {
    const lines = [];
    const startedAt = performance.now();
    const world = {
        isTroubled: process.env.TROUBLE !== "0",
        record: text => lines.push(`${((performance.now() - startedAt) / 1000).toFixed(3)} ${text}`),
        closers: [],
        gateways: [],
    };
    let status = 2;
    const watchdog = setTimeout(() => {
        world.record("the case took more than 110 s");
        finish();
    }, 110_000);
    let isFinished = false;
    const finish = () => {
        if (isFinished) {
            return;
        }
        isFinished = true;
        clearTimeout(watchdog);
        world.closers.reverse().forEach(close => close());
        lines.push(`exit ${status}: ${["the rule held", "the rule was broken", "the case could not run"][status]}`);
        writeFileSync(join(dirname(fileURLToPath(folder)), "record.txt"), `${lines.join("\n")}\n`);
        process.stdout.write(`${lines.slice(-8).join("\n")}\n`);
        process.exit(status);
    };
    ["SIGINT", "SIGTERM"].forEach(signal => process.once(signal, finish));
    try {
        world.folder = mkdtempSync(join(tmpdir(), "review-"));
        world.closers.push(() => rmSync(world.folder, { recursive: true, force: true }));
        world.store = await startStore();
        world.closers.push(world.store.close);
        world.record(`disruption: ${world.isTroubled ? "yes" : "no"}`);
        const broken = await play(world);
        status = broken === undefined ? 0 : 1;
        world.record(broken === undefined ? "no broken rule was seen" : `BROKEN ${broken}`);
    }
    catch (error) {
        world.record(`could not run: ${error.stack ?? error}`);
    }
    finish();
}

/** Starts a gateway as a process and waits until it reports itself ready. */
export async function startGateway(world, name, seedAddress, own = {}) {
    const [frontend, ready, controlPlane, metrics] = await Promise.all([1, 2, 3, 4].map(freeAddress));
    const settings = {
        nodeName: name,
        role: "entry",
        machineClass: "edge",
        serves: ["edge", "control_plane"],
        ip: "127.0.0.1",
        zone: "zone-a",
        region: "region-a",
        zones: { "zone-a": "region-a" },
        listen: { frontend, ready, controlPlane },
        internalPortRange: [7200, 7215],
        seedNodes: [seedAddress ?? controlPlane],
        bootstrap: true,
        countsAsLoss: false,
        limits: { cpuShare: 0.513, cpuCores: 1, memoryMb: 350, maxFds: 4100, linkMbps: 1000, diskMb: 0 },
        dataDir: null,
        discovery: "platform",
        entry: "virtual_ip",
        heartbeatMs: 1200,
        invariants: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"],
        faultTolerance: { machines: 1, zones: 0, regions: 0 },
        bounds,
        platform: {
            address: world.store.address,
            form: "log",
            writesPerS: 400,
            readsPerS: 2000,
            parts: 12,
            appendMs: 2,
            partitionMbS: 20,
            readMbS: 80,
            recordBytes: 262144,
            requestBytes: 2097152,
            keep_s: 300,
            partitionMb: 200,
            minTtlMs: 1000,
        },
        ...own,
    };
    const file = join(world.folder, `${name}.json`);
    writeFileSync(file, JSON.stringify(settings));
    const log = [];
    const child = spawn(process.execPath, command, {
        cwd: repository,
        stdio: ["ignore", "pipe", "pipe"],
        env: {
            PATH: process.env.PATH,
            HOME: process.env.HOME,
            VERBENASPRING_SETTINGS: file,
            VERBENASPRING_METRICS_PORT: metrics.split(":")[1],
        },
    });
    child.stdout.on("data", chunk => log.push(chunk));
    child.stderr.on("data", chunk => log.push(chunk));
    const gateway = {
        name,
        child,
        frontend,
        ready,
        controlPlane,
        settings,
        hasExited: false,
        log: () => Buffer.concat(log).toString(),
    };
    gateway.exited = new Promise(resolve =>
        child.once("exit", (code, signal) => {
            gateway.hasExited = true;
            world.record(`${name} has ended: ${signal ?? code}`);
            resolve();
        })
    );
    world.gateways.push(gateway);
    world.closers.push(() => gateway.hasExited || child.kill("SIGKILL"));
    for (let attempt = 0; attempt < 200; attempt++) {
        if (gateway.hasExited) {
            throw new Error(`${name} ended while it started: ${gateway.log()}`);
        }
        if (await isReady(gateway)) {
            world.record(`${name} is ready, pid ${child.pid}`);
            return gateway;
        }
        await pause(100);
    }
    throw new Error(`${name} is not ready`);
}

export function isReady({ ready }) {
    const [host, port] = ready.split(":");
    return new Promise(resolve => {
        const call = request({ host, port, path: "/readyz", agent: false, timeout: 1000 }, response => {
            response.resume();
            resolve(response.statusCode === 200);
        });
        call.on("timeout", () => call.destroy());
        call.on("error", () => resolve(false));
        call.end();
    });
}

/** Writes a configuration as the operator does. */
export function configure(world, version, routes, services, tenants) {
    world.store.put("keyed.op", "config", {
        version,
        routes: routes.map(route => ({
            hostname: "office.example",
            timeoutMs: 39000,
            targetLatencyMs: 1800,
            priority: 1,
            maxAttempts: 1,
            public: true,
            sessionAffinity: false,
            streamResume: false,
            ...route,
        })),
        services: services.map(service => ({ healthCheckPath: "/healthz", maxConnections: 110, ...service })),
        limits: callerLimits,
        ...(tenants === undefined ? {} : { tenants }),
    });
    world.record(`configuration ${version} is acknowledged`);
}

/** Registers a worker and checks in every `heartbeatMs`, as the workers do. */
export function register(world, id, entry) {
    const state = {
        current: { zone: "zone-a", version: "v1", slots: 6, state: "ready", coldRemainingMs: 0, ...entry },
        sequence: 0,
    };
    const write = () => world.store.put("keyed.servers", id, { ...state.current, sequence: ++state.sequence });
    write();
    const timer = setInterval(write, 1200);
    const stop = () => clearInterval(timer);
    world.closers.push(stop);
    return {
        /** Changes the entry and writes it at once. */
        update: change => {
            Object.assign(state.current, change);
            write();
        },
        /** Starts a new lifetime: its counts begin anew. */
        restart: change => {
            state.sequence = 0;
            Object.assign(state.current, change);
            write();
        },
        stop,
        remove: () => {
            stop();
            world.store.put("keyed.servers", id, undefined);
        },
    };
}

let sealCount = 0;

/** The headers with which a worker answers a request. */
export function answerHeaders(request, more = {}) {
    return {
        "Attempt-Id": request.headers["attempt-id"],
        "Response-Seal": `3e1b.07.5a2.600.0.${++sealCount}`,
        ...more,
    };
}

export const newAttemptId = () =>
    `${Date.now().toString(16)}${Math.floor(Math.random() * 2 ** 32).toString(16).padStart(8, "0")}`;
