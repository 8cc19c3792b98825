/**
 * Stand-in for the platform's append-only log, with offsets, limited retention, a limit on appends per second, and
 * faults.
 */
import type { ServerResponse } from "node:http";
import { pause, readJson, sendJson, type StandIn, startStandIn } from "./httpStandIn.js";

/** Faults of the log. */
export interface LogFaults {
    /** Every request is refused. */
    outage: boolean;
    /** Milliseconds by which every request is delayed. */
    delay: number;
    /** Appends take effect, but the connection breaks before the answer. */
    loseAnswers: boolean;
}

/** Options of the log. */
export interface LogStandInOptions {
    readonly port: number;
    /** Records kept per stream. */
    readonly retention: number;
    readonly appendsPerSecond: number;
}

interface LogStream {
    readonly records: { readonly offset: number; readonly value: unknown; }[];
    end: number;
    readonly listeners: Set<() => void>;
}

/**
 * Starts the log. `PUT /faults` sets faults.
 *
 * @example
 * const log = await startLogStandIn({ port: 0, retention: 10_000, appendsPerSecond: 500 });
 */
export async function startLogStandIn(options: LogStandInOptions): Promise<StandIn> {
    const streams = new Map<string, LogStream>();
    const faults: LogFaults = { outage: false, delay: 0, loseAnswers: false };
    const recentAppends: number[] = [];
    let appends = 0;

    function findOrCreateStream(name: string): LogStream {
        const stream = streams.get(name) ?? { records: [], end: 0, listeners: new Set() };
        streams.set(name, stream);
        return stream;
    }

    function isOverRate(): boolean {
        const now = performance.now();
        while (recentAppends.length > 0 && now - recentAppends[0] > 1_000) {
            recentAppends.shift();
        }
        return recentAppends.length >= options.appendsPerSecond;
    }

    function append(stream: LogStream, value: unknown, response: ServerResponse): void {
        if (isOverRate()) {
            return sendJson(response, 429, { error: "too many appends" });
        }
        recentAppends.push(performance.now());
        appends++;
        const offset = stream.end++;
        stream.records.push({ offset, value });
        stream.records.splice(0, Math.max(0, stream.records.length - options.retention));
        stream.listeners.forEach(listener => listener());
        if (faults.loseAnswers) {
            response.destroy();
            return;
        }
        sendJson(response, 200, { offset });
    }

    async function read(stream: LogStream, from: number, wait: number, response: ServerResponse): Promise<void> {
        if (from >= stream.end) {
            await waitForRecord(stream, wait);
        }
        if (faults.outage) {
            response.destroy();
            return;
        }
        const earliest = stream.end - stream.records.length;
        const records = stream.records.slice(Math.max(0, from - earliest));
        sendJson(response, 200, { records, earliest, end: stream.end });
    }

    return startStandIn(options.port, async (request, response, url) => {
        if (url.pathname === "/faults") {
            Object.assign(faults, await readJson<Partial<LogFaults>>(request));
            return sendJson(response, 200, faults);
        }
        if (url.pathname === "/stats") {
            return sendJson(response, 200, { appends });
        }
        await pause(faults.delay);
        if (faults.outage) {
            return sendJson(response, 503, { error: "outage" });
        }
        const name = /^\/streams\/([^/]+)\/records$/.exec(url.pathname)?.[1];
        if (name === undefined) {
            return sendJson(response, 404, { error: "no such stream" });
        }
        const stream = findOrCreateStream(name);
        if (request.method === "POST") {
            return append(stream, await readJson(request), response);
        }
        const from = Number(url.searchParams.get("from") ?? 0);
        await read(stream, from, Number(url.searchParams.get("wait") ?? 0), response);
    });
}

function waitForRecord(stream: LogStream, wait: number): Promise<void> {
    return new Promise(resolve => {
        const finish = (): void => {
            clearTimeout(timer);
            stream.listeners.delete(finish);
            resolve();
        };
        const timer = setTimeout(finish, wait);
        stream.listeners.add(finish);
    });
}
