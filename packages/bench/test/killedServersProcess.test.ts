/**
 * Servers that are killed while they write whole answers with neither a length nor chunks, on routes of plain services and of
 * engines. The kernel closes their channels as an orderly end does, and accepts connections for as long as a supervisor keeps
 * the listener.
 */
import { waitUntil } from "@verbenaspring/bench";
import type { ChildProcess } from "node:child_process";
import { setTimeout as sleep } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { GatewayCluster, type GatewayResponse } from "./gatewayCluster.js";
import { firstStart, forkEngine, spawnEngine, startSupervisor } from "./unframedEngines.js";

const pieces = 80;
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

/** Sends calls to servers behind a supervisor, ends the first server, and returns how many parts look complete. */
async function countPartsAfterKill(
    cluster: GatewayCluster,
    children: ChildProcess[],
    path: string,
    put: (port: number) => void,
    replace: (port: number) => Promise<ChildProcess | undefined>,
): Promise<number> {
    const supervisor = await startSupervisor(children[0]);
    try {
        put(supervisor.port);
        await cluster.waitUntilKnown(cluster.gateways[0], "x");
        const answers = sendCalls(cluster, path);
        await waitUntil("the calls have begun", () => supervisor.connections() >= calls);
        await sleep(200);
        supervisor.passTo(undefined);
        children[0].kill("SIGKILL");
        supervisor.passTo(await replace(supervisor.port));
        return countParts(await answers);
    }
    finally {
        supervisor.close();
    }
}

// MIXED: the next process answered the health check, and half of an answer was passed on as the whole.
for (const route of ["confirm", "lookup"]) {
    test(`callers get no part of an unframed answer of ${route} as the whole when its server starts again under its id`, () =>
        withCluster(async (cluster, children) => {
            const start = async (): Promise<ChildProcess> => {
                const child = await forkEngine("x", firstStart);
                children.push(child);
                return child;
            };
            await start();
            const put = (port: number): void => putRecord(cluster, "plain", port, firstStart);
            const parts = await countPartsAfterKill(cluster, children, `/${route}/1`, put, async port => {
                const next = await start();
                putRecord(cluster, "plain", port, firstStart + 1);
                return next;
            });
            assert.is(parts, 0);
        }));
}

for (const [route, service, kind] of routes) {
    for (const isReplaced of [false, true]) {
        const supervision = isReplaced ? "starts the server again" : "waits";
        // A connection that the kernel accepts counted as proof that the server had ended its answer itself.
        test(`callers get no part of an unframed ${kind} answer as the whole when a supervisor keeps the listener and ${supervision}`, () =>
            withCluster(async (cluster, children) => {
                children.push(await forkEngine("x", firstStart), await forkEngine("y", firstStart + 1));
                const born = service === "plain" ? undefined : firstStart;
                const put = (port: number): void => putRecord(cluster, service, port, born);
                const next = isReplaced ? children[1] : undefined;
                const parts = await countPartsAfterKill(cluster, children, `/${route}/1`, put, async () => next);
                assert.is(parts, 0);
            }));
    }

    test(`callers get an unframed ${kind} answer whole when its server ends it, and no part when it is killed`, () =>
        withCluster(async (cluster, children) => {
            const { child, port } = await spawnEngine("x", firstStart);
            children.push(child);
            await register(cluster, service, port);
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
