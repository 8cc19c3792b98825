/** Faulty workers send line feeds without end in a few of their streams. The gateway runs out of memory and ends. */
import { Agent, createServer as createHttpServer, request as sendRequest } from "node:http";
import { connect, createServer } from "node:net";
import { startPlainWorker } from "../lib/plainWorker.mjs";
import { answerHeaders, configure, newAttemptId, pause, register, runCase, startGateway } from "../lib/world.mjs";

const faultyWorkers = 2;
const workers = 4;
/** One answer in so many of a faulty worker is spoilt: 5 in 100. */
const spoiltOf = 20;
const faultTime = 6500;
const streamInterval = 10;
const events = 12;
/** The rule: more than three times. */
const allowedLosses = 3;
const plainCallers = 24;
const planCallers = 40;
/** From a request for a plan to its first event: the sheet aims at 1,800 ms. */
const planReadTime = 1700;
/** Within the work times of the sheet, which go up to 450 ms. */
const plainWorkTime = 400;
/** The longest pause of a caller between two requests; random, so that they don't fall into step. */
const longestPause = 400;

const lineFeeds = Buffer.alloc(16 * 1024, "\n");
const endlessChunk = Buffer.concat([
    Buffer.from(`${lineFeeds.length.toString(16)}\r\n`),
    lineFeeds,
    Buffer.from("\r\n"),
]);
const chunkOf = text => `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`;

await runCase(import.meta.url, async world => {
    let faultUntil = -Infinity;
    let spoilt = 0;
    /** A worker of the streams: reads a request, and answers with events in chunks. */
    const startStreamWorker = async (id, isFaulty) => {
        let answers = 0;
        const server = createServer(socket => {
            let received = "";
            let timer;
            let pump = () => undefined;
            socket.on("error", () => undefined);
            socket.on("close", () => clearInterval(timer));
            socket.on("drain", () => setImmediate(pump));
            socket.on("data", piece => {
                received += piece.toString("latin1");
                const head = /^[^]*?\r\n\r\n/.exec(received)?.[0];
                const length = Number(/content-length: (\d+)/i.exec(head ?? "")?.[1] ?? 0);
                if (head === undefined || received.length < head.length + length) {
                    return;
                }
                received = received.slice(head.length + length);
                const attemptId = /attempt-id: (\S+)/i.exec(head)?.[1];
                socket.write(
                    `HTTP/1.1 200 OK\r\nAttempt-Id: ${attemptId}\r\nResponse-Seal: 3e1b.07.${answers}\r\n`
                        + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
                );
                const isSpoilt = isFaulty && ++answers % spoiltOf === 0 && performance.now() < faultUntil;
                let next = 1;
                timer = setInterval(() => {
                    socket.write(chunkOf(`id: ${next}\ndata: piece ${next} of ${events}\n\n`));
                    if (next++ < events && !(isSpoilt && next > 2)) {
                        return;
                    }
                    clearInterval(timer);
                    if (!isSpoilt) {
                        return socket.write("0\r\n\r\n");
                    }
                    spoilt++;
                    world.record(`${id} sends line feeds without end for ${attemptId}`);
                    // Until the caller closes, and never more than it takes.
                    pump = () => {
                        while (!socket.destroyed && socket.write(endlessChunk));
                    };
                    pump();
                }, 25);
            });
        });
        await new Promise(resolve => server.listen(0, "127.0.0.1", resolve));
        world.closers.push(() => server.close());
        register(world, id, { service: "notes", address: `127.0.0.1:${server.address().port}`, slots: 96 });
    };
    for (let index = 0; index < workers; index++) {
        await startStreamWorker(`i-note-${index}`, index < faultyWorkers);
    }
    // The workers of the plain service are sound.
    const runs = new Set();
    for (let index = 0; index < workers; index++) {
        const id = `i-desk-${index}`;
        const worker = await startPlainWorker(world, id, {
            workTime: plainWorkTime,
            onRun: attemptId => runs.add(attemptId),
        });
        register(world, id, { service: "desk", address: worker.address });
    }
    // So are those of the plans: they read a prompt, and answer with events.
    for (let index = 0; index < workers; index++) {
        const server = createHttpServer(async (request, response) => {
            request.resume();
            runs.add(request.headers["attempt-id"]);
            await pause(planReadTime);
            response.writeHead(200, answerHeaders(request, { "Content-Type": "text/event-stream" }));
            for (let event = 1; event <= events && !response.destroyed; event++) {
                response.write(`id: ${event}\ndata: piece ${event} of ${events}\n\n`);
                await pause(25);
            }
            response.end();
        });
        await new Promise(resolve => server.listen(0, "127.0.0.1", resolve));
        world.closers.push(() => {
            server.closeAllConnections();
            server.close();
        });
        register(world, `i-plan-${index}`, {
            service: "plans",
            address: `127.0.0.1:${server.address().port}`,
            slots: 96,
        });
    }
    configure(
        world,
        3,
        [
            {
                name: "note",
                pathPrefix: "/note/",
                routeType: "streaming",
                timeoutMs: 20000,
                targetLatencyMs: 1500,
                itlTargetMs: 180,
                service: "notes",
            },
            {
                name: "book",
                pathPrefix: "/book/",
                routeType: "non_idempotent",
                timeoutMs: 1500,
                targetLatencyMs: 386,
                service: "desk",
            },
            {
                name: "plan",
                pathPrefix: "/plan/",
                routeType: "streaming",
                timeoutMs: 39000,
                targetLatencyMs: 1800,
                itlTargetMs: 180,
                service: "plans",
            },
        ],
        [{ name: "notes" }, { name: "desk" }, { name: "plans" }],
    );
    const gateway = await startGateway(world, "edge-1");
    await startGateway(world, "edge-2", gateway.controlPlane);
    await pause(2000);
    const [host, port] = gateway.frontend.split(":");

    let isOver = false;
    const ordinary = [];
    const ask = async path => {
        const agent = new Agent({ keepAlive: true, maxSockets: 1 });
        world.closers.push(() => agent.destroy());
        while (!isOver) {
            const id = newAttemptId();
            const call = { id, sentAt: performance.now() };
            ordinary.push(call);
            await new Promise(resolve => {
                const request = sendRequest({
                    agent,
                    host,
                    port,
                    method: "POST",
                    path,
                    headers: {
                        Host: "office.example",
                        "Attempt-Id": id,
                        "Deadline-Ms": path === "/plan/a" ? 39000 : 3000,
                        "Content-Length": 4,
                    },
                }, response => {
                    call.status = response.statusCode;
                    response.resume().on("error", () => undefined).on("close", resolve);
                });
                request.on("socket", () => call.isKept = request.reusedSocket);
                request.on("error", ({ code }) => {
                    call.error ??= code;
                    resolve();
                });
                request.end("slot");
            });
            await pause(call.error === undefined ? longestPause * Math.random() : 1000);
        }
    };
    const traffic = [
        ...Array.from({ length: plainCallers }, () => ask("/book/a")),
        ...Array.from({ length: planCallers }, () => ask("/plan/a")),
    ];
    // The callers of the streams read all that comes, as fast as it comes.
    let streams = 0;
    const streamTimer = setInterval(() => {
        if (gateway.hasExited) {
            return;
        }
        streams++;
        const socket = connect({ host, port: Number(port), noDelay: true });
        world.closers.push(() => socket.destroy());
        socket.on("error", () => undefined);
        socket.on("data", piece => piece.length < 100 && piece.includes("0\r\n\r\n") && socket.end());
        socket.write(
            `POST /note/a HTTP/1.1\r\nHost: office.example\r\nAttempt-Id: ${newAttemptId()}\r\nDeadline-Ms: 20000\r\nContent-Length: 6\r\n\r\nprompt`,
        );
    }, streamInterval);
    world.closers.push(() => clearInterval(streamTimer));
    await pause(4000);
    if (world.isTroubled) {
        faultUntil = performance.now() + faultTime;
        world.record(
            `${faultyWorkers} of ${workers} workers begin to spoil one in ${spoiltOf} of their streams, for ${faultTime} ms`,
        );
    }
    await Promise.race([gateway.exited, pause(faultTime + 3000)]);
    await pause(1000);
    isOver = true;
    clearInterval(streamTimer);
    await Promise.race([Promise.all(traffic), pause(4000)]);
    const served = ordinary.filter(({ status }) => status === 200).length;
    const lost = ordinary.filter(({ id, status, error, isKept }) =>
        isKept && runs.has(id) && status === undefined && error !== undefined
    );
    world.record(
        `${streams} streams, ${spoilt} of them spoilt; ${ordinary.length} requests for slots and plans, ${served} served`,
    );
    const reason = /FATAL ERROR: [^\n]*/.exec(gateway.log())?.[0];
    world.record(
        gateway.hasExited ? `the gateway has ended by itself: ${reason ?? "no reason in its log"}` : "the gateway runs",
    );
    lost.forEach(({ id, error }) =>
        world.record(`${id}: from a kept channel, run by a sound worker, no answer (${error})`)
    );
    return gateway.hasExited && lost.length > allowedLosses
        ? `LOST: the gateway ended by itself, and ${lost.length} requests from kept channels that sound workers ran got no answer`
        : undefined;
});
