/**
 * The other gateways: which are alive, their load at the backend servers, and what they know of the platform's topics.
 * Membership starts from the seed addresses and spreads by reports. There is no election.
 */
import { backoff } from "@verbenaspring/coordination";
import type { BackendServerId, LogOffset, Milliseconds, PeerAddress } from "@verbenaspring/model";
import type { GatewayEvent, TopicItem, TopicName } from "./event.js";
import { applyItems, applySnapshot, recordFreshness } from "./followers.js";
import { applyPeerNotices, noticesAfter } from "./leavingServers.js";
import type { PeerLoad, PeerReport, PeerTopic } from "./peerReport.js";
import { applyPeerLimit, newlyObservedLimits } from "./requestLimits.js";
import { engineOf } from "./serverLoad.js";
import type { GatewayState, Peer, TopicFollower } from "./state.js";
import { logDecision, type Transaction } from "./transaction.js";

type PeerReported = Extract<GatewayEvent, { readonly kind: "peerReported"; }>;

/** The longest time between two reports to one peer. */
const heartbeatInterval: Milliseconds = 500;
/** The shortest time between two reports to one peer that were only sent for changed loads. */
const loadInterval: Milliseconds = 100;
/** That time is at least this long for each known peer, which bounds the total rate of reports. */
const loadIntervalPerPeer: Milliseconds = 15;
/** The shortest time between two reports to one peer that were sent for placed runs, for each known peer. */
const placementIntervalPerPeer: Milliseconds = 0.5;
/** A peer without a report for this long counts as dead, and its link is closed. */
const silenceTimeout: Milliseconds = 1_500;
/** A peer without a report for this long is assumed to have stopped, and not just to be out of reach. */
const outOfReachTimeout: Milliseconds = 10_000;
const minimumReopenDelay: Milliseconds = 200;
const maximumReopenDelay: Milliseconds = 2_000;
/** A peer that is not a seed is forgotten after this many failed links in a row. */
const failuresUntilForgotten = 30;
const topicNames: readonly TopicName[] = ["configuration", "backendServers"];

/** The other gateways that are alive. */
export function livePeers(state: GatewayState, now: Milliseconds): readonly Peer[] {
    return [...state.peers.values()].filter(peer => isLive(peer, now));
}

/** The other gateways that are alive, or were a moment ago: one that is out of reach may still send requests. */
export function recentPeers(state: GatewayState, now: Milliseconds): readonly Peer[] {
    return [...state.peers.values()].filter(({ lastReportAt }) =>
        lastReportAt !== undefined && now - lastReportAt <= outOfReachTimeout
    );
}

/** The number of live gateways, including this one. */
export function countLiveInstances(state: GatewayState, now: Milliseconds): number {
    return livePeers(state, now).length + 1;
}

/** The number of known gateways, including this one and those that are out of reach but may be alive. */
export function countKnownInstances({ peers }: GatewayState): number {
    return peers.size + 1;
}

function isLive({ lastReportAt }: Peer, now: Milliseconds): boolean {
    return lastReportAt !== undefined && now - lastReportAt <= silenceTimeout;
}

/** The shortest time between two reports to one peer for changed loads, by the number of peers. */
function reportInterval(state: GatewayState): Milliseconds {
    return Math.max(loadInterval, loadIntervalPerPeer * state.peers.size);
}

/** The same for runs that were placed and requests that wait. */
function placementInterval(state: GatewayState): Milliseconds {
    return placementIntervalPerPeer * state.peers.size;
}

/** Opens links to known gateways, closes silent ones, and sends the reports that are due. */
export function maintainPeers(transaction: Transaction): void {
    const { state } = transaction;
    state.options.seedAddresses.forEach(address => addPeer(state, address));
    [...state.peers.values()].forEach(peer => maintainPeer(transaction, peer));
}

function maintainPeer(transaction: Transaction, peer: Peer): void {
    const { state, now, effects } = transaction;
    if (peer.link === "closed") {
        if (now >= peer.reopenAt) {
            startLink(peer, "opening", now);
            effects.push({ kind: "openPeerLink", address: peer.address, report: createReport(state, peer, now) });
        }
        return;
    }
    if (now - Math.max(peer.openedAt, peer.lastReportAt ?? 0) > silenceTimeout) {
        effects.push({ kind: "closePeerLink", address: peer.address });
        return handlePeerLinkClosed(transaction, peer.address);
    }
    if (peer.link === "open" && isReportDue(state, peer, now)) {
        sendReport(transaction, peer);
    }
}

function isReportDue(state: GatewayState, peer: Peer, now: Milliseconds): boolean {
    const elapsed = now - peer.sentAt;
    return elapsed >= heartbeatInterval
        || (elapsed >= reportInterval(state) && peer.sentLoadsVersion !== state.loadsVersion)
        || isPlacementReportDue(state, peer, now);
}

function isPlacementReportDue(state: GatewayState, peer: Peer, now: Milliseconds): boolean {
    const hasChanged = peer.sentPlacements !== state.placements || peer.sentWaitingRequests !== state.waiting.size;
    return hasChanged && now - peer.sentAt >= placementInterval(state);
}

/**
 * Reports runs that were just placed and requests that wait, without waiting for the next tick: until the others know of
 * them, they choose the same engines.
 */
export function reportPlacements(transaction: Transaction): void {
    const { state, now } = transaction;
    for (const peer of state.peers.values()) {
        if (peer.link === "open" && isPlacementReportDue(state, peer, now)) {
            sendReport(transaction, peer);
        }
    }
}

/** Sends a report to every peer with an open link. */
export function reportToPeers(transaction: Transaction): void {
    for (const peer of transaction.state.peers.values()) {
        if (peer.link === "open") {
            sendReport(transaction, peer);
        }
    }
}

function sendReport({ state, now, effects }: Transaction, peer: Peer): void {
    effects.push({ kind: "sendReport", address: peer.address, report: createReport(state, peer, now) });
    peer.sentAt = now;
}

function startLink(peer: Peer, link: "opening" | "open", now: Milliseconds): void {
    peer.link = link;
    peer.openedAt = now;
    peer.sentAt = now;
    peer.sentLoads.clear();
    peer.sentLimitsAt = -Infinity;
    peer.sentNotices = 0;
    peer.through = unknownOffsets;
}

const unknownOffsets = { configuration: undefined, backendServers: undefined };

function addPeer(state: GatewayState, address: PeerAddress): void {
    if (address === state.options.peerAddress || state.peers.has(address)) {
        return;
    }
    state.peers.set(address, {
        address,
        incarnation: undefined,
        isStopping: false,
        lastReportAt: undefined,
        link: "closed",
        reopenAt: 0,
        openedAt: 0,
        sentAt: 0,
        failures: 0,
        sentLoadsVersion: 0,
        sentPlacements: 0,
        sentWaitingRequests: 0,
        sentLimitsAt: -Infinity,
        sentNotices: 0,
        sentLoads: new Map(),
        through: unknownOffsets,
        loads: new Map(),
        waitingRequests: 0,
    });
}

/**
 * Creates the next report to a peer, and records its contents as known there: a link delivers everything in order until
 * it closes.
 */
function createReport(state: GatewayState, peer: Peer, now: Milliseconds): PeerReport {
    const isFull = peer.sentLoads.size === 0;
    const loads = changedLoads(state, peer);
    loads.forEach(load => peer.sentLoads.set(load.backendServer, load));
    peer.sentLoadsVersion = state.loadsVersion;
    peer.sentPlacements = state.placements;
    peer.sentWaitingRequests = state.waiting.size;
    const requestLimits = newlyObservedLimits(state, peer.sentLimitsAt, now);
    peer.sentLimitsAt = now;
    const leavingServers = noticesAfter(state, peer.sentNotices);
    peer.sentNotices = state.noticeCount;
    const topics = topicNames.map(name => createTopicReport(state, name, peer, now));
    if (peer.link === "open") {
        peer.through = {
            configuration: laterOffset(peer.through.configuration, state.followers.configuration.next),
            backendServers: laterOffset(peer.through.backendServers, state.followers.backendServers.next),
        };
    }
    return {
        address: state.options.peerAddress,
        incarnation: state.incarnation,
        members: livePeers(state, now).map(({ address }) => address),
        isStopping: state.stopRequestedAt !== undefined,
        topics,
        loads,
        isFull,
        waitingRequests: state.waiting.size,
        requestLimits,
        leavingServers,
    };
}

function laterOffset(one: LogOffset | undefined, other: LogOffset | undefined): LogOffset | undefined {
    return one === undefined || (other !== undefined && other > one) ? other : one;
}

/**
 * Loads of engines that changed since the last report to the peer. Plain services are omitted: each gateway balances
 * them by its own requests.
 */
function changedLoads(state: GatewayState, { sentLoads }: Peer): PeerLoad[] {
    const ended = [...sentLoads.values()]
        .filter(sent => !state.loads.has(sent.backendServer) && !isIdle(sent))
        .map(({ backendServer }) => ({ backendServer, ...noLoad }));
    const changed = [...state.loads]
        .filter(([id]) => isEngine(state, id))
        .map(([backendServer, load]) => ({ backendServer, ...load }))
        .filter(load => !isSameLoad(load, sentLoads.get(load.backendServer)));
    return [...changed, ...ended];
}

const noLoad = { inProgress: 0, memoryTokens: 0, copiedTokens: 0, waitingTokens: 0 };

function isEngine(state: GatewayState, id: BackendServerId): boolean {
    const server = state.servers.get(id);
    return server !== undefined && engineOf(state, server.record.service) !== undefined;
}

function isIdle({ inProgress, memoryTokens }: PeerLoad): boolean {
    return inProgress === 0 && memoryTokens === 0;
}

function isSameLoad(one: PeerLoad, other: PeerLoad | undefined): boolean {
    return one.inProgress === other?.inProgress
        && one.memoryTokens === other.memoryTokens
        && one.copiedTokens === other.copiedTokens
        && one.waitingTokens === other.waitingTokens;
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

/** Handles a report of a peer. */
export function handlePeerReport(transaction: Transaction, { report, items }: PeerReported): void {
    const { state, now } = transaction;
    addPeer(state, report.address);
    const peer = state.peers.get(report.address);
    if (peer === undefined) {
        return;
    }
    const isNewIncarnation = peer.incarnation !== report.incarnation;
    if (isNewIncarnation) {
        logDecision(transaction, "info", "peer_joined", { peer: peer.address, incarnation: report.incarnation });
    }
    if (peer.link !== "open" || (isNewIncarnation && peer.incarnation !== undefined)) {
        startLink(peer, "open", now);
    }
    report.members.forEach(address => addPeer(state, address));
    peer.incarnation = report.incarnation;
    peer.isStopping = report.isStopping;
    peer.lastReportAt = now;
    peer.waitingRequests = report.waitingRequests;
    peer.failures = 0;
    const previous = report.isFull ? [] : peer.loads;
    peer.loads = new Map([...previous, ...report.loads.map(load => [load.backendServer, load] as const)]);
    report.topics.forEach(topic => handlePeerTopic(transaction, peer, topic, items));
    report.requestLimits.forEach(limit => applyPeerLimit(transaction, limit));
    applyPeerNotices(transaction, report.leavingServers);
}

function handlePeerTopic(
    transaction: Transaction,
    peer: Peer,
    topic: PeerTopic,
    items: PeerReported["items"],
): void {
    const { state, now } = transaction;
    const follower = state.followers[topic.name];
    if (topic.through === undefined) {
        return;
    }
    // Records sent to the peer may still be under way, so what it reports replaces what was recorded on sending.
    peer.through = { ...peer.through, [topic.name]: topic.through };
    const known = follower.next ?? 0;
    if (topic.through < known || topic.since > known) {
        return;
    }
    const records = items[topic.name];
    if (topic.isComplete) {
        applySnapshot(transaction, topic.name, records, topic.through);
    }
    else {
        applyItems(transaction, topic.name, records, topic.through);
    }
    recordFreshness(follower, topic.read, now - topic.age);
}

/** The requests of all live gateways that wait for capacity at an engine. */
export function countWaitingRequests(state: GatewayState, now: Milliseconds): number {
    return livePeers(state, now).reduce((sum, peer) => sum + peer.waitingRequests, state.waiting.size);
}

/** Handles the end of a link, or a link that could not be opened. */
export function handlePeerLinkClosed(transaction: Transaction, address: PeerAddress): void {
    const { state, now, source } = transaction;
    const peer = state.peers.get(address);
    if (peer === undefined || peer.link === "closed") {
        return;
    }
    peer.link = "closed";
    peer.failures++;
    peer.reopenAt = now + backoff(peer.failures, minimumReopenDelay, maximumReopenDelay, source.random);
    if (peer.failures === 1) {
        logDecision(transaction, "info", "peer_unreachable", { peer: address, incarnation: peer.incarnation });
    }
    const isSeed = state.options.seedAddresses.includes(address);
    if (!isSeed && peer.failures >= failuresUntilForgotten) {
        state.peers.delete(address);
    }
}

/** The sum of the live peers' loads at a server. */
export function peerLoad(state: GatewayState, id: BackendServerId, now: Milliseconds): Omit<PeerLoad, "backendServer"> {
    const total = { ...noLoad };
    for (const peer of state.peers.values()) {
        const load = peer.loads.get(id);
        if (load !== undefined && isLive(peer, now)) {
            total.inProgress += load.inProgress;
            total.memoryTokens += load.memoryTokens;
            total.copiedTokens += load.copiedTokens;
            total.waitingTokens += load.waitingTokens;
        }
    }
    return total;
}
