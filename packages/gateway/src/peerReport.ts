/**
 * The reports that gateways send each other.
 */
import type { BackendServerId, GatewayIncarnation, LogOffset, Milliseconds, PeerAddress } from "@verbenaspring/model";
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

/** Identifies one read of a topic: the gateway that read, and how many reads it had made by then. */
export interface TopicReadStamp {
    readonly reader: GatewayIncarnation;
    readonly count: number;
}

/** What a gateway knows of a topic. */
export interface PeerTopic {
    readonly name: TopicName;
    /** The offset after the last record that is known; undefined before the first read. */
    readonly through: LogOffset | undefined;
    /** The read that found the end of the log there. */
    readonly read: TopicReadStamp;
    /** The time since that read. */
    readonly age: Milliseconds;
    /** The items are complete from this offset on; a gateway that does not know the topic up to here can't use them. */
    readonly since: LogOffset;
    /** The newest records of the keys that changed from `since` on. */
    readonly items: readonly TopicItem[];
    /** Whether `items` has the newest record of every key, so that a key that it lacks was removed. */
    readonly isComplete: boolean;
}

/** A report of one gateway: its state, the gateways and topics that it knows, and its loads. */
export interface PeerReport {
    readonly address: PeerAddress;
    readonly incarnation: GatewayIncarnation;
    /** The addresses of the other gateways that it knows to be alive. */
    readonly members: readonly PeerAddress[];
    readonly isStopping: boolean;
    readonly topics: readonly PeerTopic[];
    /** All loads if `isFull`, otherwise those that changed since the last report. A load of 0 marks one that ended. */
    readonly loads: readonly PeerLoad[];
    readonly isFull: boolean;
    /** The number of its requests that wait for capacity at an engine. */
    readonly waitingRequests: number;
    /** The limits in answers of backend servers since its last report on the link. */
    readonly requestLimits: readonly PeerRequestLimit[];
    /** The notices that it learnt since its last report on the link. */
    readonly leavingServers: readonly PeerLeavingServer[];
}

/** The items of a report, decoded. */
export type PeerItems = Readonly<Record<TopicName, readonly DecodedItem[]>>;
