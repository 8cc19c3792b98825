/**
 * Time limits of requests that may have waited before they were read.
 */
import { identifier } from "@verbenaspring/model";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { callsIn, kindsIn, requestHead, server, TestGateway } from "./gatewayBuilders.js";

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

test.run();
