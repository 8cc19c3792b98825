/**
 * What gateways report to each other of the platform's topics: the records that the receiver lacks, and how fresh they
 * are.
 */
import type { LogOffset, Milliseconds } from "@verbenaspring/model";
import type { DecodedItem, TopicItem, TopicName, TopicRecord } from "./event.js";
import {
    adoptRemovalGaps,
    applyItems,
    applySnapshot,
    isInsideGap,
    lacksRemovals,
    longestReadWait,
    recordFreshness,
} from "./followers.js";
import { heartbeatInterval, isFullMesh } from "./members.js";
import { earliestTime } from "./peerClocks.js";
import { evacuationProtocol, type PeerItems, type PeerReport, type PeerTopic } from "./peerReport.js";
import type { GatewayState, Peer, TopicFollower } from "./state.js";
import { compareDigests, compareHistories, isOfEarlierHistory, topicDigest } from "./topicDigests.js";
import { logDecision, type Transaction } from "./transaction.js";

export const topicNames: readonly TopicName[] = ["configuration", "backendServers"];

/**
 * In a full mesh, the gateway that read records reports them to all others. Another gateway reports them to a peer only
 * if the peer still lacks them this long after it must have reported again: if all gateways passed them on at once, each
 * would get each record from all others, and the links of small machines would be busy for as long as a stream may pause.
 */
const relayMargin: Milliseconds = 200;

/** Creates the part of a report to a peer that is about topics, and records its items as known there. */
export function createTopicReports(state: GatewayState, peer: Peer, now: Milliseconds): PeerTopic[] {
    return topicNames.map(name => {
        const isRequested = peer.requestedTopics.delete(name);
        const lacksRecords = peer.lackingTopics.delete(name);
        const topic = {
            ...createTopicReport(state, name, peer, isRequested, now),
            ...lacksRecords && { lacksRecords },
        };
        if (peer.link === "open") {
            const isKnown = topic.through !== undefined && topic.since < topic.through;
            const through = isKnown ? laterOffset(peer.through[name], topic.through) : peer.through[name];
            peer.through = { ...peer.through, [name]: through };
            const { lastRead } = state.followers[name];
            if (topic.read === lastRead) {
                peer.sentReads = { ...peer.sentReads, [name]: lastRead };
            }
        }
        return topic;
    });
}

function laterOffset(one: LogOffset | undefined, other: LogOffset | undefined): LogOffset | undefined {
    return one === undefined || (other !== undefined && other > one) ? other : one;
}

/** @param isRequested whether the peer asked for the records that it lacks */
function createTopicReport(
    state: GatewayState,
    name: TopicName,
    peer: Peer,
    isRequested: boolean,
    now: Milliseconds,
): PeerTopic {
    const follower = state.followers[name];
    const { next, knownThrough, freshAsOf, lastRead } = follower;
    const noRead = { reader: state.incarnation, count: 0 };
    if (next === undefined || freshAsOf === undefined || lastRead === undefined) {
        // Without the offset, the peer would go on after records that it sent but that were not applied here.
        const through = peer.link === "open" ? knownThrough : undefined;
        return { name, since: through ?? 0, through, read: noRead, age: 0, items: [], isComplete: false };
    }
    // What the peer knows of the topic is only certain after it has reported on this link.
    const known: LogOffset = peer.through[name] ?? 0;
    // A read makes a topic fresher only when it is first reported.
    const read = peer.sentReads[name] === lastRead && !isRequested ? noRead : lastRead;
    const report = { name, read, age: now - freshAsOf, digest: topicDigest(state, name), history: follower.history };
    if (peer.link !== "open") {
        return { ...report, since: known, through: undefined, items: [], isComplete: false };
    }
    const isComplete = lacksRemovals(follower, known);
    const isBehind = isComplete || follower.changedThrough > known;
    if (isBehind && !isRequested && !mayRelay(state, follower, { known, openedAt: peer.openedAt }, now)) {
        // A peer that is behind applies nothing of a report that begins at the end, and would miss the stamp of the read.
        return { ...report, read: noRead, since: next, through: next, items: [], isComplete: false };
    }
    const items = isBehind ? missingItems(follower, known, isComplete) : [];
    // The peer may know more by now than it last reported, such as a removal inside of a gap.
    const removalGaps = isComplete ? [] : follower.removalGaps.filter(({ to }) => to > known);
    return { ...report, since: known, through: next, items, isComplete, removalGaps };
}

/** Whether reports of a topic have records, and peers that know of lost ones apply them. */
export function canReportRecords(follower: TopicFollower): boolean {
    const { next, freshAsOf, history, newestHistory } = follower;
    return next !== undefined && freshAsOf !== undefined && history === newestHistory;
}

/** Whether this gateway is the one to report a topic's records to a peer that knows it up to an offset. */
function mayRelay(
    state: GatewayState,
    follower: TopicFollower,
    { known, openedAt }: { readonly known: LogOffset; readonly openedAt: Milliseconds; },
    now: Milliseconds,
): boolean {
    const { lastRead, isChangeOwnRead, changedAt, recentChanges } = follower;
    const relayDelay = heartbeatInterval(state) + relayMargin;
    const isReader = lastRead?.reader === state.incarnation || (isChangeOwnRead && now - changedAt < relayDelay);
    const lackingSince = recentChanges.find(({ through }) => through > known)?.learnedAt ?? changedAt;
    return isReader || !isFullMesh(state) || now - Math.max(lackingSince, openedAt) >= relayDelay;
}

function missingItems(
    { items, changes }: TopicFollower,
    known: LogOffset,
    isComplete: boolean,
): readonly TopicItem[] {
    return isComplete
        ? [...items.values()]
        : [...items.values()].filter(({ key }) => (changes.get(key) ?? 0) >= known);
}

/** Whether a topic was read, by this or another gateway, since the last report to the peer. */
export function hasNewReads({ followers }: GatewayState, { sentReads }: Peer): boolean {
    return topicNames.some(name => followers[name].lastRead !== sentReads[name]);
}

/** Whether this gateway itself read a topic since the last report to the peer. */
export function hasOwnReads({ followers, incarnation }: GatewayState, { sentReads }: Peer): boolean {
    return topicNames.some(name =>
        followers[name].lastRead?.reader === incarnation && followers[name].lastRead !== sentReads[name]
    );
}

const noValue = new Uint8Array();

/**
 * Decodes the items of a report. The known record of a key, and those before it, yield no records: several gateways may report
 * the same one, which is decoded once.
 *
 * @param decode decodes an item of a topic, such as `decodeTopicItem` of the package `platform`
 * @example
 * const items = decodePeerItems(state, report, decodeTopicItem);
 */
export function decodePeerItems(
    { followers }: GatewayState,
    { topics, configurationItem }: PeerReport,
    decode: (topic: TopicName, item: TopicItem) => readonly TopicRecord[],
): PeerItems {
    const itemsOf = (name: TopicName): DecodedItem[] => {
        const { items: known } = followers[name];
        const isNew = ({ key, offset, value }: TopicItem): boolean => {
            const { offset: knownOffset = -1, value: knownValue = noValue } = known.get(key) ?? {};
            return offset > knownOffset || (offset === knownOffset && Buffer.compare(value, knownValue) !== 0);
        };
        const reported = topics.find(topic => topic.name === name)?.items ?? [];
        return reported.map(item => ({ item, records: isNew(item) ? decode(name, item) : [] }));
    };
    return {
        configuration: itemsOf("configuration"),
        backendServers: itemsOf("backendServers"),
        lackingConfiguration: configurationItem
            && { item: configurationItem, records: decode("configuration", configurationItem) },
    };
}

/** What came with a report of topics. */
export interface TopicDelivery {
    readonly report: PeerReport;
    readonly items: PeerItems;
    /** The longest that the report can have been under way; undefined if unknown. */
    readonly transmission: Milliseconds | undefined;
}

/**
 * Handles what a peer reports of a topic. Returns whether anything but heartbeats changed. A report that may have been under
 * way for any time is applied, but makes nothing fresher.
 */
export function handlePeerTopic(
    transaction: Transaction,
    peer: Peer,
    topic: PeerTopic,
    delivery: TopicDelivery,
): boolean {
    const { state } = transaction;
    const follower = state.followers[topic.name];
    // Records sent to the peer may still be under way, so what it reports replaces what was recorded on sending.
    peer.through = { ...peer.through, [topic.name]: topic.through };
    if (topic.lacksRecords === true) {
        peer.requestedTopics.add(topic.name);
    }
    compareHistories(transaction, peer, topic);
    if (!isAboutRecords(topic)) {
        return false;
    }
    // What was known before a snapshot became due still holds: a report that begins there adds to it.
    const known = follower.next ?? follower.knownThrough ?? 0;
    const obstacle = isOfEarlierHistory(follower, topic) ? "earlier_history" : obstacleTo(peer, topic, known);
    if (obstacle !== undefined) {
        logIgnoredReport(transaction, peer, topic, obstacle);
        // A report that ends where it begins has no records: its sender leaves them to another, or knows that they are due.
        const hadRecords = topic.since < topic.through;
        if (hadRecords && (obstacle === "begins_later" || obstacle === "inside_gap")) {
            peer.lackingTopics.add(topic.name);
        }
        return false;
    }
    const apply = topic.isComplete ? applySnapshot : applyItems;
    const hasChanged = apply(transaction, topic.name, {
        items: delivery.items[topic.name],
        next: topic.through,
        source: peer.address,
    });
    adoptRemovalGaps(follower, topic.removalGaps ?? []);
    compareDigests(transaction, peer, topic);
    follower.isChangeOwnRead &&= !hasChanged;
    const readAt = earliestReadTime(transaction, peer, topic, delivery);
    if (readAt !== undefined) {
        recordFreshness(follower, topic.read, readAt);
    }
    return hasChanged;
}

/** The earliest time at which a reported read can have found the end of the log; undefined if the read is to count for nothing. */
function earliestReadTime(
    { state, now }: Transaction,
    peer: Peer,
    { name, age }: PeerTopic,
    { report: { sentAt }, transmission }: TopicDelivery,
): Milliseconds | undefined {
    if (sentAt === undefined || transmission === undefined) {
        return undefined;
    }
    // The peer's clock may have stood still between the start of the read and its end.
    const readAt = earliestTime(peer, sentAt - age, sentAt - age - longestReadWait(name));
    // Without any view, a gateway that can't read has nothing better.
    return state.followers[name].freshAsOf === undefined ? readAt ?? now - age - transmission : readAt;
}

function isAboutRecords(topic: PeerTopic): topic is PeerTopic & { readonly through: LogOffset; } {
    return topic.through !== undefined;
}

type ReportObstacle = "earlier_history" | "older" | "begins_later" | "may_lack_evacuations" | "inside_gap";

/** Why a report of a topic can't be applied to what is known up to an offset. */
function obstacleTo(
    peer: Peer,
    topic: PeerTopic & { readonly through: LogOffset; },
    known: LogOffset,
): ReportObstacle | undefined {
    if (topic.through < known) {
        return "older";
    }
    if (topic.since > known) {
        return "begins_later";
    }
    if (mayLackEvacuations(peer, topic)) {
        return "may_lack_evacuations";
    }
    // The peer reports all records once it knows from this gateway's answer where its knowledge ends.
    return !topic.isComplete && isInsideGap(topic.removalGaps ?? [], known) ? "inside_gap" : undefined;
}

const ignoredReportLogInterval: Milliseconds = 1_000;

/** Logs a report with news that was not applied, at most once a second for each topic. */
function logIgnoredReport(
    transaction: Transaction,
    { address }: Peer,
    { name, since, through, isComplete }: PeerTopic,
    obstacle: ReportObstacle,
): void {
    const { state, now } = transaction;
    const follower = state.followers[name];
    const { next, knownThrough, freshAsOf } = follower;
    if (obstacle === "older" || now - follower.ignoredReportLoggedAt < ignoredReportLogInterval) {
        return;
    }
    follower.ignoredReportLoggedAt = now;
    logDecision(transaction, "info", "peer_report_ignored", {
        peer: address,
        topic: name,
        obstacle,
        since,
        through,
        isComplete,
        next,
        knownThrough,
        age: freshAsOf === undefined ? undefined : Math.round(now - freshAsOf),
    });
}

/**
 * Whether a report of the operator's topic may lack evacuations: gateways of an earlier version keep their records, but
 * don't count them as changes. Applied, it would move this gateway's reads past them.
 */
function mayLackEvacuations({ protocol }: Peer, { name, isComplete }: PeerTopic): boolean {
    return name === "configuration" && !isComplete && (protocol ?? 0) < evacuationProtocol;
}
