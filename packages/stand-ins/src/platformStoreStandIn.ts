/**
 * A stand-in for the store of the users' platform: keyed topics that can be read from an offset or by their newest
 * records, with switches for its faults.
 */
import type { ServerResponse } from "node:http";
import { type StandIn, startStandIn } from "./httpStandIn.js";

/** How the store behaves. */
export type StoreBehaviour = "up" | "busy" | "silent";

interface StoredRecord {
    readonly key: string;
    /** Empty where the key was dropped. */
    readonly value: Buffer;
}

interface StoredTopic {
    readonly records: StoredRecord[];
    /** Records before this offset are gone. */
    first: number;
    readonly waiting: Set<() => void>;
}

/** The store, and what a test does with it. */
export interface PlatformStore {
    readonly address: string;
    /** Writes a record; a value of undefined drops the key. */
    readonly put: (topic: string, key: string, value: unknown) => void;
    /** Drops the history; the newest record of each key stays. */
    readonly compact: (topic: string) => void;
    readonly behave: (behaviour: StoreBehaviour) => void;
    readonly close: () => Promise<void>;
}

/**
 * Starts a store on loopback.
 *
 * @example
 * const store = await startPlatformStore();
 * store.put("keyed.op", "config", { version: 1 });
 */
export async function startPlatformStore(port = 0): Promise<PlatformStore> {
    const topics = new Map<string, StoredTopic>();
    let behaviour: StoreBehaviour = "up";
    const topicOf = (name: string): StoredTopic => {
        const topic = topics.get(name) ?? { records: [], first: 0, waiting: new Set<() => void>() };
        topics.set(name, topic);
        return topic;
    };
    const standIn: StandIn = await startStandIn(port, async (_, response, url) => {
        if (behaviour === "silent") {
            return;
        }
        const topic = topicOf(url.searchParams.get("topic") ?? "");
        if (behaviour === "busy") {
            return end(response, 503);
        }
        if (url.pathname === "/log-newest") {
            return end(response, 200, JSON.stringify(newest(topic)));
        }
        if (url.pathname === "/log-read") {
            return await read(topic, url, response);
        }
        end(response, 404);
    });
    return {
        address: standIn.address,
        put: (name, key, value) => {
            const topic = topicOf(name);
            const text = value instanceof Buffer
                ? value
                : Buffer.from(value === undefined ? "" : JSON.stringify(value));
            topic.records.push({ key, value: text });
            [...topic.waiting].forEach(wake => wake());
        },
        compact: name => {
            const topic = topicOf(name);
            topic.first = topic.records.length;
        },
        behave: next => behaviour = next,
        close: standIn.close,
    };
}

function end(response: ServerResponse, status: number, body: string | Buffer = ""): void {
    response.writeHead(status, { "content-length": Buffer.byteLength(body) });
    response.end(body);
}

function newest({ records }: StoredTopic): object {
    const offsets = new Map(records.map(({ key }, offset) => [key, offset]));
    const entries = [...offsets]
        .filter(([, offset]) => records[offset].value.length > 0)
        .map(([key, offset]) => ({ key, data: records[offset].value.toString("base64"), offset }));
    return { entries, hasMore: false, endOffset: records.length };
}

async function read(topic: StoredTopic, url: URL, response: ServerResponse): Promise<void> {
    const from = Number(url.searchParams.get("startKey"));
    const wait = Number(url.searchParams.get("waitMs") ?? 0);
    if (from < topic.first) {
        return end(response, 410, JSON.stringify({ startOffset: topic.first }));
    }
    if (from >= topic.records.length && wait > 0) {
        await nextRecord(topic, wait);
    }
    const header = Buffer.alloc(16);
    header.writeBigUInt64BE(BigInt(topic.records.length), 0);
    header.writeBigUInt64BE(BigInt(topic.first), 8);
    end(response, 200, Buffer.concat([header, ...topic.records.slice(from).map(encode)]));
}

function nextRecord({ waiting }: StoredTopic, wait: number): Promise<void> {
    return new Promise(resolve => {
        const done = (): void => {
            clearTimeout(timer);
            waiting.delete(done);
            resolve();
        };
        const timer = setTimeout(done, wait);
        waiting.add(done);
    });
}

function encode({ key, value }: StoredRecord): Buffer {
    const head = Buffer.alloc(5);
    head.writeUInt32BE(1 + key.length + value.length, 0);
    head.writeUInt8(key.length, 4);
    return Buffer.concat([head, Buffer.from(key), value]);
}
