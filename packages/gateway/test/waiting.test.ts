import type { BackendCall } from "@verbenaspring/gateway";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { callsIn, failuresIn, server, TestGateway } from "./gatewayBuilders.js";

/** Two such plans fill the memory of one engine, 10,000 tokens. */
const plan = { promptTokens: 4_000, maximumTokens: 500 };

function gatewayWithFullEngine(): TestGateway {
    const gateway = TestGateway.serving(server("engine-1"));
    gateway.startStream("p1", "plan", plan);
    gateway.startStream("p2", "plan", plan);
    // With streams of half a second, memory is forecast to be free soon.
    gateway.state.meanStreamDuration = 500;
    return gateway;
}

test("a request that does not fit waits, and starts as soon as memory is free", () => {
    const gateway = TestGateway.serving(server("engine-1"));
    gateway.state.meanStreamDuration = 30;
    const first = gateway.startStream("p1", "plan", plan);
    gateway.startStream("p2", "plan", plan);
    assert.equal(callsIn(gateway.receiveRequest("p3", "plan", plan)), []);
    assert.is(gateway.state.waiting.size, 1);
    const ended = gateway.handle({ kind: "streamEnded", attemptId: first.attemptId });
    assert.is(callsIn([...ended, ...gateway.advance(50)]).length, 1);
    assert.is(gateway.state.waiting.size, 0);
});

test("a request is refused at once if memory is forecast too late, with the forecast as the time to retry", () => {
    const gateway = gatewayWithFullEngine();
    gateway.state.meanStreamDuration = 8_000;
    const [failure] = failuresIn(gateway.receiveRequest("p3", "plan", plan));
    assert.equal([failure.type, failure.outcome], ["overloaded", "not_run"]);
    assert.ok(failure.retryAfter! >= 4_000, String(failure.retryAfter));
});

test("a request that waited in vain is refused while it can still be on time elsewhere, not at its deadline", () => {
    const gateway = TestGateway.serving(server("engine-1"));
    gateway.state.meanStreamDuration = 30;
    gateway.startStream("p1", "plan", plan);
    gateway.startStream("p2", "plan", plan);
    gateway.receiveRequest("p3", "plan", plan);
    const askedAt = gateway.now;
    const failures = failuresIn(gateway.advance(100));
    assert.is(failures.length, 1);
    assert.is(failures[0].outcome, "not_run");
    assert.ok(gateway.now - askedAt <= 100);
    assert.is(gateway.state.requests.size, 2);
});

test("short work starts while long work waits for memory", () => {
    const gateway = TestGateway.serving(server("engine-1"));
    gateway.state.meanStreamDuration = 30;
    gateway.startStream("p1", "plan", plan);
    gateway.startStream("p2", "plan", plan);
    gateway.receiveRequest("p3", "plan", plan);
    const short = { promptTokens: 300, maximumTokens: 40 };
    assert.is(callsIn(gateway.receiveRequest("n1", "note", short)).length, 1);
});

test("while memory is short, small requests start only while the largest of their kind could", () => {
    const gateway = TestGateway.serving(server("engine-1"), server("engine-2"));
    gateway.state.meanStreamDuration = 30;
    const runs = ["p1", "p2", "p3", "p4"].map(id =>
        gateway.startStream(id, "note", { promptTokens: 3_000, maximumTokens: 500 })
    );
    assert.equal(callsIn(gateway.receiveRequest("large", "note", { promptTokens: 4_500, maximumTokens: 500 })), []);
    gateway.handle({ kind: "callerLeft", requestId: gateway.state.waiting.keys().next().value! });
    const small = { promptTokens: 300, maximumTokens: 40 };
    assert.equal(callsIn(gateway.receiveRequest("s1", "note", small)), [], "though it would fit");
    const ended = gateway.handle({ kind: "streamEnded", attemptId: runs[0].attemptId });
    assert.is(callsIn([...ended, ...gateway.advance(50)]).length, 1, "a large one would fit now");
});

test("the request of a caller that leaves while it waits is dropped", () => {
    const gateway = TestGateway.serving(server("engine-1"));
    gateway.state.meanStreamDuration = 30;
    const first = gateway.startStream("p1", "plan", plan);
    gateway.startStream("p2", "plan", plan);
    gateway.receiveRequest("p3", "plan", plan);
    gateway.handle({ kind: "callerLeft", requestId: gateway.state.waiting.keys().next().value! });
    assert.is(gateway.state.waiting.size, 0);
    gateway.handle({ kind: "streamEnded", attemptId: first.attemptId });
    assert.equal(callsIn(gateway.advance(50)), []);
});

test("an idle engine accepts any request, since waiting would not free more memory", () => {
    const gateway = TestGateway.serving(server("engine-1"));
    assert.is(callsIn(gateway.receiveRequest("p1", "plan", { promptTokens: 9_900, maximumTokens: 2_000 })).length, 1);
});

test("a stream that continues after the loss of its server does not wait behind new requests", () => {
    const gateway = TestGateway.serving(server("engine-1"), server("engine-2"));
    const note = gateway.startStream("n1", "note", { promptTokens: 4_000, maximumTokens: 500 });
    for (const id of ["p1", "p2", "p3"]) {
        gateway.receiveRequest(id, "plan", plan);
    }
    assert.is(callsIn(gateway.failAttempt(note)).length, 1);
});

test("a request does not start on memory that others wait for, unless there is enough for all", () => {
    const starts = (waitingRequests: number): number => {
        let started = 0;
        for (let index = 0; index < 40; index++) {
            const gateway = TestGateway.serving(server("engine-1"), server("engine-2"));
            gateway.now += index;
            gateway.state.meanStreamDuration = 30;
            // Advances the random numbers, which are the same for each gateway.
            Array.from({ length: index }, () => gateway.sendRequest(`c${index}`, "confirm"));
            gateway.receiveReport({ waitingRequests });
            started += callsIn(gateway.receiveRequest("p", "plan", plan)).length;
        }
        return started;
    };
    assert.is(starts(0), 40);
    const shared = starts(19);
    assert.ok(shared > 0 && shared < 25, `${shared} of 40 started, with room for 4 and 19 others that wait`);
});

/** A request that is accepted 5.5 s into a planned stop, which its greatest output allows, and waits for memory. */
function waitingInStop(): { readonly gateway: TestGateway; readonly first: BackendCall; } {
    const gateway = TestGateway.serving(server("engine-1"));
    gateway.completeStream("earlier", "plan");
    gateway.state.meanStreamDuration = 30;
    const first = gateway.startStream("p1", "plan", plan);
    const second = gateway.startStream("p2", "plan", plan);
    gateway.handle({ kind: "stopRequested" });
    for (let event = 2; event <= 56; event++) {
        gateway.advance(100);
        gateway.receiveEvents(first, event);
        gateway.receiveEvents(second, event);
    }
    gateway.receiveRequest("p3", "plan", { promptTokens: 4_000, maximumTokens: 40 });
    assert.is(gateway.state.waiting.size, 1);
    return { gateway, first };
}

// It was started, though it was known by then that the stop could cut it.
test("a request that has waited in a planned stop until it can't be known to end any more is refused as not run", () => {
    const { gateway, first } = waitingInStop();
    gateway.now += 500;
    const effects = [...gateway.handle({ kind: "streamEnded", attemptId: first.attemptId }), ...gateway.advance(50)];
    assert.equal(callsIn(effects), []);
    assert.equal(failuresIn(effects).map(({ type, outcome }) => [type, outcome]), [["leaving", "not_run"]]);
});

test("a request that a server refuses late in a planned stop is not sent again if it can't be known to end any more", () => {
    const gateway = TestGateway.serving(server("engine-1"), server("engine-2"));
    gateway.completeStream("earlier", "plan");
    gateway.handle({ kind: "stopRequested" });
    // Keeps the process running.
    gateway.handle({ kind: "unsentAnswers", count: 1 });
    gateway.advance(5_500);
    const call = gateway.sendRequest("r", "plan", { promptTokens: 400, maximumTokens: 40 });
    gateway.advance(500);
    const effects = gateway.answer(call, { status: 503, isNotRun: true, isSealed: false });
    assert.equal(callsIn(effects), []);
    assert.equal(failuresIn(effects).map(({ type, outcome }) => [type, outcome]), [["leaving", "not_run"]]);
});

test.run();
