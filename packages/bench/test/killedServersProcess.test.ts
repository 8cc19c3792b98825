/**
 * Servers that are killed while they write whole answers with neither a length nor chunks, on routes of plain services and of
 * engines. The kernel closes their channels as an orderly end does, and accepts connections for as long as a supervisor keeps
 * the listener.
 */
import { waitUntil } from "@verbenaspring/bench";
import { type ChildProcess, fork, spawn } from "node:child_process";
import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { GatewayCluster, type GatewayResponse } from "./gatewayCluster.js";

const program = fileURLToPath(new URL("unframedEngine.ts", import.meta.url));
const execArgv = ["--import", "tsx"];
const pieces = 80;
const firstStart = 1_000;
const calls = 8;

/** The routes, the service of each, and what they are. */
const routes = [
    ["confirm", "plain", "non-idempotent"],
    ["lookup", "plain", "idempotent"],
    ["plan", "engine", "engine"],
] as const;

async function register(cluster: GatewayCluster, service: "plain" | "engine", port: number): Promise<void> {
    putRecord(cluster, service, port, service === "plain" ? undefined : firstStart);
    await cluster.waitUntilKnown(cluster.gateways[0], "x");
}

function putRecord(cluster: GatewayCluster, service: string, port: number, born: number | undefined): void {
    const record = { service, address: `127.0.0.1:${port}`, zone: "near", slots: 64, state: "ready", born };
    cluster.store.put("keyed.servers", "x", record);
}

function sendCalls(cluster: GatewayCluster, path: string): Promise<GatewayResponse[]> {
    const headers = { "body-length": String(pieces) };
    const answers = Array.from({ length: calls }, () => cluster.sendRequest(cluster.gateways[0], path, { headers }));
    return Promise.all(answers);
}

/** How many responses look complete although they are a part of the answer. */
function countParts(responses: readonly GatewayResponse[]): number {
    return responses.filter(({ status, isComplete, body }) => status === 200 && isComplete && body.length < pieces)
        .length;
}

async function withCluster(run: (cluster: GatewayCluster, children: ChildProcess[]) => Promise<void>): Promise<void> {
    const cluster = await GatewayCluster.start(1);
    const children: ChildProcess[] = [];
    try {
        await run(cluster, children);
    }
    finally {
        children.forEach(child => child.kill("SIGKILL"));
        await cluster.stop();
    }
}

// MIXED: the next process answered the health check, and half of an answer was passed on as the whole.
for (const route of ["confirm", "lookup"]) {
    test(`callers get no part of an unframed answer of ${route} as the whole when its server starts again under its id`, () =>
        withCluster(async (cluster, children) => {
            const connections: Socket[] = [];
            const start = async (): Promise<ChildProcess> => {
                const child = fork(program, ["x", String(firstStart)], { execArgv });
                children.push(child);
                await once(child, "message");
                return child;
            };
            let server: ChildProcess | undefined = await start();
            const waiting: Socket[] = [];
            const supervisor = createServer({ pauseOnConnect: true }, socket => {
                connections.push(socket);
                if (server === undefined) {
                    waiting.push(socket);
                }
                else {
                    server.send("connection", socket);
                }
            });
            try {
                await new Promise<void>(resolve => supervisor.listen(0, "127.0.0.1", resolve));
                const { port } = supervisor.address() as AddressInfo;
                putRecord(cluster, "plain", port, firstStart);
                await cluster.waitUntilKnown(cluster.gateways[0], "x");
                const answers = sendCalls(cluster, `/${route}/1`);
                await waitUntil("the calls have begun", () => connections.length >= calls);
                await sleep(200);
                server = undefined;
                children[0].kill("SIGKILL");
                server = await start();
                putRecord(cluster, "plain", port, firstStart + 1);
                waiting.forEach(socket => server?.send("connection", socket));
                assert.is(countParts(await answers), 0);
            }
            finally {
                connections.forEach(socket => socket.destroy());
                supervisor.close();
            }
        }));
}

for (const [route, service, kind] of routes) {
    for (const isReplaced of [false, true]) {
        const supervision = isReplaced ? "starts the server again" : "waits";
        // A connection that the kernel accepts counted as proof that the server had ended its answer itself.
        test(`callers get no part of an unframed ${kind} answer as the whole when a supervisor keeps the listener and ${supervision}`, () =>
            withCluster(async (cluster, children) => {
                const start = (born: number, id: string): ChildProcess =>
                    fork(program, [id, String(born)], { execArgv });
                children.push(start(firstStart, "x"), start(firstStart + 1, "y"));
                let [server]: (ChildProcess | undefined)[] = children;
                const accepted = new Set<Socket>();
                const supervisor = createServer({ pauseOnConnect: true }, socket => {
                    accepted.add(socket);
                    server?.send("connection", socket);
                });
                try {
                    await Promise.all(children.map(child => once(child, "message")));
                    await new Promise<void>(resolve => supervisor.listen(0, "127.0.0.1", resolve));
                    await register(cluster, service, (supervisor.address() as AddressInfo).port);
                    const answers = sendCalls(cluster, `/${route}/1`);
                    await waitUntil("the calls have begun", () => accepted.size >= calls);
                    await sleep(200);
                    server = isReplaced ? children[1] : undefined;
                    children[0].kill("SIGKILL");
                    assert.is(countParts(await answers), 0);
                }
                finally {
                    accepted.forEach(socket => socket.destroy());
                    supervisor.close();
                }
            }));
    }

    test(`callers get an unframed ${kind} answer whole when its server ends it, and no part when it is killed`, () =>
        withCluster(async (cluster, children) => {
            const child = spawn(process.execPath, [...execArgv, program, "x", String(firstStart)], {
                stdio: ["ignore", "pipe", "inherit"],
            });
            children.push(child);
            const [port] = await once(child.stdout, "data") as [Buffer];
            await register(cluster, service, Number(String(port)));
            const responses = await sendCalls(cluster, `/${route}/1`);
            assert.equal(
                responses.map(({ status, body }) => [status, body.length]),
                responses.map(() => [200, pieces]),
            );
            const answers = sendCalls(cluster, `/${route}/1`);
            await sleep(300);
            child.kill("SIGKILL");
            assert.is(countParts(await answers), 0);
        }));
}

test.run();
