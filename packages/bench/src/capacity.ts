/**
 * `npm run capacity`: measures the slopes that docs/CAPACITY.md is worked out from. Each is taken at three sizes or
 * more in this one process, on the real reducers and the real codec.
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
const collectGarbage = (globalThis as { gc?: () => void; }).gc ?? (() => undefined);
/** Bytes that HTTP/2 and Connect put around a frame: a frame header of 9 and an envelope of 5. */
const framingBytes = 14;
const bearerDigest = "a".repeat(64);

/** One size and what was measured at it. */
interface Sample {
    readonly size: number;
    readonly value: number;
}

/** Least squares through samples: the value that one more of the size adds. */
function slope(samples: readonly Sample[]): number {
    const count = samples.length;
    const meanSize = samples.reduce((sum, { size }) => sum + size, 0) / count;
    const meanValue = samples.reduce((sum, { value }) => sum + value, 0) / count;
    const covariance = samples.reduce((sum, { size, value }) => sum + (size - meanSize) * (value - meanValue), 0);
    return covariance / samples.reduce((sum, { size }) => sum + (size - meanSize) ** 2, 0);
}

function report(name: string, unit: string, samples: readonly Sample[]): void {
    const values = samples.map(({ size, value }) => `${size}: ${value.toPrecision(3)}`).join(", ");
    say(`${name.padEnd(58)} ${slope(samples).toPrecision(3).padStart(9)} ${unit.padEnd(28)} (${values})`);
}

/** Processor microseconds that a piece of work takes. */
function processorTime(work: () => void): number {
    const before = process.cpuUsage();
    work();
    const used = process.cpuUsage(before);
    return used.user + used.system;
}

/** Bytes of memory that what is built keeps. */
function memoryOf<Built>(build: () => Built): { readonly built: Built; readonly bytes: number; } {
    collectGarbage();
    const before = process.memoryUsage().heapUsed;
    const built = build();
    collectGarbage();
    return { built, bytes: process.memoryUsage().heapUsed - before };
}

function wireBytes(message: AnyLinkMessage): number {
    return toBinary(LinkFrameSchema, encodeFrame([message])).length + framingBytes;
}

// An entry with links, requests and configuration, driven by its reducer alone.

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

    take(event: EntryEvent): EntryEffect[] {
        return reduceEntry(this.state, event, this.now, source);
    }

    configure(documents: number): void {
        const records = documentRecords(documents);
        this.take({ kind: "configurationRead", records, earliest: 0, end: records.length });
    }

    link(count: number): void {
        const instances = Array.from({ length: count }, (_, index) => ({
            backendServer: identifier<never>(`engine-${index}`),
            service: identifier<never>("service"),
            failureDomain: identifier<never>(`domain-${index % 29}`),
            linkAddress: "127.0.0.1:1",
            leaving: false,
        }));
        this.take({ kind: "instancesListed", instances });
        instances.forEach(({ backendServer }) => {
            this.hear(backendServer, {
                kind: "welcome",
                sidecarIncarnation: identifier("sidecar"),
                linkNumber: 1,
                leaving: false,
                configurationOffset: 0,
            });
        });
    }

    hear(backendServer: string, message: SidecarMessage): EntryEffect[] {
        return this.take({ kind: "linkMessage", backendServer: identifier(backendServer), linkNumber: 1, message });
    }

    ask(index: number): { readonly attemptId: string; readonly backendServer: string; } {
        const effects = this.take({
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
    entry.link(links);
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
    report(
        "entry: memory of a link",
        "bytes",
        sizes.map(size => ({ size, value: memoryOf(() => createEntry(size, 10)).bytes })),
    );
    const seconds = 60;
    report(
        "entry: processor for a link's load reports, 2 a second",
        "us a second",
        sizes.map(size => {
            const entry = createEntry(size, 10);
            const frame = encodeFrame([loadMessage]);
            const reportAll = (): void => {
                for (let link = 0; link < size; link++) {
                    decodeFrame(frame).forEach(message => entry.hear(`engine-${link}`, message as SidecarMessage));
                }
            };
            reportAll();
            const used = processorTime(() => {
                for (let time = 0; time < seconds * 2; time++) {
                    entry.now += 500;
                    reportAll();
                }
            });
            return { size, value: used / seconds };
        }),
    );
    report(
        "entry: processor for ticks, 20 a second, by link",
        "us a second",
        sizes.map(size => {
            const entry = createEntry(size, 10);
            const used = processorTime(() => {
                for (let tick = 0; tick < seconds * 20; tick++) {
                    entry.take({ kind: "tick" });
                }
            });
            return { size, value: used / seconds };
        }),
    );
    say(`wire: a load report ${wireBytes(loadMessage)} bytes, a heartbeat ${wireBytes({ kind: "heartbeat" })} bytes`);
}

function measureRequests(): void {
    const sizes = [100, 400, 1_600];
    const withRequests = (size: number): MeasuredEntry => {
        const entry = createEntry(16, 10);
        Array.from({ length: size }, (_, index) => entry.ask(index));
        return entry;
    };
    report(
        "entry: memory of a request in progress",
        "bytes",
        sizes.map(size => ({ size, value: memoryOf(() => withRequests(size)).bytes })),
    );
    const seconds = 10;
    report(
        "entry: processor for ticks, 20 a second, by request",
        "us a second",
        sizes.map(size => {
            const entry = withRequests(size);
            const used = processorTime(() => {
                for (let tick = 0; tick < seconds * 20; tick++) {
                    entry.now += 0.001;
                    entry.take({ kind: "tick" });
                }
            });
            return { size, value: used / seconds };
        }),
    );
    report(
        "entry: processor of a request's start",
        "us",
        [500, 1_000, 2_000].map(size => {
            const entry = createEntry(16, 10);
            return { size, value: processorTime(() => Array.from({ length: size }, (_, index) => entry.ask(index))) };
        }),
    );
}

function measureTokens(): void {
    for (const perMessage of [1, 4, 32]) {
        report(
            `entry: processor of a token, runs of ${perMessage}, 16 runs a frame`,
            "us",
            [20_000, 40_000, 80_000].map(size => ({ size, value: processorTime(tokenWork(size, perMessage)) })),
        );
    }
}

/** Decodes frames of token runs and takes them, as an entry does. */
function tokenWork(tokens: number, perMessage: number): () => void {
    const generations = 16;
    const entry = createEntry(1, 10);
    const asked = Array.from({ length: generations }, (_, index) => entry.ask(index));
    return () => {
        for (let from = 0; from * generations < tokens; from += perMessage) {
            const texts = Array.from({ length: perMessage }, (_, index) => `token${from + index} `);
            const messages = asked.map(({ attemptId }): SidecarMessage => ({
                kind: "tokens",
                attemptId: identifier(attemptId),
                generationId: identifier("0123456789abcdef0123456789abcdef"),
                from,
                texts,
            }));
            decodeFrame(encodeFrame(messages)).forEach(message => entry.hear("engine-0", message as SidecarMessage));
        }
    };
}

function measureConfiguration(): void {
    const sizes = [100, 1_000, 4_000];
    report(
        "any: memory of a document",
        "bytes",
        sizes.map(size => ({
            size,
            value: memoryOf(() => foldConfiguration(emptyConfiguration, documentRecords(size), 0).state).bytes,
        })),
    );
    for (const size of sizes) {
        const { state } = foldConfiguration(emptyConfiguration, documentRecords(size), 0);
        const changes = 200;
        const used = processorTime(() => {
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
    const statements = (size: number) =>
        Array.from({ length: size }, (_, index) => ({
            type: "claim" as const,
            key: identifier<never>(`organisation-1/${String(index).padStart(64, "0")}`),
            claimId: identifier<never>(`${"e".repeat(32)}.${String(index).padStart(32, "0")}`),
            requestDigest: String(index).padStart(64, "0"),
        }));
    report(
        "entry: memory of a remembered key",
        "bytes",
        sizes.map(size => ({
            size,
            value: memoryOf(() => {
                const claims = emptyClaims();
                foldClaims(claims, [{ offset: 0, value: JSON.parse(JSON.stringify(statements(size))) as never }], 0);
                return claims;
            }).bytes,
        })),
    );
    report(
        "entry: processor of a claim read back",
        "us",
        sizes.map(size => {
            const text = JSON.stringify(statements(size));
            return {
                size,
                value: processorTime(() =>
                    foldClaims(emptyClaims(), [{ offset: 0, value: JSON.parse(text) as never }], 0)
                ),
            };
        }),
    );
    say(`log: a claim has ${JSON.stringify(statements(1)).length} bytes`);
}

// A sidecar, driven by its reducer alone.

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
    const take = (state: SidecarState, event: SidecarEvent, now: number) => reduceSidecar(state, event, now, source);
    const open = (state: SidecarState, count: number): void => {
        for (let entry = 0; entry < count; entry++) {
            const opened = {
                entry: identifier<never>(`entry-${entry}`),
                linkNumber: 1,
                backendServer: identifier<never>("engine-0"),
            };
            take(state, { kind: "linkOpened", ...opened }, 0);
        }
    };
    const sizes = [8, 64, 512];
    report(
        "sidecar: memory of a link",
        "bytes",
        sizes.map(size => ({
            size,
            value: memoryOf(() => {
                const state = createSidecar();
                open(state, size);
                return state;
            }).bytes,
        })),
    );
    const seconds = 30;
    report(
        "sidecar: processor for a link's load reports, 2 a second",
        "us a second",
        sizes.map(size => {
            const state = createSidecar();
            open(state, size);
            const used = processorTime(() => {
                for (let now = 0; now < seconds * 1_000; now += 50) {
                    const effects = take(state, { kind: "tick" }, now);
                    effects.forEach(effect => effect.kind === "sendMessage" && encodeFrame([effect.message]));
                }
            });
            return { size, value: used / seconds };
        }),
    );
    measureSidecarTokens(take, open);
}

type TakeEvent = (state: SidecarState, event: SidecarEvent, now: number) => ReturnType<typeof reduceSidecar>;

function measureSidecarTokens(take: TakeEvent, open: (state: SidecarState, count: number) => void): void {
    const generations = 32;
    report(
        "sidecar: processor of a token, 32 generations a frame",
        "us",
        [20_000, 40_000, 80_000].map(size => {
            const state = createSidecar();
            configure(state, take);
            open(state, 1);
            const ids = Array.from({ length: generations }, (_, index) => startGeneration(state, take, index));
            return { size, value: processorTime(() => emitTokens(state, take, ids, size)) };
        }),
    );
}

function configure(state: SidecarState, take: TakeEvent): void {
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
    take(state, { kind: "tick" }, 0);
}

function startGeneration(state: SidecarState, take: TakeEvent, index: number) {
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
    const effects = take(state, { kind: "linkMessage", entry: identifier("entry-0"), linkNumber: 1, message }, 0);
    const started = effects.find(effect => effect.kind === "startGeneration");
    if (started?.kind !== "startGeneration") {
        throw new TypeError("the generation was not started");
    }
    return { generationId: started.generationId, attemptId: started.attemptId };
}

function emitTokens(
    state: SidecarState,
    take: TakeEvent,
    ids: readonly ReturnType<typeof startGeneration>[],
    tokens: number,
): void {
    const entry = identifier<never>("entry-0");
    for (let from = 0; from * ids.length < tokens; from++) {
        const messages: AnyLinkMessage[] = [];
        for (const { generationId, attemptId } of ids) {
            const effects = take(state, { kind: "generationTokens", generationId, from, texts: [`token${from} `] }, 0);
            effects.forEach(effect => effect.kind === "sendMessage" && messages.push(effect.message));
            if (from % 64 === 0) {
                const message: EntryMessage = { kind: "acknowledge", attemptId, next: from };
                take(state, { kind: "linkMessage", entry, linkNumber: 1, message }, 0);
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
