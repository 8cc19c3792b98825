/**
 * Starts a whole system as separate processes on loopback: stand-ins, entries and sidecars. Used by the demo, the load
 * tool and the tests with real processes.
 */
import type { StandInInstance } from "@verbenaspring/stand-ins";
import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { request } from "undici";

/** One process of the cluster. */
export interface ClusterProcess {
    readonly name: string;
    readonly child: ChildProcess;
    /** Resolves to the exit code once the process has ended; null where a signal ended it. */
    readonly exited: Promise<number | null>;
}

/** An entry process and its addresses. */
export interface EntryProcess extends ClusterProcess {
    readonly callerAddress: string;
    readonly operatorAddress: string;
}

/** A backend server with its sidecar. */
export interface BackendProcess {
    readonly backendServer: string;
    readonly service: string;
    readonly backendAddress: string;
    readonly linkAddress: string;
    readonly metricsAddress: string;
    readonly server: ClusterProcess;
    sidecar: ClusterProcess;
}

/** What to start. */
export interface ClusterOptions {
    readonly entries: number;
    readonly engines: readonly string[];
    readonly plainServers: readonly string[];
    readonly engineMemoryTokens?: number;
    /** Settings merged into each entry's. */
    readonly entrySettings?: object;
    /** Settings merged into each sidecar's. */
    readonly sidecarSettings?: object;
    /** How often the instance list is read, in milliseconds; short by default, so that tests need not wait. */
    readonly pollInterval?: number;
    /** Records that the log keeps of each stream. */
    readonly logRetention?: number;
}

/** The token of every entry's operators' interface. */
export const operatorToken = "cluster-operator-token";

const settleTimeout = 20_000;
const pollInterval = 50;

/** A running system. */
export class ProcessCluster {
    readonly entries: EntryProcess[] = [];
    readonly backends: BackendProcess[] = [];
    logAddress = "";
    instanceListAddress = "";
    private readonly directory = mkdtempSync(join(tmpdir(), "verbenaspring-"));
    private readonly processes: ClusterProcess[] = [];

    private constructor(private readonly options: ClusterOptions) {}

    /**
     * Starts everything and waits until each process answers.
     *
     * @example
     * const cluster = await ProcessCluster.start({ entries: 2, engines: ["assistant"], plainServers: ["booking"] });
     */
    static async start(options: ClusterOptions): Promise<ProcessCluster> {
        const cluster = new ProcessCluster(options);
        await cluster.startPlatform();
        const wanted = [
            ...options.engines.map(service => ({ service, kind: "engine" as const })),
            ...options.plainServers.map(service => ({ service, kind: "service" as const })),
        ];
        const backends = wanted.map(({ service, kind }, index) => cluster.addBackend(service, kind, index + 1));
        cluster.backends.push(...await Promise.all(backends));
        await cluster.publishInstances();
        const addresses = await Promise.all(Array.from({ length: options.entries }, async () => ({
            callerAddress: await findFreeAddress(),
            operatorAddress: await findFreeAddress(),
        })));
        for (const { callerAddress, operatorAddress } of addresses) {
            const peers = addresses.map(each => each.operatorAddress).filter(each => each !== operatorAddress);
            cluster.entries.push(cluster.startEntry(callerAddress, operatorAddress, peers));
        }
        await Promise.all(cluster.entries.map(entry => waitForStatus(`http://${entry.callerAddress}/ready`)));
        return cluster;
    }

    private async startPlatform(): Promise<void> {
        this.logAddress = await findFreeAddress();
        this.instanceListAddress = await findFreeAddress();
        const retention = String(this.options.logRetention ?? 100_000);
        this.startStandIn("log", ["log", "--port", portOf(this.logAddress), "--retention", retention]);
        this.startStandIn("instances", ["instances", "--port", portOf(this.instanceListAddress), "--lag", "200"]);
        await waitForStatus(`http://${this.logAddress}/stats`);
        await waitForStatus(`http://${this.instanceListAddress}/instances`);
    }

    private async addBackend(service: string, kind: "engine" | "service", number: number): Promise<BackendProcess> {
        const backendServer = `${service}-${number}`;
        const [backendAddress, linkAddress, metricsAddress] = [
            await findFreeAddress(),
            await findFreeAddress(),
            await findFreeAddress(),
        ];
        const memory = String(this.options.engineMemoryTokens ?? 16_384);
        const memoryArguments = kind === "engine" ? ["--memory-tokens", memory] : [];
        const server = this.startStandIn(backendServer, [kind, "--port", portOf(backendAddress), ...memoryArguments]);
        const probe = kind === "engine" ? "load" : "runs";
        await waitForStatus(`http://${backendAddress}/${probe}`);
        const backend = { backendServer, service, backendAddress, linkAddress, metricsAddress, server };
        const sidecar = this.startSidecar(backend);
        await waitForStatus(`http://${metricsAddress}/live`);
        return { ...backend, sidecar };
    }

    /** Starts a sidecar, also in place of one that has gone. */
    startSidecar(backend: Omit<BackendProcess, "sidecar">): ClusterProcess {
        const { backendServer, service, linkAddress, metricsAddress, backendAddress } = backend;
        return this.startDaemon("sidecar", `sidecar-${backendServer}`, {
            role: "sidecar",
            failureDomain: "domain-1",
            backendServer,
            service,
            linkAddress,
            metricsAddress,
            backendAddress,
            platform: this.platform(),
            engine: { memoryTokens: this.options.engineMemoryTokens ?? 16_384 },
            ...this.options.sidecarSettings,
        });
    }

    /** Starts an entry. */
    startEntry(callerAddress: string, operatorAddress: string, peerAddresses: readonly string[]): EntryProcess {
        const process = this.startDaemon("entry", `entry-${portOf(callerAddress)}`, {
            role: "entry",
            failureDomain: "domain-1",
            callerAddress,
            operatorAddress,
            operatorToken,
            peerAddresses,
            platform: this.platform(),
            ...this.options.entrySettings,
        });
        return { ...process, callerAddress, operatorAddress };
    }

    /** Tells the instance list of every backend server; those named are shown as leaving. */
    async publishInstances(
        leaving: readonly string[] = [],
        linkAddresses: ReadonlyMap<string, string> = new Map(),
    ): Promise<void> {
        const instances: StandInInstance[] = this.backends.map(({ backendServer, service, linkAddress }, index) => ({
            backend_server: backendServer,
            service,
            failure_domain: `domain-${index % 3 + 1}`,
            link_address: linkAddresses.get(backendServer) ?? linkAddress,
            state: leaving.includes(backendServer) ? "leaving" : "live",
        }));
        await sendJsonTo(`http://${this.instanceListAddress}/instances`, "PUT", { instances });
    }

    /** Runs `verbenactl` against an entry; resolves to its exit code and output. */
    async runVerbenactl(
        arguments_: readonly string[],
        input = "",
        entry = this.entries[0],
    ): Promise<{ code: number | null; output: string; }> {
        const child = spawn(process.execPath, [
            binary("cli", "verbenactl.js"),
            "--entry",
            entry.operatorAddress,
            ...arguments_,
        ], {
            env: { ...process.env, VERBENASPRING_TOKEN: operatorToken },
            stdio: ["pipe", "pipe", "pipe"],
        });
        child.stdin.end(input);
        let output = "";
        child.stdout.on("data", (chunk: Buffer) => output += chunk.toString());
        child.stderr.on("data", (chunk: Buffer) => output += chunk.toString());
        const code = await new Promise<number | null>(resolve => child.on("close", resolve));
        return { code, output };
    }

    /** The log lines that a process has written. */
    readLog(name: string): string {
        return readFileSync(join(this.directory, `${name}.log`), "utf8");
    }

    /** Ends every process and removes the files. */
    async stop(): Promise<void> {
        this.processes.forEach(({ child }) => {
            child.kill("SIGCONT");
            child.kill("SIGKILL");
        });
        await Promise.all(this.processes.map(({ exited }) => exited));
        rmSync(this.directory, { recursive: true, force: true });
    }

    private platform(): object {
        return {
            logAddress: this.logAddress,
            instanceListAddress: this.instanceListAddress,
            pollInterval: this.options.pollInterval ?? 200,
            requestTimeout: 1_500,
        };
    }

    private startStandIn(name: string, arguments_: readonly string[]): ClusterProcess {
        return this.startProcess(name, [binary("stand-ins", "main.js"), ...arguments_]);
    }

    private startDaemon(role: "entry" | "sidecar", name: string, settings: object): ClusterProcess {
        const file = join(this.directory, `${name}.jsonc`);
        writeFileSync(file, JSON.stringify(settings, undefined, 4));
        return this.startProcess(name, [binary("cli", "verbenaspring.js"), role, file]);
    }

    private startProcess(name: string, arguments_: readonly string[]): ClusterProcess {
        const log = openSync(join(this.directory, `${name}.log`), "a");
        const child = spawn(process.execPath, arguments_, { stdio: ["ignore", log, log] });
        const exited = new Promise<number | null>(resolve => child.on("exit", code => resolve(code)));
        const started = { name, child, exited };
        this.processes.push(started);
        return started;
    }
}

function binary(packageName: string, file: string): string {
    return fileURLToPath(new URL(`../../${packageName}/dist/${file}`, import.meta.url));
}

function portOf(address: string): string {
    return address.slice(address.lastIndexOf(":") + 1);
}

/** Ports below those that the system gives to outgoing connections, so that none of them takes a free one meanwhile. */
const firstPort = 12_000;
const portCount = 18_000;
/** Processes that run at the same time begin at different places. */
let nextPort = (process.pid * 131) % portCount;

/** An address on loopback that nothing else listens at. */
export async function findFreeAddress(): Promise<string> {
    for (let tries = 0; tries < portCount; tries++) {
        const port = firstPort + nextPort;
        nextPort = (nextPort + 1) % portCount;
        if (await isFree(port)) {
            return `127.0.0.1:${port}`;
        }
    }
    throw new NoFreePort();
}

class NoFreePort extends Error {
    override readonly name = "NoFreePort";
}

function isFree(port: number): Promise<boolean> {
    return new Promise(resolve => {
        const server = createServer();
        server.once("error", () => resolve(false));
        server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
    });
}

/** Sends JSON and returns the status and the parsed answer. */
export async function sendJsonTo(
    url: string,
    method: "PUT" | "POST",
    value: unknown,
): Promise<{ status: number; body: unknown; }> {
    const headers = { "content-type": "application/json" };
    const response = await request(url, { method, headers, body: JSON.stringify(value) });
    const text = await response.body.text();
    return { status: response.statusCode, body: text === "" ? undefined : JSON.parse(text) as unknown };
}

/** Waits until a URL answers with status 200. */
export function waitForStatus(url: string): Promise<void> {
    return waitUntil(`status 200 from ${url}`, async () => {
        const response = await request(url);
        await response.body.dump();
        return response.statusCode === 200;
    });
}

/**
 * Waits for a condition; a condition that throws counts as not yet met.
 *
 * @throws Error naming the condition where it is not met in 20 s
 * @example
 * await waitUntil("the queue is empty", () => queue.length === 0);
 */
export async function waitUntil(name: string, condition: () => boolean | Promise<boolean>): Promise<void> {
    const deadline = performance.now() + settleTimeout;
    while (performance.now() < deadline) {
        const met = await Promise.resolve().then(condition).catch(() => false);
        if (met) {
            return;
        }
        await new Promise(resolve => setTimeout(resolve, pollInterval));
    }
    throw new Error(`timed out waiting for: ${name}`);
}
