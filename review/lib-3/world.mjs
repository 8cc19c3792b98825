/**
 * What the scripts share: a store, gateways as processes, the operator's configuration, registrations of servers, and the
 * record of a run.
 */
import { spawn } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { connect, createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { startStore } from "./store.mjs";

export const pause = ms => new Promise(resolve => setTimeout(resolve, ms));

const root = dirname(dirname(dirname(fileURLToPath(import.meta.url))));
const heartbeatMs = 1_200;

async function freePort() {
    const server = createServer();
    await new Promise(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address();
    await new Promise(resolve => server.close(resolve));
    return port;
}

/** Starts a store, and returns what a script needs of its world. */
export async function startWorld(recordFile) {
    const startedAt = performance.now();
    const lines = [];
    const children = new Set();
    const timers = new Set();
    const folder = mkdtempSync(join(tmpdir(), "review-"));
    const store = await startStore();
    const record = text => lines.push(`${((performance.now() - startedAt) / 1_000).toFixed(3).padStart(8)} s  ${text}`);

    const track = child => {
        children.add(child);
        child.once("exit", () => children.delete(child));
        return child;
    };

    /** Starts a gateway with the command of the deploy file, and waits until it is ready. */
    const startGateway = async (name, { seeds = [], bounds = {}, limits = {} } = {}) => {
        const [frontend, ready, controlPlane] = [await freePort(), await freePort(), await freePort()];
        const address = port => `127.0.0.1:${port}`;
        const settingsFile = join(folder, `${name}.json`);
        writeFileSync(
            settingsFile,
            JSON.stringify({
                nodeName: name,
                role: "entry",
                machineClass: "edge",
                serves: ["edge", "control_plane"],
                ip: "127.0.0.1",
                zone: "z1",
                region: "r1",
                zones: { z1: "r1" },
                listen: { frontend: address(frontend), ready: address(ready), controlPlane: address(controlPlane) },
                seedNodes: seeds.length === 0 ? [address(controlPlane)] : seeds,
                bootstrap: true,
                limits: {
                    cpuShare: 0.513,
                    cpuCores: 1,
                    memoryMb: 200,
                    maxFds: 4100,
                    linkMbps: 1000,
                    diskMb: 0,
                    ...limits,
                },
                dataDir: null,
                discovery: "platform",
                entry: "virtual_ip",
                heartbeatMs,
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
                    retryBudgetRatio: 0.2,
                    retryWindowS: 10,
                    retrySlack: 58,
                    recoveryS: 12,
                    ...bounds,
                },
                platform: { address: store.address, form: "log", writesPerS: 400, readsPerS: 2000, keep_s: 300 },
            }),
        );
        const words = ["--max-old-space-size=110", "--max-semi-space-size=4", "target/start.cjs", "gateway"];
        const child = track(spawn(process.execPath, words, {
            cwd: root,
            env: { PATH: process.env.PATH, HOME: folder, LANG: "C", VERBENASPRING_SETTINGS: settingsFile },
            stdio: ["ignore", "pipe", "inherit"],
        }));
        const log = [];
        child.stdout.on("data", piece => log.push(piece));
        const gateway = {
            name,
            child,
            frontend,
            peerAddress: address(controlPlane),
            settingsFile,
            log: () => Buffer.concat(log).toString(),
            isReady: async () => {
                try {
                    return (await fetch(`http://127.0.0.1:${ready}/readyz`)).status === 200;
                }
                catch {
                    return false;
                }
            },
        };
        child.once("exit", (code, signal) => record(`gateway ${name} ends: ${code ?? signal}`));
        for (let tries = 0; !await gateway.isReady(); tries++) {
            if (tries > 200) {
                throw new Error(`gateway ${name} does not become ready`);
            }
            await pause(50);
        }
        record(`gateway ${name} is ready`);
        return gateway;
    };

    /** Registers a server, as a server does that checks in every `heartbeatMs`; the returned object changes the entry. */
    const register = (id, entry) => {
        let current = { zone: "z1", version: "v1", coldRemainingMs: 0, state: "ready", sequence: 0, ...entry };
        const write = () => {
            current = { ...current, sequence: current.sequence + 1 };
            store.put("keyed.servers", id, current);
        };
        write();
        let timer = setInterval(write, heartbeatMs);
        timers.add(timer);
        return {
            update: change => {
                current = { ...current, ...change };
                write();
            },
            remove: () => {
                clearInterval(timer);
                store.put("keyed.servers", id, undefined);
            },
        };
    };

    const close = () => {
        children.forEach(child => child.kill("SIGKILL"));
        timers.forEach(clearInterval);
        store.close();
        writeFileSync(recordFile, `${lines.join("\n")}\n`);
        rmSync(folder, { recursive: true, force: true });
    };
    process.once("SIGTERM", () => {
        close();
        process.exit(2);
    });

    return {
        store,
        record,
        track,
        startGateway,
        register,
        /** Writes a version of the configuration, with the limits of a small deployment. */
        configure: (version, { routes, services }) =>
            store.put("keyed.op", "config", {
                version,
                routes,
                services,
                limits: {
                    maxHeaderBytes: 16_384,
                    maxBodyBytes: 4_194_304,
                    headerTimeoutMs: 3_000,
                    idleTimeoutMs: 15_000,
                },
                tenants: [{ name: "clinic", apiKeys: ["key-of-clinic"] }],
            }),
        close,
    };
}

/** Runs a script: `body` returns whether the rule held. Sets the exit code 0, 1 or 2. */
export async function runCase(recordFile, body) {
    let world;
    let code = 2;
    try {
        world = await startWorld(recordFile);
        const held = await body(world, process.env.TROUBLE !== "0");
        world.record(held ? "the rule held" : "THE RULE WAS BROKEN");
        code = held ? 0 : 1;
    }
    catch (error) {
        console.error(error);
        world?.record(`the case could not run: ${error.stack}`);
    }
    world?.close();
    process.exit(code);
}

/** A client's channel that is kept for many requests. `send` resolves to the answer, as far as it came. */
export async function openChannel(port) {
    const socket = connect({ host: "127.0.0.1", port, noDelay: true });
    await new Promise((resolve, reject) => {
        socket.once("connect", resolve);
        socket.once("error", reject);
    });
    let received = Buffer.alloc(0);
    let end;
    let wake = () => undefined;
    socket.on("data", piece => {
        received = Buffer.concat([received, piece]);
        wake();
    });
    socket.on("error", error => {
        end ??= error.code ?? "error";
        wake();
    });
    socket.on("end", () => {
        end ??= "closed";
        wake();
    });
    socket.on("close", () => {
        end ??= "closed";
        wake();
    });
    const more = () => new Promise(resolve => wake = resolve);
    const takeAnswer = async () => {
        for (;;) {
            const answer = parseAnswer(received, end);
            if (answer !== undefined) {
                received = received.subarray(answer.length);
                return answer;
            }
            await more();
        }
    };
    return {
        send: ({ method = "POST", path, id, headers = {}, body = "" }) => {
            const fields = {
                "Host": "clinic.example",
                "Attempt-Id": id,
                "Api-Key": "key-of-clinic",
                ...headers,
                ...method === "GET" ? {} : { "Content-Length": Buffer.byteLength(body) },
            };
            const head = Object.entries(fields).map(([name, value]) => `${name}: ${value}\r\n`).join("");
            socket.write(`${method} ${path} HTTP/1.1\r\n${head}\r\n${body}`);
            return takeAnswer();
        },
        isOpen: () => end === undefined,
        close: () => socket.destroy(),
    };
}

/**
 * Parses the first answer. Undefined while more of it is to come; without its end, `isComplete` is false and `end` says how
 * the channel ended.
 */
function parseAnswer(bytes, end) {
    const headEnd = bytes.indexOf("\r\n\r\n");
    if (headEnd === -1) {
        return end === undefined
            ? undefined
            : { status: undefined, headers: {}, body: "", isComplete: false, end, length: bytes.length };
    }
    const [statusLine, ...fieldLines] = bytes.subarray(0, headEnd).toString("latin1").split("\r\n");
    const headers = Object.fromEntries(fieldLines.map(line => {
        const colon = line.indexOf(":");
        return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
    }));
    const status = Number(statusLine.split(" ")[1]);
    const bodyStart = headEnd + 4;
    const result = (raw, isComplete, length) => ({
        status,
        headers,
        raw,
        body: raw.toString(),
        isComplete,
        end,
        length,
    });
    const unfinished = bodyBytes => end === undefined ? undefined : result(bodyBytes, false, bytes.length);
    if (status === 204 || status === 304) {
        return result(Buffer.alloc(0), true, bodyStart);
    }
    if (headers["transfer-encoding"] === "chunked") {
        const parts = [];
        for (let position = bodyStart;;) {
            const lineEnd = bytes.indexOf("\r\n", position);
            const size = lineEnd === -1 ? undefined : parseInt(bytes.subarray(position, lineEnd).toString(), 16);
            if (size === undefined || bytes.length < lineEnd + 2 + size + 2) {
                return unfinished(Buffer.concat(parts));
            }
            if (size === 0) {
                return result(Buffer.concat(parts), true, lineEnd + 4);
            }
            parts.push(bytes.subarray(lineEnd + 2, lineEnd + 2 + size));
            position = lineEnd + 2 + size + 2;
        }
    }
    const rest = bytes.subarray(bodyStart);
    if (headers["content-length"] !== undefined) {
        const length = Number(headers["content-length"]);
        return rest.length < length ? unfinished(rest) : result(rest.subarray(0, length), true, bodyStart + length);
    }
    return end === undefined ? undefined : result(rest, end === "closed", bytes.length);
}
