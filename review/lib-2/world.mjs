// Stand-ins for the platform's store, for workers and for clients, and the start of gateways as the deploy file says.
// They need no build and no packages. Everything listens on loopback.
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer as createHttpServer } from "node:http";
import { connect, createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

export const root = join(dirname(fileURLToPath(import.meta.url)), "..", "..");
export const host = "127.0.0.1";
export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));
export const hasTrouble = process.env.TROUBLE !== "0";

/** What a script writes to record.txt. */
export function createRecord(folder) {
    const start = performance.now();
    const lines = [];
    return {
        add: text => lines.push(`${((performance.now() - start) / 1000).toFixed(3).padStart(8)} s  ${text}`),
        write: () => writeFileSync(join(folder, "record.txt"), `${lines.join("\n")}\n`),
    };
}

export async function freePort() {
    const server = createServer();
    await new Promise(resolve => server.listen(0, host, resolve));
    const { port } = server.address();
    await new Promise(resolve => server.close(resolve));
    return port;
}

/** The platform's store: keyed and plain topics of one partition, as PROTOCOL.md describes them. */
export async function startStore() {
    const topics = new Map();
    const waiting = new Set();
    const topicOf = name => {
        if (!topics.has(name)) {
            topics.set(name, []);
        }
        return topics.get(name);
    };
    const keyOf = content => content.subarray(1, 1 + content[0]).toString();
    const valueOf = content => content.subarray(1 + content[0]);
    const append = (name, contents) => {
        topicOf(name).push(...contents);
        [...waiting].forEach(wake => wake());
    };
    const server = createHttpServer(async (request, response) => {
        const url = new URL(request.url, "http://store");
        const name = url.searchParams.get("topic") ?? "";
        const pieces = [];
        for await (const piece of request) {
            pieces.push(piece);
        }
        const send = (status, body) => {
            response.writeHead(status, { "content-length": Buffer.byteLength(body) });
            response.end(body);
        };
        const records = topicOf(name);
        if (url.pathname === "/log-newest") {
            const newest = new Map(records.map((content, offset) => [keyOf(content), { content, offset }]));
            const entries = [...newest]
                .filter(([, { content }]) => valueOf(content).length > 0)
                .map(([key, { content, offset }]) => ({ key, data: valueOf(content).toString("base64"), offset }));
            return send(200, JSON.stringify({ entries, hasMore: false, endOffset: records.length }));
        }
        if (url.pathname === "/log-read") {
            const from = Number(url.searchParams.get("startKey"));
            const wait = Number(url.searchParams.get("waitMs") ?? 0);
            if (from >= records.length && wait > 0) {
                await new Promise(resolve => {
                    const wake = () => {
                        waiting.delete(wake);
                        clearTimeout(timer);
                        resolve();
                    };
                    const timer = setTimeout(wake, wait);
                    waiting.add(wake);
                });
            }
            const head = Buffer.alloc(16);
            head.writeBigUInt64BE(BigInt(records.length), 0);
            const parts = records.slice(from).flatMap(content => {
                const length = Buffer.alloc(4);
                length.writeUInt32BE(content.length);
                return [length, content];
            });
            return send(200, Buffer.concat([head, ...parts]));
        }
        if (url.pathname === "/log-append") {
            const at = url.searchParams.get("at");
            if (at !== null && Number(at) !== records.length) {
                return send(412, JSON.stringify({ endOffset: records.length }));
            }
            const body = Buffer.concat(pieces);
            const contents = [];
            for (let position = 0; position < body.length;) {
                const end = position + 4 + body.readUInt32BE(position);
                contents.push(body.subarray(position + 4, end));
                position = end;
            }
            const offset = records.length;
            append(name, contents);
            return send(200, JSON.stringify({ offset, endOffset: records.length }));
        }
        send(404, "");
    });
    await new Promise(resolve => server.listen(0, host, resolve));
    return {
        address: `${host}:${server.address().port}`,
        put: (topic, key, value) => {
            const text = value === undefined ? "" : JSON.stringify(value);
            append(topic, [Buffer.concat([Buffer.from([key.length]), Buffer.from(key), Buffer.from(text)])]);
        },
        close: () => {
            server.closeAllConnections();
            server.close();
        },
    };
}

export const defaultLimits = {
    maxHeaderBytes: 16384,
    maxBodyBytes: 4194304,
    headerTimeoutMs: 3000,
    idleTimeoutMs: 15000,
};

/** A configuration without tenants, of one service and its routes. */
export function configuration(version, service, routes, limits = defaultLimits, backend = undefined) {
    return {
        version,
        routes: routes.map(route => ({
            hostname: "review.example",
            priority: 1,
            service,
            maxAttempts: 1,
            public: true,
            targetLatencyMs: 300,
            timeoutMs: 30000,
            ...route,
        })),
        services: [{
            name: service,
            healthCheckPath: "/healthz",
            maxConnections: 110,
            protocol: "h1",
            tls: false,
            backend,
        }],
        limits,
    };
}

/** The record under which a worker registers itself. */
export function workerRecord(service, address, sequence, state = "ready") {
    return { service, address, zone: "zone-a", version: "v1", slots: 6, state, coldRemainingMs: 0, sequence };
}

/** Writes a worker's record at the usual interval. Returns what stops that. */
export function keepRegistered(store, id, service, address) {
    let sequence = 1;
    const write = () => store.put("keyed.servers", id, workerRecord(service, address, sequence++));
    write();
    const timer = setInterval(write, 1200);
    return () => clearInterval(timer);
}

/** Starts a gateway with the command of the deploy file. */
export async function startGateway(store, folder, options = {}) {
    const [frontend, ready, control, metrics] = await Promise.all([1, 2, 3, 4].map(freePort));
    const name = options.name ?? "edge-zone-a-1";
    const settings = {
        nodeName: name,
        role: "entry",
        machineClass: "edge",
        serves: ["edge", "control_plane"],
        ip: host,
        zone: "zone-a",
        region: "region-a",
        zones: { "zone-a": "region-a" },
        listen: { frontend: `${host}:${frontend}`, ready: `${host}:${ready}`, controlPlane: `${host}:${control}` },
        internalPortRange: [7200, 7215],
        seedNodes: options.seedNodes ?? [`${host}:${control}`],
        bootstrap: true,
        countsAsLoss: false,
        limits: { cpuShare: 0.513, cpuCores: 1, memoryMb: 350, maxFds: 4100, linkMbps: 1000.0, diskMb: 0 },
        dataDir: null,
        discovery: "platform",
        entry: "virtual_ip",
        heartbeatMs: 1200,
        bounds: {
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
        },
        platform: { address: store.address, form: "log", writesPerS: 400, readsPerS: 2000, parts: 12, keep_s: 300 },
    };
    const file = join(folder, `${name}.json`);
    writeFileSync(file, JSON.stringify(settings));
    const [, command] = /\[roles\.entry\]\s+run = "([^"]+)"/.exec(
        readFileSync(join(root, "deploy/system.toml"), "utf8"),
    );
    const [program, ...words] = command.split(" ");
    const child = spawn(program === "node" ? process.execPath : program, words, {
        cwd: root,
        stdio: ["ignore", "pipe", "pipe"],
        env: {
            PATH: process.env.PATH,
            HOME: process.env.HOME,
            VERBENASPRING_SETTINGS: file,
            VERBENASPRING_METRICS_PORT: `${metrics}`,
        },
    });
    let output = "";
    child.stdout.on("data", text => output += text);
    child.stderr.on("data", text => output += text);
    const exited = new Promise(resolve => child.once("exit", (code, signal) => resolve({ code, signal })));
    const gateway = {
        child,
        exited,
        frontend,
        ready,
        control,
        settings,
        file,
        output: () => output,
        isReady: () => probe(ready),
    };
    const deadline = performance.now() + 20_000;
    while (!await gateway.isReady()) {
        if (performance.now() > deadline || child.exitCode !== null) {
            child.kill("SIGKILL");
            throw new Error(`the gateway did not become ready: ${output}`);
        }
        await sleep(50);
    }
    return gateway;
}

/** The status of GET /readyz is 200. */
function probe(port) {
    return new Promise(resolve => {
        const socket = connect(port, host);
        let text = "";
        socket.on("connect", () => socket.write("GET /readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n"));
        socket.on("data", data => text += data);
        socket.on("error", () => resolve(false));
        socket.on("close", () => resolve(text.startsWith("HTTP/1.1 200")));
    });
}

/** Runs a case in a temporary folder; everything given to `own` is ended afterwards. */
export async function runCase(folder, body) {
    const record = createRecord(folder);
    const scratch = mkdtempSync(join(tmpdir(), "review-"));
    const ends = [];
    let code = 2;
    try {
        code = await body({ record, scratch, own: end => ends.push(end) });
    }
    catch (error) {
        record.add(`the case could not run: ${error.stack}`);
    }
    for (const end of ends.reverse()) {
        await end();
    }
    record.add(code === 1 ? "RULE BROKEN" : code === 0 ? "the rule held" : "not run");
    record.write();
    rmSync(scratch, { recursive: true, force: true });
    process.exit(code);
}

/** Ends a gateway that may have ended. */
export function killGateway(gateway) {
    return async () => {
        if (gateway.child.exitCode === null && gateway.child.signalCode === null) {
            gateway.child.kill("SIGCONT");
            gateway.child.kill("SIGKILL");
        }
        await gateway.exited;
    };
}
