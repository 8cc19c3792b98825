/**
 * Starts a whole system as separate processes on loopback: stand-ins, entries and sidecars. The demo, the load tool and
 * the tests with real processes use it.
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

/** The processes of a cluster and their settings. */
export interface ClusterOptions {
    readonly entries: number;
    /** The service of each engine; the name of a service stands once for each of its engines. */
    readonly engines: readonly string[];
    /** The service of each plain backend server. */
    readonly plainServers: readonly string[];
    /** Key-value memory of each engine; 16 384 tokens by default. */
    readonly engineMemoryTokens?: number;
    /** Overrides of each entry's settings. */
    readonly entrySettings?: object;
    /** Overrides of each sidecar's settings. */
    readonly sidecarSettings?: object;
    /** Milliseconds between reads of the instance list; 200 by default, so that tests need not wait. */
    readonly pollInterval?: number;
    /** Records that the log keeps of each stream; 100 000 by default. */
    readonly logRetention?: number;
}

/** The bearer token of the operators' interface of every entry. */
export const operatorToken = "cluster-operator-token";

const conditionTimeout = 20_000;
const conditionPollInterval = 50;

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
     * Starts every process and waits until each one answers.
     *
     * @example
     * const cluster = await ProcessCluster.start({ entries: 2, engines: ["assistant"], plainServers: ["booking"] });
     */
    static async start(options: ClusterOptions): Promise<ProcessCluster> {
        const cluster = new ProcessCluster(options);
        await cluster.startPlatform();
        const backendOptions = [
            ...options.engines.map(service => ({ service, kind: "engine" as const })),
            ...options.plainServers.map(service => ({ service, kind: "service" as const })),
        ];
        const backends = backendOptions.map(({ service, kind }, index) => cluster.addBackend(service, kind, index + 1));
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

    /** Starts the sidecar of a backend server, also to replace one that has exited. */
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

    /**
     * Writes every backend server to the instance list.
     *
     * @param leaving names of the backend servers that are listed as leaving
     * @param linkAddresses addresses to list instead of a sidecar's own, by backend server
     */
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

    /**
     * Runs `verbenactl` against an entry; resolves to its exit code and its output on both streams.
     *
     * @param input the text for its standard input
     */
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

    /** Reads the output of a process. */
    readLog(name: string): string {
        return readFileSync(join(this.directory, `${name}.log`), "utf8");
    }

    /** Kills every process and removes the files. */
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

/**
 * Ports below the range from which the system assigns ports to outgoing connections: one of those could take a port
 * between its check and its use.
 */
const firstPort = 12_000;
const portCount = 18_000;
/** Starts at a different port in each process, so that processes that run at the same time check different ports. */
let nextPort = (process.pid * 131) % portCount;

/** Finds a loopback address that nothing listens on. */
export async function findFreeAddress(): Promise<string> {
    for (let attempt = 0; attempt < portCount; attempt++) {
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

/** Sends JSON and returns the status and the parsed response. */
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

/**
 * Waits until a URL answers with status 200.
 *
 * @throws Error naming the URL where it does not within 20 s
 */
export function waitForStatus(url: string): Promise<void> {
    return waitUntil(`status 200 from ${url}`, async () => {
        const response = await request(url);
        await response.body.dump();
        return response.statusCode === 200;
    });
}

/**
 * Polls a condition until it is met; a condition that throws counts as not yet met.
 *
 * @throws Error naming the condition where it is not met within 20 s
 * @example
 * await waitUntil("the queue is empty", () => queue.length === 0);
 */
export async function waitUntil(name: string, condition: () => boolean | Promise<boolean>): Promise<void> {
    const deadline = performance.now() + conditionTimeout;
    while (performance.now() < deadline) {
        const isMet = await Promise.resolve().then(condition).catch(() => false);
        if (isMet) {
            return;
        }
        await new Promise(resolve => setTimeout(resolve, conditionPollInterval));
    }
    throw new Error(`timed out waiting for: ${name}`);
}
