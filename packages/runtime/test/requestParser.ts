/**
 * A parser of HTTP/1.1 requests (RFC 9112), written apart from Node's, as the reference of the fuzz test. Where two
 * recipients could read the bytes in different ways, it takes none of them, except for the liberties of
 * {@link ParserStrictness}.
 */

/**
 * `strict`: only what the grammar allows. `asNode`: also what Node's parser (llhttp 8) accepts beyond the grammar, and what
 * leaves one reading to a recipient that accepts it: any CR and LF before a request, and a bare LF after its first line;
 * any byte in the place of the LF that ends a chunk's size or the empty line after a head or after trailers; a bare LF in
 * the place of that empty line; any two bytes in the place of the CR LF that ends a chunk.
 */
export type ParserStrictness = "strict" | "asNode";

/** A request as the strict parser reads it. */
export interface ParsedRequest {
    readonly method: string;
    readonly target: string;
    /** Names in lower case, and values without surrounding white space. */
    readonly fields: readonly (readonly [name: string, value: string])[];
    readonly body: Buffer;
}

/** What a connection carried. */
export interface ParsedConnection {
    readonly requests: readonly ParsedRequest[];
    /** How the bytes after the last request end: with it, inside a further request, or in a violation of the grammar. */
    readonly end: "complete" | "incomplete" | "invalid";
}

class Incomplete extends Error {}
class Invalid extends Error {}

const lineEnd = "\r\n";
const requestLine = /^([!#$%&'*+.^_`|~0-9A-Za-z-]+) ([\x21-\x7e\x80-\xff]+) HTTP\/1\.([01])$/;
const fieldLine = /^([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*([\t\x20-\x7e\x80-\xff]*)$/;
const chunkLine = /^([0-9a-fA-F]{1,8})([ \t]*;[\t\x20-\x7e\x80-\xff]*)?$/;

/**
 * Parses what a client sent on one connection.
 *
 * @example
 * parseRequests(Buffer.from("GET / HTTP/1.1\r\nHost: a\r\n\r\n")).requests[0].target; // "/"
 */
export function parseRequests(bytes: Buffer, strictness: ParserStrictness = "strict"): ParsedConnection {
    const reader = new Reader(bytes, strictness === "asNode");
    const requests: ParsedRequest[] = [];
    try {
        while (!reader.isAtEnd()) {
            requests.push(readRequest(reader));
        }
        return { requests, end: "complete" };
    }
    catch (error) {
        if (error instanceof Incomplete || error instanceof Invalid) {
            return { requests, end: error instanceof Incomplete ? "incomplete" : "invalid" };
        }
        throw error;
    }
}

/** The values of a field of a request, in their order. */
export function fieldValues({ fields }: Pick<ParsedRequest, "fields">, name: string): string[] {
    return fields.filter(([each]) => each === name).map(([, value]) => value);
}

class Reader {
    private position = 0;

    constructor(private readonly bytes: Buffer, readonly takesLiberties: boolean) {}

    isAtEnd(): boolean {
        return this.position === this.bytes.length;
    }

    /** Reads a line that ends with CR LF and contains neither of the two elsewhere. */
    readLine(): string {
        const end = this.bytes.indexOf(lineEnd, this.position);
        const line = this.bytes.subarray(this.position, end === -1 ? undefined : end).toString("latin1");
        if (/[\r\n\0]/.test(end === -1 ? line.replace(/\r$/, "") : line)) {
            throw new Invalid();
        }
        if (end === -1) {
            throw new Incomplete();
        }
        this.position = end + lineEnd.length;
        return line;
    }

    /** Reads a request line, which may follow any CR and LF, and end with a bare LF, for Node. */
    readRequestLine(): string {
        while (this.takesLiberties && [...lineEnd].includes(String.fromCharCode(this.bytes[this.position]))) {
            this.position++;
        }
        if (this.takesLiberties && this.isAtEnd()) {
            throw new Incomplete();
        }
        const end = this.bytes.indexOf("\n", this.position);
        const isBare = end !== -1 && this.bytes[end - 1] !== "\r".charCodeAt(0);
        if (!this.takesLiberties || !isBare) {
            return this.readLine();
        }
        return this.readBytes(end + 1 - this.position).toString("latin1").slice(0, -1);
    }

    /** Reads the line of a chunk's size, whose CR may be followed by any byte for Node. */
    readChunkLine(): string {
        const end = this.bytes.indexOf("\r", this.position);
        if (!this.takesLiberties || end === -1 || end + 1 === this.bytes.length) {
            return this.readLine();
        }
        return this.readBytes(end + lineEnd.length - this.position).toString("latin1").slice(0, -lineEnd.length);
    }

    /** Reads the line of a field, or the empty line that ends the fields, which may lack CR or LF for Node. */
    readFieldLine(): string {
        const next = this.bytes.subarray(this.position, this.position + 1).toString("latin1");
        if (!this.takesLiberties || (next !== "\r" && next !== "\n")) {
            return this.readLine();
        }
        this.readBytes(next === "\n" ? 1 : lineEnd.length);
        return "";
    }

    /** Reads the line end after a chunk, which may be any two bytes for Node. */
    readChunkEnd(): void {
        if (this.readBytes(lineEnd.length).toString("latin1") !== lineEnd && !this.takesLiberties) {
            throw new Invalid();
        }
    }

    readBytes(length: number): Buffer {
        if (length > this.bytes.length - this.position) {
            throw new Incomplete();
        }
        this.position += length;
        return this.bytes.subarray(this.position - length, this.position);
    }
}

function readRequest(reader: Reader): ParsedRequest {
    let line = reader.readRequestLine();
    // A recipient should ignore at least one empty line before a request (RFC 9112, 2.2).
    while (line === "") {
        line = reader.readRequestLine();
    }
    const match = requestLine.exec(line);
    if (match === null) {
        throw new Invalid();
    }
    const fields = readFields(reader);
    return {
        method: match[1],
        target: match[2],
        fields,
        body: readBody(reader, fields, match[3] === "1"),
    };
}

function readFields(reader: Reader): ParsedRequest["fields"] {
    const fields: (readonly [string, string])[] = [];
    for (let line = reader.readFieldLine(); line !== ""; line = reader.readFieldLine()) {
        const match = fieldLine.exec(line);
        if (match === null) {
            throw new Invalid();
        }
        fields.push([match[1].toLowerCase(), match[2].replace(/[ \t]+$/, "")]);
    }
    return fields;
}

function readBody(reader: Reader, fields: ParsedRequest["fields"], canBeChunked: boolean): Buffer {
    const lengths = fieldValues({ fields }, "content-length");
    const codings = fieldValues({ fields }, "transfer-encoding");
    if (codings.length === 0) {
        if (lengths.length > 1 || lengths.some(length => !/^\d{1,15}$/.test(length))) {
            throw new Invalid();
        }
        return reader.readBytes(Number(lengths[0] ?? 0));
    }
    if (lengths.length > 0 || codings.length > 1 || codings[0].toLowerCase() !== "chunked" || !canBeChunked) {
        throw new Invalid();
    }
    return readChunks(reader);
}

function readChunks(reader: Reader): Buffer {
    const chunks: Buffer[] = [];
    for (;;) {
        const match = chunkLine.exec(reader.readChunkLine());
        if (match === null) {
            throw new Invalid();
        }
        const length = parseInt(match[1], 16);
        if (length === 0) {
            readFields(reader);
            return Buffer.concat(chunks);
        }
        chunks.push(reader.readBytes(length));
        reader.readChunkEnd();
    }
}
