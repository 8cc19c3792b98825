/** A faulty worker sends two answers whose status lines are no HTTP. The whole gateway stands still for seconds. */
import { createServer } from "node:net";
import { startPlainWorker } from "../lib/plainWorker.mjs";
import { send } from "../lib/rawClient.mjs";
import { configure, isReady, newAttemptId, pause, register, runCase, startGateway } from "../lib/world.mjs";

const timeoutMs = 1500;
/** The rule: an answer is due this long after the route's time-out. */
const answerMargin = 500;
const interval = 15;
const trafficTime = 20_000;
/** Bytes that are no answer in the protocol: no status, and an upgrade that nobody asked for. */
const spoiltAnswers = ["HTTP/1.1 000 \r\nContent-Length: 2\r\n\r\nno", "HTTP/1.1 101 \r\nContent-Length: 2\r\n\r\nno"];

await runCase(import.meta.url, async world => {
    for (const index of [0, 1, 2]) {
        const id = `i-desk-${index}`;
        register(world, id, { service: "desk", address: (await startPlainWorker(world, id, { workTime: 60 })).address });
    }
    // The faulty worker passes its channels on to a sound one, and replaces two of the answers.
    const sound = await startPlainWorker(world, "i-desk-3", { workTime: 60 });
    let answersToSpoil = [];
    const { connect } = await import("node:net");
    const faulty = createServer(socket => {
        const [host, port] = sound.address.split(":");
        const upstream = connect({ host, port: Number(port), noDelay: true });
        socket.pipe(upstream);
        upstream.on("data", piece => {
            const spoilt = answersToSpoil.shift();
            if (spoilt === undefined) {
                return socket.write(piece);
            }
            world.record(`the worker answers with ${JSON.stringify(spoilt)}`);
            socket.end(spoilt);
        });
        [socket, upstream].forEach(each => each.on("error", () => undefined));
        socket.on("close", () => upstream.destroy());
        upstream.on("close", () => socket.end());
    });
    await new Promise(resolve => faulty.listen(0, "127.0.0.1", resolve));
    world.closers.push(() => faulty.close());
    register(world, "i-desk-3", { service: "desk", address: `127.0.0.1:${faulty.address().port}` });
    configure(
        world,
        3,
        [{ name: "book", pathPrefix: "/book/", routeType: "non_idempotent", timeoutMs, targetLatencyMs: 300, service: "desk" }],
        [{ name: "desk" }],
    );
    const gateway = await startGateway(world, "edge-1");
    await startGateway(world, "edge-2", gateway.controlPlane);
    await pause(4000);

    const calls = [];
    const readiness = [];
    const startedAt = performance.now();
    const probes = setInterval(() => void isReady(gateway).then(ready => readiness.push(ready)), 1000);
    world.closers.push(() => clearInterval(probes));
    while (performance.now() - startedAt < trafficTime) {
        const sentAt = performance.now();
        calls.push(
            send(gateway.frontend, {
                path: "/book/a", headers: { "Attempt-Id": newAttemptId(), "Deadline-Ms": 3000 }, body: "slot",
            }).result.then(({ status }) => ({ status, took: performance.now() - sentAt })),
        );
        if (world.isTroubled && calls.length === Math.round(5000 / interval)) {
            answersToSpoil = [...spoiltAnswers];
        }
        await pause(interval);
    }
    const answers = await Promise.all(calls);
    clearInterval(probes);
    const statuses = new Map();
    answers.forEach(({ status }) => statuses.set(status, (statuses.get(status) ?? 0) + 1));
    const unanswered = answers.filter(({ took }) => took > timeoutMs);
    const late = unanswered.filter(({ took }) => took > timeoutMs + answerMargin);
    world.record(`${answers.length} requests by status: ${JSON.stringify([...statuses])}`);
    world.record(`readiness each second: ${readiness.map(ready => ready ? "200" : "none").join(" ")}`);
    world.record(`unanswered ${timeoutMs} ms after they were sent: ${unanswered.length}, and ${answerMargin} ms later: ${late.length}`);
    world.record(`the longest answer took ${Math.round(Math.max(...answers.map(({ took }) => took)))} ms`);
    return late.length > unanswered.length / 2
        ? `CONFIG: of ${unanswered.length} requests that were unanswered at the route's timeoutMs, ${late.length} had no answer ${answerMargin} ms later`
        : undefined;
});
