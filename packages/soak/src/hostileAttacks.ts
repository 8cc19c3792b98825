/**
 * The attacks of hostile clients. Each is a value; what an attack opens and sends is bounded by its {@link AttackRun}.
 */
import type { Socket } from "node:net";
import type { AttackRun } from "./attackRun.js";
import { httpListeners, largePath, type ListenerName } from "./hostileTargets.js";
import { peerAttacks } from "./peerAttacks.js";

/** An attack. */
export interface Attack {
    readonly name: string;
    /** The listeners at which it is played. */
    readonly listeners: readonly ListenerName[];
    /** Overrides the path of the listener. */
    readonly path?: string;
    /** Starts the attack, which lasts until its run is stopped. */
    readonly start: (run: AttackRun) => void;
}

const megabyte = 1024 * 1024;
/** The largest body that the configuration of the load tool allows. */
const maxBodyBytes = 4 * megabyte;
/** Bytes of each piece of a body that is sent in large pieces. */
const largePieceBytes = 64 * 1024;
const largePiece = Buffer.alloc(largePieceBytes, "x");
const largeChunk = Buffer.concat([
    Buffer.from(`${largePieceBytes.toString(16)}\r\n`),
    largePiece,
    Buffer.from("\r\n"),
]);

const oneByteChunksInWrite = 8_000;
const oneByteChunks = Buffer.from("1\r\nx\r\n".repeat(oneByteChunksInWrite));

/** As many fields as fit into a legal head: `maxHeaderBytes` counts a name, a value and two separators of two bytes. */
const manyFields = "a:b\r\n".repeat(2_400);

const chunkedField = "Transfer-Encoding: chunked\r\n\r\n";

function chunkedHead(run: AttackRun): string {
    return `${run.target.headFields("POST")}${chunkedField}`;
}

function headWithLength(run: AttackRun, length: number, fields = ""): string {
    return `${run.target.headFields("POST")}${fields}Content-Length: ${length}\r\n\r\n`;
}

/** Returns pieces until `total` bytes have been returned; the last piece may be shorter. */
function takePieces(piece: Buffer, total: number): () => Buffer | undefined {
    let remaining = total;
    return () => {
        const next = piece.subarray(0, remaining);
        remaining -= next.length;
        return next.length === 0 ? undefined : next;
    };
}

/** Sends a body that lacks its last byte. */
function sendIncompleteBody(run: AttackRun, socket: Socket, length: number, fields = ""): void {
    socket.write(headWithLength(run, length, fields));
    run.writeAll(socket, takePieces(largePiece, length - 1));
}

function sendOneByteChunks(run: AttackRun): void {
    run.connect({ count: 40, reconnects: false, reads: false }, socket => {
        socket.write(chunkedHead(run));
        let writes = Math.floor(maxBodyBytes / oneByteChunksInWrite);
        run.writeAll(socket, () => writes-- > 0 ? oneByteChunks : undefined);
    });
}

function sendPipelined(run: AttackRun, fields = ""): void {
    const requestsInWrite = 200;
    run.connect(
        { count: 30, reconnects: false, reads: false },
        socket =>
            run.writeAll(
                socket,
                () =>
                    Array.from({ length: requestsInWrite }, () => `${run.target.headFields("GET")}${fields}\r\n`).join(
                        "",
                    ),
            ),
    );
}

function sendEndlessChunks(run: AttackRun): void {
    run.connect({ count: 40, reconnects: true, reads: true }, socket => {
        socket.write(chunkedHead(run));
        run.writeAll(socket, () => largeChunk);
    });
}

/** Sends bodies in writes of two bytes, each of them after the one before has left, so that they are not joined. */
function sendTwoByteWrites(run: AttackRun): void {
    run.connect({ count: 200, reconnects: false, reads: false }, socket => {
        socket.write(headWithLength(run, maxBodyBytes));
        const write = (): void => void (socket.writable && socket.write("xx", write));
        write();
    });
}

function sendIncompleteHeads(run: AttackRun): void {
    run.connect({ count: 3_500, reconnects: false, reads: true }, socket => socket.write(run.target.headFields("GET")));
}

/** Sends heads of very many fields whose requests have no body and end there. */
function sendManyFields(run: AttackRun): void {
    run.connect(
        { count: 400, reconnects: true, reads: true },
        socket => socket.write(`${run.target.headFields("GET")}${manyFields}\r\n`),
    );
}

/** Sends heads of very many fields and a body that stops before its end. */
function sendManyFieldsWithBody(run: AttackRun): void {
    run.connect(
        { count: 400, reconnects: true, reads: true },
        socket => sendIncompleteBody(run, socket, 1_000, manyFields),
    );
}

function sendBodiesOverLimit(run: AttackRun): void {
    const length = 64 * megabyte;
    run.connect({ count: 40, reconnects: true, reads: true }, socket => {
        socket.write(headWithLength(run, length));
        run.writeAll(socket, takePieces(largePiece, length));
    });
}

function sendSlowly(run: AttackRun): void {
    const heads = { count: 300, reconnects: true, reads: true };
    run.connect(heads, socket => {
        const bytes = [...`${run.target.headFields("GET")}\r\n`];
        run.writeSlowly(socket, 100, () => bytes.shift());
    });
    run.connect(heads, socket => {
        socket.write(headWithLength(run, 1_000));
        run.writeSlowly(socket, 500, () => "x");
    });
}

/** Stops half-way through a head, a body or an answer, by an end or by a reset. */
function stopHalfWay(run: AttackRun): void {
    const length = 200_000;
    run.connect({ count: 100, reconnects: true, reads: true }, socket => {
        const request = headWithLength(run, length) + "x".repeat(length);
        socket.write(request.slice(0, Math.floor(run.random() * request.length)));
        const stop = run.random() < 0.5 ? () => socket.end() : () => socket.resetAndDestroy();
        run.after(run.random() * 300, stop);
    });
}

/** Asks for answers and reads nothing or very little of them. */
function readSlowly(run: AttackRun): void {
    run.connect({ count: 100, reconnects: false, reads: false }, socket => {
        socket.write(`${run.target.headFields("GET")}\r\n`);
        const readSome = (): void => {
            socket.read(1_000);
            run.after(200, readSome);
        };
        readSome();
    });
}

/** All attacks. */
export const attacks: readonly Attack[] = [
    { name: "oneByteChunks", listeners: httpListeners, start: sendOneByteChunks },
    { name: "pipelined", listeners: httpListeners, start: run => sendPipelined(run) },
    { name: "pipelinedManyFields", listeners: httpListeners, start: run => sendPipelined(run, manyFields) },
    { name: "endlessChunks", listeners: httpListeners, start: sendEndlessChunks },
    { name: "twoByteWrites", listeners: httpListeners, start: sendTwoByteWrites },
    {
        name: "incompleteBodies",
        listeners: httpListeners,
        start: run =>
            run.connect(
                { count: 120, reconnects: false, reads: true },
                socket => sendIncompleteBody(run, socket, megabyte),
            ),
    },
    {
        name: "reconnectingBodies",
        listeners: httpListeners,
        start: run =>
            run.connect(
                { count: 60, reconnects: true, reads: true },
                socket => sendIncompleteBody(run, socket, megabyte),
            ),
    },
    { name: "bodiesOverLimit", listeners: httpListeners, start: sendBodiesOverLimit },
    { name: "incompleteHeads", listeners: httpListeners, start: sendIncompleteHeads },
    { name: "manyFields", listeners: httpListeners, start: sendManyFields },
    { name: "manyFieldsWithBody", listeners: httpListeners, start: sendManyFieldsWithBody },
    { name: "slowSenders", listeners: httpListeners, start: sendSlowly },
    { name: "halfWayStops", listeners: httpListeners, start: stopHalfWay },
    { name: "slowReaders", listeners: ["feed"], start: readSlowly },
    { name: "slowReadersOfLargeAnswers", listeners: ["route"], path: largePath, start: readSlowly },
    ...peerAttacks,
];
