/**
 * Calls between gateways: reports go both ways in one call.
 */
import { type Client, createClient } from "@connectrpc/connect";
import { connectNodeAdapter, createConnectTransport, Http2SessionManager } from "@connectrpc/connect-node";
import type { PeerReport, TopicName } from "@verbenaspring/gateway";
import { identifier, type Milliseconds, type PeerAddress } from "@verbenaspring/model";
import { GatewayPeerService, type PeerReport as PeerReportMessage } from "@verbenaspring/schema";
import { createServer, type ServerHttp2Session } from "node:http2";
import { listen } from "./listening.js";

/** What calls report. */
export interface PeerHandlers {
    /** Takes a peer's report and gives this gateway's. */
    readonly answer: (report: PeerReport) => PeerReport;
    /** The answer to a call of this gateway. */
    readonly reported: (report: PeerReport) => void;
    readonly failed: (address: PeerAddress) => void;
}

/** The links of one gateway to the others. */
export interface PeerLinks {
    readonly listen: (address: string) => Promise<void>;
    readonly exchange: (address: PeerAddress, report: PeerReport) => void;
    readonly close: () => void;
}

interface PeerLink {
    readonly session: Http2SessionManager;
    readonly client: Client<typeof GatewayPeerService>;
}

/** A peer that lives answers in a few milliseconds; a call without an answer means a silent link. */
const exchangeTimeout: Milliseconds = 600;

/**
 * Creates the links.
 *
 * @example
 * const peers = createPeerLinks({ answer, reported, failed });
 * await peers.listen("127.0.0.1:8748");
 */
export function createPeerLinks(handlers: PeerHandlers): PeerLinks {
    const links = new Map<PeerAddress, PeerLink>();
    const sessions = new Set<ServerHttp2Session>();
    const server = createServer(connectNodeAdapter({
        routes: router =>
            router.service(GatewayPeerService, {
                exchange: message => encodeReport(handlers.answer(decodeReport(message))),
            }),
    }));
    server.on("session", session => {
        sessions.add(session);
        session.on("error", () => session.destroy());
        session.on("close", () => sessions.delete(session));
    });
    const drop = (address: PeerAddress): void => {
        links.get(address)?.session.abort();
        links.delete(address);
    };
    const call = async (address: PeerAddress, report: PeerReport): Promise<void> => {
        const link = links.get(address) ?? openLink(address);
        links.set(address, link);
        try {
            const answer = await link.client.exchange(encodeReport(report), { timeoutMs: exchangeTimeout });
            handlers.reported(decodeReport(answer));
        }
        catch {
            // The next call gets a link of its own, since nothing tells a silent link from a lost one.
            drop(address);
            handlers.failed(address);
        }
    };
    return {
        listen: address => listen(server, address),
        exchange: (address, report) => void call(address, report),
        close: () => {
            [...links.keys()].forEach(drop);
            sessions.forEach(session => session.destroy());
            server.close();
        },
    };
}

function openLink(address: PeerAddress): PeerLink {
    const session = new Http2SessionManager(`http://${address}`);
    const transport = createConnectTransport({
        baseUrl: `http://${address}`,
        httpVersion: "2",
        sessionManager: session,
        acceptCompression: [],
    });
    return { session, client: createClient(GatewayPeerService, transport) };
}

function encodeReport(report: PeerReport): Omit<PeerReportMessage, "$typeName" | "$unknown"> {
    const { address, incarnation, members, isStopping, topics, loads } = report;
    return {
        address,
        incarnation,
        members: [...members],
        isStopping,
        topics: topics.map(topic => ({
            $typeName: "verbenaspring.v1.PeerTopic",
            name: topic.name,
            through: topic.through,
            age: topic.age,
            items: topic.items.map(({ key, offset, value }) => ({
                $typeName: "verbenaspring.v1.PeerTopicItem",
                key,
                offset,
                value: Uint8Array.from(value),
            })),
        })),
        loads: loads.map(load => ({ $typeName: "verbenaspring.v1.PeerLoad", ...load })),
    };
}

function decodeReport(message: PeerReportMessage): PeerReport {
    const { address, incarnation, members, isStopping, topics, loads } = message;
    return {
        address: identifier(address),
        incarnation: identifier(incarnation),
        members: members.map(member => identifier<PeerAddress>(member)),
        isStopping,
        topics: topics.map(({ name, through, age, items }) => ({ name: name as TopicName, through, age, items })),
        loads: loads.map(load => ({ ...load, backendServer: identifier(load.backendServer) })),
    };
}
