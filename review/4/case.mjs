/** One client names a number of prompt tokens that is no size of a prompt. Ordinary clients are refused from then on. */
import { send } from "../lib/rawClient.mjs";
import { startPlainWorker } from "../lib/plainWorker.mjs";
import { configure, newAttemptId, pause, register, runCase, startGateway } from "../lib/world.mjs";

/** Ordinary requests of each kind: 20 a second for 25 s, to both gateways in turn. */
const rounds = 500;
const interval = 50;

await runCase(import.meta.url, async world => {
    let runs = 0;
    const services = ["desk", "lookup"];
    for (const service of services) {
        for (const index of [0, 1, 2]) {
            const id = `i-${service}-${index}`;
            const worker = await startPlainWorker(world, id, { onRun: () => runs++ });
            register(world, id, { service, address: worker.address });
        }
    }
    configure(
        world,
        3,
        services.map(service => ({
            name: service, pathPrefix: `/${service}/`, routeType: "non_idempotent", timeoutMs: 1500, targetLatencyMs: 300,
            service,
        })),
        services.map(name => ({ name })),
    );
    const first = await startGateway(world, "edge-1");
    const gateways = [first, await startGateway(world, "edge-2", first.controlPlane)];
    await pause(4000);
    const call = (gateway, service, headers = {}) =>
        send(gateway.frontend, {
            path: `/${service}/a`, headers: { "Attempt-Id": newAttemptId(), "Deadline-Ms": 1500, ...headers }, body: "slot",
        }).result;

    if (world.isTroubled) {
        for (const gateway of gateways) {
            for (const _ of [0, 1, 2]) {
                const { status } = await call(gateway, "desk", { "Token-Usage": `${"9".repeat(310)},1` });
                world.record(`${gateway.name}: a request with 310 digits of prompt tokens has status ${status}`);
            }
        }
    }
    const served = new Map(services.map(service => [service, 0]));
    const statuses = new Map();
    const calls = [];
    for (let round = 0; round < rounds; round++) {
        for (const service of services) {
            calls.push(call(gateways[round % gateways.length], service).then(({ status, isComplete }) => {
                served.set(service, served.get(service) + (status === 200 && isComplete ? 1 : 0));
                statuses.set(`${service} ${status}`, (statuses.get(`${service} ${status}`) ?? 0) + 1);
            }));
        }
        await pause(interval);
    }
    await Promise.all(calls);
    world.record(`ordinary requests by status: ${JSON.stringify([...statuses])}; runs of all requests: ${runs}`);
    const all = [...served.values()].reduce((sum, count) => sum + count) / (rounds * services.length);
    const starved = services.filter(service => served.get(service) / rounds < all / 4);
    return starved.length === 0
        ? undefined
        : `Starved: of the ordinary requests to ${starved} ${served.get(starved[0])} of ${rounds} were served, of all ${Math.round(100 * all)} in 100`;
});
