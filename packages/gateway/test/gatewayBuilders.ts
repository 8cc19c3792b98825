/**
 * Builders that let a test read as its case.
 */
import { seededSource } from "@verbenaspring/coordination";
import {
    type BackendAnswer,
    type BackendCall,
    type BackendRecord,
    createGatewayState,
    type DecodedItem,
    type GatewayEffect,
    type GatewayEvent,
    type GatewayOptions,
    type GatewayState,
    indexRoutes,
    type PeerReport,
    reduceGateway,
    type RequestHead,
    type ResponseHead,
    type Route,
    type RoutingConfiguration,
    type StreamEvent,
} from "@verbenaspring/gateway";
import { type Failure, identifier, type RequestId } from "@verbenaspring/model";

export const plainService = identifier<never>("plain");
export const engineService = identifier<never>("engine");

/** A route with the given differences. */
export function route(name: string, differences: Partial<Route> = {}): Route {
    return {
        name: identifier(name),
        host: "clinic.example",
        pathPrefix: `/${name}/`,
        isIdempotent: false,
        isStream: false,
        canResume: false,
        timeout: 800,
        targetLatency: 100,
        maximumAttempts: 1,
        priority: 2,
        isPublic: true,
        targets: [{ service: plainService, weight: 1 }],
        ...differences,
    };
}

const toEngine = { isStream: true, targets: [{ service: engineService, weight: 1 }], timeout: 39_000 };

/** The routes that most tests use. */
export const routes: readonly Route[] = [
    route("confirm"),
    route("lookup", { isIdempotent: true, maximumAttempts: 2 }),
    route("plan", { ...toEngine }),
    route("note", { ...toEngine, canResume: true, maximumAttempts: 2, timeout: 6_000 }),
];

/** A configuration with the given differences. */
export function configuration(
    version: number,
    differences: Partial<RoutingConfiguration> = {},
): RoutingConfiguration {
    const engine = { memoryTokens: 10_000, canReplicate: true, canMove: true, tokensPerEvent: 4 };
    return {
        version,
        routesByHost: indexRoutes(routes),
        services: new Map([
            [plainService, { name: plainService, engine: undefined }],
            [engineService, { name: engineService, engine }],
        ]),
        organisations: new Map(),
        limits: { headerBytes: 16_384, bodyBytes: 4_096, headerTimeout: 3_000, idleTimeout: 15_000 },
        ...differences,
    };
}

/** A server's record with the given differences. */
export function server(id: string, differences: Partial<BackendRecord> = {}): BackendRecord {
    return {
        id: identifier(id),
        service: id.startsWith("engine") ? engineService : plainService,
        address: `10.0.0.${id.replace(/\D/g, "")}:80`,
        failureDomain: identifier("near"),
        slots: 6,
        isDraining: false,
        remainingWarmUp: 0,
        startedAt: undefined,
        heartbeat: 1,
        ...differences,
    };
}

export const options: GatewayOptions = {
    failureDomain: identifier("near"),
    peerAddress: identifier("10.1.0.1:8748"),
    seedAddresses: [],
    retries: { ratio: 0.2, slack: 50, window: 10_000 },
    stopLimit: 8_000,
};

/** A gateway with a clock that the test moves. */
export class GatewayBench {
    now = 1_000;
    readonly state: GatewayState;
    private offset = 0;
    private readonly source = seededSource(1);

    /** @param startedAt by default the gateway has run for long */
    constructor(differences: Partial<GatewayOptions> = {}, startedAt = -60_000) {
        this.state = createGatewayState({ ...options, ...differences }, identifier("incarnation"));
        this.state.startedAt = startedAt;
    }

    /** A gateway that knows the usual routes and the given servers. */
    static serving(...servers: readonly BackendRecord[]): GatewayBench {
        const bench = new GatewayBench();
        bench.configure(configuration(1));
        bench.register(...servers);
        return bench;
    }

    take(event: GatewayEvent): GatewayEffect[] {
        return reduceGateway(this.state, event, this.now, this.source);
    }

    /** Lets time pass in steps of the tick. */
    pass(duration: number): GatewayEffect[] {
        const end = this.now + duration;
        const effects: GatewayEffect[] = [];
        while (this.now < end) {
            this.now += 50;
            effects.push(...this.take({ kind: "tick" }));
        }
        return effects;
    }

    read(
        topic: "configuration" | "backendServers",
        items: readonly DecodedItem[],
        isSnapshot = false,
    ): GatewayEffect[] {
        return this.take({ kind: "topicRead", topic, isSnapshot, items, next: this.offset });
    }

    item(key: string, records: DecodedItem["records"], isDropped = false): DecodedItem {
        return { item: { key, offset: this.offset++, value: new Uint8Array(isDropped ? 0 : 1) }, records };
    }

    configure(next: RoutingConfiguration): GatewayEffect[] {
        return this.read("configuration", [this.item("config", [{ kind: "configuration", configuration: next }])]);
    }

    register(...servers: readonly BackendRecord[]): GatewayEffect[] {
        const items = servers.map(record => this.item(record.id, [{ kind: "backendServer", record }]));
        return this.read("backendServers", items);
    }

    remove(id: string): GatewayEffect[] {
        const records = [{ kind: "backendServerRemoved", id: identifier<never>(id) }] as const;
        return this.read("backendServers", [this.item(id, records, true)]);
    }

    ask(requestId: string, routeName: string, differences: Partial<RequestHead> = {}): GatewayEffect[] {
        return this.take({
            kind: "requestReceived",
            requestId: identifier(requestId),
            head: callerHead(requestId, routeName, differences),
            receivedAt: this.now,
        });
    }

    /** Asks, and gives the call that goes out. */
    send(requestId: string, routeName: string, differences: Partial<RequestHead> = {}): BackendCall {
        return callsIn(this.ask(requestId, routeName, differences))[0];
    }

    answer(call: BackendCall, differences: Partial<BackendAnswer> = {}): GatewayEffect[] {
        const answer = { ...backendHead(call), isEventStream: false, body: new Uint8Array(), ...differences };
        return this.take({ kind: "attemptAnswered", attemptId: call.attemptId, answer });
    }

    fail(call: BackendCall, wasSent = true): GatewayEffect[] {
        return this.take({ kind: "attemptFailed", attemptId: call.attemptId, failure: "channel_lost", wasSent });
    }

    open(call: BackendCall): GatewayEffect[] {
        return this.take({ kind: "streamOpened", attemptId: call.attemptId, head: backendHead(call) });
    }

    events(call: BackendCall, ...ids: readonly number[]): GatewayEffect[] {
        return this.take({ kind: "streamEvents", attemptId: call.attemptId, events: ids.map(streamEvent) });
    }

    /** Opens a stream with its first event. */
    start(requestId: string, routeName: string, differences: Partial<RequestHead> = {}): BackendCall {
        const call = this.send(requestId, routeName, differences);
        this.open(call);
        this.events(call, 1);
        return call;
    }

    hear(report: Partial<PeerReport>, items: Partial<Record<"configuration" | "backendServers", DecodedItem[]>> = {}) {
        return this.take({
            kind: "peerReported",
            report: {
                address: identifier("10.1.0.2:8748"),
                incarnation: identifier("other"),
                members: [],
                isStopping: false,
                topics: [],
                loads: [],
                isFull: true,
                ...report,
            },
            items: { configuration: [], backendServers: [], ...items },
        });
    }
}

export function callerHead(id: string, routeName: string, differences: Partial<RequestHead> = {}): RequestHead {
    return {
        callerAttemptId: identifier(id),
        method: "POST",
        target: `/${routeName}/1`,
        host: "clinic.example",
        timeLimit: 60_000,
        apiKey: undefined,
        lastEvent: undefined,
        promptTokens: 1_000,
        maximumTokens: 1_000,
        estimatedTokens: undefined,
        headers: [],
        ...differences,
    };
}

/** The head of a sound stream in answer to a call. */
export function backendHead({ head }: BackendCall): ResponseHead {
    return {
        status: 200,
        callerAttemptId: head.callerAttemptId,
        isSealed: true,
        isNotRun: false,
        isEncoded: false,
        isEventStream: true,
        endsWithChannel: false,
        headers: [],
    };
}

function streamEvent(id: number): StreamEvent {
    return { id, bytes: new TextEncoder().encode(`id: ${id}\n\n`) };
}

export function callsIn(effects: readonly GatewayEffect[]): BackendCall[] {
    return effects.flatMap(effect => effect.kind === "sendAttempt" ? [effect.call] : []);
}

export function failuresIn(effects: readonly GatewayEffect[]): Failure[] {
    return effects.flatMap(effect => effect.kind === "answerFailure" ? [effect.failure] : []);
}

export function eventsIn(effects: readonly GatewayEffect[]): (number | undefined)[] {
    return effects.flatMap(effect => effect.kind === "answerEvents" ? effect.events.map(event => event.id) : []);
}

export function kindsIn(effects: readonly GatewayEffect[]): string[] {
    return effects.map(effect => effect.kind).filter(kind => kind !== "record");
}

export function requestId(text: string): RequestId {
    return identifier(text);
}
