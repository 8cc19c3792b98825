import type { BackendCall } from "@verbenaspring/gateway";
import { identifier } from "@verbenaspring/model";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { backendHead, callsIn, eventsIn, failuresIn, GatewayBench, kindsIn, server } from "./gatewayBuilders.js";

const engines = (): GatewayBench => GatewayBench.serving(server("engine-1"), server("engine-2"), server("engine-3"));
/** A plan that is too large for a copy beside it. */
const large = { promptTokens: 9_000, maximumTokens: 500 };

function moved(bench: GatewayBench, call: BackendCall, handle: string | undefined) {
    const result = handle === undefined
        ? { kind: "failed", detail: "no answer" } as const
        : { kind: "moved", handle } as const;
    return bench.take({ kind: "migrationAnswered", attemptId: call.attemptId, result });
}

test("nothing is written before the first event; then head and events in order", () => {
    const bench = engines();
    const call = bench.send("r", "plan");
    assert.equal(kindsIn(bench.open(call)), []);
    assert.equal(kindsIn(bench.events(call, 1, 2)).slice(0, 2), ["answerHead", "answerEvents"]);
});

test("events that the caller has are dropped, and a gap ends the run", () => {
    const bench = engines();
    const call = bench.start("r", "note");
    assert.equal(eventsIn(bench.events(call, 1, 2)), [2]);
    const effects = bench.events(call, 3, 5);
    assert.equal(eventsIn(effects), [3]);
    const [next] = callsIn(effects);
    assert.is(next.lastEvent, 3);
});

test("a stream that may not run again goes on from the copy of its memory", () => {
    const bench = engines();
    const call = bench.start("r", "plan");
    assert.ok(call.replicaAddress !== undefined);
    const [next] = callsIn(bench.fail(call));
    assert.is(next.address, call.replicaAddress);
    assert.equal(next.continuesFrom, { source: call.address, name: call.head.callerAttemptId });
    assert.is(next.lastEvent, 1);
    assert.equal(
        eventsIn(bench.take({
            kind: "streamOpened",
            attemptId: next.attemptId,
            head: backendHead(next),
        })),
        [],
    );
    assert.equal(eventsIn(bench.events(next, 1, 2)), [2]);
});

test("a stream whose server refuses the channel starts elsewhere, and not from a copy that nobody made", () => {
    const bench = engines();
    const call = bench.send("r", "plan");
    assert.ok(call.replicaAddress !== undefined);
    const attemptId = call.attemptId;
    const effects = bench.take({ kind: "attemptFailed", attemptId, failure: "connect_refused", wasSent: false });
    const [next] = callsIn(effects);
    assert.is(next.continuesFrom, undefined);
    assert.is.not(next.address, call.address);
});

test("a stream whose copy's holder refuses the channel is over: no other server has a copy", () => {
    const bench = engines();
    const [next] = callsIn(bench.fail(bench.start("r", "plan")));
    const { attemptId } = next;
    const effects = bench.take({ kind: "attemptFailed", attemptId, failure: "connect_refused", wasSent: false });
    assert.equal(callsIn(effects), []);
    assert.ok(kindsIn(effects).includes("answerCut"));
});

test("a server that refuses a channel gets no other request for a while", () => {
    const bench = engines();
    const { attemptId, backendServer } = bench.send("r", "note");
    bench.take({ kind: "attemptFailed", attemptId, failure: "connect_refused", wasSent: false });
    const chosen = Array.from({ length: 4 }, (_, index) => bench.send(`s${index}`, "note").backendServer);
    assert.not.ok(chosen.includes(backendServer));
});

test("a stream that may not run again and has no copy is cut, never ended as complete", () => {
    const bench = GatewayBench.serving(server("engine-1"));
    const call = bench.start("r", "plan");
    const kinds = kindsIn(bench.fail(call));
    assert.ok(kinds.includes("answerCut"));
    assert.not.ok(kinds.includes("answerEnd"));
});

test("a stream that may run again goes on after the caller's last event", () => {
    const bench = engines();
    const call = bench.start("r", "note", { lastEvent: 0 });
    const [next] = callsIn(bench.fail(call));
    assert.is(next.continuesFrom, undefined);
    assert.is(next.lastEvent, 1);
});

test("copies are only kept where memory stays free", () => {
    const bench = engines();
    assert.is(bench.send("r", "plan", large).replicaAddress, undefined);
});

test("a stream without a copy is moved when its server leaves, and goes on from there", () => {
    const bench = engines();
    const call = bench.start("r", "plan", large);
    const effects = bench.register(server(call.backendServer, { isDraining: true, heartbeat: 2 }));
    const move = effects.find(effect => effect.kind === "migrateRun");
    assert.ok(move !== undefined);
    const answered = moved(bench, call, "h7");
    const [next] = callsIn(answered);
    assert.equal(next.continuesFrom, { source: call.address, name: "h7" });
    assert.ok(kindsIn(answered).includes("cancelAttempt"), "the old run ends before the new one starts");
    assert.ok(kindsIn(answered).indexOf("cancelAttempt") < kindsIn(answered).indexOf("sendAttempt"));
});

test("neither a copy nor a move leads to a server whose notice has been known for long", () => {
    const copied = engines();
    const call = copied.start("r", "plan");
    const holder = copied.state.attempts.get(call.attemptId)!.attempt!.replica!.record;
    copied.register({ ...holder, isDraining: true, heartbeat: 2 });
    copied.pass(1_100);
    assert.equal(callsIn(copied.fail(call)), []);

    const moving = engines();
    const run = moving.start("r", "plan", large);
    const [source] = [...moving.state.servers.values()].filter(({ record }) => record.id === run.backendServer);
    const effects = moving.register({ ...source.record, isDraining: true, heartbeat: 2 });
    const [move] = effects.filter(effect => effect.kind === "migrateRun");
    const target = [...moving.state.servers.values()].find(({ record }) => record.address === move.targetAddress)!;
    moving.register({ ...target.record, isDraining: true, heartbeat: 2 });
    moving.pass(1_100);
    assert.equal(callsIn(moved(moving, run, "copy")), []);
});

test("moves from one server follow each other", () => {
    const bench = GatewayBench.serving(server("engine-1"));
    const calls = ["r", "s"].map(id => bench.start(id, "plan", { promptTokens: 3_000, maximumTokens: 500 }));
    bench.register(server("engine-2"));
    const effects = bench.register(server("engine-1", { isDraining: true, heartbeat: 2 }));
    assert.is(kindsIn(effects).filter(kind => kind === "migrateRun").length, 1);
    const first = effects.find(effect => effect.kind === "migrateRun")!;
    const moving = calls.find(call => first.kind === "migrateRun" && call.attemptId === first.attemptId)!;
    assert.ok(kindsIn(moved(bench, moving, "h1")).includes("migrateRun"));
});

test("a run goes on where it is when its move fails", () => {
    const bench = engines();
    const call = bench.start("r", "plan", large);
    bench.register(server(call.backendServer, { isDraining: true, heartbeat: 2 }));
    assert.equal(callsIn(moved(bench, call, undefined)), []);
    assert.equal(eventsIn(bench.events(call, 2)), [2]);
});

test("a move that was refused goes to other targets, each once, and then stops", () => {
    const bench = GatewayBench.serving(...[1, 2, 3].map(number => server(`engine-${number}`)));
    const call = bench.start("r", "plan", large);
    const source = bench.state.servers.get(call.backendServer)!.record;
    const targets: string[] = [];
    let effects = bench.register({ ...source, isDraining: true, heartbeat: 2 });
    for (let answers = 0; answers < 10; answers++) {
        const next = effects.flatMap(effect => effect.kind === "migrateRun" ? [effect.targetAddress] : []);
        targets.push(...next);
        effects = next.length === 0 ? [] : moved(bench, call, undefined);
    }
    assert.is(targets.length, 2);
    assert.is(new Set(targets).size, 2);
});

test("a stream that finds no target does not hold up the others", () => {
    const bench = GatewayBench.serving(server("engine-1"));
    bench.start("long", "plan", { promptTokens: 7_000, maximumTokens: 2_500 });
    const short = bench.start("short", "plan", { promptTokens: 300, maximumTokens: 500 });
    bench.register(server("engine-2"));
    bench.start("other", "plan", { promptTokens: 4_000, maximumTokens: 500 });
    const source = bench.state.servers.get(short.backendServer)!.record;
    const moves = bench.register({ ...source, isDraining: true, heartbeat: 2 }).filter(({ kind }) =>
        kind === "migrateRun"
    );
    assert.equal(moves.map(effect => effect.kind === "migrateRun" && effect.callerAttemptId), ["short"]);
});

test("a silent run is not given up while its server lives: it may have been pushed aside", () => {
    const bench = engines();
    const call = bench.start("r", "plan");
    const probes = bench.pass(1_300).filter(effect => effect.kind === "probeServer");
    assert.is(probes.length, 1);
    const report = { runs: [{ callerAttemptId: call.head.callerAttemptId, events: 1 }] };
    const effects = bench.take({ kind: "serverProbed", backendServer: call.backendServer, report });
    assert.equal(kindsIn(effects), []);
    assert.equal(eventsIn(bench.events(call, 2)), [2]);
});

test("a silent run goes on elsewhere when its server gives no sign of life", () => {
    const bench = engines();
    const call = bench.start("r", "plan");
    bench.pass(1_300);
    const effects = bench.take({ kind: "serverProbed", backendServer: call.backendServer, report: undefined });
    assert.is(callsIn(effects)[0].address, call.replicaAddress);
});

test("a run that is ahead of its channel goes on elsewhere: the channel is dead", () => {
    const bench = engines();
    const call = bench.start("r", "plan");
    bench.pass(1_300);
    const report = { runs: [{ callerAttemptId: call.head.callerAttemptId, events: 60 }] };
    const effects = bench.take({ kind: "serverProbed", backendServer: call.backendServer, report });
    assert.is(callsIn(effects).length, 1);
});

test("a stream that ends with its route's time is cut", () => {
    const bench = GatewayBench.serving(server("engine-1"));
    const call = bench.start("r", "plan");
    for (let second = 0; second < 38; second++) {
        bench.events(call, second + 2);
        bench.pass(1_000);
    }
    assert.ok(kindsIn(bench.pass(1_100)).includes("answerCut"));
});

test("during a planned stop long streams are refused at once, to return when the balancer has looked away", () => {
    const bench = engines();
    bench.take({ kind: "stopRequested" });
    assert.ok(failuresIn(bench.ask("q", "plan"))[0].retryAfter! >= 3_000);
    bench.pass(3_400);
    const [failure] = failuresIn(bench.ask("r", "plan"));
    assert.equal([failure.type, failure.outcome], ["leaving", "not_run"]);
    assert.ok(failure.retryAfter! < 100);
    assert.is(callsIn(bench.ask("s", "note", { maximumTokens: 10 })).length, 1);
});

test("late in a planned stop only streams are taken whose longest output fits: estimates are often far off", () => {
    const bench = engines();
    bench.take({ kind: "stopRequested" });
    bench.pass(1_000);
    const few = { maximumTokens: 1_000, estimatedTokens: 20 };
    assert.is(callsIn(bench.ask("r", "plan", few)).length, 1);
    bench.pass(2_500);
    assert.is(failuresIn(bench.ask("s", "plan", few))[0].type, "leaving");
    assert.is(callsIn(bench.ask("t", "plan", { maximumTokens: 20 })).length, 1);
});

test("a planned stop waits for streams, and the process exits when the last one is over", () => {
    const bench = engines();
    const call = bench.start("r", "plan");
    bench.take({ kind: "stopRequested" });
    assert.not.ok(kindsIn(bench.pass(4_000)).includes("exit"));
    bench.take({ kind: "streamEnded", attemptId: call.attemptId });
    assert.ok(kindsIn(bench.pass(50)).includes("exit"));
});

test("engines are chosen by what all gateways have at work there", () => {
    const bench = engines();
    const busy = (backendServer: string) => ({
        backendServer: identifier<never>(backendServer),
        inProgress: 3,
        memoryTokens: 6_000,
        waitingTokens: 3_000,
    });
    bench.hear({ loads: [busy("engine-1"), busy("engine-3")] });
    const chosen = Array.from({ length: 3 }, (_, index) => bench.send(`r${index}`, "note").backendServer);
    assert.equal([...new Set(chosen)], ["engine-2"]);
});

test.run();
