import type { PeerReport } from "@verbenaspring/gateway";
import { identifier, type PeerAddress } from "@verbenaspring/model";
import { createPeerLinks, type PeerLinks } from "@verbenaspring/runtime";
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

async function freePort(): Promise<number> {
    const probe = createServer().listen(0, "127.0.0.1");
    await new Promise(resolve => probe.once("listening", resolve));
    const { port } = probe.address() as AddressInfo;
    await new Promise(resolve => probe.close(resolve));
    return port;
}

/** A peer's links, and what it was told of them. */
interface TestPeer {
    readonly address: PeerAddress;
    readonly links: PeerLinks;
    readonly told: string[];
}

async function startPeer(): Promise<TestPeer> {
    const address = identifier<PeerAddress>(`127.0.0.1:${await freePort()}`);
    const told: string[] = [];
    const links = createPeerLinks({
        reported: report => told.push(`reported ${report.address}`),
        closed: peer => told.push(`closed ${peer}`),
        reportsLost: peer => told.push(`lost ${peer}`),
    });
    await links.listen(address);
    return { address, links, told };
}

// Two gateways may each open a link; reports that waited on one were lost without a word when it closed first.
test("the end of one of two links to a peer is told, since reports on it may be lost", async () => {
    const [one, other] = await Promise.all([startPeer(), startPeer()]);
    const port = Number(one.address.split(":")[1]);
    const sockets: Socket[] = [];
    const proxy = createServer(incoming => {
        const outgoing = connect(port, "127.0.0.1");
        [incoming, outgoing].forEach(socket => socket.on("error", () => undefined));
        sockets.push(incoming, outgoing);
        incoming.pipe(outgoing).pipe(incoming);
    }).listen(0, "127.0.0.1");
    await new Promise(resolve => proxy.once("listening", resolve));
    const proxyAddress = identifier<PeerAddress>(`127.0.0.1:${(proxy.address() as AddressInfo).port}`);
    one.links.open(other.address, reportOf(one.address));
    await waitUntil(() => other.told.length > 0);
    other.links.send(one.address, reportOf(other.address));
    other.links.open(proxyAddress, reportOf(other.address));
    await waitUntil(() => one.told.length > 1);
    sockets.forEach(socket => socket.destroy());
    await waitUntil(() => one.told.length > 2);
    [one, other].forEach(({ links }) => links.close());
    proxy.close();
    assert.equal(one.told.slice(0, 3), [
        `reported ${other.address}`,
        `reported ${other.address}`,
        `lost ${other.address}`,
    ]);
});

test.run();
