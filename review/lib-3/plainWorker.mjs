/**
 * The process of a worker of a plain service: `plainWorker.mjs INSTANCE PAUSE_MS`. Its supervisor accepts the channels and
 * passes them on, so that the address stays open while the process is started again. Answers have no length and end with
 * their channels; there is a pause between their two halves.
 */
import { createHash } from "node:crypto";

const [instance, pauseMs] = process.argv.slice(2);

/** The whole body of an answer. */
export const bodyOf = id => `${createHash("sha256").update(id).digest("hex").repeat(12)}\n`;

function handle(socket, head) {
    const [requestLine, ...lines] = head.split("\r\n");
    const [method, path] = requestLine.split(" ");
    const fields = Object.fromEntries(lines.map(line => {
        const colon = line.indexOf(":");
        return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
    }));
    const target = fields["target-instance"];
    if (target !== undefined && target !== instance) {
        socket.end(
            `HTTP/1.1 421 Misdirected Request\r\nInstance-Id: ${instance}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n`,
        );
        return;
    }
    if (method === "GET" && path === "/healthz") {
        process.send({ kind: "health" });
        socket.write(`HTTP/1.1 200 OK\r\nInstance-Id: ${instance}\r\nContent-Length: 0\r\n\r\n`);
        return;
    }
    const id = fields["attempt-id"];
    const body = bodyOf(id);
    const half = body.length / 2;
    process.send({ kind: "runs", id });
    socket.write(
        `HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nResponse-Seal: seal.${id}\r\nInstance-Id: ${instance}\r\n`
            + `Connection: close\r\n\r\n${body.slice(0, half)}`,
        () => process.send({ kind: "half", id }),
    );
    setTimeout(() => {
        socket.end(body.slice(half));
        process.send({ kind: "whole", id });
    }, Number(pauseMs));
}

process.on("message", (message, socket) => {
    if (socket === undefined) {
        return;
    }
    let text = "";
    socket.on("error", () => undefined);
    socket.on("data", piece => {
        text += piece.toString("latin1");
        const headEnd = text.indexOf("\r\n\r\n");
        const length = Number(/content-length: *(\d+)/i.exec(text)?.[1] ?? 0);
        if (headEnd !== -1 && text.length >= headEnd + 4 + length) {
            const head = text.slice(0, headEnd);
            text = text.slice(headEnd + 4 + length);
            handle(socket, head);
        }
    });
    socket.resume();
});
process.on("disconnect", () => process.exit());
if (process.send !== undefined) {
    process.send({ kind: "started" });
}
