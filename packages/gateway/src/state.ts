/**
 * The state of a gateway. It is owned by the event loop; only the reducer changes it, in place.
 */
import { createRetryBudget, type RecentSizes, type RetryBudget, type ServerHealth } from "@verbenaspring/coordination";
import type {
    AttemptId,
    BackendServerId,
    EventId,
    GatewayIncarnation,
    LogOffset,
    Milliseconds,
    PeerAddress,
    RepeatedRequestId,
    RequestId,
    ServiceName,
} from "@verbenaspring/model";
import type { AbandonedRun } from "./abandonedRuns.js";
import type { EndCheck, ServerChecks } from "./answerEnds.js";
import type { BackendServer, BackendView } from "./backendServers.js";
import { type ColdServers, createColdServers } from "./coldServers.js";
import { type CrashSuspects, createCrashSuspects } from "./crashSuspects.js";
import type { Evacuations } from "./evacuations.js";
import type { ReadFailure, TopicItem, TopicName } from "./event.js";
import type { FormerConfiguration } from "./formerConfigurations.js";
import type { LeavingNotices } from "./leavingServers.js";
import type { LiveMembers, Member, MemberTotals, OwnRecord } from "./members.js";
import type { RequestHead, ResponseHead, RunReplica, StreamEvent } from "./messages.js";
import type { MigrationObstacle } from "./migration.js";
import type { GatewayOptions } from "./options.js";
import type { ClockSample } from "./peerClocks.js";
import type { ConfigurationDelivery } from "./peerConfigurations.js";
import type { OffsetRange, TopicReadStamp } from "./peerReport.js";
import type { ContinuationSource } from "./replicas.js";
import type { RequestLimits } from "./requestLimits.js";
import type { Resumption } from "./resumption.js";
import { createRequestDurations, type RequestDurations } from "./routeDurations.js";
import type { Organisation, Route, RoutingConfiguration } from "./routingConfiguration.js";
import type { RunLedger } from "./runLedger.js";
import type { SilentAttempt } from "./silentAttempts.js";
import type { StreamPart } from "./streamParts.js";
import { createStreamRegister, type StreamRegister } from "./streamRegister.js";
import type { StreamOrigin } from "./streamVersions.js";

/** One send of a request to a backend server, until its answer, its failure or its cancellation. */
export interface Attempt {
    readonly id: AttemptId;
    /** Replaced only if the server turns out to have restarted before the request was sent. */
    server: BackendServer;
    /** How its server can be asked whether it goes on, by the configuration when the request was sent. */
    readonly serverChecks: ServerChecks;
    readonly startedAt: Milliseconds;
    /** The server that the run's memory is to be replicated to as it grows; whether it holds a replica is not known. */
    readonly replica: BackendServer | undefined;
    /** The replica of an earlier run that this run continues. */
    readonly continuesFrom: RunReplica | undefined;
    /** The run that this one is to continue; undefined if it continues none. */
    readonly lostRun: LostRun | undefined;
    head: ResponseHead | undefined;
    firstEventAt: Milliseconds | undefined;
    /** The number of events received from this run, whether forwarded or not. */
    events: number;
    /** The id of the last of them that has one. */
    lastEvent: EventId | undefined;
    /** What the answer to the request takes from this run. */
    readonly part: StreamPart;
    /** The tokens counted as this run's memory in the loads. */
    memoryTokens: number;
    /** Tokens of the prompt before the first event; 0 afterwards. */
    waitingTokens: number;
    /** Tokens of prompts that the server had to process when the run was sent to it, including those of this run. */
    readonly promptBacklog: number;
    /** The server to which this run is being migrated. */
    migrationTarget: BackendServer | undefined;
    /** When the last migration of this run was requested; undefined before the first. */
    migrationStartedAt: Milliseconds | undefined;
    /** The copy of this run's memory that its last migration made; undefined before one was complete. */
    copy: RunCopy | undefined;
    /** The handle of the memory that its server keeps after it stopped this run; undefined if it did not name one. */
    stoppedHandle: string | undefined;
    /** Whether its server has stopped this run, as far as its answer or the end of its channel tells. */
    hasStopped: boolean;
    /** Whether its server was asked to stop this run, and may have done so. */
    isStopRequested: boolean;
    /** Whether the migration under way is at that step. */
    isStopping: boolean;
    /** When that request was given up without an answer; undefined if it was answered or is under way. */
    stopUnansweredAt: Milliseconds | undefined;
    /** How its answer ended after that request: in the way of a complete one without framing, or as a lost one. */
    endAfterStop: "ended" | "lost" | undefined;
    /** The check of its answer, whose channel has ended without a sign that it is complete; undefined before that. */
    endCheck: EndCheck | undefined;
    /** Where this run, or the one that it continues, could not be moved, and until when each is not tried again. */
    readonly failedTargets: Map<BackendServerId, Milliseconds>;
    /** Why this run is not migrated from a server that leaves or is evacuated, as logged last. */
    loggedObstacle: MigrationObstacle | undefined;
    /** When events of this run were last read; initially when it was sent. */
    lastActivityAt: Milliseconds;
    /** How long this run is known to have produced events, since a replica of it may have expired last. */
    producingTime: Milliseconds;
    /** When its request last returned to it after it was sent elsewhere; undefined if it never did. */
    returnedAt: Milliseconds | undefined;
}

/** A copy of a run's memory, made while the run continued. */
export interface RunCopy {
    readonly holder: BackendServer;
    /** The handle of the migration. */
    readonly name: string;
    /** When the migration was requested. */
    readonly requestedAt: Milliseconds;
}

/** A run that ended early, while a continuation of it may still be refused. */
export interface LostRun {
    readonly attempt: Attempt;
    /** What the attempts to continue it were to continue from, the last one included. */
    readonly tried: ReadonlySet<ContinuationSource>;
}

/** One request of a caller, until its final answer. */
export interface GatewayRequest {
    readonly id: RequestId;
    readonly head: RequestHead;
    readonly route: Route;
    /** One of the route's services; that of the stream's beginning if the request takes one up. */
    service: ServiceName;
    readonly organisation: Organisation | undefined;
    /** What a repeat of the request shares with it. */
    readonly repeatedId: RepeatedRequestId;
    readonly arrivedAt: Milliseconds;
    /** How long the request may have waited before it was read. */
    readonly readDelay: Milliseconds;
    /** When its final answer is due, by the earliest time at which it may have been sent. */
    readonly deadline: Milliseconds;
    /** How much later its time limit may end, as it may have been sent later. */
    readonly limitDoubt: Milliseconds;
    attempt: Attempt | undefined;
    /** An earlier attempt that stays open until another server has accepted the request. */
    silentAttempt: SilentAttempt | undefined;
    /** The number of sends so far, including those that were refused. */
    sends: number;
    /** The runs that it may have begun. */
    readonly runs: RunLedger;
    /** How many requests to stop a run of it may still take effect at each server, or have stopped the present run there. */
    readonly openStops: Map<BackendServerId, number>;
    readonly triedServers: Set<BackendServerId>;
    /** The id of the last event that the caller has. */
    lastEvent: EventId | undefined;
    /** The number of events that the caller has. Where it takes up a stream, its last id stands for those before if it can. */
    eventCount: number;
    /** The longest step from one id to the next, of which the first is that from the last event when it arrived, or from 0. */
    longestStep: bigint | undefined;
    /**
     * Whether another run can go on after what was received of the answer: nothing, or events of a stream of which the last
     * one has an id.
     */
    isContinuable: boolean;
    /** Where the stream began; undefined before its first event. */
    origin: StreamOrigin | undefined;
    /** The first events of a stream that are not passed on yet; undefined if none are kept. */
    held: HeldEvents | undefined;
    /** Whether the events of its stream are kept until the last one, since a planned stop might cut it. */
    isHeldUntilEnd: boolean;
    /** How long the caller waited for the first event; undefined before it. */
    firstEventAge: Milliseconds | undefined;
    /** When the last events were passed on to the caller. */
    lastEventAt: Milliseconds | undefined;
    /** The longest time between events that were passed on. */
    longestPause: Milliseconds;
    /** Whether the head of a stream was written to the caller, after which only events or the end can follow. */
    isHeadWritten: boolean;
}

/** When a stream that has begun is cut: a time limit that may not have been reached is no reason to cut it. */
export function cutAt({ deadline, limitDoubt }: GatewayRequest): Milliseconds {
    return deadline + limitDoubt;
}

/** When a request ends for want of time: one without an answer gets its final answer by the earliest end of its time limit. */
export function endsAt(request: GatewayRequest): Milliseconds {
    return request.isHeadWritten ? cutAt(request) : request.deadline;
}

/** The end of the time limit that is sent to servers with a request. */
export function serverEndsAt(request: GatewayRequest): Milliseconds {
    return request.route.isStream ? cutAt(request) : request.deadline;
}

/** Events that are kept until the record of their stream is stored, or until its end. */
export interface HeldEvents {
    readonly head: ResponseHead;
    readonly events: StreamEvent[];
    /** The memory that they take. */
    bytes: number;
    /** Whether they are the whole answer. */
    hasEnded: boolean;
    /** Whether the record of the stream is still to be stored. */
    isUnrecorded: boolean;
    /** Whether an append of the record has failed. */
    hasFailed: boolean;
}

/** The priority of a request: its organisation's, or else its route's. 0 is the most urgent. */
export function priorityOf({ organisation, route }: GatewayRequest): number {
    return organisation?.priority ?? route.priority;
}

/** The load at one backend server, of one gateway or of several. */
export interface ServerLoad {
    inProgress: number;
    /** Tokens of prompts and expected outputs, including the copies of other servers' runs held there. */
    memoryTokens: number;
    /** The part of these that are copies of other servers' runs. */
    copiedTokens: number;
    /** Tokens of prompts whose runs have produced no event yet. */
    waitingTokens: number;
}

/** The last sign of life of a server. */
export interface ServerLiveness {
    lastSignOfLifeAt: Milliseconds;
    isProbing: boolean;
    /** When it was last probed for runs that it may have lost when it restarted. */
    restartProbedAt?: Milliseconds;
}

/** The time per token before any stream ended: one step of an engine with some tens of runs. */
const initialTimePerToken: Milliseconds = 12;

/** Prompt tokens processed in a millisecond before any stream began. */
const initialPrefillRate = 7;

/** The duration of a stream before any ended: some hundred tokens at the initial time per token. */
const initialStreamDuration: Milliseconds = 5_000;

/** When records were learnt that changed more than heartbeats. */
export interface TopicChange {
    /** The offset after the last of them. */
    readonly through: LogOffset;
    readonly learnedAt: Milliseconds;
}

/** What is known of a topic, and how fresh it is. */
export interface TopicFollower {
    /** The offset after the last known record; undefined while no snapshot was read. */
    next: LogOffset | undefined;
    /** The offset after the last known record, also while the topic has to be read again from a snapshot. */
    knownThrough: LogOffset | undefined;
    /** The offset after the last record that changed more than a heartbeat. */
    changedThrough: LogOffset;
    /** When such a record was last learnt, and whether by a read of this gateway. */
    changedAt: Milliseconds;
    isChangeOwnRead: boolean;
    /** When the newest of such records were learnt, oldest first. */
    recentChanges: readonly TopicChange[];
    /** The offset of the last record of each key that changed more than a heartbeat. */
    readonly changes: Map<string, LogOffset>;
    /** Removals at this offset or later are all known but for those in the gaps; older ones may be missing. */
    removalsKnownFrom: LogOffset;
    /**
     * Offsets between two reads of which the records were deleted: a key that was both added and removed there is
     * unknown. Oldest first.
     */
    removalGaps: readonly OffsetRange[];
    /** The newest record of each key, tombstones included. */
    readonly items: Map<string, TopicItem>;
    /** When the log was last known to end at `next`, by a read of this gateway or of another. */
    freshAsOf: Milliseconds | undefined;
    /** When the records were last known to be complete, also while the topic has to be read again from a snapshot. */
    knownAsOf: Milliseconds | undefined;
    /** The read that `freshAsOf` is the time of. */
    lastRead: TopicReadStamp | undefined;
    /**
     * The count of the newest known read of each gateway. A report of an older read does not make the topic fresher.
     */
    readonly readCounts: Map<GatewayIncarnation, number>;
    /** The rank of this gateway among those that may read the topic, and the members for which it was computed. */
    rank: { readonly members: readonly Member[]; readonly value: number; } | undefined;
    /** A gateway that knows the log up to the same offset and has other records, and when a snapshot is due because of it. */
    difference: { readonly peer: PeerAddress; readonly snapshotDueAt: Milliseconds; } | undefined;
    /** The last record of the newest read, and the one at which the read in progress begins; undefined if it begins behind it. */
    lastRecord: TopicItem | undefined;
    repeatedRecord: TopicItem | undefined;
    /** When a read from an offset on last had records, with or without changes. */
    recordReadAt: Milliseconds;
    /** When the newest snapshot was requested from the log. */
    snapshotAt: Milliseconds;
    isReading: boolean;
    /** Whether the newest read compares what is known with a snapshot, and when the last such read failed. */
    isReadingSnapshot: boolean;
    snapshotFailedAt: Milliseconds;
    /** Whether a read has failed since the newest snapshot. */
    isSnapshotOwed: boolean;
    /** When the newest read started. */
    readStartedAt: Milliseconds;
    /** Up to where the topic was known when the newest read of a snapshot started. */
    knownAtSnapshotStart: LogOffset;
    /** How often records are known to have been lost, up to the newest snapshot: a gateway that knows of more is to be believed. */
    history: number;
    /** The highest that this or another gateway told, by now and when the newest read of a snapshot started. */
    newestHistory: number;
    newestHistoryAtSnapshotStart: number;
    /** How long the newest read lets the log wait for a record. */
    readWait: Milliseconds;
    nextReadAt: Milliseconds;
    /** Until when the topic is read more often than usual. */
    readOftenUntil: Milliseconds;
    /** When a read that took long was last logged. */
    lateReadLoggedAt: Milliseconds;
    /** When a report of a peer that could not be applied was last logged. */
    ignoredReportLoggedAt: Milliseconds;
    /** Why and when the last read failed; undefined after a successful one. */
    lastFailure: { readonly failure: ReadFailure; readonly at: Milliseconds; } | undefined;
}

/** A link to another gateway. */
export interface Peer {
    readonly address: PeerAddress;
    /** The process that reported last. */
    incarnation: GatewayIncarnation | undefined;
    /** The version of its reports; undefined before the first. */
    protocol: number | undefined;
    /** Whether this gateway is to have a link to it. */
    isWanted: boolean;
    unwantedSince: Milliseconds;
    /** Whether it wants the link. */
    wantsLink: boolean;
    /** When its last report came; undefined before the first. */
    lastReportAt: Milliseconds | undefined;
    /** The earliest time at which the newest of its reports can have been created; undefined while unknown. */
    reportedAsOf: Milliseconds | undefined;
    /** When its newest report was created, by its own clock, and when it was handled here; undefined before the first on this link. */
    heard: { readonly sentAt: Milliseconds; readonly handledAt: Milliseconds; } | undefined;
    /** Reports of this gateway that this process has handled, oldest first. */
    readonly clockSamples: ClockSample[];
    /** When a report that was long under way was last logged. */
    lateReportLoggedAt: Milliseconds;
    link: "closed" | "opening" | "open";
    reopenAt: Milliseconds;
    openedAt: Milliseconds;
    sentAt: Milliseconds;
    failures: number;
    /** The notices up to this number were reported to it on this link. */
    sentNotices: number;
    /** The changes of parts of prompts up to this number were reported to it on this link. */
    sentSuspects: number;
    /** The gateways whose newest record it may lack. */
    readonly pending: Set<PeerAddress>;
    /** The offset up to which it knows each topic; undefined before it or this gateway has reported on this link. */
    through: Readonly<Record<TopicName, LogOffset | undefined>>;
    /** The topics of which it ignored a report, and is to get the records that it lacks at once. */
    readonly requestedTopics: Set<TopicName>;
    /** The topics of which a report of it was ignored here, because records before it are missing. */
    readonly lackingTopics: Set<TopicName>;
    /** The version of its configuration, by its newest report on this link that told one. */
    configurationVersion: number | undefined;
    /** Whether it is to get the configuration in force, which it lacks and is not going to read. */
    isConfigurationDue: boolean;
    /** How the configuration in force is sent to it on this link, while it lacks it. */
    configurationDelivery: ConfigurationDelivery | undefined;
    /** When one was last sent to it. */
    configurationSentAt: Milliseconds;
    /** The newest read of each topic that was reported to it on this link. */
    sentReads: Readonly<Record<TopicName, TopicReadStamp | undefined>>;
}

/** The whole state of a gateway. None of it is stored: a restarted gateway starts without it. */
export interface GatewayState {
    options: GatewayOptions;
    configuration: RoutingConfiguration | undefined;
    /** Those before it under which streams may have begun that callers still take up, oldest first. */
    formerConfigurations: readonly FormerConfiguration[];
    /** The record of the configuration in force. */
    configurationItem: TopicItem | undefined;
    /** The offset of a configuration that is newer than the one in force and can't be decoded. */
    undecodableConfiguration: LogOffset | undefined;
    readonly servers: BackendView;
    /** Of what is registered of them; see `topicDigests.ts`. */
    serversDigest: number;
    readonly serversByService: Map<ServiceName, readonly BackendServerId[]>;
    readonly health: Map<BackendServerId, ServerHealth>;
    readonly loads: Map<BackendServerId, ServerLoad>;
    /** Increases with each change of an engine's load. */
    loadsVersion: number;
    /** The number of runs and copies that were placed at engines. */
    placements: number;
    readonly liveness: Map<BackendServerId, ServerLiveness>;
    readonly requestLimits: RequestLimits;
    /** The servers that want no request from this gateway, and until when. */
    readonly pausedUntil: Map<BackendServerId, Milliseconds>;
    readonly evacuations: Evacuations;
    readonly coldServers: ColdServers;
    /** When the streams at leaving servers are next checked for a migration. */
    nextLeavingCheckAt: Milliseconds;
    /** When the streams at evacuated servers are next checked for a migration. */
    nextEvacuationCheckAt: Milliseconds;
    readonly leavingNotices: LeavingNotices;
    /** The number of the newest notice. */
    noticeCount: number;
    readonly crashSuspects: CrashSuspects;
    readonly streamRegister: StreamRegister;
    /** The sizes of the newest requests to each service, by the priority of their routes. */
    readonly recentSizes: Map<ServiceName, Map<number, RecentSizes>>;
    /** Moving average of the time per token of a stream. */
    timePerToken: Milliseconds;
    /** Moving average of the prompt tokens that an engine processes in a millisecond. */
    prefillRate: number;
    /** Moving average of the duration of a stream. */
    meanStreamDuration: Milliseconds;
    /** How long requests took recently. */
    readonly durations: RequestDurations;
    readonly requests: Map<RequestId, GatewayRequest>;
    /** Requests without an attempt that wait for free memory at an engine. */
    readonly waiting: Map<RequestId, GatewayRequest>;
    /** The request of each attempt in progress. */
    readonly attempts: Map<AttemptId, GatewayRequest>;
    /** The request of each silent attempt that is still open. */
    readonly silentAttempts: Map<AttemptId, GatewayRequest>;
    /** The runs that requests have left, until each is known to have ended. */
    readonly abandonedRuns: Map<AttemptId, AbandonedRun>;
    readonly retryBudget: RetryBudget;
    readonly followers: Readonly<Record<TopicName, TopicFollower>>;
    readonly incarnation: GatewayIncarnation;
    readonly peers: Map<PeerAddress, Peer>;
    /** The newest record of each other gateway. */
    readonly members: Map<PeerAddress, Member>;
    /** Increases with each change of `members`. */
    membersVersion: number;
    /** Increases when a member joins, restarts, begins to stop or is forgotten. */
    membershipVersion: number;
    live: LiveMembers;
    readonly own: OwnRecord;
    totals: MemberTotals;
    /** When the neighbours were last computed, and for which members. */
    wantedAt: Milliseconds;
    wantedMembershipVersion: number;
    /** The last gateway that was tried without news of it; its address is undefined if there was none to try. */
    probe: { readonly address: PeerAddress | undefined; readonly startedAt: Milliseconds; } | undefined;
    /** Gateways that others named by their address only. */
    readonly hintedAddresses: Set<PeerAddress>;
    /** The time of the last event. */
    lastEventAt: Milliseconds | undefined;
    /** Undefined unless the process was just suspended. */
    resumption: Resumption | undefined;
    /** Requests that wait for the end of the resumption. */
    readonly heldRequests: Set<RequestId>;
    /** The time of the first event. */
    startedAt: Milliseconds | undefined;
    stopRequestedAt: Milliseconds | undefined;
    /** How much earlier than it was handled the request to stop is taken to have been sent. */
    stopDoubt: Milliseconds;
    /** During a planned stop: the whole answers that callers have not taken yet. */
    unsentAnswers: number;
    hasExited: boolean;
}

/**
 * Creates the state of a gateway that has read nothing yet.
 *
 * @example
 * const state = createGatewayState(options, incarnation);
 */
export function createGatewayState(options: GatewayOptions, incarnation: GatewayIncarnation): GatewayState {
    return {
        incarnation,
        peers: new Map(),
        members: new Map(),
        membersVersion: 0,
        membershipVersion: 0,
        live: { computedAt: -Infinity, membershipVersion: 0, members: [] },
        own: {
            record: undefined,
            publishedAt: -Infinity,
            incarnationNumber: 0,
            loadsVersion: 0,
            placements: 0,
            waitingRequests: 0,
        },
        totals: { computedAt: -Infinity, membersVersion: 0, loads: new Map(), waitingRequests: 0 },
        wantedAt: -Infinity,
        wantedMembershipVersion: 0,
        probe: undefined,
        hintedAddresses: new Set(),
        options,
        configuration: undefined,
        formerConfigurations: [],
        configurationItem: undefined,
        undecodableConfiguration: undefined,
        servers: new Map(),
        serversDigest: 0,
        serversByService: new Map(),
        health: new Map(),
        loads: new Map(),
        loadsVersion: 0,
        placements: 0,
        liveness: new Map(),
        requestLimits: new Map(),
        pausedUntil: new Map(),
        evacuations: new Map(),
        coldServers: createColdServers(),
        nextLeavingCheckAt: -Infinity,
        nextEvacuationCheckAt: -Infinity,
        leavingNotices: new Map(),
        noticeCount: 0,
        crashSuspects: createCrashSuspects(),
        streamRegister: createStreamRegister(),
        recentSizes: new Map(),
        timePerToken: initialTimePerToken,
        prefillRate: initialPrefillRate,
        meanStreamDuration: initialStreamDuration,
        durations: createRequestDurations(),
        requests: new Map(),
        waiting: new Map(),
        attempts: new Map(),
        silentAttempts: new Map(),
        abandonedRuns: new Map(),
        retryBudget: createRetryBudget(options.retries),
        followers: { configuration: createFollower(), backendServers: createFollower() },
        lastEventAt: undefined,
        resumption: undefined,
        heldRequests: new Set(),
        startedAt: undefined,
        stopRequestedAt: undefined,
        stopDoubt: 0,
        unsentAnswers: 0,
        hasExited: false,
    };
}

function createFollower(): TopicFollower {
    return {
        next: undefined,
        knownThrough: undefined,
        changedThrough: 0,
        changedAt: -Infinity,
        isChangeOwnRead: false,
        recentChanges: [],
        changes: new Map(),
        removalsKnownFrom: 0,
        removalGaps: [],
        items: new Map(),
        freshAsOf: undefined,
        knownAsOf: undefined,
        lastRead: undefined,
        readCounts: new Map(),
        rank: undefined,
        difference: undefined,
        lastRecord: undefined,
        repeatedRecord: undefined,
        recordReadAt: -Infinity,
        snapshotAt: -Infinity,
        isReading: false,
        isReadingSnapshot: false,
        snapshotFailedAt: -Infinity,
        isSnapshotOwed: false,
        readStartedAt: Infinity,
        knownAtSnapshotStart: 0,
        history: 0,
        newestHistory: 0,
        newestHistoryAtSnapshotStart: 0,
        readWait: 0,
        nextReadAt: 0,
        readOftenUntil: -Infinity,
        lateReadLoggedAt: -Infinity,
        ignoredReportLoggedAt: -Infinity,
        lastFailure: undefined,
    };
}

/** Whether the gateway can serve new channels, as reported to the load balancer. */
export function isGatewayReady(state: GatewayState): boolean {
    const knowsServers = state.followers.backendServers.next !== undefined;
    return state.configuration !== undefined && knowsServers && state.stopRequestedAt === undefined;
}
