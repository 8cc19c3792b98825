/**
 * A gateway's state. The loop alone owns it; the reducer changes it in place.
 */
import { createRetryBudget, type RetryBudget, type ServerHealth } from "@verbenaspring/coordination";
import type {
    AttemptId,
    BackendServerId,
    GatewayIncarnation,
    LogOffset,
    Milliseconds,
    PeerAddress,
    RequestId,
    ServiceName,
} from "@verbenaspring/model";
import type { BackendServer, BackendView } from "./backendServers.js";
import type { ReadFailure, TopicItem, TopicName } from "./event.js";
import type { RequestHead, ResponseHead, RunCopy } from "./messages.js";
import type { GatewayOptions } from "./options.js";
import type { PeerLoad, TopicReadStamp } from "./peerReport.js";
import type { Organisation, Route, RoutingConfiguration } from "./routingConfiguration.js";

/** One send of a request to a backend server. */
export interface Attempt {
    readonly id: AttemptId;
    readonly server: BackendServer;
    readonly startedAt: Milliseconds;
    /** Where the run's memory is copied to as it grows. */
    readonly replica: BackendServer | undefined;
    /** The copy from which this run goes on. */
    readonly continuesFrom: RunCopy | undefined;
    head: ResponseHead | undefined;
    firstEventAt: Milliseconds | undefined;
    /** Events of this run, passed on or not. */
    events: number;
    /** Tokens that count as this run's memory. */
    memoryTokens: number;
    /** Tokens of the prompt until the first event. */
    waitingTokens: number;
    /** Where the run's memory is being moved to, from which the stream then goes on. */
    moveTarget: BackendServer | undefined;
    /** Targets to which this run could not be moved. */
    readonly refusedTargets: Set<BackendServerId>;
    lastHeard: Milliseconds;
}

/** One request of a caller, until its final answer. */
export interface GatewayRequest {
    readonly id: RequestId;
    readonly head: RequestHead;
    readonly route: Route;
    readonly service: ServiceName;
    readonly organisation: Organisation | undefined;
    readonly arrivedAt: Milliseconds;
    readonly finishBy: Milliseconds;
    attempt: Attempt | undefined;
    /** Sends so far, whatever came of them. */
    sends: number;
    /** Sends after which the request may have run. */
    possibleRuns: number;
    readonly triedServers: Set<BackendServerId>;
    /** The last event that was passed on. */
    lastEvent: number | undefined;
    isHeadWritten: boolean;
}

/** What a gateway itself has at work at one backend server. */
export interface ServerLoad {
    inProgress: number;
    /** Tokens of prompts and outputs, with the memory set aside for copies. */
    memoryTokens: number;
    /** Tokens of prompts that have given no event yet. */
    waitingTokens: number;
}

/** When a server last gave a sign of life. */
export interface ServerLiveness {
    heardAt: Milliseconds;
    isProbing: boolean;
}

/** The pace of a stream before any was measured: a step of an engine with some tens of runs. */
const initialTokenPace: Milliseconds = 12;

/** The duration of a stream before any was measured: some hundred tokens at the initial pace. */
const initialStreamDuration: Milliseconds = 5_000;

/** How far a topic is known. */
export interface TopicFollower {
    /** The offset after the last known record; undefined until a snapshot was read. */
    next: LogOffset | undefined;
    /** The offset after the last record that changed more than a heartbeat. */
    changedThrough: LogOffset;
    /** The newest record of each key. */
    readonly items: Map<string, TopicItem>;
    /** When the log was last known to end at `next`, by a read of this gateway or of another. */
    freshAsOf: Milliseconds | undefined;
    /** That read. */
    lastRead: TopicReadStamp | undefined;
    /** The newest read of each gateway that is known. A report of an older one says nothing about how fresh a topic is. */
    readonly seenReads: Map<GatewayIncarnation, number>;
    isReading: boolean;
    readAgainAt: Milliseconds;
    failing: ReadFailure | undefined;
}

/** Another gateway, as far as it is known. */
export interface Peer {
    readonly address: PeerAddress;
    incarnation: GatewayIncarnation | undefined;
    isStopping: boolean;
    /** When its last report came. */
    heardAt: Milliseconds | undefined;
    link: "closed" | "opening" | "open";
    openAgainAt: Milliseconds;
    openedAt: Milliseconds;
    sentAt: Milliseconds;
    failures: number;
    /** The loads that it was told of last. */
    toldVersion: number;
    /** What it was last told of each load, on this link. */
    readonly toldLoads: Map<BackendServerId, PeerLoad>;
    /** How far it knows each topic. */
    through: Readonly<Record<TopicName, LogOffset | undefined>>;
    loads: ReadonlyMap<BackendServerId, PeerLoad>;
}

/** All that a gateway remembers; none of it outlives the process. */
export interface GatewayState {
    options: GatewayOptions;
    configuration: RoutingConfiguration | undefined;
    readonly servers: BackendView;
    readonly serversByService: Map<ServiceName, readonly BackendServerId[]>;
    readonly health: Map<BackendServerId, ServerHealth>;
    readonly loads: Map<BackendServerId, ServerLoad>;
    /** Grows with each change of a load of an engine. */
    loadsVersion: number;
    readonly liveness: Map<BackendServerId, ServerLiveness>;
    /** Milliseconds for each token of a stream, where late streams weigh more. */
    tokenPace: Milliseconds;
    /** How long a stream takes, where late streams weigh more. */
    streamDuration: Milliseconds;
    readonly requests: Map<RequestId, GatewayRequest>;
    /** Requests without an attempt that wait for room at an engine. */
    readonly waiting: Map<RequestId, GatewayRequest>;
    readonly attempts: Map<AttemptId, GatewayRequest>;
    readonly retryBudget: RetryBudget;
    readonly followers: Readonly<Record<TopicName, TopicFollower>>;
    readonly incarnation: GatewayIncarnation;
    readonly peers: Map<PeerAddress, Peer>;
    /** The time of the first event. */
    startedAt: Milliseconds | undefined;
    stopRequestedAt: Milliseconds | undefined;
    hasExited: boolean;
}

/**
 * Creates the state of a gateway that knows nothing yet.
 *
 * @example
 * const state = createGatewayState(options, incarnation);
 */
export function createGatewayState(options: GatewayOptions, incarnation: GatewayIncarnation): GatewayState {
    return {
        incarnation,
        peers: new Map(),
        options,
        configuration: undefined,
        servers: new Map(),
        serversByService: new Map(),
        health: new Map(),
        loads: new Map(),
        loadsVersion: 0,
        liveness: new Map(),
        tokenPace: initialTokenPace,
        streamDuration: initialStreamDuration,
        requests: new Map(),
        waiting: new Map(),
        attempts: new Map(),
        retryBudget: createRetryBudget(options.retries),
        followers: { configuration: createFollower(), backendServers: createFollower() },
        startedAt: undefined,
        stopRequestedAt: undefined,
        hasExited: false,
    };
}

function createFollower(): TopicFollower {
    return {
        next: undefined,
        changedThrough: 0,
        items: new Map(),
        freshAsOf: undefined,
        lastRead: undefined,
        seenReads: new Map(),
        isReading: false,
        readAgainAt: 0,
        failing: undefined,
    };
}

/** Whether the balancer may send new channels here. */
export function isGatewayReady(state: GatewayState): boolean {
    const knowsServers = state.followers.backendServers.next !== undefined;
    return state.configuration !== undefined && knowsServers && state.stopRequestedAt === undefined;
}
