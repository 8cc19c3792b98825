/**
 * Stand-in for the platform's store, on loopback: topics with one partition, offsets without gaps, reads that wait, the
 * newest record of each key, and appends under a condition. It is always up and answers at once.
 */
import { createServer } from "node:http";

const newestPageSize = 500;

/** Starts a store; `put` writes a record as the operator and the workers do. */
export async function startStore() {
    const topics = new Map();
    const topicOf = name => {
        const topic = topics.get(name) ?? { records: [], waiters: new Set() };
        topics.set(name, topic);
        return topic;
    };
    const append = (name, content) => {
        const topic = topicOf(name);
        topic.records.push(content);
        for (const wake of [...topic.waiters]) {
            wake();
        }
        return topic.records.length - 1;
    };
    const server = createServer(async (request, response) => {
        const url = new URL(request.url, "http://store");
        const name = url.searchParams.get("topic") ?? "";
        const body = [];
        for await (const chunk of request) {
            body.push(chunk);
        }
        if (url.pathname === "/log-read") {
            return answer(response, 200, await read(topicOf(name), url));
        }
        if (url.pathname === "/log-newest") {
            return answer(response, 200, JSON.stringify(newest(topicOf(name), url.searchParams.get("after"))));
        }
        if (url.pathname === "/log-append") {
            const topic = topicOf(name);
            const at = url.searchParams.get("at");
            if (at !== null && Number(at) !== topic.records.length) {
                return answer(response, 412, JSON.stringify({ endOffset: topic.records.length }));
            }
            const offset = topic.records.length;
            splitRecords(Buffer.concat(body)).forEach(content => append(name, content));
            return answer(response, 200, JSON.stringify({ offset, endOffset: topic.records.length }));
        }
        answer(response, 404, "{}");
    });
    await new Promise(resolve => server.listen(0, "127.0.0.1", resolve));
    return {
        address: `127.0.0.1:${server.address().port}`,
        put: (name, key, value) =>
            append(
                name,
                Buffer.concat([
                    Buffer.from([Buffer.byteLength(key)]),
                    Buffer.from(key),
                    value === undefined ? Buffer.alloc(0) : Buffer.from(JSON.stringify(value)),
                ]),
            ),
        close: () => {
            server.closeAllConnections();
            server.close();
        },
    };
}

function answer(response, status, body) {
    response.writeHead(status, { "content-length": Buffer.byteLength(body) });
    response.end(body);
}

async function read(topic, url) {
    const from = Number(url.searchParams.get("startKey"));
    const wait = Number(url.searchParams.get("waitMs") ?? 0);
    if (from >= topic.records.length && wait > 0) {
        await new Promise(resolve => {
            const done = () => {
                clearTimeout(timer);
                topic.waiters.delete(done);
                resolve();
            };
            const timer = setTimeout(done, wait);
            topic.waiters.add(done);
        });
    }
    const head = Buffer.alloc(16);
    head.writeBigUInt64BE(BigInt(topic.records.length), 0);
    head.writeBigUInt64BE(0n, 8);
    const records = topic.records.slice(from).flatMap(content => {
        const length = Buffer.alloc(4);
        length.writeUInt32BE(content.length);
        return [length, content];
    });
    return Buffer.concat([head, ...records]);
}

function newest(topic, after) {
    const byKey = new Map();
    topic.records.forEach((content, offset) => {
        const key = content.subarray(1, 1 + content[0]).toString();
        byKey.set(key, { key, data: content.subarray(1 + content[0]), offset });
    });
    const entries = [...byKey.values()]
        .filter(({ key, data }) => data.length > 0 && (after === null || key > after))
        .sort((one, other) => (one.key < other.key ? -1 : 1));
    return {
        entries: entries.slice(0, newestPageSize).map(entry => ({ ...entry, data: entry.data.toString("base64") })),
        hasMore: entries.length > newestPageSize,
        endOffset: topic.records.length,
    };
}

function splitRecords(body) {
    const contents = [];
    for (let position = 0; position + 4 <= body.length;) {
        const end = position + 4 + body.readUInt32BE(position);
        contents.push(body.subarray(position + 4, end));
        position = end;
    }
    return contents;
}
