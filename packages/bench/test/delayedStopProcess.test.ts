/**
 * A planned stop of a gateway whose loop is delayed when the signal arrives.
 */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { GatewayCluster } from "./gatewayCluster.js";

const pause = (duration: number): Promise<void> => new Promise(resolve => setTimeout(resolve, duration));

/** For how long the loop can't handle the signal. */
const delay = 700;
/** When the platform kills the process, from the signal on. */
const grace = 8_000;
/** What the process has to spare when it ends by itself. */
const spareTime = 100;

// The stop counted from when the signal was handled, so that the platform killed the process with its streams and without a line.
test("a stop whose signal is handled late ends before its time is over", async () => {
    const cluster = await GatewayCluster.start(1);
    try {
        await cluster.addServer("e1", "engine", 50, 400);
        const [gateway] = cluster.gateways;
        const answer = cluster.sendRequest(gateway, "/plan/long", { attemptId: "long" });
        await pause(500);
        const signalledAt = performance.now();
        gateway.child.kill("SIGSTOP");
        gateway.child.kill("SIGTERM");
        await pause(delay);
        gateway.child.kill("SIGCONT");
        const { isComplete } = await answer;
        assert.is(await gateway.exited, 0);
        const elapsed = performance.now() - signalledAt;
        assert.not(isComplete);
        assert.match(gateway.output(), /event=request_failed .*request=long .*reason=leaving/);
        assert.ok(elapsed < grace - spareTime, `the process ended after ${Math.round(elapsed)} ms`);
    }
    finally {
        await cluster.stop();
    }
});

test.run();
