/**
 * Attacks at the port for other gateways, which speaks HTTP/2 in clear text.
 */
import type { Socket } from "node:net";
import type { AttackRun } from "./attackRun.js";
import type { Attack } from "./hostileAttacks.js";

const preface = Buffer.from("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n");
const frameHeadBytes = 9;
const frameType = { data: 0, headers: 1, settings: 4, ping: 6 } as const;
const endHeaders = 4;
const pathField = 4;
const methodPost = 0x83;
const schemeHttp = 0x86;
const literalField = 0x0f;
const contentTypeField = 31;

/** Encodes a frame of HTTP/2. */
function frame(type: number, flags: number, stream: number, payload: Buffer = Buffer.alloc(0)): Buffer {
    const head = Buffer.alloc(frameHeadBytes);
    head.writeUIntBE(payload.length, 0, 3);
    head.writeUInt8(type, 3);
    head.writeUInt8(flags, 4);
    head.writeUInt32BE(stream, 5);
    return Buffer.concat([head, payload]);
}

/** Encodes a field of an indexed name of HPACK's static table, without Huffman coding. */
function literal(nameIndex: number, value: string): Buffer {
    const isShort = nameIndex < literalField;
    const name = isShort ? [nameIndex] : [literalField, nameIndex - literalField];
    return Buffer.concat([Buffer.from([...name, value.length]), Buffer.from(value)]);
}

const requestFields = Buffer.concat([
    Buffer.from([methodPost, schemeHttp]),
    literal(pathField, "/verbenaspring.v1.GatewayPeerService/Follow"),
    literal(1, "127.0.0.1"),
    literal(contentTypeField, "application/connect+proto"),
]);

const requestFrame = (stream: number): Buffer => frame(frameType.headers, endHeaders, stream, requestFields);

function startSession(socket: Socket): void {
    socket.write(Buffer.concat([preface, frame(frameType.settings, 0, 0)]));
}

/** Opens sessions that send nothing. */
function holdSessions(run: AttackRun): void {
    run.connect({ count: 2_000, reconnects: true, reads: true }, startSession);
}

/** Opens very many streams in each session, which send no message. */
function openStreams(run: AttackRun): void {
    run.connect({ count: 40, reconnects: true, reads: true }, socket => {
        startSession(socket);
        let stream = -1;
        run.writeAll(socket, () => requestFrame(stream += 2));
    });
}

/** Sends messages whose stated length never arrives whole, on several streams of each session. */
function sendMessages(run: AttackRun): void {
    const streams = [1, 3, 5, 7];
    const windowBytes = 16 * 1024;
    const messageHead = Buffer.from([0, 0x7f, 0xff, 0xff, 0xff]);
    const piece = Buffer.alloc(windowBytes - 1, "x");
    run.connect({ count: 40, reconnects: true, reads: true }, socket => {
        startSession(socket);
        streams.forEach(stream =>
            socket.write(Buffer.concat([requestFrame(stream), frame(frameType.data, 0, stream, messageHead)]))
        );
        let next = 0;
        run.writeSlowly(socket, 5, () => frame(frameType.data, 0, streams[next++ % streams.length], piece));
    });
}

/** Sends pings without reading the answers. */
function sendPings(run: AttackRun): void {
    const pings = Buffer.concat(Array.from({ length: 1_000 }, () => frame(frameType.ping, 0, 0, Buffer.alloc(8))));
    run.connect({ count: 30, reconnects: false, reads: false }, socket => {
        startSession(socket);
        run.writeAll(socket, () => pings);
    });
}

/** Sends bytes that are not HTTP/2. */
function sendOtherProtocol(run: AttackRun): void {
    const bytes = Buffer.alloc(64 * 1024, "x");
    run.connect({ count: 100, reconnects: true, reads: true }, socket => {
        socket.write(`${run.target.headFields("POST")}Content-Length: 100000000\r\n\r\n`);
        run.writeAll(socket, () => bytes);
    });
}

/** All attacks at the port for other gateways. */
export const peerAttacks: readonly Attack[] = [
    { name: "peerSessions", listeners: ["peers"], start: holdSessions },
    { name: "peerStreams", listeners: ["peers"], start: openStreams },
    { name: "peerMessages", listeners: ["peers"], start: sendMessages },
    { name: "peerPings", listeners: ["peers"], start: sendPings },
    { name: "peerOtherProtocol", listeners: ["peers"], start: sendOtherProtocol },
];
