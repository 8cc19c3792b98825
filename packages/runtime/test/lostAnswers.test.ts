/**
 * Requests that may run once, between callers, a gateway process and backend servers at real sockets. The servers lose,
 * repeat, delay and confuse answers. No request may run twice, and none that was refused as not run may have run.
 */
import { findFreeGatewayAddresses } from "@verbenaspring/bench";
import { seededSource } from "@verbenaspring/coordination";
import { parseAddress } from "@verbenaspring/runtime";
import { type ChildProcess, fork } from "node:child_process";
import { Agent, type ClientRequest, get, type IncomingMessage, request } from "node:http";
import { connect } from "node:net";
import { fileURLToPath } from "node:url";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { GatewayArguments } from "./lostAnswersGateway.js";
import {
    answerBody,
    type Arrival,
    type ArrivalLog,
    behaviours,
    type Script,
    ScriptedServer,
} from "./scriptedServer.js";

const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const okStatus = 200;
const channelLost = 0;
/** Longer than any request is kept, and than any copy of an answer is delayed. */
const settlingTime = 400;

/** A request of a caller, and how it ended. */
interface CallerRequest {
    readonly attemptId: string;
    readonly body: Buffer;
    /** {@link channelLost} without a complete answer. */
    status: number;
    answer: string;
}

/** The services: one with a single server, a plain one and one of streams. */
const serverCounts = { single: 1, plain: 2, stream: 2 };
type TestService = keyof typeof serverCounts;

interface SendOptions {
    readonly service?: TestService;
    readonly bodyBytes?: number;
    readonly isChunked?: boolean;
    /** Of channels that are kept; without it the request gets a channel of its own. */
    readonly agent?: Agent;
    readonly timeLimit?: number;
    /** When the caller leaves without its answer; undefined if it waits. */
    readonly leavesAfter?: number;
}

/** A gateway process before scripted servers, and what its callers and the servers saw. */
class World {
    readonly log: ArrivalLog = { arrivals: [], faults: [] };
    /** The statuses that callers got. */
    readonly statuses = new Set<number>();
    private readonly requests: CallerRequest[] = [];
    private readonly servers: ScriptedServer[] = [];
    private gateway: ChildProcess | undefined;
    private callerPort = 0;
    private gatewayLog = "";

    static async start(script: Script): Promise<World> {
        const world = new World();
        const services = await Promise.all(
            Object.entries(serverCounts).map(async ([name, count]) => {
                const servers = await Promise.all(
                    Array.from(
                        { length: count },
                        (_, index) => ScriptedServer.start(`${name}-${index}`, world.log, script),
                    ),
                );
                world.servers.push(...servers);
                return {
                    name,
                    isEngine: name === "stream",
                    addresses: servers.map(({ address }) => address),
                };
            }),
        );
        const { callerAddress, readinessAddress, peerAddress } = await findFreeGatewayAddresses();
        const gatewayArguments: GatewayArguments = {
            callers: callerAddress,
            readiness: readinessAddress,
            peers: peerAddress,
            services,
        };
        const file = fileURLToPath(new URL("lostAnswersGateway.ts", import.meta.url));
        world.callerPort = parseAddress(callerAddress).port;
        world.gateway = fork(file, [JSON.stringify(gatewayArguments)], { execArgv: ["--import", "tsx"], silent: true });
        world.gateway.stdout?.on("data", chunk => world.gatewayLog += String(chunk));
        world.gateway.stderr?.on("data", chunk => world.gatewayLog += String(chunk));
        while (!await isReady(parseAddress(readinessAddress).port)) {
            assert.is(world.gateway.exitCode, null, world.gatewayLog);
            await pause(20);
        }
        return world;
    }

    signalGateway(name: "SIGSTOP" | "SIGCONT"): void {
        this.gateway?.kill(name);
    }

    /** Sends a request, and resolves when it has ended for its caller. */
    send(attemptId: string, options: SendOptions = {}): Promise<CallerRequest> {
        const { service = "plain", bodyBytes = 0, isChunked = false, timeLimit = 300, leavesAfter } = options;
        const body = Buffer.alloc(bodyBytes, attemptId);
        const caller: CallerRequest = { attemptId, body, status: channelLost, answer: "" };
        this.requests.push(caller);
        return new Promise(resolve => {
            const end = (): void => {
                this.statuses.add(caller.status);
                resolve(caller);
            };
            const call: ClientRequest = request({
                host: "127.0.0.1",
                port: this.callerPort,
                method: "POST",
                path: `/${service}/1`,
                agent: options.agent ?? false,
                headers: {
                    "host": "clinic.example",
                    "attempt-id": attemptId,
                    "deadline-ms": timeLimit,
                    "token-usage": "10,10",
                    ...isChunked ? { "transfer-encoding": "chunked" } : { "content-length": body.length },
                },
            }, response => readAnswer(response, caller, end));
            call.on("error", end);
            call.on("close", end);
            call.end(body);
            if (leavesAfter !== undefined) {
                setTimeout(() => call.destroy(), leavesAfter);
            }
        });
    }

    /**
     * Writes parts of requests on one channel, with pauses between them, and leaves when all have been written. The
     * answers belong to the requests in their order; a request without one got {@link channelLost}.
     */
    async exchange(attemptIds: readonly string[], parts: readonly (string | number)[]): Promise<void> {
        const callers = attemptIds.map((attemptId): CallerRequest => ({
            attemptId,
            body: Buffer.from(rawBody),
            status: channelLost,
            answer: "",
        }));
        this.requests.push(...callers);
        const socket = connect({ host: "127.0.0.1", port: this.callerPort, allowHalfOpen: true });
        let received = "";
        socket.on("data", chunk => received += String(chunk));
        socket.on("error", () => undefined);
        for (const part of parts) {
            if (typeof part === "number") {
                await pause(part);
            }
            else if (!socket.destroyed) {
                socket.write(part);
            }
        }
        await pause(settlingTime);
        socket.destroy();
        const answers = received.split(/(?=HTTP\/1\.1 \d)/).filter(answer => answer.length > 0);
        answers.forEach((answer, index) => {
            callers[index].status = Number(answer.split(" ")[1]);
            callers[index].answer = answer;
            this.statuses.add(callers[index].status);
        });
    }

    /** How often a request ran. */
    countRuns(attemptId: string): number {
        return this.log.arrivals.filter(arrival => arrival.attemptId === attemptId && arrival.hasRun).length;
    }

    /** Waits until nothing is in progress any more, and returns what was wrong since the last call. */
    async settle(): Promise<string[]> {
        await pause(settlingTime);
        return [...this.log.faults.splice(0), ...this.requests.splice(0).flatMap(caller => this.findFaults(caller))];
    }

    close(): void {
        this.gateway?.kill("SIGKILL");
        this.servers.forEach(server => server.close());
    }

    private findFaults(caller: CallerRequest): string[] {
        const { attemptId, status, answer, body } = caller;
        const arrivals = this.log.arrivals.filter(arrival => arrival.attemptId === attemptId);
        const runs = arrivals.filter(({ hasRun }) => hasRun);
        const expectedAnswer = answerBody(attemptId);
        const faults = [
            runs.length > 1 ? "ran twice" : undefined,
            runs.length > 0 && notRunStatuses.has(status) ? "was refused as not run and ran" : undefined,
            runs.some(run => !hasBody(run, body)) ? "ran with another body" : undefined,
            status === okStatus && runs.length === 0 ? "was answered and did not run" : undefined,
            status === okStatus && !answer.includes(expectedAnswer) ? "got the answer of another" : undefined,
        ];
        const trace = `status ${status} ${JSON.stringify(answer.slice(0, 80))}; ${
            arrivals.map(formatArrival).join(", ")
        }\n${this.linesAbout(attemptId)}`;
        return faults.flatMap(fault => fault === undefined ? [] : `${attemptId} ${fault}: ${trace}`);
    }

    private linesAbout(attemptId: string): string {
        return this.gatewayLog.split("\n").filter(line => line.includes(` request=${attemptId} `)).join("\n");
    }
}

/** Whether a run got the body of its request. One that was answered early may have been cut off from the rest. */
function hasBody({ behaviour, body }: Arrival, expected: Buffer): boolean {
    return body.equals(behaviour === "answerEarly" ? expected.subarray(0, body.length) : expected);
}

function formatArrival({ server, channel, isFirstOnChannel, behaviour, hasRun }: Arrival): string {
    return `${server} channel ${channel}${isFirstOnChannel ? " (first)" : ""} ${behaviour}${hasRun ? " RAN" : ""}`;
}

function readAnswer(response: IncomingMessage, caller: CallerRequest, end: () => void): void {
    const chunks: Buffer[] = [];
    response.on("data", (chunk: Buffer) => chunks.push(chunk));
    response.on("error", end);
    response.on("end", () => {
        caller.status = response.statusCode ?? channelLost;
        caller.answer = Buffer.concat(chunks).toString();
        end();
    });
}

function pause(duration: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, duration));
}

function isReady(port: number): Promise<boolean> {
    return new Promise(resolve => {
        const call = get({ host: "127.0.0.1", port, agent: false }, response => {
            response.resume();
            resolve(response.statusCode === okStatus);
        });
        call.on("error", () => resolve(false));
    });
}

/** The first numbers of sources with similar seeds are similar. */
function createRandom(seed: number): () => number {
    const similarNumbers = 32;
    return seededSource(seed, similarNumbers).random;
}

const refusals = behaviours.filter(behaviour => behaviour.startsWith("refuse"));

/** Behaves to each request at random, by its id. Some requests are refused by all servers. */
function randomScript(): Script {
    const sources = new Map<string, () => number>();
    return attemptId => {
        const random = sources.get(attemptId) ?? createRandom(Number(attemptId));
        sources.set(attemptId, random);
        const isRefusedEverywhere = Number(attemptId) % 8 === 0;
        if (!isRefusedEverywhere && random() < 0.3) {
            return "answer";
        }
        const choices = isRefusedEverywhere ? refusals : behaviours;
        return choices[Math.floor(random() * choices.length)];
    };
}

const callerCount = 8;

/** Sends requests of all kinds from several callers at once. Their ids are numbers. */
async function sendMany(world: World, seed: number, requestsPerCaller: number): Promise<void> {
    await Promise.all(Array.from({ length: callerCount }, async (_, caller) => {
        const random = createRandom(seed * callerCount + caller);
        const agent = new Agent({ keepAlive: true });
        for (let index = 0; index < requestsPerCaller; index++) {
            const hasLargeBody = random() < 0.05;
            await world.send(String((seed * callerCount + caller) * 1_000 + index), {
                service: random() < 0.3 ? "stream" : "plain",
                bodyBytes: hasLargeBody ? 400_000 : Math.floor(random() * 200),
                isChunked: random() < 0.3,
                agent: random() < 0.7 ? agent : undefined,
                timeLimit: 80 + random() * 100,
                leavesAfter: random() < 0.05 ? random() * 20 : undefined,
            });
        }
        agent.destroy();
    }));
}

const randomBehaviour = randomScript();
/** The scripts of single requests, by their ids. */
const scripts = new Map<string, Script>();
const world = await World.start((attemptId, earlierArrivals) =>
    (scripts.get(attemptId) ?? randomBehaviour)(attemptId, earlierArrivals)
);

test("a late copy of a refusal is not taken for the refusal of a later send of the same request", async () => {
    scripts.set("copied", (_, earlierArrivals) => earlierArrivals < 2 ? "refuseAndCopyAtNext" : "failSilently");
    await world.send("copied", { service: "single" });
    assert.equal(await world.settle(), []);
});

const rawBody = "0123456789";

function rawRequest(attemptId: string, bodyBytes = rawBody.length): string {
    return `POST /plain/1 HTTP/1.1\r\nhost: clinic.example\r\nattempt-id: ${attemptId}\r\ndeadline-ms: 2000\r\n`
        + `content-length: ${bodyBytes}\r\n\r\n${rawBody}`;
}

/** Longer than the gateway waits for headers and bodies, with the interval at which it looks for overdue headers. */
const overdue = 2_400;

/** Parts that callers write on one channel, and pauses between them, by the attempts that they are of. */
const exchanges: Readonly<Record<string, readonly (string | number)[]>> = {
    "whole": [rawRequest("whole")],
    "late-body": [rawRequest("late-body").slice(0, -5), overdue, rawBody.slice(5)],
    "late-head": [rawRequest("late-head").slice(0, 50), overdue, rawRequest("late-head").slice(50)],
    "kept,late-on-kept": [
        rawRequest("kept"),
        100,
        rawRequest("late-on-kept").slice(0, 50),
        overdue,
        rawRequest("late-on-kept").slice(50),
    ],
    "silent,late-behind": [
        rawRequest("silent"),
        rawRequest("late-behind").slice(0, 50),
        overdue,
        rawRequest("late-behind").slice(50),
    ],
    "pipelined,pipelined-second": [rawRequest("pipelined") + rawRequest("pipelined-second")],
    "too-large,behind-too-large": [rawRequest("too-large", 2_000_000) + rawRequest("behind-too-large")],
    "malformed,behind-malformed": ["what is this\r\n\r\n", rawRequest("behind-malformed")],
    "no-host,behind-no-host": [
        rawRequest("no-host").replace("host: clinic.example\r\n", ""),
        rawRequest("behind-no-host"),
    ],
    "two-lengths,behind-two-lengths": [
        rawRequest("two-lengths").replace("content-length", "transfer-encoding: chunked\r\ncontent-length"),
        rawRequest("behind-two-lengths"),
    ],
    "before-garbage": [`${rawRequest("before-garbage")}what is this\r\n\r\n`],
};

test("a request that was refused for how its caller sent it does not run, whatever comes on its channel later", async () => {
    const ids = Object.keys(exchanges).flatMap(names => names.split(","));
    ids.forEach(id => scripts.set(id, () => id === "silent" ? "failSilently" : "answer"));
    await Promise.all(Object.entries(exchanges).map(([names, parts]) => world.exchange(names.split(","), parts)));
    assert.equal(await world.settle(), []);
    const haveRun = ids.filter(id => world.countRuns(id) > 0);
    assert.ok(["whole", "kept", "silent", "pipelined"].every(id => haveRun.includes(id)), haveRun.join());
    const incomplete = [
        "late-body",
        "late-head",
        "late-on-kept",
        "late-behind",
        "too-large",
        "malformed",
        "two-lengths",
    ];
    const behind = ["behind-too-large", "behind-malformed", "behind-two-lengths"];
    assert.equal([...incomplete, ...behind].filter(id => haveRun.includes(id)), []);
});

for (const seed of [1, 2, 3]) {
    test(`requests that may run once don't run twice, nor after a refusal, seed ${seed}`, async () => {
        await sendMany(world, seed, 30);
        assert.equal(await world.settle(), []);
    });
}

test("the same while the gateway is suspended again and again", async () => {
    let isSuspended = false;
    const timer = setInterval(() => {
        isSuspended = !isSuspended;
        world.signalGateway(isSuspended ? "SIGSTOP" : "SIGCONT");
    }, 60);
    await sendMany(world, 4, 15);
    clearInterval(timer);
    world.signalGateway("SIGCONT");
    assert.equal(await world.settle(), []);
});

test("the servers behaved in every way, requests were sent again, and callers got answers of all kinds", () => {
    const { log: { arrivals }, statuses } = world;
    const seen = new Set(arrivals.map(({ behaviour }) => behaviour));
    assert.equal(behaviours.filter(behaviour => !seen.has(behaviour)), []);
    assert.equal([channelLost, okStatus, 500, 502, 503, 504].filter(status => !statuses.has(status)), []);
    const attempts = new Set(arrivals.map(({ attemptId }) => attemptId));
    assert.ok(arrivals.length > 1.1 * attempts.size, `${arrivals.length} arrivals of ${attempts.size} requests`);
    const areReused = arrivals.filter(({ isFirstOnChannel }) => !isFirstOnChannel);
    assert.ok(areReused.length > 0.1 * arrivals.length, `${areReused.length} arrivals on channels that were kept`);
});

test.after(() => world.close());

test.run();
