/** A gateway is killed while it forwards a stream that has neither a length nor chunks. */
import { createServer } from "node:http";
import { send } from "../lib/rawClient.mjs";
import {
    answerHeaders,
    bounds,
    configure,
    newAttemptId,
    pause,
    register,
    runCase,
    startGateway,
} from "../lib/world.mjs";

const events = 120;
const eventInterval = 40;

await runCase(import.meta.url, async world => {
    // Each worker answers in full. The first sends streams that end with their channel, the second uses chunks.
    const workers = [];
    for (const [index, isFramed] of [false, true].entries()) {
        const server = createServer((request, response) => {
            request.resume();
            const id = request.headers["attempt-id"];
            if (!isFramed) {
                response.useChunkedEncodingByDefault = false;
                response.shouldKeepAlive = false;
            }
            response.writeHead(200, answerHeaders(request, { "Content-Type": "text/event-stream" }));
            let next = 1;
            const timer = setInterval(() => {
                response.write(`id: ${next}\ndata: piece ${next} of ${events}\n\n`);
                if (next++ === events) {
                    clearInterval(timer);
                    response.end();
                    world.record(`worker-${index} has sent all ${events} events of ${id}`);
                }
            }, eventInterval);
            response.on("close", () => clearInterval(timer));
        });
        await new Promise(resolve => server.listen(0, "127.0.0.1", resolve));
        world.closers.push(() => {
            server.closeAllConnections();
            server.close();
        });
        const address = `127.0.0.1:${server.address().port}`;
        workers.push({ isFramed });
        register(world, `i-worker-${index}`, { service: `planner-${index}`, address });
    }
    configure(
        world,
        3,
        workers.map((_, index) => ({
            name: `plan-${index}`,
            pathPrefix: `/plan-${index}/`,
            routeType: "streaming",
            itlTargetMs: 180,
            service: `planner-${index}`,
        })),
        workers.map((_, index) => ({ name: `planner-${index}` })),
    );
    const gateway = await startGateway(world, "edge-1");
    await startGateway(world, "edge-2", gateway.controlPlane);
    await pause(1500);

    const calls = workers.map(({ isFramed }, index) => {
        const id = newAttemptId();
        world.record(`the client sends ${id} for ${isFramed ? "a chunked" : "an unframed"} stream`);
        return send(gateway.frontend, {
            path: `/plan-${index}/a`,
            headers: { "Attempt-Id": id, "Deadline-Ms": 39000 },
            body: "prompt",
        }).result.then(result => ({ id, isFramed, ...result }));
    });
    await pause(2000);
    if (world.isTroubled) {
        world.record(`SIGKILL of ${gateway.name}`);
        gateway.child.kill("SIGKILL");
    }
    const results = await Promise.all(calls);
    const broken = results.flatMap(({ id, status, headers, body, end, isComplete, framing }) => {
        const ids = [...body.toString().matchAll(/^id: (\d+)$/gm)].map(match => Number(match[1]));
        const last = ids.at(-1) ?? 0;
        world.record(
            `the client has for ${id}: status ${status}, ended by ${framing}, channel ${end}, events 1 to ${last}, `
                + `seal ${headers["response-seal"]}: ${isComplete ? "complete" : "incomplete"}`,
        );
        return status === 200 && isComplete && last < events
            ? [`MIXED: ${id} is a complete success for the client with ${last} of the ${events} events of the worker`]
            : [];
    });
    return broken.length === 0 ? undefined : broken.join("; ");
});
