/**
 * Streams with neither a length nor chunks, whose run is stopped by a call that took effect late: after it was given up, or
 * after the stream had returned to the server that was asked.
 */
import type { BackendCall, GatewayEffect, MigrationResult } from "@verbenaspring/gateway";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { callsIn, eventsIn, kindsIn, server, stopsIn, TestGateway } from "./gatewayBuilders.js";

const unframed = { endsWithChannel: true };
const copied: MigrationResult = { kind: "moved", handle: "h" };
const unanswered: MigrationResult = { kind: "failed", detail: "no answer" };
const noRun: MigrationResult = { kind: "refused", status: 404 };
const busy: MigrationResult = { kind: "refused", status: 409 };

/** Ends the channel of a stream whose server then lists no run. */
function endWithoutRun(gateway: TestGateway, { attemptId }: BackendCall): GatewayEffect[] {
    return [...gateway.handle({ kind: "streamEnded", attemptId }), ...gateway.reportEnd(attemptId)];
}

const isComplete = (effects: readonly GatewayEffect[]): boolean => kindsIn(effects).includes("answerEnd");

/** A stream at a server that leaves, which went on after a stop that was not answered and was asked to stop again. */
function stoppedTwice() {
    const gateway = TestGateway.serving(server("engine-1"));
    const call = gateway.sendRequest("r", "plan", { promptTokens: 500, maximumTokens: 1_000 });
    gateway.openStream(call, unframed);
    gateway.receiveEvents(call, 1);
    gateway.register(server("engine-2"));
    gateway.register(server("engine-1", { isDraining: true, heartbeat: 100 }));
    assert.is(stopsIn(gateway.answerMove(call.attemptId, copied)).length, 1);
    gateway.answerMove(call.attemptId, unanswered);
    const effects: GatewayEffect[] = [];
    for (let event = 2; event <= 12; event++) {
        effects.push(...gateway.advance(100), ...gateway.receiveEvents(call, event));
    }
    assert.ok(effects.some(effect => effect.kind === "migrateRun" && !effect.isStopping));
    assert.is(stopsIn(gateway.answerMove(call.attemptId, copied)).length, 1);
    return { gateway, call };
}

// A later stop was refused, and the end of the channel was then taken for that of the stream.
for (const [name, result] of [["knows no such run", noRun], ["is still at the first call", busy]] as const) {
    test(`an unframed stream goes on after a stop that took effect late, where the server of the next one ${name}`, () => {
        const { gateway, call } = stoppedTwice();
        gateway.answerMove(call.attemptId, result);
        const effects = endWithoutRun(gateway, call);
        assert.not.ok(isComplete(effects));
        const [next] = callsIn(effects);
        assert.equal([next.backendServer, Number(next.lastEvent), next.continuesFrom?.name], ["engine-2", 12, "h"]);
    });
}

test("an unframed stream goes on if its channel ends before the server of a second stop says that it knows no run", () => {
    const { gateway, call } = stoppedTwice();
    const effects = [
        ...gateway.handle({ kind: "streamEnded", attemptId: call.attemptId }),
        ...gateway.answerMove(call.attemptId, noRun),
        ...gateway.reportEnd(call.attemptId),
    ];
    assert.not.ok(isComplete(effects));
    assert.is(Number(callsIn(effects)[0].lastEvent), 12);
});

/**
 * A stream that continued at another engine, returned to the first one, and was lost there. The engine that continued it is
 * asked to stop what it has of it, and the stream continues there once more.
 */
function returnedStream() {
    const gateway = TestGateway.serving(server("engine-1"), server("engine-2"), server("engine-3"));
    const call = gateway.sendRequest("r", "plan");
    gateway.openStream(call, unframed);
    gateway.receiveEvents(call, 1);
    gateway.produceEvents(call);
    const probed = { kind: "serverProbed", backendServer: call.backendServer, report: undefined } as const;
    const [left] = callsIn([...gateway.advance(1_300), ...gateway.handle(probed)]);
    assert.is(stopsIn(gateway.receiveEvents(call, 17)).length, 1);
    const [next] = callsIn(gateway.failAttempt(call));
    assert.is(next.backendServer, left.backendServer);
    gateway.openStream(next, unframed);
    assert.equal(eventsIn(gateway.receiveEvents(next, 18, 19)), [18, 19]);
    return { gateway, left, next };
}

for (
    const [name, results] of [
        ["is not answered yet", []],
        ["was given up", [unanswered]],
        ["has stopped a run", [copied]],
    ] as const
) {
    test(`an unframed stream is not complete where a stop of an earlier run at its server ${name}`, () => {
        const { gateway, left, next } = returnedStream();
        results.forEach(result => gateway.answerMove(left.attemptId, result));
        assert.not.ok(isComplete(endWithoutRun(gateway, next)));
    });
}

test("an unframed stream is complete where a stop of an earlier run at its server found no run", () => {
    const { gateway, left, next } = returnedStream();
    gateway.answerMove(left.attemptId, noRun);
    assert.ok(isComplete(endWithoutRun(gateway, next)));
});

test.run();
