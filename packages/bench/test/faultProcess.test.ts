/**
 * The system as real processes with faults. Tests wait for conditions and never for a fixed time.
 */
import {
    type FaultRelay,
    findFreeAddress,
    findTokenMismatch,
    type ProcessCluster,
    sendJsonTo,
    startFaultRelay,
    waitForStatus,
    waitUntil,
} from "@verbenaspring/bench";
import { request } from "undici";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { confirm, countRuns, createSignal, requestPlan, startSmallCluster } from "./clusterBuilders.js";

const test = suite<{ cluster: ProcessCluster; }>("faults");

test.before.each(async context => {
    context.cluster = await startSmallCluster({ entrySettings: { stopGrace: 200 } });
});
test.after.each(context => context.cluster.stop());

/** Requests plans, and resolves to their pending results once each has received its first tokens. */
async function startPlans(cluster: ProcessCluster, count: number, length: number) {
    const signals = Array.from({ length: count }, createSignal);
    const answers = signals.map((signal, index) =>
        requestPlan(cluster.entries[index % 2], `plan-${index}`, length, { onToken: signal.fire })
    );
    await Promise.all(signals.map(signal => signal.done));
    return answers;
}

test("when a sidecar is killed, only its own answers are lost, and they end with that error", async ({ cluster }) => {
    const answers = await startPlans(cluster, 8, 150);
    cluster.backends[0].sidecar.child.kill("SIGKILL");
    const completions = await Promise.all(answers);
    completions.forEach((completion, index) => {
        assert.is(findTokenMismatch(completion.tokens, `plan-${index}`, 0), undefined);
        assert.ok(
            completion.isComplete || completion.failure?.type === "generation_lost",
            JSON.stringify(completion.failure),
        );
    });
    assert.ok(completions.some(completion => completion.isComplete));
    const after = await requestPlan(cluster.entries[0], "after", 10);
    assert.ok(after.isComplete);
});

test("while a sidecar is frozen, requests complete elsewhere and operators see why they waited", async ({ cluster }) => {
    const [{ sidecar }] = cluster.backends;
    sidecar.child.kill("SIGSTOP");
    const completions = await Promise.all(
        Array.from({ length: 6 }, (_, index) => requestPlan(cluster.entries[index % 2], `frozen-${index}`, 20)),
    );
    sidecar.child.kill("SIGCONT");
    completions.forEach((completion, index) => {
        assert.ok(completion.isComplete, JSON.stringify(completion.failure));
        assert.is(findTokenMismatch(completion.tokens, `frozen-${index}`, 0), undefined);
    });
    const waits = await Promise.all(
        cluster.entries.map(entry => cluster.runVerbenactl(["waits", "--json"], "", entry)),
    );
    assert.ok(waits.some(({ output }) => output.includes("link_silent")), "dispatchers see who waited and why");
    await waitUntil("every entry reaches the sidecar again", async () => {
        const { output } = await cluster.runVerbenactl(["revision", "--json"]);
        return (JSON.parse(output) as { sidecars: { connected: boolean; }[]; }).sidecars.every(each => each.connected);
    });
});

test("an entry replaces a link that stays silent, and the answer on it completes", async ({ cluster }) => {
    const relays: FaultRelay[] = [];
    const addresses = new Map<string, string>();
    for (const { backendServer, linkAddress } of cluster.backends) {
        const relay = await startFaultRelay(linkAddress);
        relays.push(relay);
        addresses.set(backendServer, relay.address);
    }
    await cluster.publishInstances([], addresses);
    const fresh = cluster.startEntry(await findFreeAddress(), await findFreeAddress(), []);
    await waitForStatus(`http://${fresh.callerAddress}/ready`);
    const underWay = createSignal();
    const pending = requestPlan(fresh, "silent", 400, { onToken: underWay.fire });
    await underWay.done;
    relays.forEach(relay => relay.silence());
    const completion = await pending;
    relays.forEach(relay => relay.close());
    assert.ok(completion.isComplete, JSON.stringify(completion.failure));
    assert.is(completion.tokens.length, 400);
    assert.is(findTokenMismatch(completion.tokens, "silent", 0), undefined);
});

test("a planned stop of a sidecar cuts off no answer", async ({ cluster }) => {
    const answers = await startPlans(cluster, 8, 150);
    const [{ sidecar }] = cluster.backends;
    sidecar.child.kill("SIGTERM");
    const during = await Promise.all(
        Array.from({ length: 4 }, (_, index) => requestPlan(cluster.entries[index % 2], `during-${index}`, 10)),
    );
    const completions = await Promise.all(answers);
    [...completions, ...during].forEach(completion =>
        assert.ok(completion.isComplete, JSON.stringify(completion.failure))
    );
    assert.is(await sidecar.exited, 0);
});

test("a planned stop of an entry cuts off no answer", async ({ cluster }) => {
    const answers = await startPlans(cluster, 8, 150);
    const [entry] = cluster.entries;
    entry.child.kill("SIGTERM");
    await waitUntil("the entry is no longer ready", async () => {
        const response = await request(`http://${entry.callerAddress}/ready`);
        await response.body.dump();
        return response.statusCode === 503;
    });
    const completions = await Promise.all(answers);
    completions.forEach(completion => assert.ok(completion.isComplete, JSON.stringify(completion.failure)));
    assert.is(await entry.exited, 0);
});

test("during an outage of the log a keyed call is refused as not run, and everything else is served", async ({ cluster }) => {
    await sendJsonTo(`http://${cluster.logAddress}/faults`, "PUT", { outage: true });
    await waitUntil(
        "a keyed call is refused",
        async () => (await confirm(cluster.entries[0], "out", "key-out")).status === 503,
    );
    const refused = await confirm(cluster.entries[0], "out", "key-out");
    assert.equal([refused.body.error?.type, refused.body.error?.outcome], ["log_unavailable", "not_run"]);
    assert.ok(Number(refused.retryAfter) >= 1);
    assert.is(await countRuns(cluster, "out"), 0);
    assert.is((await confirm(cluster.entries[0], "unkeyed")).status, 200);
    assert.ok((await requestPlan(cluster.entries[0], "on", 10)).isComplete);
    const late = cluster.startEntry(
        await findFreeAddress(),
        await findFreeAddress(),
        cluster.entries.map(each => each.operatorAddress),
    );
    await waitForStatus(`http://${late.callerAddress}/ready`);
    assert.ok((await requestPlan(late, "late", 10)).isComplete);
    await sendJsonTo(`http://${cluster.logAddress}/faults`, "PUT", { outage: false });
    await waitUntil(
        "the key can be claimed",
        async () => (await confirm(cluster.entries[0], "out", "key-out")).status === 200,
    );
    assert.is(await countRuns(cluster, "out"), 1);
});

test("a keyed call runs once although the response to the append of its claim is lost", async ({ cluster }) => {
    await sendJsonTo(`http://${cluster.logAddress}/faults`, "PUT", { loseAnswers: true });
    const answer = await confirm(cluster.entries[0], "lost", "key-lost");
    assert.is(answer.status, 200);
    await sendJsonTo(`http://${cluster.logAddress}/faults`, "PUT", { loseAnswers: false });
    await waitUntil(
        "a repeat gets the answer",
        async () => (await confirm(cluster.entries[1], "lost", "key-lost")).status === 200,
    );
    assert.is(await countRuns(cluster, "lost"), 1);
});

test("when a service runs a keyed call and its response is lost, the outcome is unknown and a repeat is not run", async ({ cluster }) => {
    const service = cluster.backends.find(each => each.service === "booking")!;
    await sendJsonTo(`http://${service.backendAddress}/faults`, "PUT", { loseAnswers: true });
    const answer = await confirm(cluster.entries[0], "dies", "key-dies");
    assert.is(answer.body.error?.outcome, "outcome_unknown");
    const again = await confirm(cluster.entries[1], "dies", "key-dies");
    assert.is(again.body.error?.type, "already_accepted");
    assert.is(await countRuns(cluster, "dies"), 1);
});

test.run();
