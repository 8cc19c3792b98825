/**
 * Gateways as real processes, with stand-ins of the platform's store and backend servers.
 */
import { type GatewayProcess, isGatewayProcessReady, waitUntil } from "@verbenaspring/bench";
import { type PlatformStore, startPlatformStore } from "@verbenaspring/stand-ins";
import { readFileSync, writeFileSync } from "node:fs";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { GatewayCluster, type GatewayResponse } from "./gatewayCluster.js";

async function withCluster(gateways: number, run: (cluster: GatewayCluster) => Promise<void>): Promise<void> {
    const cluster = await GatewayCluster.start(gateways);
    try {
        await run(cluster);
    }
    finally {
        await cluster.stop();
    }
}

const appliedVersions = (gateway: GatewayProcess): number[] =>
    [...gateway.output().matchAll(/event=configuration_applied .*version=(\d+)/g)].map(match => Number(match[1]));
const eventIds = (body: string): number[] => [...body.matchAll(/^id: (\d+)$/gm)].map(match => Number(match[1]));
const idsUpTo = (count: number): number[] => Array.from({ length: count }, (_, index) => index + 1);

test("a call is run once, and its answer and seal reach the caller unchanged", () =>
    withCluster(2, async cluster => {
        const server = await cluster.addServer("w1", "plain", 5);
        for (const gateway of cluster.gateways) {
            const answer = await cluster.sendRequest(gateway, "/confirm/1?x=y");
            assert.is(answer.status, 200);
            assert.is(answer.headers["response-seal"], "seal");
            assert.match(answer.body, /^answer to attempt-/);
        }
        assert.equal(server.runs().map(run => run.path), ["/confirm/1?x=y", "/confirm/1?x=y"]);
        assert.match(server.runs()[0].body, /^body of attempt-/);
        assert.is((await cluster.sendRequest(cluster.gateways[0], "/nowhere/")).status, 404);
    }));

test("a truncated answer is never passed on, and only idempotent calls are retried", () =>
    withCluster(1, async cluster => {
        const broken = await cluster.addServer("w1", "plain", 5);
        const sound = await cluster.addServer("w2", "plain", 5);
        broken.setBehaviour("break");
        for (let call = 0; call < 8; call++) {
            const lookup = await cluster.sendRequest(cluster.gateways[0], "/lookup/1");
            assert.is(lookup.status, 200);
            const confirmed = await cluster.sendRequest(cluster.gateways[0], "/confirm/1");
            assert.ok([200, 502].includes(confirmed.status));
        }
        const confirmations = [...broken.runs(), ...sound.runs()].filter(run => run.path.startsWith("/confirm/"));
        assert.is(
            new Set(confirmations.map(run => run.callerAttemptId)).size,
            confirmations.length,
            "no confirmation ran twice",
        );
    }));

// The engine refused the one call that was to stop the run, which went on to its end beside the next one.
test("a run whose engine breaks the channel, works on and refuses the first stop is stopped all the same", () =>
    withCluster(1, async cluster => {
        const [gateway] = cluster.gateways;
        const engines = await Promise.all(["e1", "e2", "e3"].map(id => cluster.addServer(id, "engine", 60, 80)));
        engines.forEach(engine => engine.setBehaviour("detach"));
        const { isComplete, body } = await cluster.sendRequest(gateway, "/plan/1", { attemptId: "left" });
        assert.ok(isComplete);
        assert.equal(eventIds(body), idsUpTo(80));
        const [left, next] = engines.flatMap(engine => engine.runs())
            .sort((one, other) => one.startedAt - other.startedAt);
        assert.ok(next.continuesFromReplica);
        assert.ok(left.endedAt !== undefined && !left.isComplete, "the run that was left did not end by itself");
        assert.match(gateway.output(), /event=run_stop_answered .*request=left .*status=409 .*isStopped=false/);
        assert.match(gateway.output(), /event=run_stop_answered .*request=left .*isStopped=true/);
    }));

test("a call that every backend server refuses is refused as not run, and none of them ran it", () =>
    withCluster(1, async cluster => {
        const server = await cluster.addServer("w1", "plain", 5);
        server.setBehaviour("shed");
        const answer = await cluster.sendRequest(cluster.gateways[0], "/confirm/1");
        assert.is(answer.status, 503);
        assert.ok(Number(answer.headers["retry-after"]) > 0);
        assert.equal(server.runs(), []);
    }));

test("a stream continues from its replica when its engine crashes, with each event once and in order", () =>
    withCluster(2, async cluster => {
        const engines = [
            await cluster.addServer("e1", "engine", 10, 200),
            await cluster.addServer("e2", "engine", 10, 200),
        ];
        const pending = cluster.sendRequest(cluster.gateways[0], "/plan/1");
        await waitUntil("a run began", () => engines.some(engine => engine.runs().length > 0));
        await new Promise(resolve => setTimeout(resolve, 1_000));
        await engines.find(engine => engine.runs().length > 0)!.crash();
        const answer = await pending;
        assert.equal(eventIds(answer.body), idsUpTo(200));
        assert.ok(answer.isComplete);
    }));

test("a stream whose engine crashes soon after its first event is cut, and runs at no other engine", () =>
    withCluster(2, async cluster => {
        const engines = [
            await cluster.addServer("e1", "engine", 10, 100),
            await cluster.addServer("e2", "engine", 10, 100),
        ];
        const pending = cluster.sendRequest(cluster.gateways[0], "/plan/1");
        await waitUntil("a run began", () => engines.some(engine => engine.runs().length > 0));
        await new Promise(resolve => setTimeout(resolve, 300));
        await engines.find(engine => engine.runs().length > 0)!.crash();
        assert.not.ok((await pending).isComplete);
        assert.is(engines.flatMap(engine => engine.runs()).length, 1);
    }));

test("a stream whose engine crashes without a replica ends as incomplete", () =>
    withCluster(1, async cluster => {
        const engine = await cluster.addServer("e1", "engine", 10, 200);
        const pending = cluster.sendRequest(cluster.gateways[0], "/plan/1");
        await waitUntil("a run began", () => engine.runs().length > 0);
        await new Promise(resolve => setTimeout(resolve, 200));
        await engine.crash();
        assert.not.ok((await pending).isComplete);
    }));

test("a backend server that leaves gets no new work once the gateways know its notice", () =>
    withCluster(2, async cluster => {
        const leaving = await cluster.addServer("w1", "plain", 5);
        await cluster.addServer("w2", "plain", 5);
        leaving.drain();
        await Promise.all(
            cluster.gateways.map(gateway =>
                waitUntil("the notice is known", () => gateway.output().includes("server=w1 change=leaving"))
            ),
        );
        const before = leaving.runs().length;
        for (let call = 0; call < 10; call++) {
            await cluster.sendRequest(cluster.gateways[call % 2], "/confirm/1");
        }
        assert.is(leaving.runs().length, before);
    }));

test("a new configuration takes effect at all gateways, also after the store has dropped its history", () =>
    withCluster(2, async cluster => {
        await cluster.addServer("w1", "plain", 5);
        const isServed = (path: string) => async (): Promise<boolean> => {
            const answers = await Promise.all(cluster.gateways.map(gateway => cluster.sendRequest(gateway, path)));
            return answers.every(({ status }) => status === 200);
        };
        cluster.configure(2, ["second"]);
        await waitUntil("version 2 is in force", isServed("/second/1"));
        cluster.store.compact("keyed.op");
        cluster.store.compact("keyed.servers");
        cluster.configure(5, ["third"]);
        await waitUntil("version 5 is in force", isServed("/third/1"));
        cluster.configure(3, ["second"]);
        await cluster.addServer("w2", "plain", 5);
        assert.ok(await isServed("/third/1")(), "an older version changes nothing");
    }));

test("requests are served while the store doesn't answer", () =>
    withCluster(1, async cluster => {
        await cluster.addServer("w1", "plain", 5);
        cluster.store.setBehaviour("silent");
        const [gateway] = cluster.gateways;
        await waitUntil("the store is noticed as lost", () => gateway.output().includes("event=topic_lost"));
        assert.is((await cluster.sendRequest(gateway, "/confirm/1")).status, 200);
        cluster.store.setBehaviour("up");
        await waitUntil("the store is noticed as regained", () => gateway.output().includes("event=topic_regained"));
    }));

/** Starts an engine and a stream of 100 events at the first gateway, and waits until the stream runs. */
async function startLongStream(cluster: GatewayCluster): Promise<{ readonly answer: Promise<GatewayResponse>; }> {
    await cluster.addServer("e1", "engine", 20, 100);
    const answer = cluster.sendRequest(cluster.gateways[0], "/plan/1");
    await waitUntil("a run began", () => cluster.backendServers[0].runs().length > 0);
    return { answer };
}

test("a planned stop ends readiness at once, cuts off no stream and ends the process, which SIGHUP does not", () =>
    withCluster(1, async cluster => {
        const [gateway] = cluster.gateways;
        const pending = await startLongStream(cluster);
        gateway.child.kill("SIGHUP");
        gateway.child.kill("SIGTERM");
        await waitUntil("the gateway is not ready", async () => !(await isGatewayProcessReady(gateway)));
        const answer = await pending.answer;
        assert.equal(eventIds(answer.body), idsUpTo(100));
        assert.ok(answer.isComplete);
        assert.is(await gateway.exited, 0);
    }));

// A second SIGTERM ended the process at once, with the answers that it still passed on.
test("a planned stop goes on after a second SIGTERM", () =>
    withCluster(1, async cluster => {
        const [gateway] = cluster.gateways;
        const pending = await startLongStream(cluster);
        gateway.child.kill("SIGTERM");
        await waitUntil("the gateway is not ready", async () => !(await isGatewayProcessReady(gateway)));
        gateway.child.kill("SIGTERM");
        assert.equal(eventIds((await pending.answer).body), idsUpTo(100));
        assert.is(await gateway.exited, 0);
    }));

// The gateway went on reading at the address that it was started with, and never learned a configuration again.
test("a changed address of the store takes effect, with a signal and without", () =>
    withCluster(1, async cluster => {
        const [gateway] = cluster.gateways;
        const moves: PlatformStore[] = [];
        let store = cluster.store;
        try {
            for (const [version, signal] of [[2, "SIGHUP"], [3, undefined]] as const) {
                const moved = await startPlatformStore();
                moves.push(moved);
                for (let earlier = 1; earlier < version; earlier++) {
                    cluster.configure(earlier, [], moved);
                }
                store.setBehaviour("silent");
                const settings = readFileSync(gateway.settingsFile, "utf8");
                writeFileSync(gateway.settingsFile, settings.replace(store.address, moved.address));
                if (signal !== undefined) {
                    gateway.child.kill(signal);
                }
                cluster.configure(version, [], moved);
                await waitUntil(`version ${version} is applied`, () => appliedVersions(gateway).includes(version));
                store = moved;
            }
        }
        finally {
            await Promise.all(moves.map(moved => moved.close()));
        }
    }));

test("a gateway that replaces a killed one serves the same routes and backend servers", () =>
    withCluster(2, async cluster => {
        await cluster.addServer("w1", "plain", 5);
        cluster.gateways[0].child.kill("SIGKILL");
        await cluster.gateways[0].exited;
        const replacement = await cluster.addGateway();
        assert.is((await cluster.sendRequest(replacement, "/confirm/1")).status, 200);
        assert.is((await cluster.sendRequest(cluster.gateways[1], "/confirm/1")).status, 200);
    }));

test.run();
