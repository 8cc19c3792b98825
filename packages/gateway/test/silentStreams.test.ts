import type { BackendCall, GatewayEffect, ServerReport } from "@verbenaspring/gateway";
import { type FailureDomain, identifier } from "@verbenaspring/model";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { callsIn, eventsIn, kindsIn, server, TestGateway } from "./gatewayBuilders.js";

const report: ServerReport = { runs: [], isLeaving: false, startedAt: undefined };

/** A stream that was silent and whose server did not answer a probe, or reported that many events. */
function continueSilentStream(routeName = "plan", reportedEvents?: number) {
    const gateway = TestGateway.serving(server("engine-1"), server("engine-2"), server("engine-3"));
    const call = gateway.startReplicatedStream("r", routeName);
    const effects = [...gateway.advance(1_300), ...probe(gateway, call, reportedEvents)];
    return { gateway, call, continued: callsIn(effects)[0], effects };
}

/** Has the server of a call report so many events of its run, or no answer to a probe. */
function probe(gateway: TestGateway, { backendServer, head }: BackendCall, events?: number): GatewayEffect[] {
    const runs = [{ callerAttemptId: head.callerAttemptId, events: events ?? 0 }];
    return gateway.handle({
        kind: "serverProbed",
        backendServer,
        report: events === undefined ? undefined : { ...report, runs },
    });
}

const cancelledIn = (effects: readonly GatewayEffect[]) =>
    effects.flatMap(effect => effect.kind === "cancelAttempt" ? [effect.attemptId] : []);
const isCut = (effects: readonly GatewayEffect[]): boolean => kindsIn(effects).includes("answerCut");

/** Receives the rest of a stream, which is then complete and leaves nothing in the state. */
function assertGoesOn(gateway: TestGateway, call: BackendCall): void {
    assert.equal(eventsIn(gateway.receiveEvents(call, 17, 18)), [17, 18]);
    assert.ok(kindsIn(gateway.handle({ kind: "streamEnded", attemptId: call.attemptId })).includes("answerEnd"));
    const { requests, attempts, silentAttempts, loads } = gateway.state;
    assert.equal([requests.size, attempts.size, silentAttempts.size, loads.size], [0, 0, 0, 0]);
}

// Servers that stood still for 2 s went on after their streams had been cut.
for (
    const [name, fail] of [
        [
            "is refused",
            (gateway: TestGateway, call: BackendCall) =>
                gateway.answer(call, { status: 503, isNotRun: true, isSealed: false }),
        ],
        [
            "is refused by its head",
            (gateway: TestGateway, call: BackendCall) =>
                gateway.openStream(call, { status: 503, isNotRun: true, isSealed: false }),
        ],
        [
            "gets no channel",
            (gateway: TestGateway, { attemptId }: BackendCall) =>
                gateway.handle({ kind: "attemptFailed", attemptId, failure: "connect_refused", wasSent: false }),
        ],
        ["loses its channel", (gateway: TestGateway, call: BackendCall) => gateway.failAttempt(call)],
    ] as const
) {
    for (const reportedEvents of [undefined, 60]) {
        const probed = reportedEvents === undefined ? "the probe fails" : "its run is reported to be ahead";
        test(`a silent stream goes on at its server if ${probed} and the continuation ${name}`, () => {
            const { gateway, call, continued, effects } = continueSilentStream("plan", reportedEvents);
            assert.is(continued.address, call.replicaAddress);
            const failed = fail(gateway, continued);
            assert.not.ok(isCut(failed));
            assert.not.ok(cancelledIn([...effects, ...failed]).includes(call.attemptId));
            assertGoesOn(gateway, call);
        });
    }
}

// All engines stood still together for 1.7 to 3.7 s, and refused the continuations when they went on.
test("a silent stream goes on at its server if all servers were silent together", () => {
    const { gateway, call, continued } = continueSilentStream();
    const effects = gateway.advance(600);
    const [holderProbe] = effects.filter(effect => effect.kind === "probeServer");
    assert.is(holderProbe.kind === "probeServer" && holderProbe.backendServer, continued.backendServer);
    effects.push(...probe(gateway, continued), ...gateway.advance(1_400));
    assert.equal(cancelledIn(effects), []);
    assert.equal(eventsIn(gateway.receiveEvents(call, 17)), [17]);
    const refused = gateway.answer(continued, { status: 503, isNotRun: true, isSealed: false });
    assert.not.ok(isCut(refused));
    assert.equal(eventsIn(gateway.receiveEvents(call, 18)), [18]);
});

for (const routeName of ["plan", "note"]) {
    test(`the first of two runs of a silent ${routeName} to go on is the only one that does`, () => {
        const first = continueSilentStream(routeName);
        const resumed = first.gateway.receiveEvents(first.call, 16, 17);
        assert.equal(eventsIn(resumed), [17]);
        assert.equal(cancelledIn(resumed), [first.continued.attemptId]);
        assert.equal(eventsIn(first.gateway.receiveEvents(first.continued, 17, 18)), []);

        const second = continueSilentStream(routeName);
        assert.equal(cancelledIn(second.effects), []);
        assert.equal(cancelledIn(second.gateway.openStream(second.continued)), [second.call.attemptId]);
        assert.equal(eventsIn(second.gateway.receiveEvents(second.call, 17, 18)), []);
        assertGoesOn(second.gateway, second.continued);
    });
}

// Both would work on the stream for longer than the rules allow.
test("a silent attempt is cancelled if its server or that of the continuation is at work for long", () => {
    const isReported = continueSilentStream("plan", 60);
    assert.equal(cancelledIn(isReported.gateway.advance(200)), [isReported.call.attemptId]);
    const { gateway, call, continued } = continueSilentStream();
    assert.equal(cancelledIn(gateway.advance(200)), []);
    probe(gateway, continued, 0);
    assert.equal(cancelledIn(gateway.advance(50)), [call.attemptId]);
});

test("a silent attempt ends with its channel, and with its request", () => {
    const lost = continueSilentStream();
    lost.gateway.failAttempt(lost.call);
    assert.ok(isCut(lost.gateway.answer(lost.continued, { status: 503, isNotRun: true, isSealed: false })));

    const left = continueSilentStream();
    const effects = left.gateway.handle({ kind: "callerLeft", requestId: "r" as never });
    assert.equal(cancelledIn(effects).sort(), [left.call.attemptId, left.continued.attemptId].sort());
    assert.is(left.gateway.state.silentAttempts.size, 0);

    const late = continueSilentStream();
    const atDeadline = late.gateway.advance(39_000);
    assert.ok(isCut(atDeadline));
    assert.ok(cancelledIn(atDeadline).includes(late.call.attemptId));
});

// A server that stands still and is then killed ends its channels in order. The continuation was cancelled, and its replica spent.
test("a continuation goes on when the channel of the silent run ends, though the stream is unframed", () => {
    const gateway = TestGateway.serving(server("engine-1"), server("engine-2"), server("engine-3"));
    const call = gateway.sendRequest("r", "plan");
    gateway.openStream(call, { endsWithChannel: true });
    gateway.receiveEvents(call, 1);
    gateway.produceEvents(call);
    gateway.advance(1_300);
    const [continued] = callsIn(probe(gateway, call));
    const ended = gateway.handle({ kind: "streamEnded", attemptId: call.attemptId });
    assert.equal(kindsIn(ended).filter(kind => kind !== "logDecision"), []);
    assert.is(gateway.state.silentAttempts.size, 0);
    gateway.openStream(continued);
    assertGoesOn(gateway, continued);
});

test("a stream that returned to its silent attempt is probed again only after a pause", () => {
    const { gateway, continued } = continueSilentStream();
    gateway.answer(continued, { status: 503, isNotRun: true, isSealed: false });
    const isProbed = (duration: number) => kindsIn(gateway.advance(duration)).includes("probeServer");
    assert.not.ok(isProbed(1_100));
    assert.ok(isProbed(200));
});

// It was cut, because no other server took it after the wait.
test("a silent stream that waits for the operator's topic goes on at its server if no other server remains", () => {
    const far = { failureDomain: identifier<FailureDomain>("far") };
    const gateway = TestGateway.serving(server("engine-1"), server("engine-2", far));
    const call = gateway.startReplicatedStream("r", "note");
    const source = gateway.state.attempts.get(call.attemptId)!.attempt!.server.record;
    gateway.now += 3_000;
    const resumed = [...gateway.advance(50), ...probe(gateway, call)];
    assert.equal([callsIn(resumed), cancelledIn(resumed)], [[], []]);
    const evacuations = ["near", "far"].map(name => identifier<FailureDomain>(name)).map(failureDomain => {
        const key = `evacuate/${failureDomain}`;
        return gateway.item(key, [{ kind: "evacuation", key, failureDomain, isRequested: true }]);
    });
    gateway.read("configuration", []);
    const effects = [...gateway.read("configuration", evacuations), ...gateway.advance(700)];
    assert.equal([isCut(effects), cancelledIn(effects)], [false, []], source.id);
    assertGoesOn(gateway, call);
});

test.run();
