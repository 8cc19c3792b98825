/**
 * What gateways report to each other of the platform's topics: the records that the receiver lacks, and how fresh they
 * are.
 */
import type { LogOffset, Milliseconds } from "@verbenaspring/model";
import type { TopicItem, TopicName } from "./event.js";
import { applyItems, applySnapshot, recordFreshness } from "./followers.js";
import { evacuationProtocol, type PeerItems, type PeerTopic } from "./peerReport.js";
import type { GatewayState, Peer, TopicFollower } from "./state.js";
import type { Transaction } from "./transaction.js";

export const topicNames: readonly TopicName[] = ["configuration", "backendServers"];

/** Creates the part of a report to a peer that is about topics, and records its items as known there. */
export function createTopicReports(state: GatewayState, peer: Peer, now: Milliseconds): PeerTopic[] {
    const topics = topicNames.map(name => createTopicReport(state, name, peer, now));
    if (peer.link === "open") {
        const { configuration, backendServers } = state.followers;
        peer.through = {
            configuration: laterOffset(peer.through.configuration, configuration.next),
            backendServers: laterOffset(peer.through.backendServers, backendServers.next),
        };
        peer.sentReads = { configuration: configuration.lastRead, backendServers: backendServers.lastRead };
    }
    return topics;
}

function laterOffset(one: LogOffset | undefined, other: LogOffset | undefined): LogOffset | undefined {
    return one === undefined || (other !== undefined && other > one) ? other : one;
}

function createTopicReport(state: GatewayState, name: TopicName, peer: Peer, now: Milliseconds): PeerTopic {
    const { next, removalsKnownFrom, freshAsOf, lastRead } = state.followers[name];
    if (next === undefined || freshAsOf === undefined || lastRead === undefined) {
        const read = { reader: state.incarnation, count: 0 };
        return { name, since: 0, through: undefined, read, age: 0, items: [], isComplete: false };
    }
    // What the peer knows of the topic is only certain after it has reported on this link.
    const known: LogOffset = peer.through[name] ?? 0;
    const isOpen = peer.link === "open";
    const isComplete = isOpen && known < removalsKnownFrom;
    return {
        name,
        since: known,
        through: isOpen ? next : undefined,
        read: lastRead,
        age: now - freshAsOf,
        items: isOpen ? missingItems(state.followers[name], known, isComplete) : [],
        isComplete,
    };
}

function missingItems(
    { items, changedThrough }: TopicFollower,
    known: LogOffset,
    isComplete: boolean,
): readonly TopicItem[] {
    if (isComplete) {
        return [...items.values()];
    }
    return changedThrough > known ? [...items.values()].filter(({ offset }) => offset >= known) : [];
}

/** Whether a topic was read, by this or another gateway, since the last report to the peer. */
export function hasNewReads({ followers }: GatewayState, { sentReads }: Peer): boolean {
    return topicNames.some(name => followers[name].lastRead !== sentReads[name]);
}

/** Handles what a peer reports of a topic. Returns whether anything but heartbeats changed. */
export function handlePeerTopic(
    transaction: Transaction,
    peer: Peer,
    topic: PeerTopic,
    items: PeerItems,
): boolean {
    const { state, now } = transaction;
    const follower = state.followers[topic.name];
    if (topic.through === undefined) {
        return false;
    }
    // Records sent to the peer may still be under way, so what it reports replaces what was recorded on sending.
    peer.through = { ...peer.through, [topic.name]: topic.through };
    const known = follower.next ?? 0;
    if (topic.through < known || topic.since > known || mayLackEvacuations(peer, topic)) {
        return false;
    }
    const apply = topic.isComplete ? applySnapshot : applyItems;
    const hasChanged = apply(transaction, topic.name, items[topic.name], topic.through);
    recordFreshness(follower, topic.read, now - topic.age);
    return hasChanged;
}

/**
 * Whether a report of the operator's topic may lack evacuations: gateways of an earlier version keep their records, but
 * don't count them as changes. Applied, it would move this gateway's reads past them.
 */
function mayLackEvacuations({ protocol }: Peer, { name, isComplete }: PeerTopic): boolean {
    return name === "configuration" && !isComplete && (protocol ?? 0) < evacuationProtocol;
}
