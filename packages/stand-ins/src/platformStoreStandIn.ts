/**
 * Stand-in for the platform's store: serves the store model over HTTP, with injected faults.
 */
import {
    type BeyondEndAnswer,
    type PageTiming,
    type StoreBehaviour,
    type StoredRecord,
    StoreModel,
} from "@verbenaspring/emulator";
import type { IncomingMessage, ServerResponse } from "node:http";
import { pause, type StandIn, startStandIn } from "./httpStandIn.js";

/** A running store and the operations of a test on it. */
export interface PlatformStore {
    readonly address: string;
    readonly model: StoreModel;
    /** Appends a record; undefined deletes the key. */
    readonly put: (topic: string, key: string, value: unknown) => void;
    /** Appends a record as a call without an answer does, so that it may be lost. */
    readonly putUnacknowledged: (topic: string, key: string, value: unknown) => void;
    /** Loses the records of a topic after the last acknowledged one. Returns how many were lost. */
    readonly loseUnacknowledged: (topic: string) => number;
    /** Sets how reads from beyond the end of a topic are answered: by default with its end. */
    readonly setBeyondEndAnswer: (answer: BeyondEndAnswer) => void;
    /** Sets how the time is drawn at which each half of a page of the newest records is taken: by default both at once. */
    readonly setPageTiming: (draw: () => PageTiming) => void;
    /** Sets for which records the history is deleted before any read gets them, so that a read that waits gets 410. */
    readonly setHistoryDeletion: (deletesHistory: (topic: string) => boolean) => void;
    /** Deletes the history; the newest record of each key stays readable. */
    readonly compact: (topic: string) => void;
    readonly setBehaviour: (behaviour: StoreBehaviour) => void;
    readonly behaviour: () => StoreBehaviour;
    /** Sets the delay of each answer in milliseconds. */
    readonly setDelay: (delay: number) => void;
    readonly close: () => Promise<void>;
}

/** Bytes of the length before each record. */
const lengthBytes = 4;
const okStatus = 200;
const conditionFailedStatus = 412;
/** Maximum number of entries on a page of newest records. */
const newestPageSize = 500;

/**
 * Starts the store on loopback; port 0 selects a free one.
 *
 * @example
 * const store = await startPlatformStore();
 * store.put("keyed.op", "config", { version: 1 });
 */
export async function startPlatformStore(port = 0): Promise<PlatformStore> {
    const model = new StoreModel();
    let behaviour: StoreBehaviour = "up";
    let beyondEndAnswer: BeyondEndAnswer = "end";
    let delay = 0;
    let drawPageTiming = (): PageTiming => ({ first: "records", gap: 0 });
    const standIn: StandIn = await startStandIn(port, async (request, response, url) => {
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
            const page = await takeNewestPage(model, topic, url.searchParams.get("after"), drawPageTiming());
            return end(response, 200, JSON.stringify(page));
        }
        if (url.pathname === "/log-read") {
            return await read(model, topic, url, response, beyondEndAnswer);
        }
        if (url.pathname === "/log-append") {
            return end(response, appendRecords(model, topic, url, await readBytes(request)));
        }
        end(response, 404);
    });
    return {
        address: standIn.address,
        model,
        put: (topic, key, value) => model.append(topic, key, encodeValue(value)),
        putUnacknowledged: (topic, key, value) => model.appendUnacknowledged(topic, key, encodeValue(value)),
        loseUnacknowledged: topic => model.loseUnacknowledged(topic),
        setBeyondEndAnswer: next => beyondEndAnswer = next,
        setPageTiming: draw => drawPageTiming = draw,
        setHistoryDeletion: deletesHistory => model.deletesHistory = deletesHistory,
        compact: topic => model.compact(topic),
        setBehaviour: next => behaviour = next,
        behaviour: () => behaviour,
        setDelay: next => delay = next,
        close: standIn.close,
    };
}

function encodeValue(value: unknown): Buffer {
    const text = value === undefined ? "" : JSON.stringify(value);
    return value instanceof Buffer ? value : Buffer.from(text);
}

function end(response: ServerResponse, status: number, body: string | Buffer = ""): void {
    response.writeHead(status, { "content-length": Buffer.byteLength(body) });
    response.end(body);
}

/** Appends the records of a body, and returns the status of the answer. */
function appendRecords(model: StoreModel, topic: string, url: URL, body: Buffer): number {
    const at = url.searchParams.get("at");
    if (at !== null && Number(at) !== model.endOffset(topic)) {
        return conditionFailedStatus;
    }
    const isKeyed = topic.startsWith("keyed.");
    for (let position = 0; position < body.length;) {
        const end = position + lengthBytes + body.readUInt32BE(position);
        const content = body.subarray(position + lengthBytes, end);
        const keyEnd = isKeyed ? 1 + content[0] : 0;
        model.append(topic, content.subarray(1, keyEnd).toString(), Buffer.from(content.subarray(keyEnd)));
        position = end;
    }
    return okStatus;
}

async function readBytes(request: IncomingMessage): Promise<Buffer> {
    const pieces: Buffer[] = [];
    for await (const piece of request) {
        pieces.push(piece as Buffer);
    }
    return Buffer.concat(pieces);
}

async function takeNewestPage(
    model: StoreModel,
    topic: string,
    after: string | null,
    { first, gap }: PageTiming,
): Promise<object> {
    const takeEnd = (): object => ({ endOffset: model.endOffset(topic) });
    const takeRecords = (): object => takeNewestRecords(model, topic, after);
    const [takeFirst, takeLast] = first === "records" ? [takeRecords, takeEnd] : [takeEnd, takeRecords];
    const taken = takeFirst();
    if (gap > 0) {
        await pause(gap);
    }
    return { ...taken, ...takeLast() };
}

function takeNewestRecords(model: StoreModel, topic: string, after: string | null): object {
    const all = model.newestRecords(topic).sort((one, other) => one.key < other.key ? -1 : 1);
    const remaining = after === null ? all : all.filter(({ key }) => key > after);
    const entries = remaining.slice(0, newestPageSize).map(({ key, value, offset }) => ({
        key,
        data: Buffer.from(value).toString("base64"),
        offset,
    }));
    return { entries, hasMore: remaining.length > newestPageSize };
}

async function read(
    model: StoreModel,
    topic: string,
    url: URL,
    response: ServerResponse,
    beyondEndAnswer: BeyondEndAnswer,
): Promise<void> {
    const from = Number(url.searchParams.get("startKey"));
    const wait = Number(url.searchParams.get("waitMs") ?? 0);
    const isGone = (): boolean => from > model.endOffset(topic) && beyondEndAnswer === "gone";
    if (from >= model.endOffset(topic) && wait > 0 && !isGone()) {
        await waitForRecord(model, topic, from, wait);
    }
    const page = model.read(topic, from);
    if (page.kind === "deleted" || isGone()) {
        return end(response, 410, JSON.stringify({ startOffset: page.first }));
    }
    const header = Buffer.alloc(16);
    header.writeBigUInt64BE(BigInt(page.end), 0);
    header.writeBigUInt64BE(BigInt(page.first), 8);
    const encode = topic.startsWith("keyed.") ? encodeKeyedRecord : encodeRecord;
    end(response, 200, Buffer.concat([header, ...page.records.map(encode)]));
}

/** Waits for a record at an offset or after it. One that is stored in the place of a lost one may be before it. */
function waitForRecord(model: StoreModel, topic: string, from: number, wait: number): Promise<void> {
    return new Promise(resolve => {
        const done = (): void => {
            clearTimeout(timer);
            stop();
            resolve();
        };
        const timer = setTimeout(done, wait);
        const stop = model.onAppend(topic, () => {
            if (model.endOffset(topic) > from) {
                done();
            }
        });
    });
}

function encodeRecord({ value }: StoredRecord): Buffer {
    const head = Buffer.alloc(lengthBytes);
    head.writeUInt32BE(value.length, 0);
    return Buffer.concat([head, value]);
}

function encodeKeyedRecord({ key, value }: StoredRecord): Buffer {
    const head = Buffer.alloc(lengthBytes + 1);
    head.writeUInt32BE(1 + key.length + value.length, 0);
    head.writeUInt8(key.length, lengthBytes);
    return Buffer.concat([head, Buffer.from(key), value]);
}
