/**
 * Tests of the relay that injects faults.
 */
import { startFaultRelay } from "@verbenaspring/bench";
import { pause } from "@verbenaspring/stand-ins";
import { type AddressInfo, connect, createServer } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";

test("bytes in a direction that falls behind arrive in order, later and later", async () => {
    const received: { readonly text: string; readonly at: number; }[] = [];
    const server = createServer(socket => {
        socket.on("data", data => received.push({ text: String(data), at: performance.now() }));
        // The relay resets its connections when it closes.
        socket.on("error", () => undefined);
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const relay = await startFaultRelay(`127.0.0.1:${(server.address() as AddressInfo).port}`);
    const [host, port] = relay.address.split(":");
    const socket = connect(Number(port), host);
    await new Promise<void>(resolve => socket.once("connect", resolve));
    relay.fallBehind("upstream", { growth: 0.5, limit: 200 });
    relay.fallBehind("downstream", { growth: 1, limit: 5_000 });
    const sentAt: number[] = [];
    for (const text of ["first", "second", "third"]) {
        await pause(250);
        sentAt.push(performance.now());
        socket.write(text);
    }
    relay.delay(0);
    await pause(400);
    socket.destroy();
    relay.close();
    server.close();
    assert.equal(received.map(({ text }) => text), ["first", "second", "third"]);
    const delays = received.map(({ at }, index) => at - sentAt[index]);
    assert.ok(delays[0] >= 100 && delays[1] >= 200, `${delays.map(Math.round).join(", ")} ms`);
});

test.run();
