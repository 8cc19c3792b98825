/**
 * A planned stop of a gateway that reads the request to stop late.
 */
import { createServer } from "node:http";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { GatewayCluster, registerServer } from "./gatewayCluster.js";

/** When the platform kills the process, from the signal on. */
const grace = 8_000;
const delay = 700;
/** What a process that ends by itself has to spare. */
const spareTime = 100;

// The stop was counted from when the signal was read, so the process was killed before it gave its last answers.
test("a gateway that reads the signal to stop late gives its last answers before it is killed", async () => {
    const cluster = await GatewayCluster.start(1);
    const server = createServer(request => request.resume());
    let kill: NodeJS.Timeout | undefined;
    try {
        cluster.configure(2, [], cluster.store, 60_000);
        await registerServer(cluster, server, 8);
        const [gateway] = cluster.gateways;
        const answers = ["a", "b", "c"].map(name => cluster.sendRequest(gateway, `/confirm/${name}`));
        await new Promise(resolve => setTimeout(resolve, 500));
        gateway.child.kill("SIGSTOP");
        gateway.child.kill("SIGTERM");
        kill = setTimeout(() => gateway.child.kill("SIGKILL"), grace);
        await new Promise(resolve => setTimeout(resolve, delay));
        gateway.child.kill("SIGCONT");
        const statuses = (await Promise.allSettled(answers)).map(answer =>
            answer.status === "fulfilled" ? answer.value.status : String(answer.reason)
        );
        assert.equal(statuses, [504, 504, 504]);
        assert.is(await gateway.exited, 0);
    }
    finally {
        clearTimeout(kill);
        await cluster.stop();
        server.closeAllConnections();
        server.close();
    }
});

// The process ended 8,272 ms after the signal, when the platform had killed it.
test("a stop that is read late ends before its time is over, and logs the stream that it cuts", async () => {
    const cluster = await GatewayCluster.start(1);
    try {
        await cluster.addServer("e1", "engine", 50, 400);
        const [gateway] = cluster.gateways;
        const answer = cluster.sendRequest(gateway, "/plan/long", { attemptId: "long" });
        await new Promise(resolve => setTimeout(resolve, 500));
        const signalledAt = performance.now();
        gateway.child.kill("SIGSTOP");
        gateway.child.kill("SIGTERM");
        await new Promise(resolve => setTimeout(resolve, delay));
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
