/**
 * An engine or plain server as a process of its own that writes answers with neither a length nor chunks. It serves the
 * connections that its parent sends it or, where it has none to get them from, those to a port that it prints. It answers
 * `GET /report` and health checks, and refuses what names another instance. A stream has as many events as the request's field
 * `stream-length` states, and goes on after its last event; a request with the field `body-length` gets a whole answer of as
 * many pieces. On SIGTERM it ends all answers, on SIGUSR2 one after the other, and exits a moment later.
 *
 * Its arguments are its id and, if it is to state that, when it started.
 */
import { type AddressInfo, createServer, type Socket } from "node:net";

const eventInterval = 10;
const exitDelay = 300;
/** Between the ends of two answers that are ended one after the other. */
const endInterval = 20;
const [, , id, start] = process.argv;
const born = start === undefined ? undefined : Number(start);
/** The events made so far, by the caller's attempt. */
const runs = new Map<string, number>();
/** What ends each answer. */
const endings: (() => void)[] = [];

function serve(socket: Socket): void {
    let head = "";
    socket.on("error", () => undefined);
    socket.on("data", chunk => {
        const isIncomplete = !head.includes("\r\n\r\n");
        head += chunk.toString("latin1");
        if (isIncomplete && head.includes("\r\n\r\n")) {
            answer(socket, head);
        }
    });
    socket.resume();
}

function answer(socket: Socket, head: string): void {
    const [, attempt] = /^attempt-id: (\S+)/im.exec(head) ?? [];
    const [, target = id] = /^target-instance: (\S+)/im.exec(head) ?? [];
    if (target !== id) {
        socket.end(
            `HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1\r\nInstance-Id: ${id}\r\ncontent-length: 0\r\n\r\n`,
        );
        return;
    }
    if (head.startsWith("GET /healthz ")) {
        socket.end(`HTTP/1.1 200 OK\r\nInstance-Id: ${id}\r\ncontent-length: 0\r\n\r\n`);
        return;
    }
    if (attempt === undefined) {
        const report = JSON.stringify({ born, runs: [...runs].map(([id, events]) => [id, 1, events, 5]) });
        socket.end(`HTTP/1.1 200 OK\r\ncontent-length: ${report.length}\r\n\r\n${report}`);
        return;
    }
    const [, pieces] = /^body-length: (\d+)/im.exec(head) ?? [];
    const length = Number(pieces ?? /^stream-length: (\d+)/im.exec(head)?.[1] ?? 1);
    const contentType = pieces === undefined ? "text/event-stream" : "text/plain";
    let events = Number(/^last-event-id: (\d+)/im.exec(head)?.[1] ?? 0);
    socket.write(
        `HTTP/1.1 200 OK\r\nAttempt-Id: ${attempt}\r\nResponse-Seal: s\r\nContent-Type: ${contentType}\r\n\r\n`,
    );
    const timer = setInterval(() => {
        if (events < length) {
            runs.set(attempt, ++events);
            socket.write(pieces === undefined ? `id: ${events}\ndata: ${attempt}\n\n` : "x");
            return;
        }
        clearInterval(timer);
        runs.delete(attempt);
        socket.end();
    }, eventInterval);
    const stop = (): void => {
        clearInterval(timer);
        runs.delete(attempt);
    };
    socket.on("close", stop);
    endings.push(() => {
        stop();
        socket.end();
    });
}

function exitLater(): void {
    setTimeout(() => process.exit(), exitDelay);
}

function endNext(): void {
    const end = endings.shift();
    if (end === undefined) {
        exitLater();
    }
    else {
        end();
        setTimeout(endNext, endInterval);
    }
}

process.on("SIGTERM", () => {
    endings.splice(0).forEach(end => end());
    exitLater();
});
process.on("SIGUSR2", endNext);

if (process.send === undefined) {
    const server = createServer(serve);
    server.listen(0, "127.0.0.1", () => process.stdout.write(`${(server.address() as AddressInfo).port}\n`));
}
else {
    process.on("message", (_, socket) => serve(socket as Socket));
    process.send("ready");
}
