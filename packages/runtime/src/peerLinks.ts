/**
 * Links between gateways: streams that carry reports both ways. Two gateways may each have opened one; either carries.
 */
import { createClient } from "@connectrpc/connect";
import { connectNodeAdapter, createConnectTransport, Http2SessionManager } from "@connectrpc/connect-node";
import type { PeerReport } from "@verbenaspring/gateway";
import { type Milliseconds, type PeerAddress } from "@verbenaspring/model";
import { GatewayPeerService, type PeerReport as PeerReportMessage } from "@verbenaspring/schema";
import { createServer, type ServerHttp2Session } from "node:http2";
import { monotonicNow } from "./eventLoop.js";
import { decodeReport, encodeReport, type ReportInit } from "./peerReportCodec.js";
import { listen } from "./socketAddress.js";

/** What links report. */
export interface PeerLinkHandlers {
    readonly reported: (report: PeerReport) => void;
    /** No link to the peer is left. */
    readonly closed: (address: PeerAddress) => void;
}

/** The links of one gateway to the others. */
export interface PeerLinks {
    readonly listen: (address: string) => Promise<void>;
    /** Opens a link, with a first report. */
    readonly open: (address: PeerAddress, report: PeerReport) => void;
    readonly send: (address: PeerAddress, report: PeerReport) => void;
    /** Closes all links to a peer. */
    readonly closePeer: (address: PeerAddress) => void;
    readonly close: () => void;
}

/** One direction of a link: reports wait here until the stream takes them. */
interface ReportQueue {
    readonly push: (report: PeerReport) => void;
    readonly end: () => void;
    readonly reports: () => AsyncGenerator<ReportInit>;
}

interface PeerLink {
    readonly queue: ReportQueue;
    lastReceivedAt: Milliseconds;
    readonly abort: () => void;
}

/** Reports that may wait for a slow peer; the link is then closed and starts anew with a full one. */
const maxQueuedReports = 64;

/**
 * Creates the links.
 *
 * @example
 * const peers = createPeerLinks({ reported, closed });
 * await peers.listen("127.0.0.1:8748");
 */
export function createPeerLinks(handlers: PeerLinkHandlers): PeerLinks {
    const links = new Map<PeerAddress, Set<PeerLink>>();
    const sessions = new Set<ServerHttp2Session>();

    const add = (address: PeerAddress, link: PeerLink): void => {
        const ofPeer = links.get(address) ?? new Set();
        links.set(address, ofPeer.add(link));
    };
    const remove = (address: PeerAddress, link: PeerLink): void => {
        link.queue.end();
        link.abort();
        const ofPeer = links.get(address);
        if (ofPeer?.delete(link) === true && ofPeer.size === 0) {
            links.delete(address);
            handlers.closed(address);
        }
    };
    const closePeer = (address: PeerAddress): void => {
        const ofPeer = links.get(address) ?? new Set();
        links.delete(address);
        ofPeer.forEach(link => {
            link.queue.end();
            link.abort();
        });
    };
    const receiveFromNewPeer = async (messages: AsyncIterable<PeerReportMessage>, link: PeerLink): Promise<void> => {
        let address: PeerAddress | undefined;
        try {
            for await (const message of messages) {
                const report = decodeReport(message);
                if (address === undefined) {
                    address = report.address;
                    add(address, link);
                }
                link.lastReceivedAt = monotonicNow();
                handlers.reported(report);
            }
        }
        catch {
            // However a link ends, its end is reported, and the reducer decides what follows.
        }
        if (address !== undefined) {
            remove(address, link);
        }
    };

    const server = createServer(connectNodeAdapter({
        routes: router =>
            router.service(GatewayPeerService, {
                follow: (messages, context) => {
                    const queue = createReportQueue();
                    const abort = new AbortController();
                    context.signal.addEventListener("abort", queue.end);
                    void receiveFromNewPeer(untilAborted(messages, abort.signal), {
                        queue,
                        lastReceivedAt: 0,
                        abort: () => abort.abort(),
                    });
                    return queue.reports();
                },
            }),
    }));
    server.on("session", session => {
        sessions.add(session);
        session.on("error", () => session.destroy());
        session.on("close", () => sessions.delete(session));
    });

    const open = (address: PeerAddress, report: PeerReport): void => {
        const session = new Http2SessionManager(`http://${address}`);
        const abort = new AbortController();
        const queue = createReportQueue();
        const link: PeerLink = {
            queue,
            lastReceivedAt: 0,
            abort: () => {
                abort.abort();
                session.abort();
            },
        };
        add(address, link);
        queue.push(report);
        const transport = createConnectTransport({
            baseUrl: `http://${address}`,
            httpVersion: "2",
            sessionManager: session,
            acceptCompression: [],
        });
        const stream = createClient(GatewayPeerService, transport).follow(queue.reports(), { signal: abort.signal });
        void receiveReports(stream, link, handlers).finally(() => remove(address, link));
    };
    return {
        listen: address => listen(server, address),
        open,
        send: (address, report) => {
            // The link that was heard last is the one that is known to carry.
            const ofPeer = [...links.get(address) ?? []].sort((one, other) =>
                other.lastReceivedAt - one.lastReceivedAt
            );
            ofPeer[0]?.queue.push(report);
        },
        closePeer: closePeer,
        close: () => {
            [...links.keys()].forEach(closePeer);
            sessions.forEach(session => session.destroy());
            server.close();
        },
    };
}

async function receiveReports(
    messages: AsyncIterable<PeerReportMessage>,
    link: PeerLink,
    handlers: PeerLinkHandlers,
): Promise<void> {
    try {
        for await (const message of messages) {
            link.lastReceivedAt = monotonicNow();
            handlers.reported(decodeReport(message));
        }
    }
    catch {
        // However a link ends, its end is reported, and the reducer decides what follows.
    }
}

async function* untilAborted(
    messages: AsyncIterable<PeerReportMessage>,
    signal: AbortSignal,
): AsyncGenerator<PeerReportMessage> {
    for await (const message of messages) {
        if (signal.aborted) {
            return;
        }
        yield message;
    }
}

function createReportQueue(): ReportQueue {
    const queuedReports: PeerReport[] = [];
    let hasEnded = false;
    let wake: () => void = () => undefined;
    const end = (): void => {
        hasEnded = true;
        wake();
    };
    async function* reports(): AsyncGenerator<ReportInit> {
        while (!hasEnded) {
            for (let report = queuedReports.shift(); report !== undefined; report = queuedReports.shift()) {
                yield encodeReport(report);
            }
            if (!hasEnded) {
                await new Promise<void>(resolve => wake = resolve);
            }
        }
    }
    return {
        push: report => {
            queuedReports.push(report);
            if (queuedReports.length > maxQueuedReports) {
                end();
            }
            wake();
        },
        end,
        reports,
    };
}
