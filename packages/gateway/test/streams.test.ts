import type { BackendCall, GatewayEffect, MigrationResult, ResponseHead } from "@verbenaspring/gateway";
import { identifier } from "@verbenaspring/model";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
    callsIn,
    eventId,
    eventsIn,
    failuresIn,
    kindsIn,
    linesIn,
    responseHead,
    server,
    stopsIn,
    TestGateway,
} from "./gatewayBuilders.js";

const gatewayWithEngines = (): TestGateway =>
    TestGateway.serving(server("engine-1"), server("engine-2"), server("engine-3"));
/** A plan so large that no other engine has enough free memory for its replica. */
const largePlan = { promptTokens: 9_000, maximumTokens: 500 };

const finishMigration = (gateway: TestGateway, { attemptId }: BackendCall, handle: string | undefined) =>
    gateway.answerMigration(attemptId, handle);

test("nothing is written before the first event; then the head and the events follow in order", () => {
    const gateway = gatewayWithEngines();
    const call = gateway.sendRequest("r", "plan");
    assert.equal(kindsIn(gateway.openStream(call)), []);
    assert.equal(kindsIn(gateway.receiveEvents(call, 1, 2)).slice(0, 2), ["answerHead", "answerEvents"]);
});

test("events that the caller already has are dropped, and a gap where another run continues the stream ends that run", () => {
    const gateway = gatewayWithEngines();
    const call = gateway.startStream("r", "note");
    assert.equal(eventsIn(gateway.receiveEvents(call, 1, 2, 3)), [2, 3]);
    const [next] = callsIn(gateway.failAttempt(call));
    gateway.openStream(next);
    const effects = gateway.receiveEvents(next, 5, 6);
    assert.equal(eventsIn(effects), []);
    assert.ok(effects.some(effect => effect.kind === "cancelAttempt" && effect.attemptId === next.attemptId));
    assert.ok(kindsIn(effects).includes("answerCut"), "the route allows no third run");
});

// The events without ids were passed on a second time.
test("events without ids between events that the caller already has are dropped", () => {
    const gateway = gatewayWithEngines();
    const call = gateway.startStream("r", "note");
    assert.equal(eventsIn(gateway.receiveEvents(call, undefined, 2, undefined, undefined, 3)).length, 5);
    const [next] = callsIn(gateway.failAttempt(call));
    gateway.openStream(next);
    assert.equal(eventsIn(gateway.receiveEvents(next, 1, undefined, 2, undefined)), []);
    assert.equal(eventsIn(gateway.receiveEvents(next, undefined, 3, undefined, 4)), [undefined, 4]);
});

test("a run that repeats earlier events, but not the last one, ends with the next one", () => {
    const gateway = gatewayWithEngines();
    const call = gateway.startStream("r", "note");
    gateway.receiveEvents(call, 11, 21);
    const [next] = callsIn(gateway.failAttempt(call));
    gateway.openStream(next);
    const effects = gateway.receiveEvents(next, 18, 24);
    assert.equal(eventsIn(effects), []);
    assert.ok(kindsIn(effects).includes("answerCut"));
});

// Events that came later were dropped until one had a larger id, and the stream ended as complete.
test("a stream whose ids decrease within a run is cut, and no other run goes on after it", () => {
    for (const name of ["note", "plan"]) {
        const gateway = gatewayWithEngines();
        const call = gateway.startReplicatedStream("r", name);
        const effects = gateway.receiveEvents(call, 17, 60, 18, 19);
        assert.equal(eventsIn(effects), [17, 60]);
        assert.equal(callsIn(effects), []);
        assert.equal(kindsIn(effects).filter(kind => kind !== "answerEvents"), ["cancelAttempt", "answerCut"]);
    }
});

// An event may contain several tokens, and ids that count tokens then increase by more than before.
test("a stream is passed on whose ids increase by 1 and then by more", () => {
    for (const name of ["note", "plan"]) {
        const gateway = gatewayWithEngines();
        const call = gateway.startStream("r", name);
        assert.equal(eventsIn(gateway.receiveEvents(call, 2, 3, 7, 11)), [2, 3, 7, 11]);
        assert.equal(eventsIn(gateway.receiveEvents(call, 12, 16)), [12, 16]);
        assert.ok(kindsIn(gateway.handle({ kind: "streamEnded", attemptId: call.attemptId })).includes("answerEnd"));
    }
});

for (
    const [name, ids] of [
        ["with a step as long as one before", [15, 19]],
        ["after the event that the caller has, with a longer step", [11, 18, 22]],
        ["after earlier events and the one that the caller has", [3, 7, 11, 15]],
    ] as const
) {
    test(`another run continues a stream whose ids increase by 1 and then by more, ${name}`, () => {
        const gateway = gatewayWithEngines();
        const call = gateway.startStream("r", "note");
        gateway.receiveEvents(call, 2, 3, 7, 11);
        const [next] = callsIn(gateway.failAttempt(call));
        gateway.openStream(next);
        assert.equal(eventsIn(gateway.receiveEvents(next, ...ids)), ids.filter(id => id > 11));
    });
}

/** A plan of at most 100 tokens of which 16 events of 4 tokens came; their ids count tokens. */
function startCountedPlan() {
    const gateway = gatewayWithEngines();
    const call = gateway.sendRequest("r", "plan", { maximumTokens: 100 });
    gateway.openStream(call);
    for (let event = 1; event <= 16; event++) {
        gateway.advance(100);
        gateway.receiveEvents(call, 4 * event);
    }
    return { gateway, call };
}

// The last id was taken for the number of events, so that such a plan counted as ended.
test("a plan whose ids count tokens continues from its replica", () => {
    const { gateway, call } = startCountedPlan();
    const [next] = callsIn(gateway.failAttempt(call));
    assert.equal([next?.address, Number(next?.lastEvent)], [call.replicaAddress, 64]);
});

test("a silent plan whose ids count tokens is sent elsewhere if its run is ahead of the events received", () => {
    for (const [events, isSent] of [[19, false], [20, true]] as const) {
        const { gateway, call } = startCountedPlan();
        gateway.advance(1_300);
        const run = { callerAttemptId: call.head.callerAttemptId, events };
        const effects = gateway.handle({
            kind: "serverProbed",
            backendServer: call.backendServer,
            report: { runs: [run], isLeaving: false, startedAt: undefined },
        });
        assert.is(callsIn(effects).length > 0, isSent, `${events} events`);
    }
});

test("another run continues a stream of one event by a step as long as that to its first id", () => {
    const gateway = gatewayWithEngines();
    const call = gateway.sendRequest("r", "note");
    gateway.openStream(call);
    gateway.receiveEvents(call, 4);
    const [next] = callsIn(gateway.failAttempt(call));
    gateway.openStream(next);
    assert.equal(eventsIn(gateway.receiveEvents(next, 8, 12)), [8, 12]);
});

// The whole answer was written to a stream that had begun, which was never ended.
test("a stream is cut where the server that continues it answers without a stream", () => {
    for (const status of [200, 204, 404]) {
        for (const start of ["startStream", "startReplicatedStream"] as const) {
            const gateway = gatewayWithEngines();
            const [continued] = callsIn(gateway.failAttempt(gateway[start]("r", "note")));
            const kinds = kindsIn(gateway.answer(continued, { status }));
            assert.not.ok(kinds.includes("answerWhole"), `status ${status}`);
            assert.ok(kinds.includes("answerCut"), `status ${status}`);
        }
    }
});

// The protocol asks for increasing ids only, but a stream was cut at its second event.
test("a stream whose ids increase by more than 1 is passed on, also where another run continues it", () => {
    const gateway = gatewayWithEngines();
    const call = gateway.startStream("r", "note");
    assert.equal(eventsIn(gateway.receiveEvents(call, 11, 21, 25)), [11, 21, 25]);
    const [next] = callsIn(gateway.failAttempt(call));
    assert.is(Number(next.lastEvent), 25);
    gateway.openStream(next);
    assert.equal(eventsIn(gateway.receiveEvents(next, 21, 25, 31, 41)), [31, 41]);
});

test("a caller takes up a stream whose ids increase by more than 1", () => {
    const gateway = gatewayWithEngines();
    const call = gateway.sendRequest("r", "note", { lastEvent: eventId(0) });
    gateway.openStream(call);
    assert.equal(eventsIn(gateway.receiveEvents(call, 10, 20)), [10, 20]);
});

// The run that followed was not told where to go on, and its first events came twice.
for (const name of ["note", "plan"]) {
    test(`a ${name} of which the last event has no id is cut when its run is lost`, () => {
        const gateway = gatewayWithEngines();
        const call = gateway.startReplicatedStream("r", name);
        gateway.receiveEvents(call, undefined);
        const effects = gateway.failAttempt(call);
        assert.equal(callsIn(effects), []);
        assert.ok(kindsIn(effects).includes("answerCut"));
    });

    test(`a ${name} continues after a comment that follows an event with an id`, () => {
        const gateway = gatewayWithEngines();
        const call = gateway.startReplicatedStream("r", name);
        const comment = { id: undefined, bytes: new TextEncoder().encode(":\n\n"), isComment: true };
        gateway.handle({ kind: "streamEvents", attemptId: call.attemptId, events: [comment] });
        assert.is(Number(callsIn(gateway.failAttempt(call))[0].lastEvent), 16);
    });

    test(`a ${name} of which the last event has no id stays at a silent server`, () => {
        const gateway = gatewayWithEngines();
        const call = gateway.startReplicatedStream("r", name);
        gateway.receiveEvents(call, undefined);
        const { backendServer } = call;
        const effects = [
            ...gateway.advance(1_300),
            ...gateway.handle({ kind: "serverProbed", backendServer, report: undefined }),
        ];
        assert.equal(callsIn(effects), []);
        assert.equal(eventsIn(gateway.receiveEvents(call, 17)), [17]);
    });
}

test("a plan of which the last event has no id is not migrated from a server that leaves", () => {
    const gateway = gatewayWithEngines();
    const call = gateway.startStream("r", "plan", largePlan);
    gateway.receiveEvents(call, undefined);
    const { backendServer } = call;
    const effects = [...gateway.register(server(backendServer, { isDraining: true })), ...gateway.advance(300)];
    assert.not.ok(kindsIn(effects).includes("migrateRun"));
});

test("events that a continued stream of one event lacks end the run", () => {
    const gateway = gatewayWithEngines();
    const [next] = callsIn(gateway.failAttempt(gateway.startStream("r", "note")));
    gateway.openStream(next);
    assert.equal(eventsIn(gateway.receiveEvents(next, 3, 4)), []);
});

test("a stream that may not run again continues from its replica", () => {
    const gateway = gatewayWithEngines();
    const call = gateway.startReplicatedStream("r", "plan");
    assert.ok(call.replicaAddress !== undefined);
    const [next] = callsIn(gateway.failAttempt(call));
    assert.is(next.address, call.replicaAddress);
    assert.equal(next.continuesFrom, { source: call.address, name: call.head.callerAttemptId });
    assert.is(Number(next.lastEvent), 16);
    assert.equal(
        eventsIn(gateway.handle({
            kind: "streamOpened",
            attemptId: next.attemptId,
            head: responseHead(next),
        })),
        [],
    );
    assert.equal(eventsIn(gateway.receiveEvents(next, 16, 17)), [17]);
});

test("the log says why a stream is sent again, and how long the run that was lost had produced events", () => {
    const gateway = gatewayWithEngines();
    const call = gateway.startReplicatedStream("r", "plan");
    gateway.advance(100);
    const effects = gateway.failAttempt(call);
    const [failed] = linesIn(effects, "attempt_failed");
    assert.equal([failed.runAge, failed.silence, failed.hasBegun], [1_600, 100, true]);
    const [sentAgain] = linesIn(effects, "request_sent_again");
    assert.equal([sentAgain.replicaEvidence, sentAgain.source], ["events", call.address]);
});

for (
    const [name, lose] of [
        ["before its first event", (gateway: TestGateway) => gateway.sendRequest("r", "plan")],
        ["soon after its first event", (gateway: TestGateway) => gateway.startStream("r", "plan")],
        ["after it was silent for longer than a replica is kept", (gateway: TestGateway) => {
            const call = gateway.startReplicatedStream("r", "plan");
            gateway.advance(5_100);
            return call;
        }],
        ["after it was continued, before it produced events again", (gateway: TestGateway) => {
            const lost = gateway.startReplicatedStream("r", "plan");
            return callsIn(gateway.failAttempt(lost))[0];
        }],
    ] as const
) {
    test(`a stream whose answer is lost ${name} is not run a second time where its replica may be missing`, () => {
        const gateway = gatewayWithEngines();
        const call = lose(gateway);
        assert.ok(call.replicaAddress !== undefined);
        const effects = gateway.failAttempt(call);
        assert.equal(callsIn(effects), []);
        const hasBegun = gateway.state.requests.size === 0 && kindsIn(effects).includes("answerCut");
        assert.is(hasBegun, name !== "before its first event");
        assert.equal(failuresIn(effects).map(({ outcome }) => outcome), hasBegun ? [] : ["outcome_unknown"]);
    });
}

test("a stream whose server refuses the channel starts at another one, not from a replica that was never made", () => {
    const gateway = gatewayWithEngines();
    const call = gateway.sendRequest("r", "plan");
    assert.ok(call.replicaAddress !== undefined);
    const attemptId = call.attemptId;
    const effects = gateway.handle({ kind: "attemptFailed", attemptId, failure: "connect_refused", wasSent: false });
    const [next] = callsIn(effects);
    assert.is(next.continuesFrom, undefined);
    assert.is.not(next.address, call.address);
});

test("a stream is cut if the holder of its replica refuses the channel, since no other server has a replica", () => {
    const gateway = gatewayWithEngines();
    const [next] = callsIn(gateway.failAttempt(gateway.startReplicatedStream("r", "plan")));
    const { attemptId } = next;
    const effects = gateway.handle({ kind: "attemptFailed", attemptId, failure: "connect_refused", wasSent: false });
    assert.equal(callsIn(effects), []);
    assert.ok(kindsIn(effects).includes("answerCut"));
});

test("a server that refuses a channel is ejected at once", () => {
    const gateway = gatewayWithEngines();
    const { attemptId, backendServer } = gateway.sendRequest("r", "note");
    gateway.handle({ kind: "attemptFailed", attemptId, failure: "connect_refused", wasSent: false });
    const chosen = Array.from({ length: 4 }, (_, index) => gateway.sendRequest(`s${index}`, "note").backendServer);
    assert.not.ok(chosen.includes(backendServer));
});

test("a stream that may not run again and has no replica is cut, not ended as complete", () => {
    const gateway = TestGateway.serving(server("engine-1"));
    const call = gateway.startReplicatedStream("r", "plan");
    const kinds = kindsIn(gateway.failAttempt(call));
    assert.ok(kinds.includes("answerCut"));
    assert.not.ok(kinds.includes("answerEnd"));
});

test("a stream that may run again continues after the caller's last event", () => {
    const gateway = gatewayWithEngines();
    const call = gateway.startStream("r", "note", { lastEvent: eventId(0) });
    const [next] = callsIn(gateway.failAttempt(call));
    assert.is(next.continuesFrom, undefined);
    assert.is(Number(next.lastEvent), 1);
});

test("a replica is only kept where enough memory stays free", () => {
    const gateway = gatewayWithEngines();
    assert.is(gateway.sendRequest("r", "plan", largePlan).replicaAddress, undefined);
});

test("a stream without a replica is migrated when its server leaves, and continues at the target", () => {
    const gateway = gatewayWithEngines();
    const call = gateway.startStream("r", "plan", largePlan);
    const effects = gateway.register(server(call.backendServer, { isDraining: true, heartbeat: 2 }));
    const migration = effects.find(effect => effect.kind === "migrateRun");
    assert.ok(migration !== undefined);
    const answered = finishMigration(gateway, call, "h7");
    const [next] = callsIn(answered);
    assert.equal(next.continuesFrom, { source: call.address, name: "h7" });
    assert.ok(kindsIn(answered).includes("cancelAttempt"), "the old run ends before the new one starts");
    assert.ok(kindsIn(answered).indexOf("cancelAttempt") < kindsIn(answered).indexOf("sendAttempt"));
});

/** A stream that was copied and whose server was asked to stop its run. */
function requestStop(head: Partial<ResponseHead> = {}) {
    const gateway = gatewayWithEngines();
    const call = gateway.sendRequest("r", "plan", largePlan);
    gateway.openStream(call, head);
    gateway.receiveEvents(call, 1);
    gateway.register(server(call.backendServer, { isDraining: true, heartbeat: 2 }));
    const answerWith = (result: MigrationResult): GatewayEffect[] => gateway.answerMove(call.attemptId, result);
    const effects = answerWith({ kind: "moved", handle: "h1" });
    return { gateway, call, answerWith, effects };
}

const continuationsIn = (effects: readonly GatewayEffect[]) =>
    callsIn(effects).map(({ continuesFrom, lastEvent }) => [continuesFrom?.name, Number(lastEvent)]);

// A reset was taken for the end of the run, and servers that work on after it ran the request a second time.
test("a migrated stream continues only once its server has been asked to stop the run, and its channel has ended", () => {
    const { gateway, call, answerWith, effects } = requestStop();
    assert.is(stopsIn(effects).length, 1);
    assert.not.ok(kindsIn(effects).some(kind => kind === "sendAttempt" || kind === "cancelAttempt"));
    assert.equal(eventsIn(gateway.receiveEvents(call, 2)), [2], "events on their way are passed on");
    assert.equal(callsIn(gateway.advance(400)), []);
    assert.equal(continuationsIn(gateway.failAttempt(call)), [["h1", 2]]);
    assert.equal(callsIn(answerWith({ kind: "moved", handle: "h2" })), [], "the answer comes too late");
});

test("a migrated stream continues from the rest of the copy if that is complete before the channel has ended", () => {
    const { answerWith } = requestStop();
    const effects = answerWith({ kind: "moved", handle: "h2" });
    assert.equal(continuationsIn(effects), [["h2", 1]]);
    assert.ok(kindsIn(effects).indexOf("cancelAttempt") < kindsIn(effects).indexOf("sendAttempt"));
});

test("a stream that was stopped continues from its copy if there is no room for the rest of it", () => {
    const { answerWith } = requestStop();
    assert.equal(continuationsIn(answerWith({ kind: "refused", status: 503 })), [["h1", 1]]);
});

test("the next migration from a server starts when a stream has left it", () => {
    const gateway = TestGateway.serving(server("engine-1"));
    const sizes = { promptTokens: 3_000, maximumTokens: 500 };
    const calls = ["r", "s"].map(id => gateway.startStream(id, "plan", sizes));
    gateway.register(server("engine-2"));
    const [first] = gateway.register(server("engine-1", { isDraining: true, heartbeat: 2 }))
        .flatMap(effect => effect.kind === "migrateRun" ? [effect] : []);
    const { attemptId } = first;
    const result: MigrationResult = { kind: "moved", handle: "h1" };
    assert.is(stopsIn(gateway.answerMove(attemptId, result)).length, 1);
    const left = gateway.failAttempt(calls.find(call => call.attemptId === attemptId)!);
    assert.equal(
        left.flatMap(effect =>
            effect.kind === "migrateRun" ? [[effect.isStopping, effect.attemptId !== attemptId]] : []
        ),
        [[false, true]],
    );
});

test("a run that its server refuses to stop goes on", () => {
    for (const status of [404, 409, 500]) {
        const { gateway, call, answerWith } = requestStop();
        assert.equal(callsIn(answerWith({ kind: "refused", status })), []);
        assert.equal(eventsIn(gateway.receiveEvents(call, 2)), [2]);
        const { attemptId } = call;
        assert.ok(kindsIn(gateway.handle({ kind: "streamEnded", attemptId })).includes("answerEnd"));
    }
});

// Without framing, the close of a stream that was stopped looks like the end of a complete one.
test("an unframed stream that closes after the request to stop its run is complete only if the server knows no run", () => {
    for (const isComplete of [false, true]) {
        const { gateway, call: { attemptId }, answerWith } = requestStop({ endsWithChannel: true });
        assert.not.ok(kindsIn(gateway.handle({ kind: "streamEnded", attemptId })).includes("answerEnd"));
        const answered = answerWith(isComplete ? { kind: "refused", status: 404 } : { kind: "moved", handle: "h2" });
        // The server that knows no run may have been started again.
        assert.not.ok(kindsIn(answered).includes("answerEnd"));
        if (isComplete) {
            // It leaves, so it has to answer again once it may have exited.
            assert.not.ok(kindsIn([...gateway.reportEnd(attemptId), ...gateway.advance(1_000)]).includes("answerEnd"));
        }
        const effects = isComplete ? gateway.reportEnd(attemptId) : answered;
        assert.is(kindsIn(effects).includes("answerEnd"), isComplete);
        assert.equal(continuationsIn(effects), isComplete ? [] : [["h2", 1]]);
    }
});

test("if the request to stop a run gets no answer, the run goes on until its channel or a report shows its end", () => {
    for (const isChannelSilent of [false, true]) {
        const { gateway, call, answerWith } = requestStop();
        assert.equal(callsIn(answerWith({ kind: "failed", detail: "timeout" })), []);
        assert.equal(eventsIn(gateway.receiveEvents(call, 2)), [2]);
        let effects: GatewayEffect[];
        if (isChannelSilent) {
            const [probe] = gateway.advance(1_300).flatMap(effect => effect.kind === "probeServer" ? [effect] : []);
            const report = { runs: [], isLeaving: true, startedAt: undefined };
            effects = gateway.handle({ ...probe, kind: "serverProbed", report });
        }
        else {
            effects = gateway.failAttempt(call);
        }
        assert.equal(continuationsIn(effects), [["h1", 2]]);
    }
});

test("neither a replica nor a migration continues a stream at a server that has been leaving for long", () => {
    const withReplica = gatewayWithEngines();
    const call = withReplica.startReplicatedStream("r", "plan");
    const holder = withReplica.state.attempts.get(call.attemptId)!.attempt!.replica!.record;
    withReplica.register({ ...holder, isDraining: true, heartbeat: 2 });
    withReplica.advance(1_100);
    assert.equal(callsIn(withReplica.failAttempt(call)), []);

    const withMigration = gatewayWithEngines();
    const run = withMigration.startStream("r", "plan", largePlan);
    const [source] = [...withMigration.state.servers.values()].filter(({ record }) => record.id === run.backendServer);
    const effects = withMigration.register({ ...source.record, isDraining: true, heartbeat: 2 });
    const [migration] = effects.filter(effect => effect.kind === "migrateRun");
    const target = [...withMigration.state.servers.values()].find(({ record }) =>
        record.address === migration.targetAddress
    )!;
    withMigration.register({ ...target.record, isDraining: true, heartbeat: 2 });
    withMigration.advance(1_100);
    assert.equal(callsIn(finishMigration(withMigration, run, "copy")), []);
});

test("the target holds the memory of a run in the loads as long as its migration lasts", () => {
    const gateway = gatewayWithEngines();
    const call = gateway.startStream("r", "plan", largePlan);
    const holders = (): number =>
        [...gateway.state.loads.values()].filter(({ copiedTokens }) => copiedTokens > 0).length;
    gateway.register(server(call.backendServer, { isDraining: true, heartbeat: 2 }));
    assert.is(holders(), 1);
    finishMigration(gateway, call, undefined);
    assert.is(holders(), 1, "the next target");
    gateway.handle({ kind: "callerLeft", requestId: gateway.state.requests.keys().next().value! });
    assert.is(gateway.state.loads.size, 0);
});

test("a server has one migration at a time", () => {
    const gateway = TestGateway.serving(server("engine-1"));
    const calls = ["r", "s"].map(id => gateway.startStream(id, "plan", { promptTokens: 3_000, maximumTokens: 500 }));
    gateway.register(server("engine-2"));
    const effects = gateway.register(server("engine-1", { isDraining: true, heartbeat: 2 }));
    assert.is(kindsIn(effects).filter(kind => kind === "migrateRun").length, 1);
    const first = effects.find(effect => effect.kind === "migrateRun")!;
    const migrating = calls.find(call => first.kind === "migrateRun" && call.attemptId === first.attemptId)!;
    assert.ok(kindsIn(finishMigration(gateway, migrating, "h1")).includes("migrateRun"));
});

test("a run continues at its server when its migration fails", () => {
    const gateway = gatewayWithEngines();
    const call = gateway.startStream("r", "plan", largePlan);
    gateway.register(server(call.backendServer, { isDraining: true, heartbeat: 2 }));
    assert.equal(callsIn(finishMigration(gateway, call, undefined)), []);
    assert.equal(eventsIn(gateway.receiveEvents(call, 2)), [2]);
});

test("a stream does not continue at a migration target that has started again since, as its memory is gone there", () => {
    const gateway = gatewayWithEngines();
    const call = gateway.startStream("r", "plan", largePlan);
    gateway.register(server(call.backendServer, { isDraining: true, heartbeat: 2 }));
    const target = gateway.state.attempts.get(call.attemptId)!.attempt!.migrationTarget!.record;
    gateway.register({ ...target, startedAt: 2, heartbeat: 2 });
    const effects = finishMigration(gateway, call, "h7");
    assert.ok(callsIn(effects).every(({ continuesFrom }) => continuesFrom === undefined));
    assert.not.ok(kindsIn(effects).includes("cancelAttempt"));
    assert.equal(eventsIn(gateway.receiveEvents(call, 2)), [2]);
});

test("a failed migration is tried with each other target once", () => {
    const gateway = TestGateway.serving(...[1, 2, 3].map(number => server(`engine-${number}`)));
    const call = gateway.startStream("r", "plan", largePlan);
    const source = gateway.state.servers.get(call.backendServer)!.record;
    const targets: string[] = [];
    let effects = gateway.register({ ...source, isDraining: true, heartbeat: 2 });
    for (let answers = 0; answers < 10; answers++) {
        const next = effects.flatMap(effect => effect.kind === "migrateRun" ? [effect.targetAddress] : []);
        targets.push(...next);
        effects = next.length === 0 ? [] : finishMigration(gateway, call, undefined);
    }
    assert.is(targets.length, 2);
    assert.is(new Set(targets).size, 2);
});

test("a stream without a migration target does not block the others", () => {
    const gateway = TestGateway.serving(server("engine-1"));
    gateway.startStream("long", "plan", { promptTokens: 7_000, maximumTokens: 2_500 });
    const short = gateway.startStream("short", "plan", { promptTokens: 300, maximumTokens: 500 });
    gateway.register(server("engine-2"));
    gateway.startStream("other", "plan", { promptTokens: 4_000, maximumTokens: 500 });
    const source = gateway.state.servers.get(short.backendServer)!.record;
    const migrations = gateway.register({ ...source, isDraining: true, heartbeat: 2 }).filter(({ kind }) =>
        kind === "migrateRun"
    );
    assert.equal(migrations.map(effect => effect.kind === "migrateRun" && effect.callerAttemptId), ["short"]);
});

test("a silent run is not abandoned while its server is alive, since the run may have been preempted", () => {
    const gateway = gatewayWithEngines();
    const call = gateway.startReplicatedStream("r", "plan");
    const probes = gateway.advance(1_300).filter(effect => effect.kind === "probeServer");
    assert.is(probes.length, 1);
    const runs = [{ callerAttemptId: call.head.callerAttemptId, events: 16 }];
    const report = { runs, isLeaving: false, startedAt: undefined };
    const effects = gateway.handle({ kind: "serverProbed", backendServer: call.backendServer, report });
    assert.equal(kindsIn(effects), []);
    assert.equal(eventsIn(gateway.receiveEvents(call, 17)), [17]);
});

test("a silent run continues at another server if its own does not answer a probe", () => {
    const gateway = gatewayWithEngines();
    const call = gateway.startReplicatedStream("r", "plan");
    gateway.advance(1_300);
    const effects = gateway.handle({ kind: "serverProbed", backendServer: call.backendServer, report: undefined });
    assert.is(callsIn(effects)[0].address, call.replicaAddress);
});

test("a silent run whose replica may be missing is not abandoned when a probe of its server fails", () => {
    const gateway = gatewayWithEngines();
    const call = gateway.startStream("r", "plan");
    gateway.advance(1_300);
    const effects = gateway.handle({ kind: "serverProbed", backendServer: call.backendServer, report: undefined });
    assert.equal(kindsIn(effects), []);
    assert.equal(eventsIn(gateway.receiveEvents(call, 2)), [2]);
});

test("a run that is ahead of the received events continues at another server, since its channel is dead", () => {
    const gateway = gatewayWithEngines();
    const call = gateway.startReplicatedStream("r", "plan");
    gateway.advance(1_300);
    const runs = [{ callerAttemptId: call.head.callerAttemptId, events: 60 }];
    const report = { runs, isLeaving: false, startedAt: undefined };
    const effects = gateway.handle({ kind: "serverProbed", backendServer: call.backendServer, report });
    assert.is(callsIn(effects).length, 1);
});

test("a stream that is incomplete at its route's timeout is cut", () => {
    const gateway = TestGateway.serving(server("engine-1"));
    const call = gateway.startStream("r", "plan");
    for (let second = 0; second < 38; second++) {
        gateway.receiveEvents(call, second + 2);
        gateway.advance(1_000);
    }
    assert.ok(kindsIn(gateway.advance(1_100)).includes("answerCut"));
});

test("during a planned stop long streams are refused, to be retried when the balancer has removed the gateway", () => {
    const gateway = gatewayWithEngines();
    gateway.completeStream("earlier", "note");
    gateway.handle({ kind: "stopRequested" });
    assert.ok(failuresIn(gateway.receiveRequest("q", "plan"))[0].retryAfter! >= 3_000);
    // Keeps the process running.
    gateway.handle({ kind: "unsentAnswers", count: 1 });
    gateway.advance(3_400);
    const [failure] = failuresIn(gateway.receiveRequest("r", "plan"));
    assert.equal([failure.type, failure.outcome], ["leaving", "not_run"]);
    assert.ok(failure.retryAfter! < 100);
    assert.is(callsIn(gateway.receiveRequest("s", "note", { maximumTokens: 10 })).length, 1);
});

test("late in a planned stop only streams whose maximum output fits are accepted: estimates are often far off", () => {
    const gateway = gatewayWithEngines();
    gateway.completeStream("earlier", "plan");
    gateway.handle({ kind: "stopRequested" });
    gateway.advance(1_000);
    const few = { maximumTokens: 1_000, estimatedTokens: 20 };
    assert.is(callsIn(gateway.receiveRequest("r", "plan", few)).length, 1);
    gateway.handle({ kind: "callerLeft", requestId: identifier("r") });
    // Keeps the process running.
    gateway.handle({ kind: "unsentAnswers", count: 1 });
    gateway.advance(2_500);
    assert.is(failuresIn(gateway.receiveRequest("s", "plan", few))[0].type, "leaving");
    assert.is(callsIn(gateway.receiveRequest("t", "plan", { maximumTokens: 20 })).length, 1);
});

test("a planned stop waits for streams, and the process exits after the last one", () => {
    const gateway = gatewayWithEngines();
    const call = gateway.startStream("r", "plan");
    gateway.handle({ kind: "stopRequested" });
    assert.not.ok(kindsIn(gateway.advance(4_000)).includes("exit"));
    gateway.handle({ kind: "streamEnded", attemptId: call.attemptId });
    assert.ok(kindsIn(gateway.advance(50)).includes("exit"));
});

test("a planned stop waits for answers that callers still read, and at last ends without them", () => {
    for (const isRead of [true, false]) {
        const gateway = gatewayWithEngines();
        gateway.handle({ kind: "stopRequested" });
        gateway.handle({ kind: "unsentAnswers", count: 1 });
        assert.not.ok(kindsIn(gateway.advance(7_650)).includes("exit"));
        gateway.handle({ kind: "unsentAnswers", count: isRead ? 0 : 1 });
        assert.is(kindsIn(gateway.advance(50)).includes("exit"), isRead);
        assert.is(kindsIn(gateway.advance(50)).includes("exit"), !isRead);
    }
});

test("engines are chosen by the load of all gateways there", () => {
    const gateway = gatewayWithEngines();
    const busy = (backendServer: string) => ({
        backendServer: identifier<never>(backendServer),
        inProgress: 3,
        memoryTokens: 6_000,
        copiedTokens: 0,
        waitingTokens: 3_000,
    });
    gateway.receiveReport({ loads: [busy("engine-1"), busy("engine-3")] });
    const chosen = Array.from({ length: 3 }, (_, index) => gateway.sendRequest(`r${index}`, "note").backendServer);
    assert.equal([...new Set(chosen)], ["engine-2"]);
});

test.run();
