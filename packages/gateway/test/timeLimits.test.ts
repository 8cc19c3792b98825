/**
 * Time limits of requests that may have waited before they were read.
 */
import type { GatewayEffect } from "@verbenaspring/gateway";
import { identifier } from "@verbenaspring/model";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { callsIn, failuresIn, kindsIn, requestHead, server, TestGateway } from "./gatewayBuilders.js";

/** How long a request may have waited for a delayed loop. It may as well have been sent when it was read. */
const readDelay = 250;

/** Receives a request that arrived a while ago at the earliest, by default as its loop was delayed. */
function receive(
    gateway: TestGateway,
    routeName: string,
    overrides: { readonly timeLimit?: number; } = {},
    arrival = { receivedBefore: readDelay, readDelay },
): GatewayEffect[] {
    return gateway.handle({
        kind: "requestReceived",
        requestId: identifier(routeName),
        head: requestHead(routeName, routeName, overrides),
        contentDigest: identifier(routeName),
        receivedAt: gateway.now - arrival.receivedBefore,
        readDelay: arrival.readDelay,
    });
}

// The limit counted from the earliest time at which the request can have been sent.
test("a begun stream is not cut while its time limit may not have been reached", () => {
    const gateway = TestGateway.serving(server("engine-1"));
    const [call] = callsIn(receive(gateway, "note"));
    gateway.openStream(call);
    let cutAfter: number | undefined;
    for (let age = 100, id = 1; age <= 6_400 && cutAfter === undefined; age += 100, id++) {
        const kinds = kindsIn([...gateway.advance(100), ...gateway.receiveEvents(call, id)]);
        cutAfter = kinds.includes("answerCut") ? age : undefined;
    }
    assert.ok(cutAfter !== undefined && cutAfter >= 6_000, `cut after ${cutAfter} ms of 6000`);
});

// The time of a body that comes in pieces counted as time in which the request was kept waiting.
test("a begun stream whose body took time is not cut while its time limit since then may not have been reached", () => {
    const gateway = TestGateway.serving(server("engine-1"));
    const [call] = callsIn(receive(gateway, "note", {}, { receivedBefore: 200, readDelay: 0 }));
    assert.is(call.timeLeft, 6_000);
    gateway.openStream(call);
    gateway.receiveEvents(call, 1);
    assert.not.ok(kindsIn(gateway.advance(5_950)).includes("answerCut"));
    assert.ok(kindsIn(gateway.advance(50)).includes("answerCut"));
});

// Whether there was time to send it again was decided by the earliest end of the limit, which the stream itself had passed.
test("a begun stream that is lost while its time limit may not have been reached is continued", () => {
    for (const routeName of ["plan", "note"]) {
        const gateway = TestGateway.serving(server("engine-1"), server("engine-2"), server("engine-3"));
        const [call] = callsIn(receive(gateway, routeName, { timeLimit: 5_000 }));
        gateway.openStream(call);
        for (let event = 1; event <= 48; event++) {
            gateway.receiveEvents(call, event);
            gateway.advance(100);
        }
        const [next] = callsIn(gateway.failAttempt(call));
        assert.ok(next !== undefined, `${routeName}, 4,800 ms after it was read`);
        assert.is(next.timeLeft, 200);
    }
});

// Its server closes the channel then, as at the end of the stream.
test("an unframed stream that ends when its time limit is over is not complete", () => {
    for (const isComplete of [true, false]) {
        const gateway = TestGateway.serving(server("engine-1"));
        const [call] = callsIn(receive(gateway, "note", {}, { receivedBefore: 0, readDelay: 0 }));
        gateway.openStream(call, { endsWithChannel: true });
        gateway.receiveEvents(call, 1);
        gateway.advance(5_950);
        gateway.now += isComplete ? 0 : 49;
        const ended = kindsIn(gateway.handle({ kind: "streamEnded", attemptId: call.attemptId }));
        assert.is(ended.includes("answerCut"), !isComplete);
        assert.is(kindsIn(gateway.reportEnd(call.attemptId)).includes("answerEnd"), isComplete);
    }
});

test("a framed stream that ends when its time limit is over is complete", () => {
    const gateway = TestGateway.serving(server("engine-1"));
    const [call] = callsIn(receive(gateway, "note", {}, { receivedBefore: 0, readDelay: 0 }));
    gateway.openStream(call);
    gateway.receiveEvents(call, 1);
    gateway.advance(5_950);
    gateway.now += 49;
    assert.ok(kindsIn(gateway.handle({ kind: "streamEnded", attemptId: call.attemptId })).includes("answerEnd"));
});

test("a request without an answer gets its final answer by the earliest end of its time limit", () => {
    const gateway = TestGateway.serving(server("plain-1"), server("engine-1"));
    ["note", "confirm"].forEach(routeName => receive(gateway, routeName, { timeLimit: 2_000 }));
    assert.equal(failuresIn(gateway.advance(1_750)).map(({ type }) => type), [
        "deadline_exceeded",
        "deadline_exceeded",
    ]);
});

test.run();
