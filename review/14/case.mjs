/**
 * A worker leaves and exits once its drain time is over and its work is done, while the gateway that has streams there is
 * stopped. The streams have no length and end with their channels. TROUBLE=0: neither leaves.
 */
import { fileURLToPath } from "node:url";
import { startEngine, streamOf } from "../lib-3/engine.mjs";
import { openChannel, pause, runCase } from "../lib-3/world.mjs";

const streams = 8;
const events = 21;
const eventMs = 100;
const drainMs = 2_000;
/** From the end of a worker's last stream to its exit, once its drain time is over. */
const exitAfterMs = 300;
const leavesAfterMs = 200;
const stopAfterMs = 100;

await runCase(fileURLToPath(new URL("record.txt", import.meta.url)), async (world, hasTrouble) => {
    let running = 0;
    let notify = () => undefined;
    const start = instance =>
        startEngine(instance, { events, eventMs }, text => {
            running += text.startsWith("runs") ? 1 : text.startsWith("has ended") ? -1 : 0;
            world.record(`worker ${instance} ${text}`);
            notify();
        });
    const until = async condition => {
        while (!condition()) {
            await new Promise(resolve => notify = resolve);
        }
    };
    const [leaving, staying] = [await start("i-1"), await start("i-2")];
    world.configure(1, {
        routes: [{
            name: "plan",
            hostname: "clinic.example",
            pathPrefix: "/plan/",
            routeType: "streaming",
            timeoutMs: 39_000,
            targetLatencyMs: 1_800,
            priority: 1,
            service: "llm",
            maxAttempts: 1,
            public: false,
            sessionAffinity: true,
            streamResume: false,
            itlTargetMs: 180,
        }],
        services: [{
            name: "llm",
            healthCheckPath: "/healthz",
            maxConnections: 572,
            protocol: "h1",
            tls: false,
            backend: {
                slots: 96,
                kvCapacity: 34_609,
                kvBytes: 18_432,
                linkMbps: 2_700,
                migrations: true,
                replicas: true,
                stride: 4,
                most: 12,
                pinMs: 4_000,
                holdMs: 2_000,
                handleTtlS: 5,
                modelList: [{ name: "m" }],
            },
        }],
    });
    const entryOf = engine => ({ service: "llm", address: engine.address, slots: 96, phase: "colocated" });
    const entry = world.register("i-1", entryOf(leaving));
    const gateway = await world.startGateway("edge-1", { bounds: { drainMs } });
    await pause(500);
    let count = 0;
    const ask = async channel => {
        const id = `s${++count}`;
        const { status, body, isComplete, end } = await channel.send({
            path: "/plan/1",
            id,
            headers: {
                "Deadline-Ms": "39000",
                "Model": "m",
                "Token-Usage": "100,400",
                "Length-Hint": "8",
                "Prefix-Hash": `5c1e07a2:60,${id}:40`,
            },
            body: "{}",
        });
        const isWhole = body === streamOf(id, events);
        world.record(
            `client gets ${id}: ${status}, ${isWhole ? "all events" : `${body.length} bytes`}, `
                + `${isComplete ? "complete" : `channel ends: ${end}`}`,
        );
        return isComplete && isWhole;
    };
    const channels = await Promise.all(Array.from({ length: streams }, () => openChannel(gateway.frontend)));
    await Promise.all(channels.map(ask));
    world.record("all channels have had an answer");
    await pause(500);
    const answered = Promise.all(channels.map(ask));
    await until(() => running === streams);
    world.register("i-2", entryOf(staying));
    await pause(leavesAfterMs);
    let exited = Promise.resolve();
    if (hasTrouble) {
        entry.update({ state: "draining" });
        world.record("the store accepts that worker i-1 is draining");
        const drained = pause(drainMs);
        exited = until(() => running === 0).then(() => Promise.all([drained, pause(exitAfterMs)])).then(() => {
            entry.remove();
            leaving.close();
            world.record("worker i-1 has exited");
        });
        await pause(stopAfterMs);
        gateway.child.kill("SIGTERM");
        world.record("the gateway gets SIGTERM");
    }
    const lost = (await answered).filter(isGood => !isGood).length;
    world.record(
        `${lost} of ${streams} requests were passed on to a worker, and their channels ended without a complete answer`,
    );
    await exited;
    leaving.close();
    staying.close();
    return lost === 0;
});
