/**
 * What gateways tell each other.
 */
import type { BackendServerId, GatewayIncarnation, LogOffset, Milliseconds, PeerAddress } from "@verbenaspring/model";
import type { DecodedItem, TopicItem, TopicName } from "./event.js";

/** What one gateway has at work at one backend server. */
export interface PeerLoad {
    readonly backendServer: BackendServerId;
    readonly inProgress: number;
    /** Tokens that its runs and their copies hold in memory there. */
    readonly memoryTokens: number;
    /** Tokens of prompts that have given no event yet. */
    readonly waitingTokens: number;
}

/** One read of the store: the gateway that made it, and how many it had made. */
export interface TopicReadStamp {
    readonly reader: GatewayIncarnation;
    readonly count: number;
}

/** How far a gateway knows a topic. */
export interface PeerTopic {
    readonly name: TopicName;
    /** The offset after the last record that is known; undefined before the first read. */
    readonly through: LogOffset | undefined;
    /** The read by which the log was known to end there. */
    readonly read: TopicReadStamp;
    /** Since that read. */
    readonly age: Milliseconds;
    /** The items hold all that changed from this offset on; who does not know the topic so far can't use them. */
    readonly since: LogOffset;
    /** The newest records of the keys that changed since then. */
    readonly items: readonly TopicItem[];
}

/** What one gateway knows. */
export interface PeerReport {
    readonly address: PeerAddress;
    readonly incarnation: GatewayIncarnation;
    /** Where the gateways that it knows to live answer. */
    readonly members: readonly PeerAddress[];
    readonly isStopping: boolean;
    readonly topics: readonly PeerTopic[];
    /** Where the report is not full, only the loads that changed since the one before; one of nothing ends a load. */
    readonly loads: readonly PeerLoad[];
    readonly isFull: boolean;
}

/** The items of a report, decoded. */
export type PeerItems = Readonly<Record<TopicName, readonly DecodedItem[]>>;
