/**
 * Bounds on what clients of an HTTP/2 server make the process hold: sessions, streams and their memory. HTTP/2 bounds
 * what a stream receives by its flow control; nothing bounds the sessions, or those that open no stream.
 */
import type { Milliseconds } from "@verbenaspring/model";
import type { Http2Server, ServerHttp2Session, ServerOptions } from "node:http2";

/** Megabytes for the frames and headers of one session. */
const maxSessionMegabytes = 2;
const maxHeaderBytes = 16 * 1024;
/** A new session opens its stream at once. */
const idleSessionTimeout: Milliseconds = 10_000;

/** The bounds of one HTTP/2 server. */
export interface SessionBounds {
    /** Sessions at the same time. Beyond it, one without a stream is closed first, then the oldest. */
    readonly sessions: number;
    /** Streams of one session. */
    readonly streams: number;
}

/**
 * The options of an HTTP/2 server with the bounds of each session.
 *
 * @example
 * const server = createServer(sessionOptions({ sessions: 256, streams: 8 }), handle);
 */
export function sessionOptions({ streams }: SessionBounds): ServerOptions {
    return {
        maxSessionMemory: maxSessionMegabytes,
        peerMaxConcurrentStreams: streams,
        settings: { maxConcurrentStreams: streams, maxHeaderListSize: maxHeaderBytes },
    };
}

interface SessionState {
    streams: number;
}

/**
 * Bounds the sessions of a server, and closes those that have no stream for some time. Sessions with streams may be
 * silent: links send nothing while nothing changes.
 *
 * @param cut called with the address of each session that was closed because of a bound
 * @example
 * boundSessions(server, { sessions: 256, streams: 8 }, address => pressure.report("peers", "connections", address, now));
 */
export function boundSessions(
    server: Http2Server,
    { sessions: maxSessions, streams: maxStreams }: SessionBounds,
    cut: (address: string) => void = () => undefined,
): void {
    const states = new Map<ServerHttp2Session, SessionState>();
    server.on("session", session => {
        const state: SessionState = { streams: 0 };
        states.set(session, state);
        let idleTimer = setTimeout(() => session.destroy(), idleSessionTimeout);
        session.on("error", () => session.destroy());
        session.on("close", () => {
            clearTimeout(idleTimer);
            states.delete(session);
        });
        session.on("stream", stream => {
            clearTimeout(idleTimer);
            if (++state.streams > maxStreams) {
                // The client ignores the limit that it was told.
                cut(session.socket.remoteAddress ?? "");
                session.destroy();
                return;
            }
            stream.once("close", () => {
                if (--state.streams === 0 && !session.destroyed) {
                    clearTimeout(idleTimer);
                    idleTimer = setTimeout(() => session.destroy(), idleSessionTimeout);
                }
            });
        });
        if (states.size > maxSessions) {
            const surplus = chooseSurplus(states);
            states.delete(surplus);
            cut(surplus.socket.remoteAddress ?? "");
            surplus.destroy();
        }
    });
}

function chooseSurplus(states: ReadonlyMap<ServerHttp2Session, SessionState>): ServerHttp2Session {
    const [[oldest]] = states;
    for (const [session, { streams }] of states) {
        if (streams === 0) {
            return session;
        }
    }
    return oldest;
}
