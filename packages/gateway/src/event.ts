/**
 * The events that a gateway handles.
 */
import type {
    AttemptId,
    BackendServerId,
    CallerAttemptId,
    ContentDigest,
    FailureDomain,
    LogOffset,
    Milliseconds,
    PeerAddress,
    RequestId,
} from "@verbenaspring/model";
import type { BackendRecord } from "./backendServers.js";
import type { BackendAnswer, RequestHead, ResponseHead, StreamEvent } from "./messages.js";
import type { GatewayOptions } from "./options.js";
import type { PeerItems, PeerReport } from "./peerReport.js";
import type { RoutingConfiguration } from "./routingConfiguration.js";
import type { StreamRegisterPage } from "./streamRegister.js";

/** Why an attempt ended without a usable answer. */
export type AttemptFailure =
    | "connect_refused"
    | "connect_timeout"
    | "channel_lost"
    | "answer_truncated"
    | "answer_malformed"
    | "answer_of_another"
    | "body_too_large";

/** The topics that a gateway follows. */
export type TopicName = "configuration" | "backendServers";

/** The request of an evacuation of a failure domain, or its withdrawal. */
export interface EvacuationRecord {
    readonly kind: "evacuation";
    /** The key of the record in its topic. */
    readonly key: string;
    readonly failureDomain: FailureDomain;
    /** Whether the evacuation is requested; otherwise it is withdrawn. */
    readonly isRequested: boolean;
}

/** One record of a followed topic, decoded. */
export type TopicRecord =
    | { readonly kind: "configuration"; readonly configuration: RoutingConfiguration; }
    /** Comes with "undecodable" if the record holds a configuration. */
    | { readonly kind: "configurationUndecodable"; }
    | { readonly kind: "backendServer"; readonly record: BackendRecord; }
    | { readonly kind: "backendServerRemoved"; readonly id: BackendServerId; }
    | EvacuationRecord
    | { readonly kind: "undecodable"; readonly key: string; readonly detail: string; };

/** One record of a followed topic, as stored in the log. */
export interface TopicItem {
    readonly key: string;
    readonly offset: LogOffset;
    /** Empty for a tombstone. */
    readonly value: Uint8Array;
}

/** A record as stored, and the records decoded from it. */
export interface DecodedItem {
    readonly item: TopicItem;
    readonly records: readonly TopicRecord[];
}

/** Why a read of a topic failed. `beyond_end` says that the log ends before the offset that was read from. */
export type ReadFailure = "records_deleted" | "beyond_end" | "refused" | "timeout" | "unreachable" | "malformed";

/** A run that a server reports. */
export interface ReportedRun {
    readonly callerAttemptId: CallerAttemptId;
    /** The number of events produced so far. */
    readonly events: number;
}

/** The answer of a server to a probe. */
export interface ServerReport {
    /** Whether the server states that it leaves. */
    readonly isLeaving: boolean;
    /** Whether the server, which leaves, refused the request for its report: it says nothing else, and may be another one. */
    readonly isRefused?: boolean | undefined;
    /** When this incarnation of the server started, by its own clock; undefined if it does not tell. */
    readonly startedAt: number | undefined;
    /** How much longer the server is cold; undefined if it does not say. */
    readonly coldRemaining?: Milliseconds | undefined;
    /** Undefined if the server does not list its runs, which says nothing about them. */
    readonly runs: readonly ReportedRun[] | undefined;
}

/** How a migration of a run's memory ended. */
export type MigrationResult =
    /** The replica is complete at the target. If the run was to be stopped, it was. */
    | { readonly kind: "moved"; readonly handle: string; }
    /**
     * The server had no such run, or the target not enough free memory. A server that stopped the run all the same names the
     * memory that it keeps.
     */
    | { readonly kind: "refused"; readonly status: number; readonly handle?: string; }
    /** There was no answer in time. */
    | { readonly kind: "failed"; readonly detail: string; };

/** An event that a gateway handles. */
export type GatewayEvent =
    | { readonly kind: "tick"; }
    | {
        readonly kind: "requestReceived";
        readonly requestId: RequestId;
        readonly head: RequestHead;
        readonly contentDigest: ContentDigest;
        /** When the request arrived at the earliest; the caller's time limit began about then. */
        readonly receivedAt: Milliseconds;
        /** How long the request may have waited at the gateway's socket before it was read. */
        readonly readDelay: Milliseconds;
    }
    | { readonly kind: "callerLeft"; readonly requestId: RequestId; }
    /** The caller has taken the whole answer, or its channel has closed before that. */
    | { readonly kind: "answerTaken"; readonly requestId: RequestId; }
    /** During a planned stop: how many whole answers callers are still reading. */
    | { readonly kind: "unsentAnswers"; readonly count: number; }
    /** An answer other than a stream. One whose channel has ended is kept by the channels until the attempt is cancelled. */
    | { readonly kind: "attemptAnswered"; readonly attemptId: AttemptId; readonly answer: BackendAnswer; }
    | { readonly kind: "streamOpened"; readonly attemptId: AttemptId; readonly head: ResponseHead; }
    | { readonly kind: "streamEvents"; readonly attemptId: AttemptId; readonly events: readonly StreamEvent[]; }
    | { readonly kind: "streamEnded"; readonly attemptId: AttemptId; }
    /** The server of an answer whose channel had ended was asked for its report, which is undefined if it did not answer. */
    | {
        readonly kind: "answerEndChecked";
        readonly attemptId: AttemptId;
        readonly report: ServerReport | undefined;
    }
    | {
        readonly kind: "attemptFailed";
        readonly attemptId: AttemptId;
        readonly failure: AttemptFailure;
        /** Whether any byte of the request was passed to the network, so that it may have run. */
        readonly wasSent: boolean;
    }
    | {
        readonly kind: "serverProbed";
        readonly backendServer: BackendServerId;
        /** The incarnation that was to be probed; undefined if its record does not tell. */
        readonly startedAt?: number | undefined;
        /** Undefined if the server did not answer. */
        readonly report: ServerReport | undefined;
    }
    | {
        readonly kind: "topicRead";
        readonly topic: TopicName;
        /** Whether the items are the newest record of every key, rather than a range of the log. */
        readonly isSnapshot: boolean;
        readonly items: readonly DecodedItem[];
        /** The offset after the last record that was read. */
        readonly next: LogOffset;
        /** Whether the log ended there; absent if it did. */
        readonly isAtEnd?: boolean;
    }
    | { readonly kind: "topicReadFailed"; readonly topic: TopicName; readonly failure: ReadFailure; }
    | {
        readonly kind: "migrationAnswered";
        readonly attemptId: AttemptId;
        /** Whether the server was asked to stop the run. */
        readonly isStopping: boolean;
        readonly result: MigrationResult;
    }
    | { readonly kind: "streamRegisterRead"; readonly page: StreamRegisterPage; }
    | { readonly kind: "streamRegisterReadFailed"; }
    /** An append of records has ended; `isRecorded` tells whether they are stored for certain. */
    | { readonly kind: "streamsRecorded"; readonly isRecorded: boolean; }
    /** A write of a base version has ended. */
    | { readonly kind: "baseVersionWritten"; }
    | { readonly kind: "peerReported"; readonly report: PeerReport; readonly items: PeerItems; }
    | { readonly kind: "peerLinkClosed"; readonly address: PeerAddress; }
    /** One of several links to a peer has closed: what was reported on it may be lost. */
    | { readonly kind: "peerReportsLost"; readonly address: PeerAddress; }
    | { readonly kind: "settingsChanged"; readonly options: GatewayOptions; }
    /** `readDelay` is how long the request may have waited for a delayed loop; absent if it did not. */
    | { readonly kind: "stopRequested"; readonly readDelay?: Milliseconds; };
