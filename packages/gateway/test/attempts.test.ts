import { identifier } from "@verbenaspring/model";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { callsIn, eventsIn, failuresIn, kindsIn, server, TestGateway } from "./gatewayBuilders.js";

const gatewayWithTwoServers = (): TestGateway => TestGateway.serving(server("plain-1"), server("plain-2"));

const refusal = { status: 503, isNotRun: true, isSealed: false };

test("a call that may run only once is not sent again after it may have run, and fails with an unknown outcome", () => {
    const gateway = gatewayWithTwoServers();
    const [failure] = failuresIn(gateway.failAttempt(gateway.sendRequest("r", "confirm")));
    assert.equal([failure.type, failure.outcome], ["backend_server_failed", "outcome_unknown"]);
});

test("a call of which no byte was sent is sent to another server", () => {
    const gateway = gatewayWithTwoServers();
    const first = gateway.sendRequest("r", "confirm");
    const [second] = callsIn(gateway.failAttempt(first, false));
    assert.is.not(second.backendServer, first.backendServer);
});

test("a call that its server refused is sent to another, and fails as not run if all of them refuse", () => {
    const gateway = gatewayWithTwoServers();
    const first = gateway.sendRequest("r", "confirm");
    const [second] = callsIn(gateway.answer(first, refusal));
    assert.is.not(second.backendServer, first.backendServer);
    let effects = gateway.answer(second, refusal);
    for (let [call] = callsIn(effects); call !== undefined; [call] = callsIn(effects)) {
        effects = gateway.answer(call, refusal);
    }
    const [failure] = failuresIn(effects);
    assert.equal([failure.type, failure.outcome], ["overloaded", "not_run"]);
    assert.ok(failure.retryAfter! > 0);
});

test("a status that tells callers that nothing ran is not passed on unless the server states that nothing ran", () => {
    for (const status of [408, 429, 503]) {
        const gateway = gatewayWithTwoServers();
        const effects = gateway.answer(gateway.sendRequest("r", "confirm"), { status });
        assert.not.ok(kindsIn(effects).includes("answerWhole"), String(status));
        assert.equal(failuresIn(effects).map(failure => failure.outcome), ["outcome_unknown"], String(status));
    }
});

test("an idempotent call is sent to another server after a failure, up to the route's number of attempts", () => {
    const gateway = gatewayWithTwoServers();
    const first = gateway.sendRequest("r", "lookup");
    const [second] = callsIn(gateway.answer(first, { status: 500 }));
    assert.is.not(second.backendServer, first.backendServer);
    const effects = gateway.answer(second, { status: 500 });
    assert.equal(callsIn(effects), []);
    assert.ok(kindsIn(effects).includes("answerWhole"), "the server's own error answer is passed on");
});

test("an answer that belongs to another request, has no seal or is encoded is not passed on", () => {
    for (const fault of [{ callerAttemptId: identifier<never>("x") }, { isSealed: false }, { isEncoded: true }]) {
        const gateway = gatewayWithTwoServers();
        const effects = gateway.answer(gateway.sendRequest("r", "confirm"), fault);
        assert.is(failuresIn(effects)[0].outcome, "outcome_unknown");
    }
});

function gatewayWithAllServers(): TestGateway {
    return TestGateway.serving(server("plain-1"), server("plain-2"), server("engine-1"), server("engine-2"));
}

for (const name of ["confirm", "plan"]) {
    for (const callerAttemptId of [identifier<never>("earlier"), undefined]) {
        const named = callerAttemptId ?? "no named request";
        test(`a refusal of ${named} on a used channel does not state that this ${name} did not run`, () => {
            const gateway = gatewayWithAllServers();
            const effects = gateway.answer(gateway.sendRequest("r", name), { ...refusal, callerAttemptId });
            const repeats = callsIn(effects).filter(call => call.continuesFrom === undefined);
            assert.equal(repeats, [], `${name} is not run again`);
            assert.not.ok(failuresIn(effects).some(failure => failure.outcome === "not_run"), name);
        });
    }

    test(`a refusal of no named request on a new channel is one of this ${name}`, () => {
        const gateway = gatewayWithAllServers();
        const answer = { ...refusal, callerAttemptId: undefined, isFirstOnChannel: true };
        assert.is(callsIn(gateway.answer(gateway.sendRequest("r", name), answer)).length, 1);
    });
}

test("an unanswered idempotent call is sent to another server before its deadline", () => {
    const gateway = gatewayWithTwoServers();
    const first = gateway.sendRequest("r", "lookup");
    const [second] = callsIn(gateway.advance(450));
    assert.is.not(second.backendServer, first.backendServer);
    const cancelled = gateway.advance(150).filter(effect => effect.kind === "cancelAttempt");
    assert.equal(cancelled, [{ kind: "cancelAttempt", attemptId: first.attemptId }]);
    assert.ok(kindsIn(gateway.answer(second)).includes("answerWhole"));
});

test("the first of two answers to an idempotent call is passed on, and the other call is cancelled", () => {
    const gateway = gatewayWithTwoServers();
    const first = gateway.sendRequest("r", "lookup");
    const [second] = callsIn(gateway.advance(450));
    const effects = gateway.answer(first);
    assert.equal(kindsIn(effects).filter(kind => kind === "answerWhole").length, 1);
    assert.ok(effects.some(effect => effect.kind === "cancelAttempt" && effect.attemptId === second.attemptId));
    assert.equal(kindsIn(gateway.answer(second)), []);
});

// The first call was cancelled before its repeat was accepted, so that its answer was lost.
test("an unanswered idempotent call whose repeats are refused gets the answer of its first server", () => {
    const gateway = gatewayWithTwoServers();
    const first = gateway.sendRequest("r", "lookup");
    let effects = gateway.advance(400);
    const all = [...effects];
    for (let [repeat] = callsIn(effects); repeat !== undefined; [repeat] = callsIn(effects)) {
        effects = gateway.answer(repeat, refusal);
        all.push(...effects);
    }
    all.push(...gateway.advance(200));
    assert.ok(callsIn(all).length > 1);
    assert.equal(failuresIn(all), []);
    assert.not.ok(kindsIn(all).includes("cancelAttempt"));
    assert.ok(kindsIn(gateway.answer(first)).includes("answerWhole"));
    assert.equal([gateway.state.requests.size, gateway.state.loads.size], [0, 0]);
});

/** Receives an idempotent call, and the first events of its answer: of another type than a stream's, they may have ids. */
function startEventAnswer(ids: readonly (number | undefined)[]) {
    const gateway = gatewayWithTwoServers();
    const call = gateway.sendRequest("r", "lookup");
    gateway.openStream(call);
    gateway.receiveEvents(call, ...ids);
    return { gateway, call };
}

// Callers got the events of both runs as one complete answer.
for (const ids of [[undefined, undefined], [1, 2], [1, undefined]]) {
    test(`an answer to an idempotent call that breaks off after events ${ids.join()} is cut and not run again`, () => {
        const { gateway, call } = startEventAnswer(ids);
        const effects = gateway.failAttempt(call);
        assert.equal(callsIn(effects), []);
        assert.equal(kindsIn(effects), ["answerCut"]);
    });

    test(`an idempotent call is not sent elsewhere while its answer arrives slowly, after events ${ids.join()}`, () => {
        const { gateway, call } = startEventAnswer(ids);
        assert.equal(callsIn(gateway.advance(600)), []);
        assert.ok(kindsIn(gateway.handle({ kind: "streamEnded", attemptId: call.attemptId })).includes("answerEnd"));
    });
}

test("an idempotent call of whose answer only the head came is sent to another server", () => {
    const gateway = gatewayWithTwoServers();
    const call = gateway.sendRequest("r", "lookup");
    gateway.openStream(call);
    const [second] = callsIn(gateway.failAttempt(call));
    gateway.openStream(second);
    assert.equal(eventsIn(gateway.receiveEvents(second, 1, 2)), [1, 2]);
});

test("the events of an answer to a call are passed on as they are, whatever their ids", () => {
    const { gateway, call } = startEventAnswer([]);
    assert.equal(eventsIn(gateway.receiveEvents(call, 1, 2, 2, 1, 5)), [1, 2, 2, 1, 5]);
});

test("a call that may run only once waits for its answer until its deadline", () => {
    const gateway = gatewayWithTwoServers();
    gateway.sendRequest("r", "confirm");
    assert.equal(kindsIn(gateway.advance(700)).filter(kind => kind === "cancelAttempt" || kind === "sendAttempt"), []);
});

test("the retry budget limits the retries of all requests together", () => {
    const gateway = new TestGateway({ retries: { ratio: 0.2, slack: 0, window: 10_000 } });
    const served = gatewayWithTwoServers();
    gateway.state.configuration = served.state.configuration;
    gateway.register(server("plain-1"), server("plain-2"));
    let repeats = 0;
    for (let index = 0; index < 100; index++) {
        repeats += callsIn(gateway.answer(gateway.sendRequest(`r${index}`, "lookup"), { status: 500 })).length;
    }
    assert.ok(repeats > 0 && repeats <= 20, `${repeats} repeats`);
});

test("a server that fails several calls in a row is ejected; half of the servers stay in use", () => {
    const gateway = gatewayWithTwoServers();
    for (let index = 0; index < 12; index++) {
        const call = gateway.sendRequest(`r${index}`, "confirm");
        if (call.backendServer === "plain-1") {
            gateway.failAttempt(call);
        }
    }
    const after = Array.from({ length: 6 }, (_, index) => gateway.sendRequest(`s${index}`, "confirm").backendServer);
    assert.equal([...new Set(after)], ["plain-2"]);
});

test("a server gets no new call once it announces its stop or its registration ends", () => {
    const gateway = gatewayWithTwoServers();
    gateway.register(server("plain-1", { isDraining: true, heartbeat: 2 }));
    const calls = Array.from({ length: 5 }, (_, index) => gateway.sendRequest(`r${index}`, "confirm"));
    assert.ok(calls.every(call => call.backendServer === "plain-2"));
    gateway.register(server("plain-3"));
    gateway.remove("plain-2");
    assert.is(gateway.sendRequest("s", "confirm").backendServer, "plain-3");
});

test("an older heartbeat does not make a leaving server usable again; a new incarnation does", () => {
    const gateway = TestGateway.serving(server("plain-1", { heartbeat: 5, isDraining: true, startedAt: 10 }));
    gateway.register(server("plain-1", { heartbeat: 4, startedAt: 10 }));
    gateway.register(server("plain-1", { heartbeat: 9, startedAt: 9 }));
    assert.equal(callsIn(gateway.receiveRequest("r", "confirm")), []);
    gateway.register(server("plain-1", { heartbeat: 1, startedAt: 11 }));
    assert.is(callsIn(gateway.receiveRequest("s", "confirm")).length, 1);
});

test("a server whose registration lapsed is used for a short time if the service has no other", () => {
    const gateway = TestGateway.serving(server("plain-1"));
    gateway.remove("plain-1");
    assert.is(callsIn(gateway.receiveRequest("r", "confirm")).length, 1);
    gateway.advance(2_000);
    assert.is(failuresIn(gateway.receiveRequest("s", "confirm"))[0].type, "no_backend_server");
});

// The time counted from when the removal was learnt, which may be a second and a half after its acknowledgement.
test("a server whose registration lapsed gets no request that would arrive after its drain limit", () => {
    const reachesAfter = (viewAge: number, wait: number, hasFailedReads = false): boolean => {
        const gateway = TestGateway.serving(server("plain-1"));
        gateway.advance(viewAge);
        if (hasFailedReads) {
            gateway.handle({ kind: "topicReadFailed", topic: "backendServers", failure: "unreachable" });
        }
        gateway.remove("plain-1");
        gateway.now += wait;
        return callsIn(gateway.receiveRequest("r", "confirm")).length === 1;
    };
    assert.is(reachesAfter(400, 1_200), true);
    assert.is(reachesAfter(400, 1_250), false);
    assert.is(reachesAfter(1_500, 100), true);
    assert.is(reachesAfter(1_500, 150), false);
    assert.is(reachesAfter(5_000, 0), false);
    assert.is(reachesAfter(5_000, 1_400, true), true, "the store answered no gateway, and acknowledged nothing");
});

test("a snapshot without a server ends the server's registration", () => {
    const gateway = gatewayWithTwoServers();
    const record = server("plain-2", { heartbeat: 2 });
    gateway.read("backendServers", [gateway.item("plain-2", [{ kind: "backendServer", record }])], true);
    const calls = Array.from({ length: 5 }, (_, index) => gateway.sendRequest(`r${index}`, "confirm"));
    assert.ok(calls.every(call => call.backendServer === "plain-2"));
});

test.run();
