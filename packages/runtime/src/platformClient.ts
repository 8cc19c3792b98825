/**
 * HTTP clients of the platform's log and of its instance list.
 */
import type { OffsetRecord } from "@verbenaspring/coordination";
import type { ListedInstance } from "@verbenaspring/entry";
import { identifier, type LogOffset, type Milliseconds, PlatformError, withCheckedAnswers } from "@verbenaspring/model";
import { Agent, buildConnector, request } from "undici";

/** The result of a read of a stream. */
export interface LogPage<Value> {
    readonly records: readonly OffsetRecord<Value>[];
    /** The oldest offset that the log still stores. */
    readonly earliest: LogOffset;
    /** The offset that the next record will have. */
    readonly end: LogOffset;
}

/** A client of the platform's log. */
export interface LogClient {
    /**
     * Appends a record.
     *
     * @throws PlatformError if the append failed or its answer was lost; it may have taken effect all the same
     */
    readonly append: (stream: string, value: unknown) => Promise<LogOffset>;
    /**
     * Reads records from an offset on; if there is none yet, waits for one for half of the client's timeout.
     *
     * @throws PlatformError if the read failed or timed out
     */
    readonly read: <Value>(stream: string, from: LogOffset) => Promise<LogPage<Value>>;
}

/** The share of a request's timeout for which a read waits for records. */
const longPollShare = 0.5;

/**
 * Creates a client of the log at an address.
 *
 * @param timeout milliseconds that a request may take
 * @example
 * const log = createLogClient("127.0.0.1:7000", 3_000);
 * await log.append("configuration", record);
 */
export function createLogClient(address: string, timeout: Milliseconds): LogClient {
    const agent = createAgent(timeout);
    const url = (stream: string): string => `http://${address}/streams/${stream}/records`;
    return {
        append: async (stream, value) => {
            const body = JSON.stringify(value);
            const answer = await requestJson<{ offset: LogOffset; }>(agent, timeout, "POST", url(stream), body);
            return answer.offset;
        },
        read: <Value>(stream: string, from: LogOffset) => {
            const wait = Math.round(timeout * longPollShare);
            return requestJson<LogPage<Value>>(agent, timeout, "GET", `${url(stream)}?from=${from}&wait=${wait}`);
        },
    };
}

interface InstanceRecord {
    readonly backend_server: string;
    readonly service: string;
    readonly failure_domain: string;
    readonly link_address: string;
    readonly state: "live" | "leaving";
}

/**
 * Reads the platform's instance list.
 *
 * @throws PlatformError if the list cannot be read
 * @example
 * const instances = await readInstances("127.0.0.1:7001", 3_000);
 */
export async function readInstances(address: string, timeout: Milliseconds): Promise<ListedInstance[]> {
    const url = `http://${address}/instances`;
    const answer = await requestJson<{ instances: InstanceRecord[]; }>(instanceListAgent, timeout, "GET", url);
    return answer.instances.map(instance => ({
        backendServer: identifier(instance.backend_server),
        service: identifier(instance.service),
        failureDomain: identifier(instance.failure_domain),
        linkAddress: instance.link_address,
        leaving: instance.state === "leaving",
    }));
}

function createAgent(timeout: Milliseconds): Agent {
    const connect = withCheckedAnswers(buildConnector({ timeout }));
    return new Agent({ headersTimeout: timeout, bodyTimeout: timeout, connect });
}

/** Each request has its own, usually shorter timeout as well. */
const instanceListAgent = createAgent(10_000);

async function requestJson<Answer>(
    agent: Agent,
    timeout: Milliseconds,
    method: "GET" | "POST",
    url: string,
    body?: string,
): Promise<Answer> {
    const operation = `${method} ${url}`;
    try {
        const signal = AbortSignal.timeout(timeout);
        const response = await request(url, { method, body, dispatcher: agent, signal });
        const text = await response.body.text();
        if (response.statusCode !== 200) {
            throw new PlatformError(operation, `status ${response.statusCode}`);
        }
        return JSON.parse(text) as Answer;
    }
    catch (error) {
        throw error instanceof PlatformError ? error : new PlatformError(operation, String(error));
    }
}
