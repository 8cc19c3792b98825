import { test } from "uvu";
import * as assert from "uvu/assert";
import { callsIn, failuresIn, GatewayBench, server } from "./gatewayBuilders.js";

/** One engine whose memory, 10,000 tokens, a few plans fill. */
const plan = { promptTokens: 4_000, maximumTokens: 500 };

function fullEngine(): GatewayBench {
    const bench = GatewayBench.serving(server("engine-1"));
    bench.start("p1", "plan", plan);
    bench.start("p2", "plan", plan);
    // Streams take half a second here, so that room is forecast soon.
    bench.state.meanStreamDuration = 500;
    return bench;
}

test("work that does not fit waits, and starts as soon as memory is free", () => {
    const bench = GatewayBench.serving(server("engine-1"));
    bench.state.meanStreamDuration = 30;
    const first = bench.start("p1", "plan", plan);
    bench.start("p2", "plan", plan);
    assert.equal(callsIn(bench.ask("p3", "plan", plan)), []);
    assert.is(bench.state.waiting.size, 1);
    const ended = bench.take({ kind: "streamEnded", attemptId: first.attemptId });
    assert.is(callsIn([...ended, ...bench.pass(50)]).length, 1);
    assert.is(bench.state.waiting.size, 0);
});

test("a burst beyond what the engine holds is refused at once, with the time at which room is forecast", () => {
    const bench = fullEngine();
    bench.state.meanStreamDuration = 8_000;
    const [failure] = failuresIn(bench.ask("p3", "plan", plan));
    assert.equal([failure.type, failure.outcome], ["overloaded", "not_run"]);
    assert.ok(failure.retryAfter! >= 4_000, String(failure.retryAfter));
});

test("work that waited in vain is refused while it could still be on time elsewhere, not at its deadline", () => {
    const bench = GatewayBench.serving(server("engine-1"));
    bench.state.meanStreamDuration = 30;
    bench.start("p1", "plan", plan);
    bench.start("p2", "plan", plan);
    bench.ask("p3", "plan", plan);
    const askedAt = bench.now;
    const failures = failuresIn(bench.pass(100));
    assert.is(failures.length, 1);
    assert.is(failures[0].outcome, "not_run");
    assert.ok(bench.now - askedAt <= 100);
    assert.is(bench.state.requests.size, 2);
});

test("short work starts beside long work that waits for memory", () => {
    const bench = GatewayBench.serving(server("engine-1"));
    bench.state.meanStreamDuration = 30;
    bench.start("p1", "plan", plan);
    bench.start("p2", "plan", plan);
    bench.ask("p3", "plan", plan);
    const short = { promptTokens: 300, maximumTokens: 40 };
    assert.is(callsIn(bench.ask("n1", "note", short)).length, 1);
});

test("a caller that leaves while its request waits is forgotten", () => {
    const bench = GatewayBench.serving(server("engine-1"));
    bench.state.meanStreamDuration = 30;
    const first = bench.start("p1", "plan", plan);
    bench.start("p2", "plan", plan);
    bench.ask("p3", "plan", plan);
    bench.take({ kind: "callerLeft", requestId: bench.state.waiting.keys().next().value! });
    assert.is(bench.state.waiting.size, 0);
    bench.take({ kind: "streamEnded", attemptId: first.attemptId });
    assert.equal(callsIn(bench.pass(50)), []);
});

test("an idle engine takes whatever comes, since waiting can't help", () => {
    const bench = GatewayBench.serving(server("engine-1"));
    assert.is(callsIn(bench.ask("p1", "plan", { promptTokens: 9_900, maximumTokens: 2_000 })).length, 1);
});

test("a stream that goes on after its server was lost does not wait behind new work", () => {
    const bench = GatewayBench.serving(server("engine-1"), server("engine-2"));
    const note = bench.start("n1", "note", { promptTokens: 4_000, maximumTokens: 500 });
    for (const id of ["p1", "p2", "p3"]) {
        bench.ask(id, "plan", plan);
    }
    assert.is(callsIn(bench.fail(note)).length, 1);
});

test.run();
