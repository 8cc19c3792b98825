/**
 * A stand-in for a model worker: streams of events and `GET /report`. Its streams have no length and end with their channels,
 * or are sent in chunks. No other worker has room for the memory of its runs.
 */
import { createServer } from "node:net";

const eventText = (id, number, idOf) => `id: ${idOf(number)}\ndata: ${id}/${number}\n\n`;

/** The whole body of a stream whose ids count its events. */
export const streamOf = (id, events) =>
    Array.from({ length: events }, (_, index) => eventText(id, index + 1, number => number)).join("");

/**
 * Starts a worker under an id. `observe` is told what it does.
 *
 * `idOf` gives the id of an event from its number; by default the number itself.
 */
export async function startEngine(instance, { events, eventMs, isChunked = false, idOf = number => number }, observe) {
    const runs = new Map();
    const sockets = new Set();
    /** Ends the run of a channel that closes. */
    const endRunsOf = new Map();
    /** The number of the event with an id; 0 without one. */
    const numberOf = last =>
        Array.from({ length: events }, (_, index) => idOf(index + 1)).filter(id => id <= Number(last)).length;
    const stream = (socket, id, last) => {
        const run = { made: numberOf(last), timer: undefined };
        const endRun = () => {
            clearInterval(run.timer);
            runs.delete(id);
        };
        runs.set(id, run);
        endRunsOf.set(socket, endRun);
        observe(`runs ${id}${run.made > 0 ? ` after event ${run.made}` : ""}`);
        socket.write(
            `HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: ${id}\r\n`
                + `Response-Seal: seal.${id}\r\nWeight-Versions: 1\r\n`
                + `${isChunked ? "Transfer-Encoding: chunked" : "Connection: close"}\r\n\r\n`,
        );
        run.timer = setInterval(() => {
            run.made++;
            const text = eventText(id, run.made, idOf);
            socket.write(isChunked ? `${text.length.toString(16)}\r\n${text}\r\n` : text);
            if (run.made >= events) {
                endRun();
                if (isChunked) {
                    socket.write("0\r\n\r\n");
                }
                else {
                    socket.end();
                }
                observe(`has ended ${id}, all ${events} events sent`);
            }
        }, eventMs);
    };
    const handle = (socket, head) => {
        const [requestLine, ...lines] = head.split("\r\n");
        const [method, path] = requestLine.split(" ");
        const fields = Object.fromEntries(lines.map(line => {
            const colon = line.indexOf(":");
            return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
        }));
        const reply = (status, body) => {
            const text = body === undefined ? "" : JSON.stringify(body);
            socket.write(
                `HTTP/1.1 ${status}\r\nInstance-Id: ${instance}\r\nContent-Length: ${text.length}\r\n`
                    + `Content-Type: application/json\r\n\r\n${text}`,
            );
        };
        const target = fields["target-instance"];
        if (target !== undefined && target !== instance) {
            return reply("421 Misdirected Request");
        }
        if (method === "GET" && path === "/report") {
            return reply("200 OK", {
                phase: "colocated",
                modelList: [{ name: "m", version: 1, loras: [] }],
                busy: false,
                sequence: 0,
                waiting: 0,
                running: runs.size,
                kvUsage: 0,
                kvSize: 34_609,
                handleList: 0,
                state: "ready",
                runs: [...runs].map(([id, { made }]) => [id, 100 + 4 * made, made, 5]),
            });
        }
        if (method === "GET") {
            return reply("200 OK");
        }
        if (path === "/kv-move") {
            observe("is asked to move a run, and finds no room elsewhere");
            return reply("503 Service Unavailable", {});
        }
        stream(socket, fields["attempt-id"], fields["last-event-id"] ?? -1);
    };
    const server = createServer({ noDelay: true }, socket => {
        sockets.add(socket);
        let text = "";
        socket.on("error", () => undefined);
        socket.on("close", () => {
            sockets.delete(socket);
            endRunsOf.get(socket)?.();
            endRunsOf.delete(socket);
        });
        socket.on("data", piece => {
            text += piece.toString("latin1");
            for (;;) {
                const headEnd = text.indexOf("\r\n\r\n");
                const length = Number(/content-length: *(\d+)/i.exec(text.slice(0, headEnd))?.[1] ?? 0);
                if (headEnd === -1 || text.length < headEnd + 4 + length) {
                    return;
                }
                const head = text.slice(0, headEnd);
                text = text.slice(headEnd + 4 + length);
                handle(socket, head);
            }
        });
    });
    await new Promise(resolve => server.listen(0, "127.0.0.1", resolve));
    return {
        address: `127.0.0.1:${server.address().port}`,
        /** Ends the worker: its channels are closed, and nothing listens. */
        close: () => {
            sockets.forEach(socket => socket.destroy());
            server.close();
        },
    };
}
