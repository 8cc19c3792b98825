/**
 * Builders of routes, configurations and servers, and a gateway that is driven by a test.
 */
import { defaultOverlayShape, seededSource } from "@verbenaspring/coordination";
import {
    type BackendAnswer,
    type BackendCall,
    type BackendRecord,
    createGatewayState,
    type DecisionFields,
    type DecodedItem,
    type GatewayEffect,
    type GatewayEvent,
    type GatewayOptions,
    type GatewayState,
    indexRoutes,
    type MemberRecord,
    type MigrationResult,
    type PeerReport,
    reduceGateway,
    reportProtocol,
    type RequestHead,
    type ResponseHead,
    type Route,
    type RoutingConfiguration,
    type ServerReport,
    type StreamEvent,
    type StreamRegisterPage,
} from "@verbenaspring/gateway";
import {
    type AttemptId,
    type EventId,
    type Failure,
    type GatewayIncarnation,
    identifier,
    type PeerAddress,
    type RequestId,
} from "@verbenaspring/model";

export const plainService = identifier<never>("plain");
export const engineService = identifier<never>("engine");

/** A route for calls that may run only once, with the given overrides. */
export function route(name: string, overrides: Partial<Route> = {}): Route {
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
        ...overrides,
    };
}

const engineRoute = {
    isStream: true,
    targets: [{ service: engineService, weight: 1 }],
    timeout: 39_000,
    targetLatency: 1_500,
};

/** The routes that most tests use: calls of a plain service, and streams of an engine. */
export const routes: readonly Route[] = [
    route("confirm"),
    route("lookup", { isIdempotent: true, maximumAttempts: 2 }),
    route("plan", { ...engineRoute }),
    route("note", { ...engineRoute, canResume: true, maximumAttempts: 2, timeout: 6_000 }),
];

/** A configuration with the given overrides. */
export function configuration(
    version: number,
    overrides: Partial<RoutingConfiguration> = {},
): RoutingConfiguration {
    const engine = {
        memoryTokens: 10_000,
        canReplicate: true,
        canMigrate: true,
        tokensPerEvent: 4,
        transferRate: 20,
        replicaLifetime: 5_000,
    };
    return {
        version,
        routesByHost: indexRoutes(routes),
        services: new Map([
            [plainService, { name: plainService, engine: undefined }],
            [engineService, { name: engineService, engine }],
        ]),
        organisations: undefined,
        limits: { headerBytes: 16_384, bodyBytes: 4_096, headerTimeout: 3_000, idleTimeout: 15_000 },
        ...overrides,
    };
}

/** A server's record with the given overrides. */
export function server(id: string, overrides: Partial<BackendRecord> = {}): BackendRecord {
    return {
        id: identifier(id),
        service: id.startsWith("engine") ? engineService : plainService,
        address: `10.0.0.${id.replace(/\D/g, "")}:80`,
        failureDomain: identifier("near"),
        softwareVersion: undefined,
        slots: 6,
        isDraining: false,
        remainingWarmUp: 0,
        startedAt: undefined,
        heartbeat: 1,
        ...overrides,
    };
}

export const options: GatewayOptions = {
    failureDomain: identifier("near"),
    peerAddress: identifier("10.1.0.1:8748"),
    seedAddresses: [],
    overlay: defaultOverlayShape,
    retries: { ratio: 0.2, slack: 50, window: 10_000 },
    stopLimit: 8_000,
    evacuationLimit: 5_000,
};

/** A gateway whose clock only the test advances. */
export class TestGateway {
    now = 1_000;
    readonly state: GatewayState;
    /** What the store answers at once to reads of the register of streams; undefined if it does not answer. */
    streamRegister: StreamRegisterPage | undefined = {
        baseVersions: [{ service: engineService, softwareVersion: undefined }],
        baseEnd: 1,
        records: [],
        next: 0,
    };
    private offset = 0;
    private recordVersion = 0;
    private readonly source = seededSource(1);

    /** @param startedAt when the gateway started; by default long ago */
    constructor(overrides: Partial<GatewayOptions> = {}, startedAt = -60_000) {
        this.state = createGatewayState({ ...options, ...overrides }, identifier("incarnation"));
        this.state.startedAt = startedAt;
    }

    /** A gateway that knows the usual routes and the given servers. */
    static serving(...servers: readonly BackendRecord[]): TestGateway {
        const gateway = new TestGateway();
        gateway.configure(configuration(1));
        gateway.register(...servers);
        return gateway;
    }

    /** Handles an event, and the answers of the register of streams if it is up. */
    handle(event: GatewayEvent): GatewayEffect[] {
        const effects = reduceGateway(this.state, event, this.now, this.source);
        return effects.flatMap(effect => [effect, ...this.answerRegister(effect)]);
    }

    private answerRegister(effect: GatewayEffect): GatewayEffect[] {
        const page = this.streamRegister;
        if (effect.kind !== "callStreamRegister" || page === undefined) {
            return [];
        }
        switch (effect.call.kind) {
            case "read":
                return this.handle({ kind: "streamRegisterRead", page });
            case "record":
                return this.handle({ kind: "streamsRecorded", isRecorded: true });
            case "writeBase":
                return this.handle({ kind: "baseVersionWritten" });
        }
    }

    /** Advances the clock in steps of one tick, and returns the effects of all ticks. */
    advance(duration: number): GatewayEffect[] {
        const end = this.now + duration;
        const effects: GatewayEffect[] = [];
        while (this.now < end) {
            this.now += 50;
            effects.push(...this.handle({ kind: "tick" }));
        }
        return effects;
    }

    /** Answers a read with records; the one at which the read begins comes first. */
    read(
        topic: "configuration" | "backendServers",
        newItems: readonly DecodedItem[],
        isSnapshot = false,
    ): GatewayEffect[] {
        const { repeatedRecord } = this.state.followers[topic];
        const isRepeated = !isSnapshot && repeatedRecord !== undefined;
        const items = isRepeated ? [{ item: repeatedRecord, records: [] }, ...newItems] : newItems;
        return this.handle({ kind: "topicRead", topic, isSnapshot, items, next: this.offset });
    }

    /** The next record of the log. */
    item(key: string, records: DecodedItem["records"], isTombstone = false): DecodedItem {
        return { item: { key, offset: this.offset++, value: new Uint8Array(isTombstone ? 0 : 1) }, records };
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

    /** Requests with one digest are repeats of each other. */
    receiveRequest(
        requestId: string,
        routeName: string,
        overrides: Partial<RequestHead> = {},
        contentDigest = requestId,
    ): GatewayEffect[] {
        return this.handle({
            kind: "requestReceived",
            requestId: identifier(requestId),
            head: requestHead(requestId, routeName, overrides),
            contentDigest: identifier(contentDigest),
            receivedAt: this.now,
            readDelay: 0,
        });
    }

    /** Receives a request, and returns the call that is sent to a backend server. */
    sendRequest(
        requestId: string,
        routeName: string,
        overrides: Partial<RequestHead> = {},
        contentDigest = requestId,
    ): BackendCall {
        return callsIn(this.receiveRequest(requestId, routeName, overrides, contentDigest))[0];
    }

    answer(call: BackendCall, overrides: Partial<BackendAnswer> = {}): GatewayEffect[] {
        const answer = { ...responseHead(call), isEventStream: false, body: new Uint8Array(), ...overrides };
        return this.handle({ kind: "attemptAnswered", attemptId: call.attemptId, answer });
    }

    failAttempt(call: BackendCall, wasSent = true): GatewayEffect[] {
        return this.handle({ kind: "attemptFailed", attemptId: call.attemptId, failure: "channel_lost", wasSent });
    }

    openStream(call: BackendCall, overrides: Partial<ResponseHead> = {}): GatewayEffect[] {
        const head = { ...responseHead(call), ...overrides };
        return this.handle({ kind: "streamOpened", attemptId: call.attemptId, head });
    }

    /** Receives events with the given ids, or without any. */
    receiveEvents(call: BackendCall, ...ids: readonly (number | undefined)[]): GatewayEffect[] {
        return this.handle({ kind: "streamEvents", attemptId: call.attemptId, events: ids.map(streamEvent) });
    }

    /** Receives a request, and opens its stream with the first event. */
    startStream(requestId: string, routeName: string, overrides: Partial<RequestHead> = {}): BackendCall {
        const call = this.sendRequest(requestId, routeName, overrides);
        this.openStream(call);
        this.receiveEvents(call, 1);
        return call;
    }

    /** Receives a request whose caller takes the whole stream. */
    completeStream(id: string, routeName: string, overrides: Partial<RequestHead> = {}): void {
        const { attemptId } = this.startStream(id, routeName, overrides);
        this.handle({ kind: "streamEnded", attemptId });
        this.handle({ kind: "answerTaken", requestId: identifier(id) });
    }

    /** Answers the check of a stream whose channel has ended: by default, its server lists no run. */
    reportEnd(
        attemptId: AttemptId,
        report: ServerReport | undefined = { runs: [], isLeaving: false, startedAt: undefined },
    ): GatewayEffect[] {
        return this.handle({ kind: "answerEndChecked", attemptId, report });
    }

    /** Answers the step of a migration that is under way, or a request to stop a run that was left. */
    answerMove(attemptId: AttemptId, result: MigrationResult): GatewayEffect[] {
        const isStopping = this.state.attempts.get(attemptId)?.attempt?.isStopping ?? true;
        return this.handle({ kind: "migrationAnswered", attemptId, isStopping, result });
    }

    /**
     * Answers a migration: the copy, and the request to stop the run if one follows. Returns the effects of the last answer.
     *
     * @param handle undefined if the migration fails
     */
    answerMigration(attemptId: AttemptId, handle: string | undefined): GatewayEffect[] {
        const result: MigrationResult = handle === undefined
            ? { kind: "failed", detail: "no answer" }
            : { kind: "moved", handle };
        const effects = this.answerMove(attemptId, result);
        return stopsIn(effects).length === 0 ? effects : this.answerMove(attemptId, result);
    }

    /** Receives events of a run, from the second on, for so long that they are evidence of its replica. */
    produceEvents(call: BackendCall): BackendCall {
        for (let event = 2; event <= 16; event++) {
            this.advance(100);
            this.receiveEvents(call, event);
        }
        return call;
    }

    /** Receives a request, and opens its stream with so many events that they are evidence of its replica. */
    startReplicatedStream(requestId: string, routeName: string): BackendCall {
        return this.produceEvents(this.startStream(requestId, routeName));
    }

    /** Receives a report of another gateway, by default with a new record of its state, and at the moment of its creation. */
    receiveReport(
        report: Partial<PeerReport>,
        items: Partial<Record<"configuration" | "backendServers", DecodedItem[]>> = {},
    ) {
        const sender = {
            address: identifier<PeerAddress>("10.1.0.2:8748"),
            incarnation: identifier<GatewayIncarnation>("other"),
        };
        const record: MemberRecord = {
            ...sender,
            incarnationNumber: 0,
            version: ++this.recordVersion,
            failureDomain: identifier("near"),
            isStopping: false,
            waitingRequests: 0,
            loads: [],
            requestLimits: [],
            ...memberFields(report),
        };
        return this.handle({
            kind: "peerReported",
            report: {
                ...sender,
                protocol: reportProtocol,
                wantsLink: true,
                sentAt: this.now,
                echo: { sentAt: this.now, heldFor: 0 },
                records: [{ record, age: 0 }],
                members: [],
                isStopping: false,
                topics: [],
                loads: [],
                isFull: true,
                waitingRequests: 0,
                requestLimits: [],
                leavingServers: [],
                crashSuspects: [],
                ...report,
            },
            items: { configuration: [], backendServers: [], ...items },
        });
    }
}

/** The fields of a report that are also those of a record. */
function memberFields(report: Partial<PeerReport>): Partial<MemberRecord> {
    const { address, incarnation, isStopping, waitingRequests, loads, requestLimits } = report;
    const fields = { address, incarnation, isStopping, waitingRequests, loads, requestLimits };
    return Object.fromEntries(Object.entries(fields).filter(([, value]) => value !== undefined));
}

export function requestHead(id: string, routeName: string, overrides: Partial<RequestHead> = {}): RequestHead {
    return {
        callerAttemptId: identifier(id),
        method: "POST",
        target: `/${routeName}/1`,
        host: "clinic.example",
        timeLimit: 60_000,
        apiKey: undefined,
        lastEvent: undefined,
        resumedAttemptId: undefined,
        promptTokens: 1_000,
        maximumTokens: 1_000,
        estimatedTokens: undefined,
        sharedParts: [],
        headers: [],
        ...overrides,
    };
}

/** The head of a valid stream in answer to a call. */
export function responseHead({ head }: BackendCall): ResponseHead {
    return {
        status: 200,
        callerAttemptId: head.callerAttemptId,
        isSealed: true,
        isNotRun: false,
        isEncoded: false,
        requestLimit: undefined,
        isLeaving: false,
        retryAfter: undefined,
        isEventStream: true,
        endsWithChannel: false,
        isFirstOnChannel: false,
        headers: [],
    };
}

/** The id of an event that counts those of its stream. */
export function eventId(number: number): EventId {
    return identifier(String(number));
}

function streamEvent(number: number | undefined): StreamEvent {
    const id = number === undefined ? undefined : eventId(number);
    return { id, bytes: new TextEncoder().encode(id === undefined ? "data: a\n\n" : `id: ${id}\n\n`) };
}

export function callsIn(effects: readonly GatewayEffect[]): BackendCall[] {
    return effects.flatMap(effect => effect.kind === "sendAttempt" ? [effect.call] : []);
}

export function failuresIn(effects: readonly GatewayEffect[]): Failure[] {
    return effects.flatMap(effect => effect.kind === "answerFailure" ? [effect.failure] : []);
}

export function eventsIn(effects: readonly GatewayEffect[]): (number | undefined)[] {
    return effects.flatMap(effect => effect.kind === "answerEvents" ? effect.events.map(toNumber) : []);
}

function toNumber({ id }: StreamEvent): number | undefined {
    return id === undefined ? undefined : Number(id);
}

/** The fields of all log lines of an event. */
export function linesIn(effects: readonly GatewayEffect[], event: string): DecisionFields[] {
    return effects.flatMap(effect =>
        effect.kind === "logDecision" && effect.decision.event === event ? [effect.decision.fields] : []
    );
}

export function kindsIn(effects: readonly GatewayEffect[]): string[] {
    return effects.map(effect => effect.kind).filter(kind => kind !== "logDecision");
}

export function requestId(text: string): RequestId {
    return identifier(text);
}

/** The requests to stop runs that were copied. */
export function stopsIn(effects: readonly GatewayEffect[]): readonly GatewayEffect[] {
    return effects.filter(effect => effect.kind === "migrateRun" && effect.isStopping);
}
