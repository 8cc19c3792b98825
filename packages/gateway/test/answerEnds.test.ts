/**
 * Streams with neither a length nor chunks, whose channel ends in the same way when they are complete and when their server
 * has ended.
 */
import type { BackendCall, GatewayEffect, ServerReport } from "@verbenaspring/gateway";
import { identifier } from "@verbenaspring/model";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { callsIn, configuration, eventsIn, kindsIn, linesIn, server, TestGateway } from "./gatewayBuilders.js";

const startedAt = 5;

/** A gateway with a stream of three events whose channel has ended. */
function endedStream(routeName = "plan", ...others: readonly string[]) {
    const gateway = TestGateway.serving(server("engine-1", { startedAt }));
    const call = gateway.sendRequest("r", routeName);
    gateway.register(...others.map(id => server(id, { startedAt })));
    gateway.openStream(call, { endsWithChannel: true });
    gateway.receiveEvents(call, 1, 2, 3);
    return { gateway, call, effects: gateway.handle({ kind: "streamEnded", attemptId: call.attemptId }) };
}

function report(call: BackendCall, overrides: Partial<ServerReport> = {}, events?: number): ServerReport {
    const runs = events === undefined ? [] : [{ callerAttemptId: call.head.callerAttemptId, events }];
    return { runs, isLeaving: false, startedAt, ...overrides };
}

function checksIn(effects: readonly GatewayEffect[]): number {
    return effects.filter(({ kind }) => kind === "checkAnswerEnd").length;
}

test("an unframed stream is complete once its server, which goes on, does not list its run", () => {
    const { gateway, call, effects } = endedStream();
    assert.not.ok(kindsIn(effects).includes("answerEnd"));
    assert.is(checksIn(effects), 1);
    assert.ok(kindsIn(gateway.reportEnd(call.attemptId, report(call))).includes("answerEnd"));
});

test("an unframed stream is complete if its server answers but lists no runs at all", () => {
    const { gateway, call } = endedStream();
    const answered = gateway.reportEnd(call.attemptId, report(call, { runs: undefined }));
    assert.ok(kindsIn(answered).includes("answerEnd"));
});

/** Answers the check in the same way until it is not repeated at the next tick, and returns the last effects. */
function answerChecks(gateway: TestGateway, call: BackendCall, answer: ServerReport | undefined): GatewayEffect[] {
    const { attemptId } = call;
    let effects = gateway.handle({ kind: "answerEndChecked", attemptId, report: answer });
    while (checksIn(gateway.advance(50)) > 0) {
        effects = gateway.handle({ kind: "answerEndChecked", attemptId, report: answer });
    }
    return effects;
}

test("an unframed stream is cut if its server has started again, or does not answer three times", () => {
    for (const hasStartedAgain of [true, false]) {
        const { gateway, call } = endedStream();
        const since = gateway.now;
        const effects = answerChecks(
            gateway,
            call,
            hasStartedAgain ? report(call, { startedAt: startedAt + 1 }) : undefined,
        );
        assert.ok(kindsIn(effects).includes("answerCut"));
        assert.not.ok(kindsIn(effects).includes("answerEnd"));
        assert.is(linesIn(effects, "answer_end_checked")[0].verdict, "cut");
        assert.ok(gateway.now - since <= 150);
    }
});

// A new process that states no start passed for the one that had the run.
test("an unframed stream is not complete by a report without the start that the record of its server states", () => {
    const { gateway, call } = endedStream();
    const effects = answerChecks(gateway, call, report(call, { startedAt: undefined }));
    assert.ok(kindsIn(effects).includes("answerCut"));
});

// Its channel was cut on the way: the run goes on.
test("an unframed stream is cut if its server has made more events than arrived", () => {
    const { gateway, call } = endedStream();
    assert.ok(kindsIn(gateway.reportEnd(call.attemptId, report(call, {}, 4))).includes("answerCut"));
});

test("a report that lists the run of an unframed stream may be old, until a second has passed", () => {
    for (const isListedForLong of [false, true]) {
        const { gateway, call } = endedStream();
        const listed = report(call, {}, 3);
        assert.equal(kindsIn(gateway.reportEnd(call.attemptId, listed)).filter(kind => kind.startsWith("answer")), []);
        for (let age = 200; age < 1_000; age += 200) {
            assert.is(checksIn(gateway.advance(200)), 1, `${age} ms after the end`);
            gateway.reportEnd(call.attemptId, listed);
        }
        gateway.advance(200);
        const effects = gateway.reportEnd(call.attemptId, isListedForLong ? listed : report(call));
        assert.is(kindsIn(effects).includes("answerCut"), isListedForLong);
        assert.is(kindsIn(effects).includes("answerEnd"), !isListedForLong);
    }
});

/** Has the gateway learn that the server leaves, in one of the three ways. */
function leave(gateway: TestGateway, how: "draining" | "removed" | "report"): void {
    if (how === "draining") {
        gateway.register(server("engine-1", { startedAt, isDraining: true, heartbeat: 2 }));
    }
    else if (how === "removed") {
        gateway.remove("engine-1");
    }
}

// A server that exits ends its streams itself, and still answers for a moment.
test("an unframed stream of a server that leaves is complete only if the server answers a second later, too", () => {
    for (const how of ["draining", "removed", "report"] as const) {
        for (const isUpLater of [true, false]) {
            const { gateway, call, call: { attemptId } } = endedStream();
            leave(gateway, how);
            const answer = report(call, { isLeaving: how === "report" });
            assert.is(linesIn(gateway.reportEnd(attemptId, answer), "answer_end_checked")[0].verdict, "unknown", how);
            assert.is(checksIn(gateway.advance(900)), 0, how);
            assert.is(checksIn(gateway.advance(100)), 1, how);
            const effects = answerChecks(gateway, call, isUpLater ? answer : undefined);
            assert.is(kindsIn(effects).includes("answerEnd"), isUpLater, how);
            assert.is(kindsIn(effects).includes("answerCut"), !isUpLater, how);
        }
    }
});

type Leaving = "draining" | "removed";

/**
 * A gateway with a stream whose server leaves, and whose channel ends `delay` later.
 *
 * @param viewAge how long before it learns of the leaving the gateway has read the servers' records
 */
function streamEndedAfterLeaving(how: Leaving, delay: number, viewAge = 100) {
    const gateway = TestGateway.serving(server("engine-1", { startedAt }));
    const call = gateway.sendRequest("r", "plan");
    gateway.openStream(call, { endsWithChannel: true });
    gateway.receiveEvents(call, 1, 2, 3);
    gateway.advance(50);
    gateway.register();
    gateway.advance(viewAge);
    leave(gateway, how);
    gateway.advance(delay);
    gateway.handle({ kind: "streamEnded", attemptId: call.attemptId });
    return { gateway, call };
}

/** Runs a check for a server that tells of its leaving in its record, and for one whose record is removed. */
function forEachLeaving(run: (how: Leaving) => void): void {
    run("draining");
    run("removed");
}

// LOST: a server that exits once its work is done does not answer again, and its whole streams were cut.
test("an unframed stream that ends before the drain limit of its server is over is complete though the server then exits", () =>
    forEachLeaving(how => {
        const { gateway, call } = streamEndedAfterLeaving(how, 1_950);
        assert.ok(kindsIn(gateway.reportEnd(call.attemptId, report(call))).includes("answerEnd"), how);
    }));

test("an unframed stream whose server leaves is complete once the server answers when its drain limit is over", () =>
    forEachLeaving(how => {
        const { gateway, call } = streamEndedAfterLeaving(how, 1_700);
        assert.not.ok(kindsIn(gateway.reportEnd(call.attemptId, report(call))).includes("answerEnd"), how);
        assert.is(checksIn(gateway.advance(150)), 0, how);
        assert.is(checksIn(gateway.advance(50)), 1, how);
        assert.ok(kindsIn(gateway.reportEnd(call.attemptId, report(call))).includes("answerEnd"), how);
    }));

// ORDER: its exit may have ended the stream.
test("an unframed stream that ends after the drain limit of its server is over is cut if the server does not answer a second later", () =>
    forEachLeaving(how => {
        const { gateway, call } = streamEndedAfterLeaving(how, 2_050);
        assert.not.ok(kindsIn(gateway.reportEnd(call.attemptId, report(call))).includes("answerEnd"), how);
        assert.is(checksIn(gateway.advance(1_000)), 1, how);
        assert.ok(kindsIn(answerChecks(gateway, call, undefined)).includes("answerCut"), how);
    }));

// ORDER: a server that ends its streams and exits early does not serve until its drain limit is over.
test("an unframed stream is cut if its server leaves and no longer answers when its drain limit is over", () =>
    forEachLeaving(how => {
        const { gateway, call } = streamEndedAfterLeaving(how, 1_200);
        assert.not.ok(kindsIn(gateway.reportEnd(call.attemptId, report(call))).includes("answerEnd"), how);
        assert.is(checksIn(gateway.advance(700)), 1, how);
        assert.ok(kindsIn(answerChecks(gateway, call, undefined)).includes("answerCut"), how);
    }));

// ORDER: after an outage of the log the drain limit seemed to be over, and a server that exited early to have served until then.
test("an unframed stream needs a second answer if the gateway can't tell when the drain limit of its server is over", () =>
    forEachLeaving(how => {
        for (const delay of [50, 500]) {
            const { gateway, call } = streamEndedAfterLeaving(how, delay, 2_200);
            assert.not.ok(kindsIn(gateway.reportEnd(call.attemptId, report(call))).includes("answerEnd"), how);
            assert.is(checksIn(gateway.advance(900)), 0, how);
            assert.is(checksIn(gateway.advance(100)), 1, how);
            assert.ok(kindsIn(answerChecks(gateway, call, undefined)).includes("answerCut"), how);
        }
    }));

/** A report that lists another run, which has made so many events. */
function reportWithOther(call: BackendCall, events: number): ServerReport {
    return report(call, { runs: [{ callerAttemptId: identifier<never>("other"), events }] });
}

// LOST: a server that exits within a second does not answer again, and whole streams were cut while it worked on others.
test("an unframed stream that ends after the drain limit of its server is complete if the server works on another run", () => {
    const { gateway, call } = streamEndedAfterLeaving("draining", 2_050);
    assert.not.ok(kindsIn(gateway.reportEnd(call.attemptId, reportWithOther(call, 5))).includes("answerEnd"));
    assert.is(checksIn(gateway.advance(250)), 0);
    assert.is(checksIn(gateway.advance(50)), 1);
    assert.not.ok(
        kindsIn(gateway.reportEnd(call.attemptId, reportWithOther(call, 5))).includes("answerEnd"),
        "no event",
    );
    assert.is(checksIn(gateway.advance(200)), 1);
    assert.ok(kindsIn(gateway.reportEnd(call.attemptId, reportWithOther(call, 6))).includes("answerEnd"));
});

// ORDER: a server that exits may end its runs one after the other.
test("other runs that a server still lists, or works on for a moment, do not show that it has completed an unframed stream", () => {
    for (const runs of [[5], [5, 6]]) {
        const { gateway, call } = streamEndedAfterLeaving("draining", 2_050);
        for (const events of runs) {
            const effects = gateway.reportEnd(call.attemptId, reportWithOther(call, events));
            assert.not.ok(kindsIn(effects).includes("answerEnd"));
            gateway.advance(50);
        }
        gateway.advance(1_000);
        assert.ok(kindsIn(answerChecks(gateway, call, undefined)).includes("answerCut"));
    }
});

// ORDER: the first report may be from before the run.
test("another run says nothing of an unframed stream that began less than a second before its end", () => {
    const { gateway, call } = endedStream();
    leave(gateway, "removed");
    for (const events of [5, 6]) {
        assert.not.ok(kindsIn(gateway.reportEnd(call.attemptId, reportWithOther(call, events))).includes("answerEnd"));
        gateway.advance(400);
    }
});

/** Whether the records of the servers are read within 50 ms of the last read. */
function isReadSoon(gateway: TestGateway): boolean {
    gateway.register();
    return gateway.advance(50).some(effect => effect.kind === "readTopic" && effect.topic === "backendServers");
}

// ORDER: a notice was read late, and a server that had exited half a second after its drain limit counted as within it.
test("the servers' records are read each 50 ms while streams run that end with their channels, and no longer", () => {
    for (const endsWithChannel of [true, false]) {
        const gateway = TestGateway.serving(server("engine-1", { startedAt }));
        const call = gateway.sendRequest("r", "plan");
        gateway.advance(400);
        assert.not.ok(isReadSoon(gateway));
        gateway.advance(400);
        gateway.openStream(call, { endsWithChannel });
        assert.is(isReadSoon(gateway), endsWithChannel);
        for (let second = 0; second < 38; second++) {
            gateway.advance(1_000);
            gateway.receiveEvents(call, second + 1);
        }
        assert.is(isReadSoon(gateway), endsWithChannel);
        gateway.handle({ kind: "streamEnded", attemptId: call.attemptId });
        gateway.reportEnd(call.attemptId, report(call));
        gateway.advance(2_000);
        assert.not.ok(isReadSoon(gateway));
    }
});

test("a resumable unframed stream whose server has ended goes on at another one after its last event", () => {
    const { gateway, call } = endedStream("note", "engine-2");
    const effects = gateway.reportEnd(call.attemptId, report(call, { startedAt: startedAt + 1 }));
    const [next] = callsIn(effects);
    assert.equal([next.backendServer, Number(next.lastEvent)], ["engine-2", 3]);
    gateway.openStream(next);
    assert.equal(eventsIn(gateway.receiveEvents(next, 4)), [4]);
    assert.ok(kindsIn(gateway.handle({ kind: "streamEnded", attemptId: next.attemptId })).includes("answerEnd"));
});

test("while the end of an unframed stream is checked, it is neither migrated, probed nor sent elsewhere", () => {
    const { gateway, call } = endedStream("plan", "engine-2", "engine-3");
    const leaving = gateway.register(server("engine-1", { startedAt, isDraining: true, heartbeat: 2 }));
    const kinds = kindsIn([...leaving, ...gateway.advance(3_000)]);
    assert.equal(kinds.filter(kind => /migrateRun|probeServer|sendAttempt|answer/.test(kind)), []);
    // The server leaves, and was asked before the end was old enough.
    assert.not.ok(kindsIn(gateway.reportEnd(call.attemptId, report(call))).includes("answerEnd"));
    assert.is(checksIn(gateway.advance(50)), 1);
    assert.ok(kindsIn(gateway.reportEnd(call.attemptId, report(call))).includes("answerEnd"));
});

// Whoever has the address of a server that has ended may refuse the request, and leave as well.
test("an unframed stream is not complete because its server refuses the report and leaves", () => {
    const { gateway, call } = endedStream();
    const refusal = report(call, { runs: undefined, startedAt: undefined, isLeaving: true, isRefused: true });
    const effects = answerChecks(gateway, call, refusal);
    assert.not.ok(kindsIn(effects).includes("answerEnd"));
    assert.ok(kindsIn(effects).includes("answerCut"));
});

// A connection that was accepted counted as proof again.
test("the report of a server is asked for though a new configuration no longer has its service", () => {
    const gateway = TestGateway.serving(server("engine-1", { startedAt }));
    const call = gateway.startStream("r", "plan");
    gateway.openStream(call, { endsWithChannel: true });
    gateway.configure(configuration(2, { services: new Map() }));
    const effects = gateway.handle({ kind: "streamEnded", attemptId: call.attemptId });
    assert.equal(effects.flatMap(effect => effect.kind === "checkAnswerEnd" ? [effect.hasReport] : []), [true]);
});

// A report that was handled late counted as one that was made late.
test("an unframed stream is asked for again if a report that lists its run was asked for within a second of its end", () => {
    const { gateway, call } = endedStream();
    gateway.now += 1_200;
    const late = gateway.reportEnd(call.attemptId, report(call, {}, 3));
    assert.equal(kindsIn(late).filter(kind => kind.startsWith("answer")), []);
    assert.is(checksIn(gateway.advance(200)), 1);
    assert.ok(kindsIn(gateway.reportEnd(call.attemptId, report(call))).includes("answerEnd"));
});

// Its channel was cut on the way. A report may be a second old, and the run began later.
test("an unframed stream is not complete because a report from before its run does not list it", () => {
    const { gateway, call } = endedStream();
    assert.not.ok(kindsIn(gateway.reportEnd(call.attemptId, report(call))).includes("answerEnd"));
    const effects = gateway.advance(1_100);
    assert.ok(checksIn(effects) > 0);
    assert.ok(kindsIn(gateway.reportEnd(call.attemptId, report(call, {}, 4))).includes("answerCut"));
});

// A server resets connections beyond those that it takes, and at once.
test("a complete unframed stream is not cut because two calls for a report fail within a millisecond", () => {
    const { gateway, call: { attemptId }, call } = endedStream();
    for (let calls = 0; calls < 2; calls++) {
        const effects = gateway.handle({ kind: "answerEndChecked", attemptId, report: undefined });
        assert.not.ok(kindsIn(effects).includes("answerCut"));
    }
    gateway.advance(250);
    assert.ok(kindsIn(gateway.reportEnd(attemptId, report(call))).includes("answerEnd"));
});

test("an unframed stream whose server never answers ends with its time limit", () => {
    const { gateway } = endedStream();
    assert.ok(kindsIn(gateway.advance(39_100)).includes("answerCut"));
    assert.is(gateway.state.requests.get(identifier("r")), undefined);
});

test.run();
