/** A worker starts again under its id after its machine's time of day jumped back, and later announces that it leaves. */
import { send } from "../lib/rawClient.mjs";
import { startPlainWorker } from "../lib/plainWorker.mjs";
import { bounds, configure, newAttemptId, pause, register, runCase, startGateway } from "../lib/world.mjs";

/** How far the time of day jumps back. */
const jump = 2400;
/** How long the worker runs before it crashes, and how long it is away. Together they are shorter than the jump. */
const lifetime = 700;
const downtime = 900;

await runCase(import.meta.url, async world => {
    const arrivals = [];
    for (const index of [0, 1, 2]) {
        const id = `i-desk-${index}`;
        const worker = await startPlainWorker(world, id, {
            workTime: 60,
            onRun: attemptId => arrivals.push({ id, attemptId, at: performance.now() }),
        });
        register(world, id, { service: "desk", address: worker.address, born: Date.now() });
    }
    configure(
        world,
        3,
        [{ name: "book", pathPrefix: "/book/", routeType: "non_idempotent", timeoutMs: 1500, targetLatencyMs: 300, service: "desk" }],
        [{ name: "desk" }],
    );
    const gateway = await startGateway(world, "edge-1");
    await startGateway(world, "edge-2", gateway.controlPlane);
    const statuses = new Map();
    const calls = [];
    const traffic = setInterval(() => {
        calls.push(
            send(gateway.frontend, {
                path: "/book/a", headers: { "Attempt-Id": newAttemptId(), "Deadline-Ms": 1500 }, body: "slot",
            }).result.then(({ status }) => statuses.set(status, (statuses.get(status) ?? 0) + 1)),
        );
    }, 8);
    world.closers.push(() => clearInterval(traffic));
    await pause(4000);

    const id = "i-desk-3";
    const onRun = attemptId => arrivals.push({ id, attemptId, at: performance.now() });
    const before = await startPlainWorker(world, id, { onRun, workTime: 60 });
    const firstBorn = Date.now();
    const firstEntry = register(world, id, { service: "desk", address: before.address, born: firstBorn });
    world.record(`${id} has started`);
    await pause(lifetime);
    firstEntry.stop();
    before.close();
    world.record(`${id} has crashed`);
    await pause(downtime);
    const leaving = await startPlainWorker(world, id, { port: before.port, onRun, workTime: 60 });
    const born = Date.now() - (world.isTroubled ? jump : 0);
    const entry = register(world, leaving.id, { service: "desk", address: leaving.address, born });
    world.record(`${leaving.id} has started again; born was ${firstBorn}, and is ${born}`);
    await pause(5000);

    entry.update({ state: "draining" });
    const acknowledgedAt = performance.now();
    world.record(`the store has accepted that ${leaving.id} is draining`);
    await pause(6000);
    clearInterval(traffic);
    await Promise.all(calls);
    const late = arrivals.filter(({ id, at }) => id === leaving.id && at > acknowledgedAt + bounds.drainMs);
    const since = late.map(({ at }) => Math.round(at - acknowledgedAt));
    world.record(`requests by worker: ${JSON.stringify(Object.fromEntries([...new Set(arrivals.map(a => a.id))].map(w => [w, arrivals.filter(a => a.id === w).length])))}`);
    world.record(`answers by status: ${JSON.stringify([...statuses])}`);
    world.record(`${late.length} requests reached ${leaving.id} later than ${bounds.drainMs} ms after the ack`);
    return late.length === 0
        ? undefined
        : `DRAIN: ${late.length} requests reached ${leaving.id} up to ${Math.max(...since)} ms after the ack of its draining`;
});
