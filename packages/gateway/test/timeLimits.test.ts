/**
 * Time limits of requests that may have waited before they were read.
 */
import { identifier } from "@verbenaspring/model";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { callsIn, failuresIn, kindsIn, requestHead, server, TestGateway } from "./gatewayBuilders.js";

/** How long a request may have waited for a delayed loop. It may as well have been sent when it was read. */
const readDelay = 250;

// The limit counted from the earliest time at which the request can have been sent.
test("a begun stream is not cut while its time limit may not have been reached", () => {
    const gateway = TestGateway.serving(server("engine-1"));
    const effects = gateway.handle({
        kind: "requestReceived",
        requestId: identifier("note"),
        head: requestHead("note", "note"),
        contentDigest: identifier("note"),
        receivedAt: gateway.now - readDelay,
        readDelay,
    });
    const [call] = callsIn(effects);
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
    const effects = gateway.handle({
        kind: "requestReceived",
        requestId: identifier("note"),
        head: requestHead("note", "note"),
        contentDigest: identifier("note"),
        receivedAt: gateway.now - 200,
        readDelay: 0,
    });
    const [call] = callsIn(effects);
    assert.is(call.timeLeft, 6_000);
    gateway.openStream(call);
    gateway.receiveEvents(call, 1);
    assert.not.ok(kindsIn(gateway.advance(5_950)).includes("answerCut"));
    assert.ok(kindsIn(gateway.advance(50)).includes("answerCut"));
});

test("a request without an answer gets its final answer by the earliest end of its time limit", () => {
    const gateway = TestGateway.serving(server("plain-1"), server("engine-1"));
    for (const name of ["note", "confirm"]) {
        gateway.handle({
            kind: "requestReceived",
            requestId: identifier(name),
            head: requestHead(name, name, { timeLimit: 2_000 }),
            contentDigest: identifier(name),
            receivedAt: gateway.now - readDelay,
            readDelay,
        });
    }
    assert.equal(failuresIn(gateway.advance(1_750)).map(({ type }) => type), [
        "deadline_exceeded",
        "deadline_exceeded",
    ]);
});

test.run();
