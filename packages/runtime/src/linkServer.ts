/**
 * The sidecar's end of links.
 */
import { connectNodeAdapter } from "@connectrpc/connect-node";
import type { EntryMessage, Hello, SidecarMessage } from "@verbenaspring/coordination";
import type { EntryIncarnation, Milliseconds } from "@verbenaspring/model";
import { type LinkFrame, LinkService } from "@verbenaspring/schema";
import { createServer, type Http2Server } from "node:http2";
import { createFrameSender, type FrameSender } from "./frameSender.js";
import { decodeFrame } from "./linkCodec.js";
import { boundSessions, type SessionBounds, sessionOptions } from "./sessionBounds.js";
import { listen } from "./socketAddress.js";

/** Each entry has one link, and a second one while it replaces the first. */
const linkBounds: SessionBounds = { sessions: 256, streams: 4 };

/** Callbacks for what happens on the links. */
export interface LinkServerHandlers {
    readonly opened: (hello: Hello) => void;
    readonly message: (entry: EntryIncarnation, linkNumber: number, message: EntryMessage) => void;
    readonly closed: (entry: EntryIncarnation, linkNumber: number) => void;
}

/** The links of one sidecar, each identified by entry and link number. */
export interface LinkServer {
    readonly listen: (address: string) => Promise<void>;
    readonly send: (entry: EntryIncarnation, linkNumber: number, message: SidecarMessage) => void;
    readonly close: (entry: EntryIncarnation, linkNumber: number) => void;
    readonly stop: () => void;
}

/**
 * Creates the sidecar's end of links.
 *
 * @example
 * const links = createLinkServer(4, { opened, message, closed });
 * await links.listen("127.0.0.1:7100");
 */
export function createLinkServer(batchInterval: Milliseconds, handlers: LinkServerHandlers): LinkServer {
    const senders = new Map<string, FrameSender>();
    const keyOf = (entry: EntryIncarnation, linkNumber: number): string => `${entry}/${linkNumber}`;

    async function receive(frames: AsyncIterable<LinkFrame>, sender: FrameSender): Promise<void> {
        let hello: Hello | undefined;
        try {
            for await (const frame of frames) {
                for (const message of decodeFrame(frame) as EntryMessage[]) {
                    hello = handleMessage(message, hello, sender);
                }
            }
        }
        catch {
            // The cause does not matter: every end of a link is reported, and the reducer decides what follows.
        }
        sender.close();
        if (hello !== undefined) {
            senders.delete(keyOf(hello.entryIncarnation, hello.linkNumber));
            handlers.closed(hello.entryIncarnation, hello.linkNumber);
        }
    }

    function handleMessage(message: EntryMessage, hello: Hello | undefined, sender: FrameSender): Hello | undefined {
        if (message.kind === "hello" && hello === undefined) {
            senders.set(keyOf(message.entryIncarnation, message.linkNumber), sender);
            handlers.opened(message);
            return message;
        }
        if (hello !== undefined) {
            handlers.message(hello.entryIncarnation, hello.linkNumber, message);
        }
        return hello;
    }

    const server = createServer(
        sessionOptions(linkBounds),
        connectNodeAdapter({
            routes: router =>
                router.service(LinkService, {
                    open: requests => {
                        const sender = createFrameSender(batchInterval);
                        void receive(requests, sender);
                        return sender.frames();
                    },
                }),
        }),
    );
    boundSessions(server, linkBounds);
    return {
        listen: address => listen(server as Http2Server, address),
        send: (entry, linkNumber, message) => senders.get(keyOf(entry, linkNumber))?.send(message),
        close: (entry, linkNumber) => {
            senders.get(keyOf(entry, linkNumber))?.close();
            senders.delete(keyOf(entry, linkNumber));
        },
        stop: () => {
            senders.forEach(sender => sender.close());
            server.close();
        },
    };
}
