/**
 * Tests of the network between processes in virtual time.
 */
import { VirtualClock, VirtualNetwork } from "@verbenaspring/emulator";
import { test } from "uvu";
import * as assert from "uvu/assert";

test("what a process sends over a path that falls behind arrives later and later, in order, until the path recovers", () => {
    const clock = new VirtualClock();
    const network = new VirtualNetwork(clock, () => 0, { minimum: 1, spread: 0 });
    const channel = network.open("one", "other");
    const arrivals: (readonly [string, number])[] = [];
    network.fallBehind("one", "other", { growth: 0.5, limit: 300, duration: 1_000 });
    for (const sentAt of [0, 400, 900, 1_000, 1_300]) {
        clock.advanceTo(sentAt);
        channel.send("upstream", () => arrivals.push([`sent at ${sentAt}`, clock.now]));
        channel.send("downstream", () => arrivals.push([`answer of ${sentAt}`, clock.now]));
    }
    clock.advanceTo(3_000);
    assert.equal(arrivals, [
        ["sent at 0", 1],
        ["answer of 0", 1],
        ["answer of 400", 401],
        ["sent at 400", 601],
        ["answer of 900", 901],
        ["answer of 1000", 1_001],
        ["sent at 900", 1_201],
        ["sent at 1000", 1_201],
        ["sent at 1300", 1_301],
        ["answer of 1300", 1_301],
    ]);
});

test.run();
