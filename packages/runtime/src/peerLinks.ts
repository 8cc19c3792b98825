/**
 * Links between gateways: streams that carry reports in both directions. Two gateways may each have opened a link to
 * the other; reports may use either.
 */
import { createClient } from "@connectrpc/connect";
import { connectNodeAdapter, createConnectTransport, Http2SessionManager } from "@connectrpc/connect-node";
import type { PeerReport } from "@verbenaspring/gateway";
import { type Milliseconds, type PeerAddress } from "@verbenaspring/model";
import { GatewayPeerService, type PeerReport as PeerReportMessage } from "@verbenaspring/schema";
import { createServer, type ServerHttp2Session } from "node:http2";
import { monotonicNow } from "./eventLoop.js";
import { decodeReport, encodeReport, type ReportInit } from "./peerReportCodec.js";
import { boundSessions, type SessionBounds, sessionOptions } from "./sessionBounds.js";
import { listen } from "./socketAddress.js";

/** Callbacks for what happens on the links. */
export interface PeerLinkHandlers {
    readonly reported: (report: PeerReport) => void;
    /** The last link to the peer has closed. */
    readonly closed: (address: PeerAddress) => void;
    /** One of several links to the peer has closed: reports that were sent on it may be lost. */
    readonly reportsLost: (address: PeerAddress) => void;
    /** A connection was closed because there were too many; called with its address. */
    readonly cut?: (address: string) => void;
    /** Reports to a peer have waited for long; called at most once a second for each link, and when it ends because of that. */
    readonly waiting?: (address: PeerAddress, reports: WaitingReports) => void;
}

/** The reports to a peer that wait until its stream takes them. */
export interface WaitingReports {
    readonly count: number;
    /** For how long the oldest has waited. */
    readonly oldest: Milliseconds;
    /** Whether the link ends since there are too many. */
    readonly isEnd: boolean;
}

/** The links of one gateway to the others. */
export interface PeerLinks {
    readonly listen: (address: string) => Promise<void>;
    /** Opens a link and sends a first report on it. */
    readonly open: (address: PeerAddress, report: PeerReport) => void;
    /** Sends a report on the link that has received a message most recently. */
    readonly send: (address: PeerAddress, report: PeerReport) => void;
    /** Closes all links to a peer. */
    readonly closePeer: (address: PeerAddress) => void;
    readonly close: () => void;
}

/** The outgoing direction of a link: reports wait here until the stream sends them. */
interface ReportQueue {
    /** Returns the reports that wait now. */
    readonly push: (report: PeerReport) => WaitingReports;
    readonly end: () => void;
    readonly reports: () => AsyncGenerator<ReportInit>;
}

interface PeerLink {
    readonly queue: ReportQueue;
    lastReceivedAt: Milliseconds;
    /** When `waiting` was last called for it. */
    waitingLoggedAt: Milliseconds;
    readonly abort: () => void;
}

/** Reports that may wait for a slow peer; beyond that the link is closed, and a new one begins with a full report. */
const maxQueuedReports = 64;
/** The wait of reports from which on `waiting` is called, at most once in the interval. */
const longWait: Milliseconds = 500;
const waitingInterval: Milliseconds = 1_000;
/** Twice as many sessions as gateways, since two gateways may each open one. */
const peerBounds: SessionBounds = { sessions: 160, streams: 4 };
/** The full report of some tens of gateways and servers with the configuration is far smaller. */
const maxReportBytes = 4 * 1024 * 1024;

/**
 * Creates the links.
 *
 * @example
 * const peers = createPeerLinks({ reported, closed, reportsLost });
 * await peers.listen("127.0.0.1:8748");
 */
export function createPeerLinks(handlers: PeerLinkHandlers): PeerLinks {
    const links = new Map<PeerAddress, Set<PeerLink>>();
    const sessions = new Set<ServerHttp2Session>();

    const add = (address: PeerAddress, link: PeerLink): void => {
        const linksOfPeer = links.get(address) ?? new Set();
        links.set(address, linksOfPeer.add(link));
    };
    const remove = (address: PeerAddress, link: PeerLink): void => {
        link.queue.end();
        link.abort();
        const linksOfPeer = links.get(address);
        if (linksOfPeer?.delete(link) !== true) {
            return;
        }
        if (linksOfPeer.size > 0) {
            return handlers.reportsLost(address);
        }
        links.delete(address);
        handlers.closed(address);
    };
    const push = (address: PeerAddress, link: PeerLink, report: PeerReport): void => {
        const waiting = link.queue.push(report);
        const now = monotonicNow();
        if (waiting.isEnd || (waiting.oldest >= longWait && now - link.waitingLoggedAt >= waitingInterval)) {
            link.waitingLoggedAt = now;
            handlers.waiting?.(address, waiting);
        }
        if (waiting.isEnd) {
            // The end of the stream itself would wait behind what the peer has not read.
            remove(address, link);
        }
    };
    const closePeer = (address: PeerAddress): void => {
        const linksOfPeer = links.get(address) ?? new Set();
        links.delete(address);
        linksOfPeer.forEach(link => {
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
            // The cause does not matter: every end of a link is reported, and the reducer decides what follows.
        }
        if (address !== undefined) {
            remove(address, link);
        }
    };

    const server = createServer(
        sessionOptions(peerBounds),
        connectNodeAdapter({
            readMaxBytes: maxReportBytes,
            routes: router =>
                router.service(GatewayPeerService, {
                    follow: (messages, context) => {
                        const queue = createReportQueue();
                        const abort = new AbortController();
                        context.signal.addEventListener("abort", queue.end);
                        void receiveFromNewPeer(untilAborted(messages, abort.signal), {
                            queue,
                            lastReceivedAt: 0,
                            waitingLoggedAt: -Infinity,
                            abort: () => abort.abort(),
                        });
                        return queue.reports();
                    },
                }),
        }),
    );
    boundSessions(server, peerBounds, handlers.cut);
    server.on("session", session => {
        sessions.add(session);
        session.on("close", () => sessions.delete(session));
    });

    const open = (address: PeerAddress, report: PeerReport): void => {
        const session = new Http2SessionManager(`http://${address}`);
        const abort = new AbortController();
        const queue = createReportQueue();
        const link: PeerLink = {
            queue,
            lastReceivedAt: 0,
            waitingLoggedAt: -Infinity,
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
            // The link that received last is the one most likely to work.
            const linksOfPeer = [...links.get(address) ?? []].sort((one, other) =>
                other.lastReceivedAt - one.lastReceivedAt
            );
            if (linksOfPeer.length > 0) {
                push(address, linksOfPeer[0], report);
            }
        },
        closePeer,
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
        // The cause does not matter: every end of a link is reported, and the reducer decides what follows.
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
    const queuedReports: { readonly report: PeerReport; readonly queuedAt: Milliseconds; }[] = [];
    let hasEnded = false;
    let notifyReader: () => void = () => undefined;
    const end = (): void => {
        hasEnded = true;
        notifyReader();
    };
    async function* reports(): AsyncGenerator<ReportInit> {
        while (!hasEnded) {
            for (let queued = queuedReports.shift(); queued !== undefined; queued = queuedReports.shift()) {
                yield encodeReport(queued.report);
            }
            if (!hasEnded) {
                await new Promise<void>(resolve => notifyReader = resolve);
            }
        }
    }
    return {
        push: report => {
            const now = monotonicNow();
            queuedReports.push({ report, queuedAt: now });
            const isEnd = !hasEnded && queuedReports.length > maxQueuedReports;
            if (isEnd) {
                end();
            }
            notifyReader();
            return { count: queuedReports.length, oldest: now - queuedReports[0].queuedAt, isEnd };
        },
        end,
        reports,
    };
}
