/** A client that sends one HTTP/1.1 request on a channel of its own and sees exactly how the answer ends. */
import { connect } from "node:net";

/**
 * Sends a request. `result` resolves when the channel has ended: whether by an orderly close or a reset, and whether the
 * answer is complete by the rules of HTTP/1.1.
 */
export function send(address, { method = "POST", path, headers = {}, body = "", keepsSending = false }) {
    const [host, port] = address.split(":");
    const socket = connect({ host, port: Number(port), noDelay: true });
    const lines = Object.entries({ Host: "office.example", ...headers, "Content-Length": Buffer.byteLength(body) })
        .map(([name, value]) => `${name}: ${value}\r\n`);
    socket.write(`${method} ${path} HTTP/1.1\r\n${lines.join("")}\r\n`);
    socket.write(body);
    const pieces = [];
    let answerAt;
    const result = new Promise(resolve => {
        let error;
        let isOver = false;
        const settle = end => {
            if (!isOver) {
                isOver = true;
                resolve({ end, ...parse(Buffer.concat(pieces), end), firstByteAt: answerAt });
            }
        };
        socket.on("data", piece => {
            answerAt ??= performance.now();
            pieces.push(piece);
            const seen = parse(Buffer.concat(pieces), "open");
            if (seen.isComplete && !keepsSending) {
                settle("answered");
                socket.destroy();
            }
        });
        socket.on("error", cause => error = cause);
        socket.on("end", () => settle("closed"));
        socket.on("close", () => settle(error === undefined ? "closed" : `reset (${error.code})`));
    });
    return { socket, result, received: () => Buffer.concat(pieces) };
}

/** Parses an answer, and tells whether it is complete: by its length, its chunks, or the orderly close of the channel. */
export function parse(bytes, end) {
    const headEnd = bytes.indexOf("\r\n\r\n");
    if (headEnd === -1) {
        return { status: undefined, headers: {}, body: Buffer.alloc(0), isComplete: false, framing: "none" };
    }
    const [statusLine, ...lines] = bytes.subarray(0, headEnd).toString("latin1").split("\r\n");
    const headers = Object.fromEntries(lines.map(line => [
        line.slice(0, line.indexOf(":")).toLowerCase(),
        line.slice(line.indexOf(":") + 1).trim(),
    ]));
    const status = Number(statusLine.split(" ")[1]);
    const rest = bytes.subarray(headEnd + 4);
    if (headers["content-length"] !== undefined) {
        const length = Number(headers["content-length"]);
        return {
            status,
            headers,
            body: rest.subarray(0, length),
            isComplete: rest.length >= length,
            framing: "length",
        };
    }
    if (headers["transfer-encoding"] === "chunked") {
        return { status, headers, framing: "chunks", ...dechunk(rest) };
    }
    return { status, headers, body: rest, isComplete: end === "closed", framing: "close" };
}

function dechunk(bytes) {
    const chunks = [];
    for (let position = 0;;) {
        const lineEnd = bytes.indexOf("\r\n", position);
        const size = lineEnd === -1 ? NaN : parseInt(bytes.subarray(position, lineEnd).toString("latin1"), 16);
        if (Number.isNaN(size) || lineEnd + 2 + size > bytes.length) {
            return { body: Buffer.concat(chunks), isComplete: false };
        }
        if (size === 0) {
            return { body: Buffer.concat(chunks), isComplete: true };
        }
        chunks.push(bytes.subarray(lineEnd + 2, lineEnd + 2 + size));
        position = lineEnd + 2 + size + 2;
    }
}

/**
 * A proxy that passes on what a client sends at once, and the answer at a limited rate: a client that reads slowly, or
 * one behind a slow link. A reset or an orderly close of the gateway is passed on as it is.
 *
 * @param rateAt the bytes a second, by the milliseconds since the channel was opened
 */
export async function startSlowProxy(target, rateAt) {
    const { createServer } = await import("node:net");
    const [host, port] = target.split(":");
    const pieceBytes = 16 * 1024;
    const server = createServer(client => {
        const upstream = connect({ host, port: Number(port), noDelay: true, readableHighWaterMark: pieceBytes });
        const openedAt = performance.now();
        client.pipe(upstream);
        let isEnding = false;
        upstream.on("data", piece => {
            upstream.pause();
            client.write(piece);
            setTimeout(() => upstream.resume(), 1000 * piece.length / rateAt(performance.now() - openedAt));
        });
        upstream.on("end", () => {
            isEnding = true;
            client.end();
        });
        upstream.on("error", () => client.resetAndDestroy());
        upstream.on("close", () => isEnding || client.destroy());
        client.on("error", () => upstream.destroy());
        client.on("close", () => upstream.destroy());
    });
    await new Promise(resolve => server.listen(0, "127.0.0.1", resolve));
    return { address: `127.0.0.1:${server.address().port}`, close: () => server.close() };
}
