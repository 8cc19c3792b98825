import { isGatewayProcessReady, waitUntil } from "@verbenaspring/bench";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { GatewayCluster } from "./gatewayCluster.js";

async function withCluster(gateways: number, run: (cluster: GatewayCluster) => Promise<void>): Promise<void> {
    const cluster = await GatewayCluster.start(gateways);
    try {
        await run(cluster);
    }
    finally {
        await cluster.stop();
    }
}

const idsIn = (body: string): number[] => [...body.matchAll(/^id: (\d+)$/gm)].map(match => Number(match[1]));
const upTo = (count: number): number[] => Array.from({ length: count }, (_, index) => index + 1);

test("a call is run once, and its answer and seal reach the caller unchanged", () =>
    withCluster(2, async cluster => {
        const worker = await cluster.addWorker("w1", "plain", 5);
        for (const gateway of cluster.gateways) {
            const answer = await cluster.ask(gateway, "/confirm/1?x=y");
            assert.is(answer.status, 200);
            assert.is(answer.headers["response-seal"], "seal");
            assert.match(answer.body, /^answer to attempt-/);
        }
        assert.equal(worker.runs().map(run => run.path), ["/confirm/1?x=y", "/confirm/1?x=y"]);
        assert.match(worker.runs()[0].body, /^body of attempt-/);
        assert.is((await cluster.ask(cluster.gateways[0], "/nowhere/")).status, 404);
    }));

test("an answer that breaks off is never passed on; only idempotent calls run again", () =>
    withCluster(1, async cluster => {
        const broken = await cluster.addWorker("w1", "plain", 5);
        const sound = await cluster.addWorker("w2", "plain", 5);
        broken.setBehaviour("break");
        for (let call = 0; call < 8; call++) {
            const lookup = await cluster.ask(cluster.gateways[0], "/lookup/1");
            assert.is(lookup.status, 200);
            const confirmed = await cluster.ask(cluster.gateways[0], "/confirm/1");
            assert.ok([200, 502].includes(confirmed.status));
        }
        const confirmations = [...broken.runs(), ...sound.runs()].filter(run => run.path.startsWith("/confirm/"));
        assert.is(new Set(confirmations.map(run => run.callerAttemptId)).size, confirmations.length, "none ran twice");
    }));

test("a call that all workers refuse is refused as not run, and none of them ran it", () =>
    withCluster(1, async cluster => {
        const worker = await cluster.addWorker("w1", "plain", 5);
        worker.setBehaviour("shed");
        const answer = await cluster.ask(cluster.gateways[0], "/confirm/1");
        assert.is(answer.status, 503);
        assert.ok(Number(answer.headers["retry-after"]) > 0);
        assert.equal(worker.runs(), []);
    }));

test("a stream goes on from the copy when its engine crashes: each event once, in order", () =>
    withCluster(2, async cluster => {
        const engines = [
            await cluster.addWorker("e1", "engine", 10, 100),
            await cluster.addWorker("e2", "engine", 10, 100),
        ];
        const asked = cluster.ask(cluster.gateways[0], "/plan/1");
        await waitUntil("a run began", () => engines.some(engine => engine.runs().length > 0));
        await new Promise(resolve => setTimeout(resolve, 300));
        await engines.find(engine => engine.runs().length > 0)!.crash();
        const answer = await asked;
        assert.equal(idsIn(answer.body), upTo(100));
        assert.ok(answer.isComplete);
    }));

test("a stream whose engine crashes without a copy ends as incomplete", () =>
    withCluster(1, async cluster => {
        const engine = await cluster.addWorker("e1", "engine", 10, 200);
        const asked = cluster.ask(cluster.gateways[0], "/plan/1");
        await waitUntil("a run began", () => engine.runs().length > 0);
        await new Promise(resolve => setTimeout(resolve, 200));
        await engine.crash();
        assert.not.ok((await asked).isComplete);
    }));

test("a worker that leaves gets no new work once its notice is known", () =>
    withCluster(2, async cluster => {
        const leaving = await cluster.addWorker("w1", "plain", 5);
        await cluster.addWorker("w2", "plain", 5);
        leaving.drain();
        await Promise.all(cluster.gateways.map(gateway =>
            waitUntil("the notice is known", () => gateway.output().includes("server=w1 change=leaving"))
        ));
        const before = leaving.runs().length;
        for (let call = 0; call < 10; call++) {
            await cluster.ask(cluster.gateways[call % 2], "/confirm/1");
        }
        assert.is(leaving.runs().length, before);
    }));

test("a change of the configuration is in force at all gateways, also after the store's history is gone", () =>
    withCluster(2, async cluster => {
        await cluster.addWorker("w1", "plain", 5);
        const isServed = (path: string) => async (): Promise<boolean> => {
            const answers = await Promise.all(cluster.gateways.map(gateway => cluster.ask(gateway, path)));
            return answers.every(({ status }) => status === 200);
        };
        cluster.configure(2, ["second"]);
        await waitUntil("version 2 is in force", isServed("/second/1"));
        cluster.store.compact("keyed.op");
        cluster.store.compact("keyed.servers");
        cluster.configure(5, ["third"]);
        await waitUntil("version 5 is in force", isServed("/third/1"));
        cluster.configure(3, ["second"]);
        await cluster.addWorker("w2", "plain", 5);
        assert.ok(await isServed("/third/1")(), "an older version changes nothing");
    }));

test("requests are served while the store gives no answer", () =>
    withCluster(1, async cluster => {
        await cluster.addWorker("w1", "plain", 5);
        cluster.store.setBehaviour("silent");
        const [gateway] = cluster.gateways;
        await waitUntil("the store is missed", () => gateway.output().includes("event=topic_lost"));
        assert.is((await cluster.ask(gateway, "/confirm/1")).status, 200);
        cluster.store.setBehaviour("up");
        await waitUntil("the store is back", () => gateway.output().includes("event=topic_regained"));
    }));

test("a planned stop is not ready at once, cuts nothing off, and ends the process; SIGHUP does not", () =>
    withCluster(1, async cluster => {
        await cluster.addWorker("e1", "engine", 20, 100);
        const [gateway] = cluster.gateways;
        const asked = cluster.ask(gateway, "/plan/1");
        await waitUntil("a run began", () => cluster.workers[0].runs().length > 0);
        gateway.child.kill("SIGHUP");
        gateway.child.kill("SIGTERM");
        await waitUntil("it is not ready", async () => !(await isGatewayProcessReady(gateway)));
        const answer = await asked;
        assert.equal(idsIn(answer.body), upTo(100));
        assert.ok(answer.isComplete);
        assert.is(await gateway.exited, 0);
    }));

test("a gateway that was killed is replaced by one that knows the same", () =>
    withCluster(2, async cluster => {
        await cluster.addWorker("w1", "plain", 5);
        cluster.gateways[0].child.kill("SIGKILL");
        await cluster.gateways[0].exited;
        const replacement = await cluster.addGateway();
        assert.is((await cluster.ask(replacement, "/confirm/1")).status, 200);
        assert.is((await cluster.ask(cluster.gateways[1], "/confirm/1")).status, 200);
    }));

test.run();
