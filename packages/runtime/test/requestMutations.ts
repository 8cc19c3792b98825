/**
 * Draws what a hostile client sends on a connection: requests whose framing is right, disagrees or is broken, and that
 * carry further requests in their bodies, chunks, extensions, trailers and fields.
 */
import type { Random } from "@verbenaspring/coordination";

/** What a client sends on one connection. */
export interface DrawnConnection {
    readonly bytes: Buffer;
    /** Whether nothing in it deviates from the grammar, so that every request has to be served. */
    readonly isOrdinary: boolean;
}

const methods = ["GET", "POST", "PUT", "DELETE", "PATCH", "OPTIONS"] as const;
const targets = ["/plain/1", "/plain/a%20b?x=1&y=%0d%0a", "/plain//2/../3", "/plain/;p=1?q"] as const;
/** Lines of heads in which recipients are known to differ. BODY stands for the length of the body. */
const framingLines: readonly (readonly string[])[] = [
    ["Content-Length: BODY", "Content-Length: BODY"],
    ["Content-Length: BODY", "Content-Length: 0"],
    ["Content-Length: 0", "Content-Length: BODY"],
    ["Content-Length: BODY, BODY"],
    ["Content-Length: +BODY"],
    ["Content-Length: 0xBODY"],
    ["Content-Length: -1"],
    ["Content-Length: BODY 0"],
    ["Content-Length: "],
    ["Content-Length: 99999999999999999999999"],
    ["Content-Length : BODY"],
    ["Content-Length:\r\n BODY"],
    ["Content-Length: BODY", "Transfer-Encoding: chunked"],
    ["Transfer-Encoding: chunked", "Content-Length: BODY"],
    ["Transfer-Encoding: identity", "Content-Length: BODY"],
    ["Transfer-Encoding: chunked, identity"],
    ["Transfer-Encoding: identity, chunked"],
    ["Transfer-Encoding: gzip, chunked"],
    ["Transfer-Encoding: xchunked"],
    ["Transfer-Encoding: chunkedx"],
    ["Transfer-Encoding: chunked", "Transfer-Encoding: chunked"],
    ["Transfer-Encoding: chunked", "Transfer-Encoding: identity"],
    ["Transfer-Encoding : chunked"],
    ["Transfer-Encoding:\r\n chunked"],
    ["Transfer-Encoding: \"chunked\""],
    ["Transfer-Encoding:\u000bchunked"],
    [" Transfer-Encoding: chunked"],
    ["X: y\rTransfer-Encoding: chunked"],
    ["X: y\nTransfer-Encoding: chunked"],
    ["X: y\0", "Content-Length: BODY"],
    ["Content_Length: BODY"],
    ["Connection: Content-Length", "Content-Length: BODY"],
    ["Connection: Transfer-Encoding", "Transfer-Encoding: chunked"],
    ["Upgrade: h2c", "Connection: Upgrade", "Content-Length: BODY"],
    ["Expect: 100-continue", "Content-Length: BODY"],
];
const requestLineEnds = [" HTTP/1.0", " HTTP/1.1 ", " HTTP/2.0", " HTTP/1.10", "", " http/1.1", " HTTP/1.1\r"] as const;
const mutationBytes = "\r\n\0 \t:;,'\"0123456789abcfGP/\u00ff";
const ordinaryShare = 0.25;
const maxRequests = 4;

/**
 * Draws a connection.
 *
 * @param name a prefix of the ids of its requests, which no other connection has
 * @example
 * const { bytes } = drawConnection("case1", random);
 */
export function drawConnection(name: string, random: Random): DrawnConnection {
    const drawing = new Drawing(name, random);
    const isOrdinary = random() < ordinaryShare;
    const count = 1 + Math.floor(random() * maxRequests);
    const text = Array.from({ length: count }, () => drawing.drawRequest(isOrdinary)).join("");
    const bytes = Buffer.from(text, "latin1");
    return { bytes: isOrdinary || random() < 0.5 ? bytes : drawing.mutate(bytes), isOrdinary };
}

class Drawing {
    private requests = 0;

    constructor(private readonly name: string, private readonly random: Random) {}

    /** Draws a request; what its body and its framing carry may look like further ones. */
    drawRequest(isOrdinary: boolean): string {
        const method = this.choose(methods);
        const target = this.choose(targets);
        const body = this.drawBody();
        const isEmpty = method === "GET" && this.random() < 0.5;
        const head = `${method} ${target} HTTP/1.1\r\nHost: clinic.example\r\nAttempt-Id: ${this.nextId()}\r\n`;
        if (isEmpty) {
            return `${head}\r\n`;
        }
        if (isOrdinary || this.random() < 0.3) {
            return this.random() < 0.5
                ? `${head}Content-Length: ${body.length}\r\n\r\n${body}`
                : `${head}Transfer-Encoding: chunked\r\n\r\n${this.encodeChunks(body, isOrdinary)}`;
        }
        return this.drawDeviation(head, target, body);
    }

    /** Changes, adds or removes some bytes. */
    mutate(bytes: Buffer): Buffer {
        let mutated = bytes;
        for (let count = 1 + Math.floor(this.random() * 3); count > 0; count--) {
            const at = Math.floor(this.random() * mutated.length);
            const removed = Math.floor(this.random() * 3);
            const added = this.random() < 0.7 ? this.choose([...mutationBytes]) : "";
            mutated = Buffer.concat([
                mutated.subarray(0, at),
                Buffer.from(added, "latin1"),
                mutated.subarray(at + removed),
            ]);
        }
        return mutated;
    }

    private drawDeviation(head: string, target: string, body: string): string {
        const payload = this.random() < 0.5 ? body : this.encodeChunks(body, false);
        switch (Math.floor(this.random() * 5)) {
            case 0: {
                const ended = head.replace(" HTTP/1.1", this.choose(requestLineEnds));
                return `${ended}Content-Length: ${body.length}\r\n\r\n${body}`;
            }
            case 1:
                return `${head}Content-Length: ${payload.length}\r\n\r\n${payload}`.replace("\r\n", this.drawLineEnd());
            case 2:
                return `${head}X-Other: ${this.smuggledRequest().replaceAll("\r\n", this.drawLineEnd())}\r\n\r\n`;
            case 3:
                return head.replace(target, `http://clinic.example${target}`) + `Content-Length: 0\r\n\r\n`;
            default: {
                const lines = this.choose(framingLines).map(line => line.replaceAll("BODY", `${payload.length}`));
                return `${head}${lines.join("\r\n")}\r\n\r\n${payload}`;
            }
        }
    }

    private drawBody(): string {
        const kinds = ["", "body", "0\r\n\r\n", this.smuggledRequest(), `0\r\n\r\n${this.smuggledRequest()}`];
        return this.choose(kinds);
    }

    /** A request that must not reach a server where it stands inside another. */
    private smuggledRequest(): string {
        return `POST /plain/smuggled HTTP/1.1\r\nHost: clinic.example\r\nAttempt-Id: ${this.nextId()}\r\n`
            + "Content-Length: 2\r\n\r\nhi";
    }

    private encodeChunks(body: string, isOrdinary: boolean): string {
        const cut = Math.floor(this.random() * body.length);
        const pieces = [body.slice(0, cut), body.slice(cut)].filter(piece => piece.length > 0);
        const chunks = pieces.map(piece =>
            `${this.drawChunkSize(piece.length, isOrdinary)}\r\n${piece}${isOrdinary ? "\r\n" : this.drawLineEnd()}`
        );
        return `${chunks.join("")}0\r\n${this.drawTrailers(isOrdinary)}\r\n`;
    }

    private drawChunkSize(length: number, isOrdinary: boolean): string {
        const size = length.toString(16);
        const ordinary = [size, size.toUpperCase(), `00${size}`, `${size};name=value`];
        const deviating = [
            `0x${size}`,
            `+${size}`,
            ` ${size}`,
            `${size} `,
            `-${size}`,
            `${size};a="\r\n0\r\n\r\n${this.smuggledRequest()}"`,
            `${size};a\nb`,
            `${size};a\rb`,
            `${size}\n`,
            `${size}g`,
            `fffffffffffffffff${size}`,
            "",
        ];
        return this.choose(isOrdinary || this.random() < 0.7 ? ordinary : deviating);
    }

    private drawTrailers(isOrdinary: boolean): string {
        const ordinary = ["", "", "X-Sum: 1\r\n", "Content-Length: 3\r\nX: y\r\n"];
        const deviating = [
            `Attempt-Id: ${this.nextId()}\r\n`,
            "Transfer-Encoding: chunked\r\n",
            `X: y\n\n${this.smuggledRequest()}`,
            `${this.smuggledRequest()}`,
            " folded\r\n",
        ];
        return this.choose(isOrdinary || this.random() < 0.6 ? ordinary.slice(0, isOrdinary ? 3 : 4) : deviating);
    }

    private drawLineEnd(): string {
        return this.choose(["\r\n", "\n", "\r", "\n\r", "", " \r\n", "\r\r\n"]);
    }

    private nextId(): string {
        return `${this.name}-${++this.requests}`;
    }

    private choose<Item>(items: readonly Item[]): Item {
        return items[Math.floor(this.random() * items.length)];
    }
}
