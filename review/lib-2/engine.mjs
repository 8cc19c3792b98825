// Stand-in for a model worker, after the one of the first review: streams of events, replicas, copies, reports. A run ends
// when it is complete, when POST /kv-move with `isLast` stops it, or, at a worker that drops requests, when its channel
// closes.
import { createServer } from "node:http";
import { host, sleep } from "./world.mjs";

const tokensPerEvent = 4;

/** The capabilities of the engines in a configuration. */
export const engineBackend = {
    slots: 96,
    kvCapacity: 34609,
    kvBytes: 18432,
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
 * @param options.dropsOnClose whether a run ends when its channel closes
 * @param options.losesAnswer called with the number of a run here; whether its channel is reset while the run goes on
 */
export async function startEngine(id, record, options) {
    const { events, eventInterval, readTime, loseAfterEvents, losesAnswer, dropsOnClose } = options;
    const engine = { id, runs: [], holdsReplicaOf: new Set(), handles: new Set(), peers: new Map() };
    const sendJson = (response, status, value, headers = {}) => {
        const body = JSON.stringify(value);
        response.writeHead(status, {
            "content-type": "application/json",
            "content-length": Buffer.byteLength(body),
            ...headers,
        });
        response.end(body);
    };
    const move = async (response, { instanceId, target, isLast }) => {
        const run = engine.runs.find(({ attemptId, endedAt }) => attemptId === instanceId && endedAt === undefined);
        const peer = engine.peers.get(target);
        if (run === undefined || peer === undefined) {
            return sendJson(response, run === undefined ? 404 : 503, {});
        }
        if (isLast === true) {
            run.stop("stopped by kv-move");
        }
        await sleep(20);
        const handle = `h-${instanceId}-${run.events}`;
        peer.handles.add(handle);
        record.add(`${id} has copied ${instanceId} to ${peer.id} at event ${run.events}, isLast ${isLast === true}`);
        sendJson(response, 200, { handle, created: run.events });
    };
    const server = createServer(async (request, response) => {
        let body = "";
        for await (const piece of request) {
            body += piece;
        }
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
                state: "ready",
            });
        }
        if (request.url === "/kv-move") {
            return move(response, JSON.parse(body));
        }
        const attemptId = request.headers["attempt-id"];
        const target = request.headers["target-instance"];
        if (target !== undefined && target !== id) {
            return sendJson(response, 421, {}, { "instance-id": id });
        }
        const source = request.headers["kv-from"]?.split("/")[1];
        if (source !== undefined && !engine.handles.delete(source) && !engine.holdsReplicaOf.delete(source)) {
            return sendJson(response, 503, {}, { "attempt-id": attemptId, "not-executed": "1" });
        }
        const run = {
            attemptId,
            worker: id,
            startedAt: performance.now(),
            endedAt: undefined,
            promptTokens: Number((request.headers["token-usage"] ?? "0,0").split(",")[0]),
            events: Number(request.headers["last-event-id"] ?? 0),
        };
        engine.runs.push(run);
        engine.peers.get(request.headers["kv-replica"])?.holdsReplicaOf.add(attemptId);
        const isLost = source === undefined && losesAnswer(engine.runs.length);
        let timer;
        run.stop = reason => {
            clearInterval(timer);
            run.endedAt = performance.now();
            if (reason !== "complete" || run.hasLostAnswer) {
                record.add(`${id} has ended its run of ${attemptId} at event ${run.events}: ${reason}`);
            }
            if (reason !== "complete") {
                response.destroy();
            }
        };
        response.on("close", () => {
            if (run.endedAt === undefined && dropsOnClose) {
                run.stop("its channel closed");
            }
        });
        if (source !== undefined) {
            record.add(`${id} goes on with ${attemptId} after event ${run.events}, from the memory ${source}`);
        }
        await sleep(source === undefined ? readTime : 20);
        if (run.endedAt !== undefined) {
            return;
        }
        response.writeHead(200, {
            "attempt-id": attemptId,
            "response-seal": "3e1b.07.5a2",
            "content-type": "text/event-stream",
        });
        timer = setInterval(() => {
            run.events++;
            response.write(`id: ${run.events}\ndata: piece ${run.events} of ${events}\n\n`);
            if (run.events >= events) {
                run.stop("complete");
                response.end();
            }
            else if (isLost && run.events === loseAfterEvents) {
                run.hasLostAnswer = true;
                record.add(`${id} resets the channel of ${attemptId} after event ${run.events}, and works on`);
                response.socket.resetAndDestroy();
            }
        }, eventInterval);
    });
    await new Promise(resolve => server.listen(0, host, resolve));
    engine.address = `${host}:${server.address().port}`;
    engine.close = () => {
        engine.runs.filter(({ endedAt }) => endedAt === undefined).forEach(run => run.stop("end of the case"));
        server.closeAllConnections();
        server.close();
    };
    return engine;
}
