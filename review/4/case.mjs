/** Two workers leave. A stream is migrated to the third while the first, which does not see a close as an order, works on. */
import { engineBackend, startEngine } from "../lib/engine.mjs";
import { send } from "../lib/rawClient.mjs";
import { configure, newAttemptId, pause, register, runCase, startGateway } from "../lib/world.mjs";

const events = 234;
/** The rule allows the worker before to work on for so long. */
const allowedOverlap = 400;

await runCase(import.meta.url, async world => {
    const engines = [];
    for (const index of [0, 1, 2]) {
        engines.push(await startEngine(world, `i-engine-${index}`, { events, eventInterval: 40, readTime: 300 }));
    }
    engines.forEach(engine => engines.forEach(other => engine.peers.set(other.address, other)));
    const entries = engines.map(({ id, address, born }) =>
        register(world, id, { service: "planner", address, slots: 96, born })
    );
    configure(
        world,
        3,
        [{
            name: "plan",
            pathPrefix: "/plan/",
            routeType: "streaming",
            itlTargetMs: 180,
            service: "planner",
            sessionAffinity: true,
        }],
        [{ name: "planner", backend: engineBackend }],
    );
    const gateway = await startGateway(world, "edge-1");
    await startGateway(world, "edge-2", gateway.controlPlane);
    await pause(4500);

    const id = newAttemptId();
    world.record(`the client sends ${id}`);
    const call = send(gateway.frontend, {
        path: "/plan/a",
        headers: {
            "Attempt-Id": id,
            "Deadline-Ms": 39000,
            Model: "m",
            "Token-Usage": "3000,936",
            "Prefix-Hash": "5c1e:48,91bd:32,e440:2920",
        },
        body: "prompt",
    });
    await pause(2500);
    const first = engines.find(({ runs }) => runs.length > 0);
    const replica = engines.find(({ address }) => address === first.runs[0].replicaAddress)
        ?? engines.find(engine => engine !== first);
    if (world.isTroubled) {
        for (const leaving of [replica, first]) {
            leaving.isDraining = true;
            entries[engines.indexOf(leaving)].update({ state: "draining" });
            world.record(`the store has accepted that ${leaving.id} is draining`);
            await pause(1000);
        }
    }
    const { status, body, end, isComplete } = await call.result;
    const last = [...body.toString().matchAll(/^id: (\d+)$/gm)].at(-1)?.[1];
    world.record(
        `the client has status ${status}, events up to ${last}, channel ${end}: ${
            isComplete ? "complete" : "incomplete"
        }`,
    );
    const runs = engines.flatMap(engine => engine.runs).sort((one, other) => one.startedAt - other.startedAt);
    const broken = runs.slice(1).flatMap((run, index) => {
        const before = runs[index];
        const overlap = (before.endedAt ?? performance.now()) - run.startedAt;
        world.record(`${before.worker} worked on for ${Math.round(overlap)} ms after ${run.worker} had begun to go on`);
        return overlap > allowedOverlap
            ? [`TWICE: ${id} went on at ${run.worker} while ${before.worker} still worked on it ${
                Math.round(overlap)
            } ms later`]
            : [];
    });
    return broken.length === 0 ? undefined : broken.join("; ");
});
