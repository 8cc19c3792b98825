/**
 * Engines that end while they write streams with neither a length nor chunks. The kernel closes the channels of a process
 * that is killed as an orderly end does, and accepts connections until the last process that holds the listener has closed
 * it. An engine that exits ends its streams itself, or exits once they are complete.
 */
import { waitUntil } from "@verbenaspring/bench";
import type { ChildProcess } from "node:child_process";
import { setTimeout as pause } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { GatewayCluster, type GatewayResponse } from "./gatewayCluster.js";
import { engineRecord, firstStart, forkEngine, spawnEngine, startSupervisor } from "./unframedEngines.js";

const length = 4_000;
/** The drain limit of the gateways' settings. */
const drainLimit = 2_000;
/** From the end of an engine's drain limit to its exit once its streams are complete. */
const exitDelay = 150;

function lengthField(events: number): Readonly<Record<string, string>> {
    return { "stream-length": String(events) };
}

function idsOf({ body }: GatewayResponse): number[] {
    return [...body.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id));
}

/** Registers an engine, and waits until the gateway knows it. */
async function register(
    cluster: GatewayCluster,
    id: string,
    port: number,
    born: number | undefined,
): Promise<void> {
    cluster.store.put("keyed.servers", id, engineRecord(port, born, "ready"));
    await cluster.waitUntilKnown(cluster.gateways[0], id);
}

/** Starts an engine with a listener of its own, and returns its port. */
async function startEngine(
    cluster: GatewayCluster,
    id: string,
): Promise<{ readonly engine: ChildProcess; readonly port: number; }> {
    const { child, port } = await spawnEngine(id, firstStart);
    await register(cluster, id, port, firstStart);
    return { engine: child, port };
}

/** What the gateway learnt of the streams that it passed on as complete, for the message of a failure. */
function checksIn({ gateways: [gateway] }: GatewayCluster): string {
    return gateway.output().split("\n").filter(line => line.includes("verdict=complete")).join("\n");
}

/** Sends streams, calls `kill` once all have begun, and returns what callers got. */
async function killUnderStreams(
    cluster: GatewayCluster,
    streams: number,
    kill: () => void | Promise<void>,
): Promise<GatewayResponse[]> {
    let begun = 0;
    const headers = lengthField(length);
    const answers = Array.from(
        { length: streams },
        () => cluster.sendRequest(cluster.gateways[0], "/plan/1", { headers, onHead: () => begun++ }),
    );
    await waitUntil("the streams have begun", () => begun === streams);
    await kill();
    const responses = await Promise.all(answers);
    assert.ok(responses.every(response => idsOf(response).length < length));
    return responses;
}

test("callers get no part of an unframed stream as a complete one when its engine is killed", async () => {
    const cluster = await GatewayCluster.start(1);
    const kills = 4;
    const children: ChildProcess[] = [];
    try {
        for (let kill = 0; kill < kills; kill++) {
            const id = `x${kill}`;
            const { engine } = await startEngine(cluster, id);
            children.push(engine);
            const responses = await killUnderStreams(cluster, 60, () => void engine.kill("SIGKILL"));
            assert.is(responses.filter(({ isComplete }) => isComplete).length, 0, checksIn(cluster));
            cluster.store.put("keyed.servers", id, undefined);
            const line = `server=${id} change=removed`;
            await waitUntil(`${id} is gone`, () => cluster.gateways[0].output().includes(line));
        }
    }
    finally {
        children.forEach(child => child.kill("SIGKILL"));
        await cluster.stop();
    }
});

/** The arguments of an engine and of the one that replaces it; undefined if nothing does. */
const supervisions = [
    ["waits", ["x", firstStart], undefined],
    ["starts the engine again", ["x", firstStart], ["x", firstStart + 1]],
    ["starts another engine, and neither states its start", ["x", undefined], ["y", undefined]],
] as const;

for (const [name, first, second] of supervisions) {
    // A connection that the kernel accepts counted as proof that the engine had ended the stream itself.
    test(`callers get no part of an unframed stream as a complete one when a supervisor keeps the listener and ${name}`, async () => {
        const cluster = await GatewayCluster.start(1);
        const engines = [first, ...(second === undefined ? [] : [second])];
        const children = await Promise.all(engines.map(([id, born]) => forkEngine(id, born)));
        const supervisor = await startSupervisor(children[0]);
        try {
            await register(cluster, "x", supervisor.port, first[1]);
            const responses = await killUnderStreams(cluster, 8, () => {
                supervisor.passTo(children[1]);
                children[0].kill("SIGKILL");
            });
            assert.is(responses.filter(({ isComplete }) => isComplete).length, 0, checksIn(cluster));
        }
        finally {
            children.forEach(child => child.kill("SIGKILL"));
            supervisor.close();
            await cluster.stop();
        }
    });
}

/** Has an engine leave, and waits until the gateway knows it. */
async function leave(cluster: GatewayCluster, port: number): Promise<void> {
    cluster.store.put("keyed.servers", "x", engineRecord(port, firstStart, "draining"));
    const line = "server=x change=leaving";
    await waitUntil("the engine leaves", () => cluster.gateways[0].output().includes(line));
}

/** How engines exit: how long after the gateway knows that they leave, and by which signal. */
const exits = [
    ["leaves and exits", 0, "SIGTERM"],
    ["exits after its drain limit", drainLimit, "SIGTERM"],
    ["exits after its drain limit and ends them one after the other", drainLimit, "SIGUSR2"],
] as const;

// ORDER: its report lists no run, as after complete streams, or those that it has not ended yet.
for (const [name, delay, signal] of exits) {
    test(`callers get no part of an unframed stream as a complete one when its engine ${name}`, async () => {
        const cluster = await GatewayCluster.start(1);
        const { engine, port } = await startEngine(cluster, "x");
        try {
            const responses = await killUnderStreams(cluster, 8, async () => {
                await leave(cluster, port);
                await pause(delay);
                engine.kill(signal);
            });
            assert.is(responses.filter(({ isComplete }) => isComplete).length, 0, checksIn(cluster));
        }
        finally {
            engine.kill("SIGKILL");
            await cluster.stop();
        }
    });
}

// LOST: the engine was asked once more a second after the end, and its whole streams were cut.
test("callers get unframed streams whole that end within the drain limit of an engine that exits a moment later", async () => {
    const cluster = await GatewayCluster.start(1);
    const { engine, port } = await startEngine(cluster, "x");
    const events = 150;
    let begun = 0;
    try {
        const options = { headers: lengthField(events), onHead: () => begun++ };
        const answers = Promise.all(
            Array.from({ length: 8 }, () => cluster.sendRequest(cluster.gateways[0], "/plan/1", options)),
        );
        await waitUntil("the streams have begun", () => begun === 8);
        const exit = pause(drainLimit + exitDelay).then(() => engine.kill("SIGKILL"));
        await leave(cluster, port);
        const responses = await answers;
        await exit;
        assert.equal(responses.map(response => idsOf(response).length), responses.map(() => events));
        assert.equal(responses.map(({ isComplete }) => isComplete), responses.map(() => true));
    }
    finally {
        engine.kill("SIGKILL");
        await cluster.stop();
    }
});

test("callers get an unframed stream whole when its engine ends it", async () => {
    const cluster = await GatewayCluster.start(1);
    const { engine } = await startEngine(cluster, "x");
    try {
        const lengths = Array.from({ length: 20 }, (_, index) => index + 1);
        const responses = await Promise.all(
            lengths.map(events =>
                cluster.sendRequest(cluster.gateways[0], "/plan/1", { headers: lengthField(events) })
            ),
        );
        assert.equal(responses.map(({ isComplete }) => isComplete), lengths.map(() => true));
        assert.equal(responses.map(response => idsOf(response).length), lengths);
    }
    finally {
        engine.kill("SIGKILL");
        await cluster.stop();
    }
});

test.run();
