/**
 * The entry's end of links. Each link number has a connection of its own, so that a silent one can be abandoned.
 */
import { createClient } from "@connectrpc/connect";
import { createConnectTransport, Http2SessionManager } from "@connectrpc/connect-node";
import type { EntryMessage, SidecarMessage } from "@verbenaspring/coordination";
import type { BackendServerId, EntryIncarnation, Milliseconds } from "@verbenaspring/model";
import { LinkService } from "@verbenaspring/schema";
import { createFrameSender, type FrameSender } from "./frameSender.js";
import { decodeFrame } from "./linkCodec.js";

/** Callbacks for what happens on the links. */
export interface LinkClientHandlers {
    readonly message: (backendServer: BackendServerId, linkNumber: number, message: SidecarMessage) => void;
    readonly closed: (backendServer: BackendServerId, linkNumber: number) => void;
}

/** The links of one entry, each identified by backend server and link number. */
export interface LinkClient {
    readonly open: (backendServer: BackendServerId, address: string, linkNumber: number) => void;
    readonly send: (backendServer: BackendServerId, linkNumber: number, message: EntryMessage) => void;
    readonly close: (backendServer: BackendServerId, linkNumber: number) => void;
}

interface OpenLink {
    readonly sender: FrameSender;
    readonly abort: AbortController;
    readonly session: Http2SessionManager;
}

/**
 * Creates the entry's end of links.
 *
 * @example
 * const links = createLinkClient(incarnation, 4, { message, closed });
 */
export function createLinkClient(
    entryIncarnation: EntryIncarnation,
    batchInterval: Milliseconds,
    handlers: LinkClientHandlers,
): LinkClient {
    const links = new Map<string, OpenLink>();
    const keyOf = (backendServer: BackendServerId, linkNumber: number): string => `${backendServer}/${linkNumber}`;
    const close = (backendServer: BackendServerId, linkNumber: number): void => {
        const link = links.get(keyOf(backendServer, linkNumber));
        links.delete(keyOf(backendServer, linkNumber));
        link?.sender.close();
        link?.abort.abort();
        link?.session.abort();
    };
    const open = (backendServer: BackendServerId, address: string, linkNumber: number): void => {
        const link = createLink(address, batchInterval);
        links.set(keyOf(backendServer, linkNumber), link);
        link.sender.send({ kind: "hello", entryIncarnation, linkNumber, backendServer });
        const receive = (message: SidecarMessage): void => handlers.message(backendServer, linkNumber, message);
        void receiveFrames(link, address, receive).finally(() => {
            close(backendServer, linkNumber);
            handlers.closed(backendServer, linkNumber);
        });
    };
    return {
        open,
        close,
        send: (backendServer, linkNumber, message) => links.get(keyOf(backendServer, linkNumber))?.sender.send(message),
    };
}

function createLink(address: string, batchInterval: Milliseconds): OpenLink {
    return {
        sender: createFrameSender(batchInterval),
        abort: new AbortController(),
        session: new Http2SessionManager(`http://${address}`),
    };
}

async function receiveFrames(
    link: OpenLink,
    address: string,
    receive: (message: SidecarMessage) => void,
): Promise<void> {
    const transport = createConnectTransport({
        baseUrl: `http://${address}`,
        httpVersion: "2",
        sessionManager: link.session,
    });
    const client = createClient(LinkService, transport);
    try {
        for await (const frame of client.open(link.sender.frames(), { signal: link.abort.signal })) {
            decodeFrame(frame).forEach(message => receive(message as SidecarMessage));
        }
    }
    catch {
        // The cause does not matter: every end of a link is reported, and the reducer decides what follows.
    }
}
