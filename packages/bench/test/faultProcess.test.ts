/**
 * Real processes under failure. Conditions are awaited, never slept for.
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
import { askPlan, confirm, createSignal, runsOf, startSmallCluster } from "./clusterBuilders.js";

const test = suite<{ cluster: ProcessCluster; }>("faults");

test.before.each(async context => {
    context.cluster = await startSmallCluster({ entrySettings: { stopGrace: 200 } });
});
test.after.each(context => context.cluster.stop());

/** Asks for plans and resolves once each has had its first tokens. */
async function askUnderWay(cluster: ProcessCluster, count: number, length: number) {
    const signals = Array.from({ length: count }, createSignal);
    const answers = signals.map((signal, index) =>
        askPlan(cluster.entries[index % 2], `way-${index}`, length, { onToken: signal.fire })
    );
    await Promise.all(signals.map(signal => signal.done));
    return answers;
}

test("a sidecar that is killed loses only its own answers, and says so", async ({ cluster }) => {
    const answers = await askUnderWay(cluster, 8, 150);
    cluster.backends[0].sidecar.child.kill("SIGKILL");
    const records = await Promise.all(answers);
    records.forEach((record, index) => {
        assert.is(findTokenMismatch(record.tokens, `way-${index}`, 0), undefined);
        assert.ok(record.isComplete || record.failure?.type === "generation_lost", JSON.stringify(record.failure));
    });
    assert.ok(records.some(record => record.isComplete));
    const after = await askPlan(cluster.entries[0], "after", 10);
    assert.ok(after.isComplete);
});

test("a frozen sidecar's callers hear why they wait, and new work goes elsewhere", async ({ cluster }) => {
    const [{ sidecar }] = cluster.backends;
    sidecar.child.kill("SIGSTOP");
    const records = await Promise.all(
        Array.from({ length: 6 }, (_, index) => askPlan(cluster.entries[index % 2], `frozen-${index}`, 20)),
    );
    sidecar.child.kill("SIGCONT");
    records.forEach((record, index) => {
        assert.ok(record.isComplete, JSON.stringify(record.failure));
        assert.is(findTokenMismatch(record.tokens, `frozen-${index}`, 0), undefined);
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

test("a connection that goes silent for good is left for a new one", async ({ cluster }) => {
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
    const asked = askPlan(fresh, "silent", 400, { onToken: underWay.fire });
    await underWay.done;
    relays.forEach(relay => relay.silence());
    const record = await asked;
    relays.forEach(relay => relay.close());
    assert.ok(record.isComplete, JSON.stringify(record.failure));
    assert.is(record.tokens.length, 400);
    assert.is(findTokenMismatch(record.tokens, "silent", 0), undefined);
});

test("a planned stop of a sidecar cuts off no answer", async ({ cluster }) => {
    const answers = await askUnderWay(cluster, 8, 150);
    const [{ sidecar }] = cluster.backends;
    sidecar.child.kill("SIGTERM");
    const during = await Promise.all(
        Array.from({ length: 4 }, (_, index) => askPlan(cluster.entries[index % 2], `during-${index}`, 10)),
    );
    const records = await Promise.all(answers);
    [...records, ...during].forEach(record => assert.ok(record.isComplete, JSON.stringify(record.failure)));
    assert.is(await sidecar.exited, 0);
});

test("a planned stop of an entry cuts off no answer", async ({ cluster }) => {
    const answers = await askUnderWay(cluster, 8, 150);
    const [entry] = cluster.entries;
    entry.child.kill("SIGTERM");
    await waitUntil("the entry is no longer ready", async () => {
        const response = await request(`http://${entry.callerAddress}/ready`);
        await response.body.dump();
        return response.statusCode === 503;
    });
    const records = await Promise.all(answers);
    records.forEach(record => assert.ok(record.isComplete, JSON.stringify(record.failure)));
    assert.is(await entry.exited, 0);
});

test("while the log is out a keyed call is refused as not run, and all else goes on", async ({ cluster }) => {
    await sendJsonTo(`http://${cluster.logAddress}/faults`, "PUT", { outage: true });
    await waitUntil(
        "a keyed call is refused",
        async () => (await confirm(cluster.entries[0], "out", "key-out")).status === 503,
    );
    const refused = await confirm(cluster.entries[0], "out", "key-out");
    assert.equal([refused.body.error?.type, refused.body.error?.outcome], ["log_unavailable", "not_run"]);
    assert.ok(Number(refused.retryAfter) >= 1);
    assert.is(await runsOf(cluster, "out"), 0);
    assert.is((await confirm(cluster.entries[0], "unkeyed")).status, 200);
    assert.ok((await askPlan(cluster.entries[0], "on", 10)).isComplete);
    const late = cluster.startEntry(
        await findFreeAddress(),
        await findFreeAddress(),
        cluster.entries.map(each => each.operatorAddress),
    );
    await waitForStatus(`http://${late.callerAddress}/ready`);
    assert.ok((await askPlan(late, "late", 10)).isComplete);
    await sendJsonTo(`http://${cluster.logAddress}/faults`, "PUT", { outage: false });
    await waitUntil(
        "the key can be claimed",
        async () => (await confirm(cluster.entries[0], "out", "key-out")).status === 200,
    );
    assert.is(await runsOf(cluster, "out"), 1);
});

test("a claim whose append answer was lost runs its call once", async ({ cluster }) => {
    await sendJsonTo(`http://${cluster.logAddress}/faults`, "PUT", { loseAnswers: true });
    const answer = await confirm(cluster.entries[0], "lost", "key-lost");
    assert.is(answer.status, 200);
    await sendJsonTo(`http://${cluster.logAddress}/faults`, "PUT", { loseAnswers: false });
    await waitUntil(
        "a repeat gets the answer",
        async () => (await confirm(cluster.entries[1], "lost", "key-lost")).status === 200,
    );
    assert.is(await runsOf(cluster, "lost"), 1);
});

test("a service that dies after it acted leaves the outcome unknown, and nothing runs twice", async ({ cluster }) => {
    const service = cluster.backends.find(each => each.service === "booking")!;
    await sendJsonTo(`http://${service.backendAddress}/faults`, "PUT", { loseAnswers: true });
    const answer = await confirm(cluster.entries[0], "dies", "key-dies");
    assert.is(answer.body.error?.outcome, "outcome_unknown");
    const again = await confirm(cluster.entries[1], "dies", "key-dies");
    assert.is(again.body.error?.type, "already_accepted");
    assert.is(await runsOf(cluster, "dies"), 1);
});

test.run();
