/**
 * A stand-in for the platform's store, as far as gateways call it: keyed and plain topics with one partition each.
 */
import { createServer } from "node:http";

const lengthBytes = 4;
const offsetBytes = 8;

class Topic {
    constructor(isKeyed) {
        this.isKeyed = isKeyed;
        this.contents = [];
        this.newest = new Map();
        this.waiting = new Set();
    }

    append(content) {
        const offset = this.contents.length;
        this.contents.push(content);
        if (this.isKeyed) {
            const keyEnd = 1 + content[0];
            const key = content.subarray(1, keyEnd).toString();
            const data = content.subarray(keyEnd);
            if (data.length === 0) {
                this.newest.delete(key);
            }
            else {
                this.newest.set(key, { key, data: data.toString("base64"), offset });
            }
        }
        [...this.waiting].forEach(wake => wake());
    }
}

/** Starts a store on loopback. `put` appends the newest record of a key; without a value, it drops the key. */
export async function startStore() {
    const topics = new Map();
    const topicOf = name => {
        const topic = topics.get(name) ?? new Topic(name.startsWith("keyed."));
        topics.set(name, topic);
        return topic;
    };
    const answer = (response, status, body) => {
        const bytes = Buffer.isBuffer(body) ? body : Buffer.from(JSON.stringify(body));
        response.writeHead(status, { "content-length": bytes.length });
        response.end(bytes);
    };
    const read = async (response, topic, from, waitMs) => {
        if (from >= topic.contents.length && waitMs > 0) {
            await new Promise(resolve => {
                const wake = () => {
                    clearTimeout(timer);
                    topic.waiting.delete(wake);
                    resolve();
                };
                const timer = setTimeout(wake, waitMs);
                topic.waiting.add(wake);
            });
        }
        const head = Buffer.alloc(2 * offsetBytes);
        head.writeBigUInt64BE(BigInt(topic.contents.length), 0);
        const records = topic.contents.slice(from).flatMap(content => {
            const length = Buffer.alloc(lengthBytes);
            length.writeUInt32BE(content.length);
            return [length, content];
        });
        answer(response, 200, Buffer.concat([head, ...records]));
    };
    const append = async (request, response, topic, at) => {
        const pieces = [];
        for await (const piece of request) {
            pieces.push(piece);
        }
        if (at !== null && Number(at) !== topic.contents.length) {
            return answer(response, 412, { endOffset: topic.contents.length });
        }
        const body = Buffer.concat(pieces);
        const offset = topic.contents.length;
        for (let position = 0; position < body.length;) {
            const end = position + lengthBytes + body.readUInt32BE(position);
            topic.append(body.subarray(position + lengthBytes, end));
            position = end;
        }
        answer(response, 200, { offset, endOffset: topic.contents.length });
    };
    const server = createServer((request, response) => {
        const url = new URL(request.url, "http://store");
        const name = url.searchParams.get("topic") ?? "";
        if (url.pathname === "/log-append") {
            return void append(request, response, topicOf(name), url.searchParams.get("at"));
        }
        if (!topics.has(name)) {
            return answer(response, 404, {});
        }
        const topic = topicOf(name);
        if (url.pathname === "/log-newest") {
            const after = url.searchParams.get("after") ?? "";
            const entries = [...topic.newest.values()].filter(({ key }) => key > after)
                .sort((one, other) => one.key < other.key ? -1 : 1);
            return answer(response, 200, { entries, hasMore: false, endOffset: topic.contents.length });
        }
        if (url.pathname === "/log-read") {
            const from = Number(url.searchParams.get("startKey"));
            return void read(response, topic, from, Number(url.searchParams.get("waitMs") ?? 0));
        }
        answer(response, 404, {});
    });
    await new Promise(resolve => server.listen(0, "127.0.0.1", resolve));
    return {
        address: `127.0.0.1:${server.address().port}`,
        put: (topic, key, value) => {
            const data = value === undefined ? Buffer.alloc(0) : Buffer.from(JSON.stringify(value));
            topicOf(topic).append(Buffer.concat([Buffer.from([Buffer.byteLength(key)]), Buffer.from(key), data]));
        },
        close: () => {
            server.closeAllConnections();
            server.close();
        },
    };
}
