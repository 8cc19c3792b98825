/**
 * The log lines that tell of which runs the answer to a stream is made.
 */
import { identifier } from "@verbenaspring/model";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { callsIn, eventId, linesIn, server, TestGateway } from "./gatewayBuilders.js";

const gatewayWithEngines = (): TestGateway =>
    TestGateway.serving(server("engine-1"), server("engine-2"), server("engine-3"));

const partsIn = (effects: Parameters<typeof linesIn>[0]): unknown[] =>
    linesIn(effects, "stream_part_ended").map((
        { server: id, source, after, firstEvent, lastPartEvent, readEvents },
    ) => [
        id,
        source,
        after,
        firstEvent,
        lastPartEvent,
        readEvents,
    ]);

test("each run of a stream has a line with what it went on from, and the first and last event that the answer takes from it", () => {
    const gateway = gatewayWithEngines();
    const call = gateway.startReplicatedStream("r", "plan");
    const lost = gateway.failAttempt(call);
    const [next] = callsIn(lost);
    assert.equal(partsIn(lost), [[call.backendServer, "beginning", undefined, "1", "16", 16]]);
    gateway.openStream(next);
    gateway.receiveEvents(next, 16, 17, 18);
    const ended = gateway.handle({ kind: "streamEnded", attemptId: next.attemptId });
    assert.equal(partsIn(ended), [[next.backendServer, "replica", "16", "17", "18", 3]]);
});

test("a stream that a caller takes up has a line with the last event that the caller has", () => {
    const gateway = gatewayWithEngines();
    const call = gateway.sendRequest("r", "note", { lastEvent: eventId(7) });
    gateway.openStream(call, { weightVersion: 3 });
    gateway.receiveEvents(call, 8, 9);
    const ended = gateway.handle({ kind: "streamEnded", attemptId: call.attemptId });
    assert.equal(partsIn(ended), [[call.backendServer, "take_up", "7", "8", "9", 2]]);
    assert.is(linesIn(ended, "stream_part_ended")[0].weightVersion, 3);
});

test("the line of a run tells whether its server leaves or has started again", () => {
    const gateway = TestGateway.serving(server("engine-1", { startedAt: 1 }));
    const call = gateway.startStream("r", "plan", { maximumTokens: 8 });
    gateway.register(server("engine-1", { startedAt: 2, isDraining: true }));
    gateway.now += 40;
    const [line] = linesIn(gateway.failAttempt(call), "stream_part_ended");
    assert.equal([line.serverStartedAt, line.serverLeavingFor, line.hasServerRestarted], [1, 40, true]);
});

test("a run that can't go on within an answer has a line with the events that were taken before", () => {
    const gateway = gatewayWithEngines();
    const call = gateway.sendRequest("r", "note");
    gateway.openStream(call);
    assert.equal(partsIn(gateway.receiveEvents(call, 4, 2)), [[
        call.backendServer,
        "beginning",
        undefined,
        "4",
        "4",
        0,
    ]]);
    assert.is(gateway.state.requests.get(identifier("r")), undefined);
});

test.run();
