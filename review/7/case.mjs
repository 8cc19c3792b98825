// Two of six model workers lose the answer of every twentieth of their runs: they reset its channel and work on. They are
// of the workers that do not drop a request when its channel closes; POST /kv-move with `isLast` stops a run at all of
// them. A stream that goes on at another worker must not be worked on at the first for longer than 400 ms.
import { connect } from "node:net";
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { engineBackend, startEngine } from "../lib-2/engine.mjs";
import {
    configuration,
    hasTrouble,
    host,
    keepRegistered,
    killGateway,
    runCase,
    sleep,
    startGateway,
    startStore,
} from "../lib-2/world.mjs";

const streams = 180;
const streamsAtOnce = 36;
const faultyWorkers = 2;
/** One in so many runs loses its answer: a share of 0.05. */
const runsPerLoss = 20;
const allowedOverlap = 400;

/** Asks for one stream; resolves with its last event and whether it is complete. */
function ask(port, id) {
    return new Promise(resolve => {
        const socket = connect(port, host);
        let text = "";
        socket.on("data", data => text += data.toString("latin1"));
        socket.on("error", () => undefined);
        socket.on("close", () => {
            const last = [...text.matchAll(/^id: (\d+)$/gm)].at(-1)?.[1];
            resolve({ status: text.slice(9, 12), last, isComplete: text.endsWith("\r\n0\r\n\r\n") });
        });
        socket.write(
            `POST /plans/1 HTTP/1.1\r\nHost: review.example\r\nAttempt-Id: ${id}\r\nDeadline-Ms: 39000\r\nModel: m\r\n`
                + `Token-Usage: 300,480\r\nPrefix-Hash: 5c1e:48,${id}:252\r\nConnection: close\r\nContent-Length: 6\r\n\r\nprompt`,
        );
    });
}

await runCase(dirname(fileURLToPath(import.meta.url)), async ({ record, scratch, own }) => {
    const store = await startStore();
    own(store.close);
    const engines = [];
    for (let index = 0; index < 6; index++) {
        const isFaulty = hasTrouble && index < faultyWorkers;
        const engine = await startEngine(`i-${index + 1}`, record, {
            events: 120,
            eventInterval: 40,
            readTime: 100,
            loseAfterEvents: 50,
            losesAnswer: number => isFaulty && number % runsPerLoss === 0,
            dropsOnClose: index >= faultyWorkers,
        });
        own(engine.close);
        engines.push(engine);
    }
    for (const engine of engines) {
        engines.filter(other => other !== engine).forEach(other => engine.peers.set(other.address, other));
        own(keepRegistered(store, engine.id, "planner", engine.address));
    }
    const route = {
        name: "plans",
        pathPrefix: "/plans/",
        routeType: "streaming",
        streamResume: false,
        itlTargetMs: 180,
        sessionAffinity: true,
        targetLatencyMs: 1800,
        timeoutMs: 39000,
    };
    store.put("keyed.op", "config", configuration(1, "planner", [route], undefined, engineBackend));
    const gateway = await startGateway(store, scratch);
    own(killGateway(gateway));
    await sleep(1500);
    let asked = 0;
    const ends = { complete: 0, incomplete: 0 };
    const askInTurn = async () => {
        while (asked < streams) {
            const id = `a${++asked}`;
            const { status, last, isComplete } = await ask(gateway.frontend, id);
            ends[isComplete && status === "200" ? "complete" : "incomplete"]++;
            if (!isComplete || status !== "200") {
                record.add(`the client of ${id} got ${status}, events up to ${last}`);
            }
        }
    };
    await Promise.all(Array.from({ length: streamsAtOnce }, askInTurn));
    await sleep(1000);
    record.add(`${ends.complete} streams were complete, ${ends.incomplete} were not`);
    const byRequest = new Map();
    for (const run of engines.flatMap(({ runs }) => runs).sort((one, other) => one.startedAt - other.startedAt)) {
        byRequest.set(run.attemptId, [...byRequest.get(run.attemptId) ?? [], run]);
    }
    let broken = 0;
    for (const [id, runs] of byRequest) {
        runs.slice(1).forEach((run, index) => {
            const before = runs[index];
            const overlap = Math.round((before.endedAt ?? performance.now()) - run.startedAt);
            record.add(`${id}: ${before.worker} worked on for ${overlap} ms after ${run.worker} had begun to go on`);
            broken += overlap > allowedOverlap ? 1 : 0;
        });
    }
    record.add(`${broken} requests went on at another worker while the one before worked on them for over 400 ms`);
    return broken > 0 ? 1 : !hasTrouble && ends.incomplete > 0 ? 2 : 0;
});
