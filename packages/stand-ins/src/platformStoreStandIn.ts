/**
 * The model of the platform's store, served over sockets, with switches for its faults.
 */
import { type StoreBehaviour, type StoredRecord, StoreModel } from "@verbenaspring/emulator";
import type { ServerResponse } from "node:http";
import { pause, type StandIn, startStandIn } from "./httpStandIn.js";

/** The store, and what a test does with it. */
export interface PlatformStore {
    readonly address: string;
    readonly model: StoreModel;
    /** Writes a record; a value of undefined drops the key. */
    readonly put: (topic: string, key: string, value: unknown) => void;
    /** Drops the history; the newest record of each key stays. */
    readonly compact: (topic: string) => void;
    readonly setBehaviour: (behaviour: StoreBehaviour) => void;
    readonly behaviour: () => StoreBehaviour;
    /** Delays each answer by so many milliseconds. */
    readonly setDelay: (delay: number) => void;
    readonly close: () => Promise<void>;
}

/** Entries of one page of the newest records. */
const newestPageSize = 500;

/**
 * Starts a store on loopback.
 *
 * @example
 * const store = await startPlatformStore();
 * store.put("keyed.op", "config", { version: 1 });
 */
export async function startPlatformStore(port = 0): Promise<PlatformStore> {
    const model = new StoreModel();
    let behaviour: StoreBehaviour = "up";
    let delay = 0;
    const standIn: StandIn = await startStandIn(port, async (_, response, url) => {
        if (behaviour === "silent") {
            return;
        }
        if (delay > 0) {
            await pause(delay);
        }
        if (behaviour === "busy") {
            return end(response, 503);
        }
        const topic = url.searchParams.get("topic") ?? "";
        if (url.pathname === "/log-newest") {
            return end(response, 200, JSON.stringify(newestPage(model, topic, url.searchParams.get("after"))));
        }
        if (url.pathname === "/log-read") {
            return await read(model, topic, url, response);
        }
        end(response, 404);
    });
    return {
        address: standIn.address,
        model,
        put: (topic, key, value) => {
            const text = value === undefined ? "" : JSON.stringify(value);
            model.append(topic, key, value instanceof Buffer ? value : Buffer.from(text));
        },
        compact: topic => model.compact(topic),
        setBehaviour: next => behaviour = next,
        behaviour: () => behaviour,
        setDelay: next => delay = next,
        close: standIn.close,
    };
}

function end(response: ServerResponse, status: number, body: string | Buffer = ""): void {
    response.writeHead(status, { "content-length": Buffer.byteLength(body) });
    response.end(body);
}

function newestPage(model: StoreModel, topic: string, after: string | null): object {
    const all = model.newestRecords(topic).sort((one, other) => one.key < other.key ? -1 : 1);
    const rest = after === null ? all : all.filter(({ key }) => key > after);
    const entries = rest.slice(0, newestPageSize).map(({ key, value, offset }) => ({
        key,
        data: Buffer.from(value).toString("base64"),
        offset,
    }));
    return { entries, hasMore: rest.length > newestPageSize, endOffset: model.endOffset(topic) };
}

async function read(model: StoreModel, topic: string, url: URL, response: ServerResponse): Promise<void> {
    const from = Number(url.searchParams.get("startKey"));
    const wait = Number(url.searchParams.get("waitMs") ?? 0);
    if (from >= model.endOffset(topic) && wait > 0) {
        await nextRecord(model, topic, wait);
    }
    const page = model.read(topic, from);
    if (page.kind === "deleted") {
        return end(response, 410, JSON.stringify({ startOffset: page.first }));
    }
    const header = Buffer.alloc(16);
    header.writeBigUInt64BE(BigInt(page.end), 0);
    header.writeBigUInt64BE(BigInt(page.first), 8);
    end(response, 200, Buffer.concat([header, ...page.records.map(encode)]));
}

function nextRecord(model: StoreModel, topic: string, wait: number): Promise<void> {
    return new Promise(resolve => {
        const done = (): void => {
            clearTimeout(timer);
            stop();
            resolve();
        };
        const timer = setTimeout(done, wait);
        const stop = model.onAppend(topic, done);
    });
}

function encode({ key, value }: StoredRecord): Buffer {
    const head = Buffer.alloc(5);
    head.writeUInt32BE(1 + key.length + value.length, 0);
    head.writeUInt8(key.length, 4);
    return Buffer.concat([head, Buffer.from(key), value]);
}
