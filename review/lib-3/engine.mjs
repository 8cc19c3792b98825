/**
 * A stand-in for a model worker: streams of events, `GET /report`, and crashes. Its streams have no length and end with
 * their channels, or are sent in chunks. Beyond its slots, requests wait in a queue, and while that is half as long
 * as the slots are many, further channels are reset.
 */
import { createServer } from "node:net";

const eventText = (id, number) => `id: ${number}\ndata: ${id}/${number}\n\n`;

/** The whole body of a stream. */
export const streamOf = (id, events) =>
    Array.from({ length: events }, (_, index) => eventText(id, index + 1)).join("");

/** Starts a worker under an id. `observe` is told what it does. */
export async function startEngine(instance, { events, eventMs, isChunked = false, slots = Infinity }, observe) {
    let born = Date.now();
    let runs = new Map();
    const sockets = new Set();
    /** Ends the run of a channel that closes. */
    const endRunsOf = new Map();
    const queue = [];
    const startNext = () => {
        while (runs.size < slots && queue.length > 0) {
            const { socket, id } = queue.shift();
            if (!socket.destroyed) {
                stream(socket, id);
            }
        }
    };
    const stream = (socket, id) => {
        const run = { made: 0, timer: undefined };
        runs.set(id, run);
        observe(`runs ${id}`);
        socket.write(`HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: ${id}\r\n`
            + `Response-Seal: seal.${id}\r\nWeight-Versions: 1\r\n`
            + `${isChunked ? "Transfer-Encoding: chunked" : "Connection: close"}\r\n\r\n`);
        run.timer = setInterval(() => {
            run.made++;
            const text = eventText(id, run.made);
            socket.write(isChunked ? `${text.length.toString(16)}\r\n${text}\r\n` : text);
            if (run.made === events) {
                clearInterval(run.timer);
                runs.delete(id);
                if (isChunked) {
                    socket.write("0\r\n\r\n");
                }
                else {
                    socket.end();
                }
                observe(`has ended ${id}, all ${events} events sent`);
                startNext();
            }
        }, eventMs);
        endRunsOf.set(socket, () => {
            clearInterval(run.timer);
            runs.delete(id);
            startNext();
        });
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
            socket.write(`HTTP/1.1 ${status}\r\nInstance-Id: ${instance}\r\nContent-Length: ${text.length}\r\n`
                + `Content-Type: application/json\r\n\r\n${text}`);
        };
        const target = fields["target-instance"];
        if (target !== undefined && target !== instance) {
            return reply("421 Misdirected Request");
        }
        if (method === "GET" && path === "/report") {
            return reply("200 OK", {
                born, phase: "colocated", modelList: [{ name: "m", version: 1, loras: [] }], busy: false, sequence: 0,
                waiting: queue.length, running: runs.size, kvUsage: 0, kvSize: 34_609, handleList: 0, state: "ready",
                runs: [...runs].map(([id, { made }]) => [id, 100 + 4 * made, made, 5]),
            });
        }
        if (method === "GET") {
            return reply("200 OK");
        }
        if (path === "/kv-move" || path === "/hold-take" || path.startsWith("/kv-")) {
            return reply("404 Not Found");
        }
        queue.push({ socket, id: fields["attempt-id"] });
        startNext();
    };
    const server = createServer({ noDelay: true }, socket => {
        if (queue.length >= slots / 2) {
            observe(`resets a channel beyond ${sockets.size}, since ${queue.length} requests wait`);
            socket.resetAndDestroy();
            return;
        }
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
    const listen = port => new Promise(resolve => server.listen(port, "127.0.0.1", resolve));
    await listen(0);
    const { port } = server.address();
    return {
        address: `127.0.0.1:${port}`,
        born: () => born,
        /** The process ends: all its channels are closed, and nothing listens. */
        crash: () => {
            sockets.forEach(socket => socket.resetAndDestroy());
            server.close();
            observe("crashes");
        },
        /** It starts again under its id, and knows nothing of before. */
        restart: async () => {
            runs = new Map();
            born = Date.now();
            await listen(port);
            observe(`starts again, born ${born}`);
        },
        close: () => {
            sockets.forEach(socket => socket.destroy());
            server.close();
        },
    };
}
