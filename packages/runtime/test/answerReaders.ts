/**
 * The clients that read whole answers, apart from the channels to backend servers.
 */
import { identifier } from "@verbenaspring/model";
import {
    createStoreClient,
    encodeLogRecord,
    requestMigration,
    requestReport,
    type StoreClient,
} from "@verbenaspring/platform";
import { createBackendClient, createLogClient, readInstances } from "@verbenaspring/runtime";

/** A client, and the body of an answer that it accepts. */
export interface AnswerReader {
    readonly body: string;
    /** Calls a server once; resolves to whether the client accepted the answer. */
    readonly accepts: (address: string) => Promise<boolean>;
}

const timeout = 1_000;

type BackendClient = ReturnType<typeof createBackendClient>;
type BackendEvent = Parameters<Parameters<typeof createBackendClient>[1]>[0];

export const work = {
    contentType: "",
    organisation: "o",
    body: "{}",
    path: "/",
    method: "POST",
} as unknown as Parameters<
    BackendClient["start"]
>[2];

/** Makes a call of a sidecar; resolves to the event that ends it. */
export function endOfCall(address: string, call: (backend: BackendClient) => void): Promise<BackendEvent["kind"]> {
    return new Promise(resolve => {
        const isLast = ({ kind }: BackendEvent): boolean => kind !== "generationTokens";
        call(createBackendClient(address, event => isLast(event) && resolve(event.kind), () => undefined));
    });
}

function isAccepted(result: Promise<unknown>): Promise<boolean> {
    return result.then(() => true, () => false);
}

async function withStore(address: string, use: (store: StoreClient) => Promise<unknown>): Promise<boolean> {
    const store = createStoreClient(address);
    const result = await isAccepted(use(store));
    store.close();
    return result;
}

/** A page of the log that ends at offset 1 and begins with the record at 0. */
const page = Buffer.concat([
    Buffer.from([0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0, 0]),
    encodeLogRecord(Buffer.from([1, 65])),
]).toString("latin1");

export const answerReaders: Readonly<Record<string, AnswerReader>> = {
    "a service call": {
        body: "part",
        accepts: async address =>
            await endOfCall(
                address,
                backend => backend.callService(identifier("c"), identifier("a"), work, timeout, "t"),
            ) === "serviceResponded",
    },
    "the instance list": {
        body: "{\"instances\": []}",
        accepts: address => isAccepted(readInstances(address, timeout)),
    },
    "a read of the log": {
        body: "{\"records\": [], \"earliest\": 0, \"end\": 0}",
        accepts: address => isAccepted(createLogClient(address, timeout).read("configuration", 0)),
    },
    "an append to the log": {
        body: "{\"offset\": 1}",
        accepts: address => isAccepted(createLogClient(address, timeout).append("configuration", {})),
    },
    "a read of a topic": {
        body: page,
        accepts: address => withStore(address, store => store.read("configuration", 0, 0)),
    },
    "a read of a topic of the system's own": {
        body: page,
        accepts: address => withStore(address, store => store.log.readFrom("streams", 0)),
    },
    "an append to a topic": {
        body: "{\"offset\": 1}",
        accepts: address => withStore(address, store => store.log.append("streams", Buffer.alloc(4))),
    },
    "a report": {
        body: "{\"runs\": []}",
        accepts: async address => await requestReport(address, timeout) !== undefined,
    },
    "a migration": {
        body: "{\"handle\": \"h\"}",
        accepts: async address => {
            const move = await requestMigration(address, identifier("r"), "127.0.0.2:80", true, timeout);
            return move.kind === "moved";
        },
    },
};

/** The stream of a generation, whose last event ends it. */
export const generationReader: AnswerReader = {
    body:
        "data: {\"from\": 0, \"texts\": [\"a\"]}\n\nevent: end\ndata: {\"count\": 1, \"finish_reason\": \"stop\"}\n\n",
    accepts: async address =>
        await endOfCall(address, backend => backend.start(identifier("g"), identifier("b"), work, 0, "t"))
            === "generationEnded",
};
