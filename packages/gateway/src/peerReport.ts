/**
 * The reports that gateways send each other.
 */
import type {
    BackendServerId,
    FailureDomain,
    GatewayIncarnation,
    LogOffset,
    Milliseconds,
    PeerAddress,
} from "@verbenaspring/model";
import type { PeerCrashSuspect } from "./crashSuspects.js";
import type { DecodedItem, TopicItem, TopicName } from "./event.js";
import type { PeerLeavingServer } from "./leavingServers.js";

/** The load of one gateway at one backend server. */
export interface PeerLoad {
    readonly backendServer: BackendServerId;
    readonly inProgress: number;
    /** Tokens that its runs and copies hold in memory there. */
    readonly memoryTokens: number;
    /** The part of these that are copies of other servers' runs. */
    readonly copiedTokens: number;
    /** Tokens of prompts whose runs have produced no event yet. */
    readonly waitingTokens: number;
}

/** The limit in the newest answer of a backend server to the gateway. */
export interface PeerRequestLimit {
    readonly backendServer: BackendServerId;
    /** Requests a second from all gateways together; undefined if the answer declares none. */
    readonly perSecond: number | undefined;
    /** The time since that answer. */
    readonly age: Milliseconds;
}

/** A report, by the clock of the gateway that receives its echo, and how long the sender of the echo has had it. */
export interface ReportEcho {
    readonly sentAt: Milliseconds;
    readonly heldFor: Milliseconds;
}

/** Identifies one read of a topic: the gateway that read, and how many reads it had made by then. */
export interface TopicReadStamp {
    readonly reader: GatewayIncarnation;
    readonly count: number;
}

/** What a gateway knows of a topic. */
export interface PeerTopic {
    readonly name: TopicName;
    /** The offset after the last record that is known; undefined if none is, or in the first report on a link. */
    readonly through: LogOffset | undefined;
    /** The read that found the end of the log there. */
    readonly read: TopicReadStamp;
    /** The time since that read when the report was created; its transmission adds to it. */
    readonly age: Milliseconds;
    /** The items are complete from this offset on; a gateway that does not know the topic up to here can't use them. */
    readonly since: LogOffset;
    /** The newest records of the keys that changed from `since` on. */
    readonly items: readonly TopicItem[];
    /** Whether `items` has the newest record of every key, so that a key that it lacks was removed. */
    readonly isComplete: boolean;
    /**
     * Ranges of offsets in which a key may have been removed and added again without a trace in `items`, oldest first. A
     * gateway that knows the topic up to a point inside of one can't use items that are not complete. Absent if there are
     * none.
     */
    readonly removalGaps?: readonly OffsetRange[];
    /**
     * Whether the sender ignored a report because it lacks records from `through` on, which the receiver is to send at once.
     * Absent if not.
     */
    readonly lacksRecords?: boolean;
    /** What the sender has up to `through`, in 32 bits; absent without it, and from gateways of an earlier version. */
    readonly digest?: number | undefined;
    /** How often the sender knows the log to have lost records that were read; absent for 0. */
    readonly history?: number;
}

/** The offsets between two others. */
export interface OffsetRange {
    readonly from: LogOffset;
    readonly to: LogOffset;
}

/** The state of one gateway, as it publishes it. A record is never changed; a newer version replaces it. */
export interface MemberRecord {
    readonly address: PeerAddress;
    readonly incarnation: GatewayIncarnation;
    /** Orders the processes at one address; each is higher than the ones before it that others knew. */
    readonly incarnationNumber: number;
    /** Increases with each record of a process. */
    readonly version: number;
    readonly failureDomain: FailureDomain;
    readonly isStopping: boolean;
    /** Megabits a second of its machine's link; undefined if unknown. */
    readonly linkRate?: number | undefined;
    /** The number of its requests that wait for capacity at an engine. */
    readonly waitingRequests: number;
    /** All its loads at engines. */
    readonly loads: readonly PeerLoad[];
    /** The limits that servers declared in answers to it a short time before. Their ages are those at publication. */
    readonly requestLimits: readonly PeerRequestLimit[];
}

/** A record, and the time since it was published. */
export interface RelayedRecord {
    readonly record: MemberRecord;
    readonly age: Milliseconds;
}

/**
 * The version of what gateways report to each other. Gateways that know no records have version 0, those that don't know
 * evacuations 1.
 */
export const reportProtocol = 2;
/** The version from which on reports of changes in the operator's topic contain evacuations. */
export const evacuationProtocol = 2;

/**
 * A report on a link: the records, topics, notices and parts of prompts that the receiver lacks. What follows
 * `crashSuspects` is only filled in for gateways that know no records, which take it for the state of the sender.
 */
export interface PeerReport {
    readonly address: PeerAddress;
    readonly incarnation: GatewayIncarnation;
    /** The sender's {@link reportProtocol}; 0 from gateways that know no records. */
    readonly protocol: number;
    /** Whether the sender is to keep a link to the receiver. */
    readonly wantsLink: boolean;
    /** When the report was created, by the sender's clock; absent from gateways of an earlier version. */
    readonly sentAt?: Milliseconds | undefined;
    /** The receiver's newest report that the sender has handled; absent if it has handled none. */
    readonly echo?: ReportEcho | undefined;
    readonly records: readonly RelayedRecord[];
    readonly topics: readonly PeerTopic[];
    /** The version of the sender's configuration; absent without one, and from gateways of an earlier version. */
    readonly configurationVersion?: number | undefined;
    /** The record of that configuration, if the receiver has an older one and is not going to read it. Absent otherwise. */
    readonly configurationItem?: TopicItem | undefined;
    /** The notices that it learnt since its last report on the link. */
    readonly leavingServers: readonly PeerLeavingServer[];
    /** The parts of prompts under which servers crashed, where that changed since its last report on the link. */
    readonly crashSuspects: readonly PeerCrashSuspect[];
    /** The addresses of the other gateways that it knows to be alive. */
    readonly members: readonly PeerAddress[];
    readonly isStopping: boolean;
    /** All loads if `isFull`, otherwise those that changed since the last report. A load of 0 marks one that ended. */
    readonly loads: readonly PeerLoad[];
    readonly isFull: boolean;
    /** The number of its requests that wait for capacity at an engine. */
    readonly waitingRequests: number;
    /** The limits in answers of backend servers since its last report on the link. */
    readonly requestLimits: readonly PeerRequestLimit[];
}

/** The items of a report, decoded. */
export type PeerItems = Readonly<Record<TopicName, readonly DecodedItem[]>> & {
    /** The configuration that the receiver lacks; undefined if there is none in the report. */
    readonly lackingConfiguration?: DecodedItem | undefined;
};
