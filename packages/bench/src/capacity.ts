/**
 * `npm run capacity`: measures the slopes from which docs/CAPACITY.md is calculated. Each is measured at three or more
 * sizes in this one process, with the product's reducers and its codec.
 */
import { toBinary } from "@bufbuild/protobuf";
import {
    emptyClaims,
    emptyConfiguration,
    type EntryMessage,
    foldClaims,
    foldConfiguration,
    seededSource,
    type SidecarMessage,
} from "@verbenaspring/coordination";
import {
    createEntryState,
    type EntryEffect,
    type EntryEvent,
    type EntryState,
    reduceEntry,
} from "@verbenaspring/entry";
import { type ConfigurationRecord, identifier } from "@verbenaspring/model";
import { type AnyLinkMessage, decodeFrame, encodeFrame } from "@verbenaspring/runtime";
import { LinkFrameSchema } from "@verbenaspring/schema";
import { createSidecarState, reduceSidecar, type SidecarEvent, type SidecarState } from "@verbenaspring/sidecar";

const say = (line: string): void => void process.stdout.write(`${line}\n`);
const source = seededSource(1);
/** Does nothing where Node runs without `--expose-gc`. */
const collectGarbage = (globalThis as { gc?: () => void; }).gc ?? (() => undefined);
/** Bytes that HTTP/2 and Connect add to a frame: a frame header of 9 and an envelope of 5. */
const framingBytes = 14;
const bearerDigest = "a".repeat(64);

/** A size and the value that was measured at it. */
interface Sample {
    readonly size: number;
    readonly value: number;
}

/** Fits a line through samples by least squares; its slope is the value that one more unit of the size adds. */
function fitSlope(samples: readonly Sample[]): number {
    const count = samples.length;
    const meanSize = samples.reduce((sum, { size }) => sum + size, 0) / count;
    const meanValue = samples.reduce((sum, { value }) => sum + value, 0) / count;
    const covariance = samples.reduce((sum, { size, value }) => sum + (size - meanSize) * (value - meanValue), 0);
    return covariance / samples.reduce((sum, { size }) => sum + (size - meanSize) ** 2, 0);
}

/** Prints a slope with the samples behind it. */
function printSlope(name: string, unit: string, samples: readonly Sample[]): void {
    const values = samples.map(({ size, value }) => `${size}: ${value.toPrecision(3)}`).join(", ");
    say(`${name.padEnd(58)} ${fitSlope(samples).toPrecision(3).padStart(9)} ${unit.padEnd(28)} (${values})`);
}

/** Returns the processor time that a piece of work takes, in microseconds. */
function measureProcessorTime(work: () => void): number {
    const before = process.cpuUsage();
    work();
    const used = process.cpuUsage(before);
    return used.user + used.system;
}

/** Returns what `build` builds and the bytes of heap that it retains. */
function measureMemory<Built>(build: () => Built): { readonly built: Built; readonly bytes: number; } {
    collectGarbage();
    const before = process.memoryUsage().heapUsed;
    const built = build();
    collectGarbage();
    return { built, bytes: process.memoryUsage().heapUsed - before };
}

/** Returns the bytes of a message that is sent in a frame of its own. */
function wireSize(message: AnyLinkMessage): number {
    return toBinary(LinkFrameSchema, encodeFrame([message])).length + framingBytes;
}

/** An entry with links, requests and a configuration. Only its reducer runs. */
class MeasuredEntry {
    readonly state: EntryState = createEntryState({
        incarnation: identifier("entry"),
        heartbeatInterval: 500,
        silenceTimeout: 2_000,
        reconnectDelay: 200,
        lostTimeout: 10_000,
        maximumRequests: 1_000_000,
        linksPerService: 100_000,
        serviceDeadline: 30_000,
        commentInterval: 900,
        keyRetention: 3_600_000,
        snapshotInterval: 600_000,
        stopGrace: 2_000,
        stopTimeout: 0,
    });
    now = 0;

    handle(event: EntryEvent): EntryEffect[] {
        return reduceEntry(this.state, event, this.now, source);
    }

    configure(documentCount: number): void {
        const records = documentRecords(documentCount);
        this.handle({ kind: "configurationRead", records, earliest: 0, end: records.length });
    }

    /** Opens links to `count` backend servers. */
    openLinks(count: number): void {
        const instances = Array.from({ length: count }, (_, index) => ({
            backendServer: identifier<never>(`engine-${index}`),
            service: identifier<never>("service"),
            failureDomain: identifier<never>(`domain-${index % 29}`),
            linkAddress: "127.0.0.1:1",
            leaving: false,
        }));
        this.handle({ kind: "instancesListed", instances });
        instances.forEach(({ backendServer }) => {
            this.receive(backendServer, {
                kind: "welcome",
                sidecarIncarnation: identifier("sidecar"),
                linkNumber: 1,
                leaving: false,
                configurationOffset: 0,
            });
        });
    }

    receive(backendServer: string, message: SidecarMessage): EntryEffect[] {
        return this.handle({ kind: "linkMessage", backendServer: identifier(backendServer), linkNumber: 1, message });
    }

    /** Starts a streamed completion, and returns its attempt and backend server. */
    startCompletion(index: number): { readonly attemptId: string; readonly backendServer: string; } {
        const effects = this.handle({
            kind: "callerRequested",
            requestId: identifier(`request-${index}`),
            call: {
                bearerDigest,
                target: {
                    kind: "completion",
                    route: identifier("route"),
                    streamed: true,
                    promptTokens: 100,
                    maximumTokens: 10_000,
                },
                contentType: "application/json",
                body: "x".repeat(400),
                idempotency: undefined,
                cursor: undefined,
                timeLimit: 3_600_000,
                traceparent: "",
            },
        });
        const sent = effects.find(effect => effect.kind === "sendMessage" && effect.message.kind === "run");
        if (sent?.kind !== "sendMessage" || sent.message.kind !== "run") {
            throw new TypeError("the request was not dispatched");
        }
        return { attemptId: sent.message.attemptId, backendServer: sent.backendServer };
    }
}

/** Returns the configuration records of a service, a route and `count` organisations. */
function documentRecords(count: number): { readonly offset: number; readonly value: ConfigurationRecord; }[] {
    const documents = [
        {
            kind: "service",
            document: { name: "service", kind: "engine", objective: "stall", nonIdempotentCalls: [], concurrency: 16 },
        },
        { kind: "route", document: { name: "route", service: "service", workKind: "long", deadline: 3_600_000 } },
        ...Array.from({ length: count }, (_, index) => ({
            kind: "organisation",
            document: {
                name: `organisation-${index}`,
                keyDigest: index === 0 ? bearerDigest : String(index).padStart(64, "0"),
                weight: 1,
            },
        })),
    ];
    return documents.map(({ kind, document }, offset) => ({
        offset,
        value: {
            type: "change",
            change: { changeId: `change-${offset}`, kind, name: document.name, expectedRevision: -1, document },
        } as unknown as ConfigurationRecord,
    }));
}

function createEntry(links: number, documents: number): MeasuredEntry {
    const entry = new MeasuredEntry();
    entry.configure(documents);
    entry.openLinks(links);
    return entry;
}

const loadMessage: SidecarMessage = {
    kind: "load",
    leaving: false,
    configurationOffset: 123_456,
    freeTokens: 12_345,
    queueLength: 3,
    expectedWait: 1_200,
    preemptions: 42,
};

function measureLinks(): void {
    const sizes = [64, 256, 1_024];
    printSlope(
        "entry: memory of a link",
        "bytes",
        sizes.map(size => ({ size, value: measureMemory(() => createEntry(size, 10)).bytes })),
    );
    const seconds = 60;
    printSlope(
        "entry: processor for a link's load reports, 2 a second",
        "us a second",
        sizes.map(size => {
            const entry = createEntry(size, 10);
            const frame = encodeFrame([loadMessage]);
            const reportAll = (): void => {
                for (let link = 0; link < size; link++) {
                    decodeFrame(frame).forEach(message => entry.receive(`engine-${link}`, message as SidecarMessage));
                }
            };
            reportAll();
            const used = measureProcessorTime(() => {
                for (let time = 0; time < seconds * 2; time++) {
                    entry.now += 500;
                    reportAll();
                }
            });
            return { size, value: used / seconds };
        }),
    );
    printSlope(
        "entry: processor for ticks, 20 a second, by link",
        "us a second",
        sizes.map(size => {
            const entry = createEntry(size, 10);
            const used = measureProcessorTime(() => {
                for (let tick = 0; tick < seconds * 20; tick++) {
                    entry.handle({ kind: "tick" });
                }
            });
            return { size, value: used / seconds };
        }),
    );
    say(`wire: a load report ${wireSize(loadMessage)} bytes, a heartbeat ${wireSize({ kind: "heartbeat" })} bytes`);
}

function measureRequests(): void {
    const sizes = [100, 400, 1_600];
    const createLoadedEntry = (size: number): MeasuredEntry => {
        const entry = createEntry(16, 10);
        Array.from({ length: size }, (_, index) => entry.startCompletion(index));
        return entry;
    };
    printSlope(
        "entry: memory of a request in progress",
        "bytes",
        sizes.map(size => ({ size, value: measureMemory(() => createLoadedEntry(size)).bytes })),
    );
    const seconds = 10;
    printSlope(
        "entry: processor for ticks, 20 a second, by request",
        "us a second",
        sizes.map(size => {
            const entry = createLoadedEntry(size);
            const used = measureProcessorTime(() => {
                for (let tick = 0; tick < seconds * 20; tick++) {
                    entry.now += 0.001;
                    entry.handle({ kind: "tick" });
                }
            });
            return { size, value: used / seconds };
        }),
    );
    printSlope(
        "entry: processor of a request's start",
        "us",
        [500, 1_000, 2_000].map(size => {
            const entry = createEntry(16, 10);
            return {
                size,
                value: measureProcessorTime(() =>
                    Array.from({ length: size }, (_, index) => entry.startCompletion(index))
                ),
            };
        }),
    );
}

function measureTokens(): void {
    for (const tokensPerMessage of [1, 4, 32]) {
        printSlope(
            `entry: processor of a token, runs of ${tokensPerMessage}, 16 runs a frame`,
            "us",
            [20_000, 40_000, 80_000].map(size => ({
                size,
                value: measureProcessorTime(createTokenWork(size, tokensPerMessage)),
            })),
        );
    }
}

/** Returns work that encodes and decodes frames of token runs and passes them to an entry. */
function createTokenWork(tokens: number, tokensPerMessage: number): () => void {
    const generationCount = 16;
    const entry = createEntry(1, 10);
    const attempts = Array.from({ length: generationCount }, (_, index) => entry.startCompletion(index));
    return () => {
        for (let from = 0; from * generationCount < tokens; from += tokensPerMessage) {
            const texts = Array.from({ length: tokensPerMessage }, (_, index) => `token${from + index} `);
            const messages = attempts.map(({ attemptId }): SidecarMessage => ({
                kind: "tokens",
                attemptId: identifier(attemptId),
                generationId: identifier("0123456789abcdef0123456789abcdef"),
                from,
                texts,
            }));
            decodeFrame(encodeFrame(messages)).forEach(message => entry.receive("engine-0", message as SidecarMessage));
        }
    };
}

function measureConfiguration(): void {
    const sizes = [100, 1_000, 4_000];
    printSlope(
        "any: memory of a document",
        "bytes",
        sizes.map(size => ({
            size,
            value: measureMemory(() => foldConfiguration(emptyConfiguration, documentRecords(size), 0).state).bytes,
        })),
    );
    for (const size of sizes) {
        const { state } = foldConfiguration(emptyConfiguration, documentRecords(size), 0);
        const changes = 200;
        const used = measureProcessorTime(() => {
            let current = state;
            for (let change = 0; change < changes; change++) {
                const offset = current.next;
                const revision = current.documents.get("route/route")!.revision;
                const value = {
                    type: "change",
                    change: {
                        changeId: identifier<never>(`c${change}`),
                        kind: "route",
                        name: "route",
                        expectedRevision: revision,
                        document: current.documents.get("route/route")!.document,
                    },
                } as ConfigurationRecord;
                current = foldConfiguration(current, [{ offset, value }], 0).state;
            }
        });
        say(`any: a change among ${size} documents takes ${(used / changes).toFixed(1)} us`);
    }
    const [{ value }] = documentRecords(1).slice(1);
    say(`log: a change record of a route has ${JSON.stringify(value).length} bytes`);
}

function measureClaims(): void {
    const sizes = [1_000, 10_000, 50_000];
    const createStatements = (size: number) =>
        Array.from({ length: size }, (_, index) => ({
            type: "claim" as const,
            key: identifier<never>(`organisation-1/${String(index).padStart(64, "0")}`),
            claimId: identifier<never>(`${"e".repeat(32)}.${String(index).padStart(32, "0")}`),
            requestDigest: String(index).padStart(64, "0"),
        }));
    printSlope(
        "entry: memory of a remembered key",
        "bytes",
        sizes.map(size => ({
            size,
            value: measureMemory(() => {
                const claims = emptyClaims();
                foldClaims(
                    claims,
                    [{ offset: 0, value: JSON.parse(JSON.stringify(createStatements(size))) as never }],
                    0,
                );
                return claims;
            }).bytes,
        })),
    );
    printSlope(
        "entry: processor of a claim read back",
        "us",
        sizes.map(size => {
            const text = JSON.stringify(createStatements(size));
            return {
                size,
                value: measureProcessorTime(() =>
                    foldClaims(emptyClaims(), [{ offset: 0, value: JSON.parse(text) as never }], 0)
                ),
            };
        }),
    );
    say(`log: a claim has ${JSON.stringify(createStatements(1)).length} bytes`);
}

/** Creates a sidecar of which only the reducer runs. */
function createSidecar(): SidecarState {
    const state = createSidecarState({
        incarnation: identifier("sidecar"),
        backendServer: identifier("engine-0"),
        service: identifier("service"),
        memoryTokens: 100_000_000,
        maximumOutputTokens: 32_768,
        maximumQueue: 1_000_000,
        keptTokens: 100_000_000,
        unacknowledgedTokens: 512,
        heartbeatInterval: 500,
        silenceTimeout: 1e12,
        detachedWindow: 15_000,
        resumeWindow: 60_000,
        stopTimeout: 0,
    });
    return state;
}

function measureSidecar(): void {
    const handle = (state: SidecarState, event: SidecarEvent, now: number) => reduceSidecar(state, event, now, source);
    const openLinks = (state: SidecarState, count: number): void => {
        for (let entry = 0; entry < count; entry++) {
            const link = {
                entry: identifier<never>(`entry-${entry}`),
                linkNumber: 1,
                backendServer: identifier<never>("engine-0"),
            };
            handle(state, { kind: "linkOpened", ...link }, 0);
        }
    };
    const sizes = [8, 64, 512];
    printSlope(
        "sidecar: memory of a link",
        "bytes",
        sizes.map(size => ({
            size,
            value: measureMemory(() => {
                const state = createSidecar();
                openLinks(state, size);
                return state;
            }).bytes,
        })),
    );
    const seconds = 30;
    printSlope(
        "sidecar: processor for a link's load reports, 2 a second",
        "us a second",
        sizes.map(size => {
            const state = createSidecar();
            openLinks(state, size);
            const used = measureProcessorTime(() => {
                for (let now = 0; now < seconds * 1_000; now += 50) {
                    const effects = handle(state, { kind: "tick" }, now);
                    effects.forEach(effect => effect.kind === "sendMessage" && encodeFrame([effect.message]));
                }
            });
            return { size, value: used / seconds };
        }),
    );
    measureSidecarTokens(handle, openLinks);
}

type HandleEvent = (state: SidecarState, event: SidecarEvent, now: number) => ReturnType<typeof reduceSidecar>;

function measureSidecarTokens(handle: HandleEvent, openLinks: (state: SidecarState, count: number) => void): void {
    const generationCount = 32;
    printSlope(
        "sidecar: processor of a token, 32 generations a frame",
        "us",
        [20_000, 40_000, 80_000].map(size => {
            const state = createSidecar();
            configure(state, handle);
            openLinks(state, 1);
            const generations = Array.from(
                { length: generationCount },
                (_, index) => startGeneration(state, handle, index),
            );
            return { size, value: measureProcessorTime(() => emitTokens(state, handle, generations, size)) };
        }),
    );
}

function configure(state: SidecarState, handle: HandleEvent): void {
    const document = { name: "service", kind: "engine", objective: "stall", nonIdempotentCalls: [], concurrency: 16 };
    state.configuration = {
        through: 0,
        documents: new Map([["service/service", {
            kind: "service",
            name: "service",
            revision: 0,
            document: document as never,
        }]]),
    };
    handle(state, { kind: "tick" }, 0);
}

function startGeneration(state: SidecarState, handle: HandleEvent, index: number) {
    const message: EntryMessage = {
        kind: "run",
        attemptId: identifier(`attempt-${index}`),
        sidecarIncarnation: identifier("sidecar"),
        organisation: identifier("organisation"),
        service: identifier("service"),
        workKind: "short",
        idempotent: true,
        timeLeft: 1e9,
        promptTokens: 10,
        maximumTokens: 100_000,
        method: "POST",
        path: "",
        contentType: "",
        body: "{}",
        traceparent: "",
        from: 0,
        weight: 1,
        resent: false,
    };
    const effects = handle(state, { kind: "linkMessage", entry: identifier("entry-0"), linkNumber: 1, message }, 0);
    const started = effects.find(effect => effect.kind === "startGeneration");
    if (started?.kind !== "startGeneration") {
        throw new TypeError("the generation was not started");
    }
    return { generationId: started.generationId, attemptId: started.attemptId };
}

function emitTokens(
    state: SidecarState,
    handle: HandleEvent,
    generations: readonly ReturnType<typeof startGeneration>[],
    tokens: number,
): void {
    const entry = identifier<never>("entry-0");
    for (let from = 0; from * generations.length < tokens; from++) {
        const messages: AnyLinkMessage[] = [];
        for (const { generationId, attemptId } of generations) {
            const effects = handle(
                state,
                { kind: "generationTokens", generationId, from, texts: [`token${from} `] },
                0,
            );
            effects.forEach(effect => effect.kind === "sendMessage" && messages.push(effect.message));
            if (from % 64 === 0) {
                const message: EntryMessage = { kind: "acknowledge", attemptId, next: from };
                handle(state, { kind: "linkMessage", entry, linkNumber: 1, message }, 0);
            }
        }
        toBinary(LinkFrameSchema, encodeFrame(messages));
    }
}

say(`slopes by least squares; values at each size in brackets`);
measureLinks();
measureRequests();
measureTokens();
measureConfiguration();
measureClaims();
measureSidecar();
