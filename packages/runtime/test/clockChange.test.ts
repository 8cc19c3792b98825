import { test } from "uvu";
import * as assert from "uvu/assert";

// A clock that went back by seconds stopped reads, reports and timeouts for as long (CONFIG).
test("ticks continue at their interval when the time of day jumps", async () => {
    const clock = { change: 0 };
    const systemNow = Date.now;
    // Replaced before the loop and its libraries are loaded, since they may keep a reference to the function.
    Date.now = () => systemNow() + clock.change;
    const { createEventChannel, runLoop } = await import("@verbenaspring/runtime");
    let ticks = 0;
    runLoop<{ readonly kind: "tick"; }, never>({
        sources: [createEventChannel<{ readonly kind: "tick"; }>().stream],
        tick: { kind: "tick" },
        tickInterval: 20,
        observeTick: () => ticks++,
        reduce: () => [],
        perform: () => undefined,
        handleError: error => assert.unreachable(String(error)),
    });
    for (const change of [-10_000, 10_000, 0]) {
        await pause(100);
        clock.change = change;
        // The timer that was set before the jump.
        await pause(50);
        ticks = 0;
        await pause(400);
        // 20 are due; the bounds allow for a busy machine, and for no tick that makes up for others.
        assert.ok(ticks >= 5 && ticks <= 25, `${ticks} ticks after the time of day changed to ${change} ms`);
    }
    Date.now = systemNow;
});

function pause(duration: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, duration));
}

// The loop runs until the process ends.
test.after(() => void setImmediate(() => process.exit()));
test.run();
