/**
 * Stand-in for a model worker: streams of events, copies of a run's memory to another worker, replicas, reports. It is one
 * of the workers that do not drop a request when its channel closes: a run ends when it is complete, or when it is stopped
 * by `POST /kv-move` with `isLast`.
 */
import { createServer } from "node:http";
import { answerHeaders, pause } from "./world.mjs";

const kvBytes = 18432;
const linkBytesPerMs = 2700 * 1000 / 8;
const tokensPerEvent = 4;

/** The capabilities of the engines in a configuration. */
export const engineBackend = {
    slots: 96,
    kvCapacity: 34609,
    kvBytes,
    linkMbps: 2700,
    migrations: true,
    replicas: true,
    stride: tokensPerEvent,
    most: 12,
    pinMs: 4000,
    holdMs: 2000,
    handleTtlS: 5,
    modelList: [{ name: "m" }],
};

/**
 * Starts a worker.
 *
 * @param onEnd called with a run that has ended, complete or stopped
 */
export async function startEngine(world, id, { events, eventInterval, readTime }) {
    const engine = { id, runs: [], holdsReplicaOf: new Set(), handles: new Set(), peers: new Map(), isDraining: false };
    const readBody = async request => {
        const pieces = [];
        for await (const piece of request) {
            pieces.push(piece);
        }
        return Buffer.concat(pieces).toString();
    };
    const sendJson = (response, status, value, headers = {}) => {
        const body = JSON.stringify(value);
        response.writeHead(status, {
            "content-type": "application/json",
            "content-length": Buffer.byteLength(body),
            ...headers,
        });
        response.end(body);
    };
    const refuse = (request, response) =>
        sendJson(response, 503, {}, { "Attempt-Id": request.headers["attempt-id"], "Not-Executed": "1" });

    const move = async (response, { instanceId, target, isLast }) => {
        const run = engine.runs.find(({ attemptId, endedAt }) => attemptId === instanceId && endedAt === undefined);
        const peer = engine.peers.get(target);
        if (run === undefined || peer === undefined) {
            return sendJson(response, run === undefined ? 404 : 503, {});
        }
        if (isLast) {
            run.stop("stopped for its migration");
        }
        const tokens = run.promptTokens + tokensPerEvent * run.events;
        await pause(tokens * kvBytes / linkBytesPerMs);
        const handle = `h-${instanceId}-${run.events}`;
        peer.handles.add(handle);
        world.record(
            `${id} has copied the memory of ${instanceId} to ${peer.id} at event ${run.events}, isLast ${
                isLast === true
            }`,
        );
        sendJson(response, 200, { handle, created: run.events });
    };

    const server = createServer(async (request, response) => {
        const body = await readBody(request);
        if (request.url === "/report") {
            const runs = engine.runs.filter(({ endedAt }) => endedAt === undefined)
                .map(run => [run.attemptId, run.promptTokens + tokensPerEvent * run.events, run.events, 5]);
            return sendJson(response, 200, {
                phase: "colocated",
                modelList: [{ name: "m", version: 1, loras: [] }],
                busy: false,
                sequence: 0,
                waiting: 0,
                running: runs.length,
                kvUsage: 0,
                kvSize: 34609,
                handleList: 0,
                runs,
                born: engine.born,
                state: engine.isDraining ? "draining" : "ready",
            });
        }
        if (request.url === "/kv-move") {
            return move(response, JSON.parse(body));
        }
        if (request.headers["target-instance"] !== undefined && request.headers["target-instance"] !== id) {
            return sendJson(response, 421, {}, { "Attempt-Id": request.headers["attempt-id"], "Not-Executed": "1" });
        }
        const attemptId = request.headers["attempt-id"];
        const source = request.headers["kv-from"]?.split("/")[1];
        if (source !== undefined && !engine.handles.delete(source) && !engine.holdsReplicaOf.delete(source)) {
            return refuse(request, response);
        }
        const run = {
            attemptId,
            worker: id,
            startedAt: performance.now(),
            endedAt: undefined,
            channelClosedAt: undefined,
            promptTokens: Number((request.headers["token-usage"] ?? "0,0").split(",")[0]),
            events: Number(request.headers["last-event-id"] ?? 0),
            replicaAddress: request.headers["kv-replica"],
            isContinuation: source !== undefined,
        };
        engine.runs.push(run);
        engine.peers.get(run.replicaAddress)?.holdsReplicaOf.add(attemptId);
        world.record(
            `${id} runs ${attemptId} from event ${run.events + 1}${
                source === undefined ? "" : ` from the copy ${source}`
            }`,
        );
        let timer;
        run.stop = reason => {
            clearInterval(timer);
            run.endedAt = performance.now();
            world.record(`${id} has ended its run of ${attemptId} at event ${run.events}: ${reason}`);
            if (reason !== "complete") {
                response.destroy();
            }
        };
        response.on("close", () => {
            if (run.endedAt === undefined) {
                run.channelClosedAt = performance.now();
                world.record(`${id}: the channel of ${attemptId} has closed at event ${run.events}; the run goes on`);
            }
        });
        await pause(source === undefined ? readTime : 20);
        response.writeHead(
            200,
            answerHeaders(request, { "Content-Type": "text/event-stream", "Weight-Versions": "1" }),
        );
        timer = setInterval(() => {
            run.events++;
            response.write(`id: ${run.events}\ndata: piece ${run.events} of ${events}\n\n`);
            if (run.events >= events) {
                run.stop("complete");
                response.end();
            }
        }, eventInterval);
    });
    await new Promise(resolve => server.listen(0, "127.0.0.1", resolve));
    world.closers.push(() => {
        server.closeAllConnections();
        server.close();
    });
    engine.address = `127.0.0.1:${server.address().port}`;
    engine.born = Date.now();
    return engine;
}
