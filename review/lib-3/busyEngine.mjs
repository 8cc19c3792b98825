/**
 * Stand-ins for model workers of which some are busy. A worker has slots and a queue in the order of `Request-Priority`. A more
 * urgent request preempts the newest of the least urgent ones. While its queue is half as long as its slots are many, a worker
 * resets further channels. It goes on with a request whose channel closes, and stops it at `POST /kv-move` with `isLast`.
 */
import { createServer } from "node:net";

const replicaMs = 200;
const defaultPriority = 5;

/** The text of one event. */
export const eventText = (id, number) => `id: ${number}\ndata: ${id}/${number}\n\n`;

/** Starts a worker. Replicas go to the worker of that address in `workers`, to which the new one is added. */
export async function startBusyEngine(instance, { slots, eventMs }, workers, observe) {
    const running = [];
    const queue = [];
    const copies = new Map();
    const sockets = new Set();
    const isQueueLong = () => queue.length >= slots / 2;
    const byUrgency = (one, other) => one.priority - other.priority || one.arrivedAt - other.arrivedAt;

    const end = (run, how) => {
        clearInterval(run.timer);
        running.splice(running.indexOf(run), 1);
        observe(`${how} ${run.id} after event ${run.made}`);
        startNext();
    };
    const work = run => {
        running.push(run);
        observe(
            `${run.isPreempted ? "goes on with" : "begins"} ${run.id}${run.made > 0 ? ` after event ${run.made}` : ""}`,
        );
        run.timer = setInterval(() => {
            run.made++;
            const text = eventText(run.id, run.made);
            run.socket.write(`${text.length.toString(16)}\r\n${text}\r\n`);
            if (run.made === run.events) {
                run.socket.write("0\r\n\r\n");
                end(run, "has finished");
            }
        }, eventMs);
    };
    const startNext = () => {
        queue.sort(byUrgency);
        while (queue.length > 0 && running.length < slots) {
            work(queue.shift());
        }
    };
    const admit = run => {
        queue.push(run);
        startNext();
        const least = [...running].sort(byUrgency).at(-1);
        if (queue.includes(run) && least !== undefined && least.priority > run.priority) {
            clearInterval(least.timer);
            running.splice(running.indexOf(least), 1);
            least.isPreempted = true;
            observe(`preempts ${least.id} after event ${least.made}, for ${run.id}`);
            queue.push(least);
            startNext();
        }
    };
    const replicas = setInterval(() => {
        for (const { id, made, replica } of running) {
            workers.get(replica)?.receiveCopy(id, made);
        }
    }, replicaMs);

    const handle = (socket, head, body) => {
        const [requestLine, ...lines] = head.split("\r\n");
        const [method, path] = requestLine.split(" ");
        const fields = Object.fromEntries(lines.map(line => {
            const colon = line.indexOf(":");
            return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
        }));
        const reply = (status, value, more = "") => {
            const text = value === undefined ? "" : JSON.stringify(value);
            socket.write(
                `HTTP/1.1 ${status}\r\nInstance-Id: ${instance}\r\n${more}Content-Type: application/json\r\n`
                    + `Content-Length: ${text.length}\r\n\r\n${text}`,
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
                waiting: queue.length,
                running: running.length,
                kvUsage: 0,
                kvSize: 34_609,
                handleList: 0,
                state: "ready",
                runs: running.map(({ id, made, priority }) => [id, 100 + 4 * made, made, priority]),
            });
        }
        if (method === "GET") {
            return reply("200 OK");
        }
        if (path === "/kv-move") {
            const { instanceId, target: other, isLast } = JSON.parse(body);
            const run = running.find(({ id }) => id === instanceId);
            if (run === undefined) {
                return reply("404 Not Found", {});
            }
            workers.get(other)?.receiveCopy(instanceId, run.made);
            if (isLast) {
                run.socket.end();
                end(run, "has stopped");
            }
            return reply("200 OK", { handle: instanceId, created: run.made });
        }
        const id = fields["attempt-id"];
        const last = Number(fields["last-event-id"] ?? 0);
        if (fields["kv-from"] !== undefined && !copies.delete(id)) {
            return reply("503 Service Unavailable", undefined, `Attempt-Id: ${id}\r\nNot-Executed: 1\r\n`);
        }
        socket.write(
            `HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: ${id}\r\nResponse-Seal: seal.${id}\r\n`
                + "Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
        );
        admit({
            id,
            socket,
            priority: Number(fields["request-priority"] ?? defaultPriority),
            arrivedAt: performance.now(),
            events: Number(/\d+$/.exec(fields["token-usage"])?.[0] ?? 4) / 4,
            made: last,
            replica: fields["kv-replica"],
            isPreempted: false,
            timer: undefined,
        });
    };
    const server = createServer({ noDelay: true }, socket => {
        if (isQueueLong()) {
            observe(`resets a channel, since ${queue.length} requests wait`);
            socket.resetAndDestroy();
            return;
        }
        sockets.add(socket);
        let text = "";
        socket.on("error", () => undefined);
        socket.on("close", () => sockets.delete(socket));
        socket.on("data", piece => {
            text += piece.toString("latin1");
            for (;;) {
                const headEnd = text.indexOf("\r\n\r\n");
                const length = Number(/content-length: *(\d+)/i.exec(text.slice(0, headEnd))?.[1] ?? 0);
                if (headEnd === -1 || text.length < headEnd + 4 + length) {
                    return;
                }
                const [head, body] = [text.slice(0, headEnd), text.slice(headEnd + 4, headEnd + 4 + length)];
                text = text.slice(headEnd + 4 + length);
                handle(socket, head, body);
            }
        });
    });
    await new Promise(resolve => server.listen(0, "127.0.0.1", resolve));
    const address = `127.0.0.1:${server.address().port}`;
    const worker = {
        instance,
        address,
        receiveCopy: (id, made) => copies.set(id, made),
        isWorkingOn: id => running.some(run => run.id === id),
        close: () => {
            clearInterval(replicas);
            [...running].forEach(({ timer }) => clearInterval(timer));
            sockets.forEach(socket => socket.destroy());
            server.close();
        },
    };
    workers.set(address, worker);
    return worker;
}
