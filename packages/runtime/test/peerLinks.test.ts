import { create, toBinary } from "@bufbuild/protobuf";
import { findFreeAddress } from "@verbenaspring/bench";
import type { PeerReport } from "@verbenaspring/gateway";
import { identifier, type PeerAddress } from "@verbenaspring/model";
import { createPeerLinks, encodeReport, type PeerLinks } from "@verbenaspring/runtime";
import { PeerReportSchema } from "@verbenaspring/schema";
import { createServer as createHttp2Server, type ServerHttp2Stream } from "node:http2";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";

const waitLimit = 5_000;

async function waitUntil(holds: () => boolean): Promise<void> {
    const end = Date.now() + waitLimit;
    while (!holds() && Date.now() < end) {
        await new Promise(resolve => setTimeout(resolve, 10));
    }
}

function reportOf(address: PeerAddress): PeerReport {
    return {
        address,
        incarnation: identifier(address),
        protocol: 2,
        wantsLink: true,
        records: [],
        topics: [],
        leavingServers: [],
        crashSuspects: [],
        members: [],
        isStopping: false,
        loads: [],
        isFull: true,
        waitingRequests: 0,
        requestLimits: [],
    };
}

/** A peer's links, and what it was told of them. */
interface TestPeer {
    readonly address: PeerAddress;
    readonly links: PeerLinks;
    readonly told: string[];
}

async function startPeer(): Promise<TestPeer> {
    const address = identifier<PeerAddress>(await findFreeAddress());
    const told: string[] = [];
    const links = createPeerLinks({
        reported: report => told.push(`reported ${report.address}`),
        closed: peer => told.push(`closed ${peer}`),
        reportsLost: peer => told.push(`lost ${peer}`),
        waiting: (peer, { count, oldest, isEnd }) =>
            told.push(`waiting ${peer} ${count} ${Math.round(oldest)} ${isEnd}`),
    });
    await links.listen(address);
    return { address, links, told };
}

/** A proxy before a peer, and the sockets of its connections: first that from the caller, then that to the peer. */
async function startProxy({ address }: TestPeer) {
    const port = Number(address.split(":")[1]);
    const sockets: Socket[] = [];
    const proxy = createServer(incoming => {
        const outgoing = connect(port, "127.0.0.1");
        [incoming, outgoing].forEach(socket => socket.on("error", () => undefined));
        sockets.push(incoming, outgoing);
        incoming.pipe(outgoing).pipe(incoming);
    }).listen(0, "127.0.0.1");
    await new Promise(resolve => proxy.once("listening", resolve));
    const proxyAddress = identifier<PeerAddress>(`127.0.0.1:${(proxy.address() as AddressInfo).port}`);
    return { address: proxyAddress, sockets, close: () => proxy.close() };
}

// Two gateways may each open a link; reports that waited on one were lost without a word when it closed first.
test("the end of one of two links to a peer is told, since reports on it may be lost", async () => {
    const [one, other] = await Promise.all([startPeer(), startPeer()]);
    const { address: proxyAddress, sockets, close } = await startProxy(one);
    one.links.open(other.address, reportOf(one.address));
    await waitUntil(() => other.told.length > 0);
    other.links.send(one.address, reportOf(other.address));
    other.links.open(proxyAddress, reportOf(other.address));
    await waitUntil(() => one.told.length > 1);
    sockets.forEach(socket => socket.destroy());
    await waitUntil(() => one.told.length > 2);
    [one, other].forEach(({ links }) => links.close());
    close();
    assert.equal(one.told.slice(0, 3), [
        `reported ${other.address}`,
        `reported ${other.address}`,
        `lost ${other.address}`,
    ]);
});

/** A link whose far end reads nothing any more, and a function that sends so many reports that too many wait. */
async function startStuckLink() {
    const [one, other] = await Promise.all([startPeer(), startPeer()]);
    const { address: proxyAddress, sockets, close } = await startProxy(one);
    other.links.open(proxyAddress, reportOf(other.address));
    await waitUntil(() => one.told.length > 0);
    sockets[0].unpipe().pause();
    const item = { key: "config", offset: 1, value: new Uint8Array(1024 * 1024) };
    const topic = { name: "configuration", since: 0, through: 2, age: 0, items: [item], isComplete: true } as const;
    const topics = [{ ...topic, read: { reader: identifier<never>("other"), count: 1 } }];
    const waiting = () => other.told.filter(line => line.startsWith("waiting"));
    const overfill = async () => {
        for (let count = 0; count < 90 && !waiting().some(line => line.endsWith("true")); count++) {
            other.links.send(proxyAddress, { ...reportOf(other.address), topics });
            await new Promise(resolve => setTimeout(resolve, 20));
        }
        return waiting();
    };
    const end = () => {
        sockets.forEach(socket => socket.destroy());
        [one, other].forEach(({ links }) => links.close());
        close();
    };
    return { address: proxyAddress, other, overfill, end };
}

// No line said that reports waited in their sender for a peer that reads too slowly.
test("it is told at most once a second that reports wait for a peer that does not read, and when their link ends", async () => {
    const { address, overfill, end } = await startStuckLink();
    const start = Date.now();
    const lines = await overfill();
    const duration = Date.now() - start;
    end();
    const [before, atEnd] = [lines.slice(0, -1), lines.slice(-1)[0]];
    assert.match(atEnd, new RegExp(`^waiting ${address} 65 \\d+ true$`));
    assert.ok(before.length >= 1 && before.length <= 1 + duration / 1_000, `${before.length} lines in ${duration} ms`);
    assert.ok(before.every(line => Number(line.split(" ")[3]) >= 500), before.join(", "));
});

// The stream ended behind all that waited in sockets, and reports were added to a queue that nothing sent any more.
test("a link with too many waiting reports is closed at once, so that a new one begins with a full report", async () => {
    const { address, other, overfill, end } = await startStuckLink();
    await overfill();
    await new Promise(resolve => setTimeout(resolve, 500));
    const closed = other.told.filter(line => line.startsWith("closed"));
    end();
    assert.equal(closed, [`closed ${address}`]);
});

/** A message of the stream of a link: flags, the length, and the report. */
function encodeMessage(report: PeerReport): Buffer {
    const content = toBinary(PeerReportSchema, create(PeerReportSchema, encodeReport(report)));
    const prefix = Buffer.alloc(5);
    prefix.writeUInt32BE(content.length, 1);
    return Buffer.concat([prefix, content]);
}

type StreamEnd = (stream: ServerHttp2Stream, socket: Socket) => void;

/** Opens a link to a server that answers with a status and bytes, and then ends the stream; returns what was told. */
async function openTo(status: number, bytes: Buffer, end: StreamEnd): Promise<string[]> {
    const sockets: Socket[] = [];
    const server = createHttp2Server().on("stream", stream => {
        stream.on("error", () => undefined);
        stream.respond({ ":status": status, "content-type": "application/connect+proto" });
        stream.write(bytes, () => end(stream, sockets[0]));
    });
    server.on("connection", (socket: Socket) => sockets.push(socket)).on("sessionError", () => undefined);
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const peer = await startPeer();
    const address = identifier<PeerAddress>(`127.0.0.1:${(server.address() as AddressInfo).port}`);
    peer.links.open(address, reportOf(peer.address));
    await waitUntil(() => peer.told.some(line => line === `closed ${address}`));
    peer.links.close();
    server.close();
    return peer.told.map(line => line.replace(address, "peer"));
}

const streamEnds: readonly StreamEnd[] = [
    stream => stream.end(),
    stream => stream.close(2),
    stream => stream.session?.destroy(),
    (_, socket) => void socket.resetAndDestroy(),
];

test("a report that is cut, or that comes with another status than 200, is not a report", async () => {
    const report = reportOf(identifier("one"));
    const message = encodeMessage(report);
    const cut = encodeMessage({ ...report, members: [identifier("two"), identifier("three")] }).subarray(0, -1);
    for (const end of streamEnds) {
        assert.equal(await openTo(200, Buffer.concat([message, cut]), end), ["reported one", "closed peer"]);
        for (const status of [503, 599]) {
            assert.equal(await openTo(status, message, end), ["closed peer"]);
        }
    }
});

test.run();
