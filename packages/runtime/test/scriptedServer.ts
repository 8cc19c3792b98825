/**
 * A backend server at a real socket that treats each request as a script says: it answers, refuses, runs without an
 * answer, or breaks the protocol. It records what arrived, and what of it ran.
 */
import { createServer, type Server, type Socket } from "node:net";

/** What a server does with a request. Names that begin with `refuse` are refusals of requests that do not run. */
export const behaviours = [
    "answer",
    "answerTwice",
    "answerAndCopyLater",
    "answerAndCopyAtNext",
    "answerEarly",
    "answerAndClose",
    "answerAndReset",
    "answerAfterInformation",
    "answerOther",
    "failWithError",
    "failWithBareRefusal",
    "failWithRefusalOfOther",
    "failWithReset",
    "failWithHalfClose",
    "failWithCut",
    "failWithGarbage",
    "failWithContinue",
    "failSilently",
    "refuse",
    "refuseEarly",
    "refuseAndClose",
    "refuseTwice",
    "refuseAndCopyLater",
    "refuseAndCopyAtNext",
    "refuseUnnamed",
    "refuseUnnamedAndCopyAtNext",
    "refuseAsMisdirected",
    "refuseAndCut",
] as const;

/** One of {@link behaviours}. */
export type Behaviour = typeof behaviours[number];

/** A request that reached a server. */
export interface Arrival {
    readonly attemptId: string;
    readonly server: string;
    readonly target: string;
    readonly channel: number;
    readonly isFirstOnChannel: boolean;
    readonly behaviour: Behaviour;
    body: Buffer;
    hasRun: boolean;
}

/** Chooses what happens to a request, by its id and by how often it has reached servers before. */
export type Script = (attemptId: string, earlierArrivals: number) => Behaviour;

/** What all servers of a test record. */
export interface ArrivalLog {
    readonly arrivals: Arrival[];
    /** What a client of the protocol must not do. */
    readonly faults: string[];
}

interface Channel {
    readonly socket: Socket;
    readonly number: number;
    received: Buffer;
    current: Arrival | undefined;
    missingBodyBytes: number;
    requestCount: number;
    /** Copies of answers that are sent when the next request comes. */
    copiesAtNext: string[];
}

const copyDelay = 3;
const closeDelay = 1;
const cutBytes = 5;

/** A scripted server. */
export class ScriptedServer {
    private readonly sockets = new Set<Socket>();
    private channelCount = 0;

    private constructor(
        private readonly name: string,
        private readonly server: Server,
        private readonly log: ArrivalLog,
        private readonly script: Script,
    ) {}

    /** Starts a server on a free port of the loopback interface. */
    static async start(name: string, log: ArrivalLog, script: Script): Promise<ScriptedServer> {
        const server = createServer({ allowHalfOpen: true, noDelay: true });
        const scripted = new ScriptedServer(name, server, log, script);
        server.on("connection", socket => scripted.accept(socket));
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        return scripted;
    }

    get address(): string {
        return `127.0.0.1:${(this.server.address() as { readonly port: number; }).port}`;
    }

    close(): void {
        this.sockets.forEach(socket => socket.destroy());
        this.server.close();
    }

    private accept(socket: Socket): void {
        this.sockets.add(socket);
        const channel: Channel = {
            socket,
            number: ++this.channelCount,
            received: Buffer.alloc(0),
            current: undefined,
            missingBodyBytes: 0,
            requestCount: 0,
            copiesAtNext: [],
        };
        socket.on("error", () => undefined);
        socket.on("close", () => this.sockets.delete(socket));
        socket.on("end", () => socket.end());
        socket.on("data", chunk => {
            channel.received = Buffer.concat([channel.received, chunk]);
            this.readRequests(channel);
        });
    }

    private readRequests(channel: Channel): void {
        while (channel.received.length > 0) {
            if (channel.current === undefined && !this.readHead(channel)) {
                return;
            }
            const arrival = channel.current!;
            const part = channel.received.subarray(0, channel.missingBodyBytes);
            channel.received = channel.received.subarray(part.length);
            channel.missingBodyBytes -= part.length;
            arrival.body = Buffer.concat([arrival.body, part]);
            if (channel.missingBodyBytes > 0) {
                return;
            }
            channel.current = undefined;
            if (!isEarly(arrival.behaviour)) {
                this.act(channel, arrival);
            }
        }
    }

    /** Reads the head of the next request; returns false if it is incomplete. */
    private readHead(channel: Channel): boolean {
        const end = channel.received.indexOf("\r\n\r\n");
        if (end === -1) {
            return false;
        }
        const [requestLine, ...lines] = channel.received.subarray(0, end).toString("latin1").split("\r\n");
        channel.received = channel.received.subarray(end + "\r\n\r\n".length);
        const valueOf = (name: string): string | undefined =>
            lines.find(line => line.toLowerCase().startsWith(`${name}:`))?.slice(name.length + 1).trim();
        const attemptId = valueOf("attempt-id") ?? "";
        const earlier = this.log.arrivals.filter(other => other.attemptId === attemptId).length;
        const arrival: Arrival = {
            attemptId,
            server: this.name,
            target: requestLine.split(" ")[1],
            channel: channel.number,
            isFirstOnChannel: channel.requestCount === 0,
            behaviour: this.script(attemptId, earlier),
            body: Buffer.alloc(0),
            hasRun: false,
        };
        this.log.arrivals.push(arrival);
        if (valueOf("transfer-encoding") !== undefined) {
            this.log.faults.push(`${attemptId} came with a transfer coding`);
        }
        channel.requestCount++;
        channel.missingBodyBytes = Number(valueOf("content-length") ?? 0);
        channel.current = arrival;
        channel.copiesAtNext.splice(0).forEach(copy => channel.socket.write(copy));
        if (isEarly(arrival.behaviour)) {
            this.act(channel, arrival);
        }
        return true;
    }

    private act({ socket, copiesAtNext }: Channel, arrival: Arrival): void {
        const { attemptId, behaviour, target } = arrival;
        arrival.hasRun = !behaviour.startsWith("refuse");
        actions[behaviour]({
            socket,
            copiesAtNext,
            attemptId,
            answer: target.startsWith("/stream/") ? formatStream(attemptId) : formatAnswer(attemptId),
            refusal: formatRefusal(503, attemptId),
        });
    }
}

interface ActionContext {
    readonly socket: Socket;
    readonly copiesAtNext: string[];
    readonly attemptId: string;
    readonly answer: string;
    readonly refusal: string;
}

/** Channels on which an answer was cut off. */
const cutChannels = new WeakSet<Socket>();

/** Sends a copy of an answer late: where the next answer is expected, so not inside one that is cut off. */
function copyLater(socket: Socket, copy: string): void {
    setTimeout(() => {
        if (!cutChannels.has(socket)) {
            socket.write(copy);
        }
    }, copyDelay);
}

/** What a server does once a request has run or is refused. */
const actions: Readonly<Record<Behaviour, (context: ActionContext) => void>> = {
    answer: ({ socket, answer }) => socket.write(answer),
    answerEarly: ({ socket, answer }) => socket.write(answer),
    answerTwice: ({ socket, answer }) => socket.write(answer + answer),
    answerAndCopyLater: ({ socket, answer }) => {
        socket.write(answer);
        copyLater(socket, answer);
    },
    answerAndCopyAtNext: ({ socket, answer, copiesAtNext }) => {
        socket.write(answer);
        copiesAtNext.push(answer);
    },
    answerAndClose: ({ socket, answer }) => {
        socket.write(answer);
        setTimeout(() => socket.end(), closeDelay);
    },
    answerAndReset: ({ socket, answer }) => {
        socket.write(answer);
        setTimeout(() => socket.resetAndDestroy(), closeDelay);
    },
    answerAfterInformation: ({ socket, answer, attemptId }) => {
        socket.write(`HTTP/1.1 103 Early Hints\r\nAttempt-Id: ${attemptId}\r\nNot-Executed: 1\r\n\r\n`);
        setTimeout(() => socket.write(answer), closeDelay);
    },
    answerOther: ({ socket, attemptId }) => socket.write(formatAnswer(`not-${attemptId}`)),
    failWithError: ({ socket, attemptId }) => socket.write(formatAnswer(attemptId, 500)),
    failWithBareRefusal: ({ socket, attemptId }) => socket.write(formatAnswer(attemptId, 503)),
    failWithRefusalOfOther: ({ socket, attemptId }) => socket.write(formatRefusal(503, `not-${attemptId}`)),
    failWithReset: ({ socket }) => socket.resetAndDestroy(),
    failWithHalfClose: ({ socket }) => socket.end(),
    failWithCut: ({ socket, answer }) => {
        cutChannels.add(socket);
        socket.write(answer.slice(0, -cutBytes));
        setTimeout(() => socket.end(), closeDelay);
    },
    failWithGarbage: ({ socket }) => socket.write("\u0000\u0001 what is this\r\n\r\n"),
    failWithContinue: ({ socket, answer }) => socket.write(`HTTP/1.1 100 Continue\r\n\r\n${answer}`),
    failSilently: () => undefined,
    refuse: ({ socket, refusal }) => socket.write(refusal),
    refuseEarly: ({ socket, refusal }) => socket.write(refusal),
    refuseAndClose: ({ socket, refusal }) => socket.end(refusal),
    refuseTwice: ({ socket, refusal }) => socket.write(refusal + refusal),
    refuseAndCopyLater: ({ socket, refusal }) => {
        socket.write(refusal);
        copyLater(socket, refusal);
    },
    refuseAndCopyAtNext: ({ socket, refusal, copiesAtNext }) => {
        socket.write(refusal);
        copiesAtNext.push(refusal);
    },
    refuseUnnamed: ({ socket }) => socket.write(formatRefusal(503)),
    refuseUnnamedAndCopyAtNext: ({ socket, copiesAtNext }) => {
        socket.write(formatRefusal(503));
        copiesAtNext.push(formatRefusal(503));
    },
    refuseAsMisdirected: ({ socket, attemptId }) => socket.write(formatRefusal(421, attemptId)),
    refuseAndCut: ({ socket, refusal }) => socket.end(refusal.slice(0, -cutBytes)),
};

function isEarly(behaviour: Behaviour): boolean {
    return behaviour === "answerEarly" || behaviour === "refuseEarly";
}

/** The body that a server returns for a request. */
export function answerBody(attemptId: string): string {
    return `answer to ${attemptId}`;
}

function formatAnswer(attemptId: string, status = 200): string {
    const body = answerBody(attemptId);
    return `HTTP/1.1 ${status} Status\r\nAttempt-Id: ${attemptId}\r\nResponse-Seal: seal-${attemptId}\r\n`
        + `content-length: ${body.length}\r\n\r\n${body}`;
}

function formatStream(attemptId: string): string {
    const events = [1, 2, 3].map(id => `id: ${id}\ndata: ${answerBody(attemptId)}\n\n`);
    const chunks = events.map(event => `${event.length.toString(16)}\r\n${event}\r\n`).join("");
    return `HTTP/1.1 200 OK\r\nAttempt-Id: ${attemptId}\r\nResponse-Seal: seal-${attemptId}\r\n`
        + `content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n${chunks}0\r\n\r\n`;
}

function formatRefusal(status: number, attemptId?: string): string {
    const name = attemptId === undefined ? "" : `Attempt-Id: ${attemptId}\r\n`;
    return `HTTP/1.1 ${status} Status\r\n${name}Not-Executed: 1\r\ncontent-length: 7\r\n\r\nrefused`;
}
