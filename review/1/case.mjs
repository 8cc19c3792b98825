/** The operator takes away the last two API keys. From then on the gateways run requests with any key, and without one. */
import { startPlainWorker } from "../lib/plainWorker.mjs";
import { send } from "../lib/rawClient.mjs";
import { bounds, configure, newAttemptId, pause, register, runCase, startGateway } from "../lib/world.mjs";

const keys = ["qh4t8zr1wmc62ykd05ps", "k7w2mmv0qpl3rr54bcz1"];
/** No configuration ever holds it. */
const foreignKey = "forged0forged0forged";
/** From one revocation to the next. */
const gap = 1500;
/** Beyond `configApplyMs` after the last ack; no `outerMs` applies, since the store is stable. */
const margin = 1000;
const roundsAfter = 5;

await runCase(import.meta.url, async world => {
    const runs = new Map();
    for (const index of [0, 1, 2, 3]) {
        const id = `i-desk-${index}`;
        const worker = await startPlainWorker(world, id, {
            onRun: (attemptId, { headers }) => runs.set(attemptId, headers.tenant),
        });
        register(world, id, { service: "desk", address: worker.address });
    }
    const write = (version, apiKeys) =>
        configure(
            world,
            version,
            [{
                name: "book",
                pathPrefix: "/book/",
                routeType: "non_idempotent",
                timeoutMs: 1500,
                targetLatencyMs: 300,
                service: "desk",
                public: false,
            }],
            [{ name: "desk" }],
            [{ name: "workshop-4", apiKeys }],
        );
    write(3, keys);
    const first = await startGateway(world, "edge-1");
    const gateways = [first, await startGateway(world, "edge-2", first.controlPlane)];
    await pause(3000);

    const ask = async (gateway, key) => {
        const id = newAttemptId();
        const { status } = await send(gateway.frontend, {
            path: "/book/a",
            headers: { "Attempt-Id": id, "Deadline-Ms": 1500, ...(key === undefined ? {} : { "Api-Key": key }) },
            body: "slot",
        }).result;
        const hasRun = runs.has(id);
        world.record(
            `${gateway.name}: ${id} with ${key === undefined ? "no key" : `the key ${key}`}: status ${status}, `
                + (hasRun ? `run for the tenant ${runs.get(id) ?? "(none)"}` : "not run"),
        );
        return hasRun;
    };
    const askAll = async () => {
        const ran = { foreign: 0, none: 0, revoked: 0 };
        for (const gateway of gateways) {
            ran.foreign += await ask(gateway, foreignKey) ? 1 : 0;
            ran.none += await ask(gateway, undefined) ? 1 : 0;
            for (const key of keys) {
                ran.revoked += await ask(gateway, key) ? 1 : 0;
            }
        }
        return ran;
    };
    const before = await askAll();
    if (before.foreign + before.none > 0 || before.revoked !== gateways.length * keys.length) {
        throw new Error("the keys were not in force before the revocation");
    }

    if (world.isTroubled) {
        write(7, keys.slice(1));
        await pause(gap);
        write(12, []);
    }
    await pause(bounds.configApplyMs + margin);
    const after = { foreign: 0, none: 0, revoked: 0 };
    for (let round = 0; round < roundsAfter; round++) {
        const ran = await askAll();
        Object.keys(after).forEach(name => after[name] += ran[name]);
        await pause(500);
    }
    world.record(`after the last ack: ${JSON.stringify(after)} requests ran`);
    const asked = roundsAfter * gateways.length;
    return after.foreign === 0
        ? undefined
        : `ROUTE: ${after.foreign} of ${asked} requests ran whose key no configuration ever held, ${after.none} of ${asked} without a key`
            + (world.isTroubled
                ? `; ${after.revoked} of ${asked * keys.length} ran with keys that had been taken away`
                : "");
});
