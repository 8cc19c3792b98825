/**
 * The other gateways: who lives, what they have at work, and what they know of the platform's topics. Membership spreads
 * by reports, from the seeds on; nothing is elected.
 */
import { backoff } from "@verbenaspring/coordination";
import type { BackendServerId, LogOffset, Milliseconds, PeerAddress } from "@verbenaspring/model";
import type { GatewayEvent, TopicName } from "./event.js";
import { applyItems, recordFreshness } from "./followers.js";
import type { PeerLoad, PeerReport, PeerTopic } from "./peerReport.js";
import { engineOf } from "./serverLoad.js";
import type { GatewayState, Peer } from "./state.js";
import { logDecision, type Transaction } from "./transaction.js";

type PeerReported = Extract<GatewayEvent, { readonly kind: "peerReported"; }>;

/** A peer hears from this gateway at least this often. */
const heartbeatInterval: Milliseconds = 500;
/** The shortest time between two reports to one peer that only carry loads. */
const loadInterval: Milliseconds = 100;
/** The same for each peer, so that the work of reports is bounded where there are many. */
const loadIntervalPerPeer: Milliseconds = 15;
/** A peer from which nothing came for this long counts as gone, and its link as silent. */
const silenceTimeout: Milliseconds = 1_500;
const minimumReopenDelay: Milliseconds = 200;
const maximumReopenDelay: Milliseconds = 2_000;
/** A peer that is not a seed and could not be reached for so often in a row is forgotten. */
const failuresUntilForgotten = 30;
const topicNames: readonly TopicName[] = ["configuration", "backendServers"];

/** The other gateways that live. */
export function livePeers(state: GatewayState, now: Milliseconds): readonly Peer[] {
    return [...state.peers.values()].filter(peer => isLive(peer, now));
}

/** Gateways that live, this one included. */
export function countLiveInstances(state: GatewayState, now: Milliseconds): number {
    return livePeers(state, now).length + 1;
}

/** Gateways that live or may live where this one doesn't reach them, this one included. */
export function countKnownInstances({ peers }: GatewayState): number {
    return peers.size + 1;
}

function isLive({ heardAt }: Peer, now: Milliseconds): boolean {
    return heardAt !== undefined && now - heardAt <= silenceTimeout;
}

/** The shortest time between two reports to one peer. */
function reportInterval(state: GatewayState): Milliseconds {
    return Math.max(loadInterval, loadIntervalPerPeer * state.peers.size);
}

/** Opens links, leaves silent ones, and sends the reports that are due. */
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
    if (now - Math.max(peer.openedAt, peer.heardAt ?? 0) > silenceTimeout) {
        effects.push({ kind: "closePeerLink", address: peer.address });
        return handlePeerLinkClosed(transaction, peer.address);
    }
    const minimumInterval = reportInterval(state);
    const elapsedSinceReport = now - peer.sentAt;
    if (
        peer.link === "open"
        && (elapsedSinceReport >= heartbeatInterval
            || (elapsedSinceReport >= minimumInterval && peer.sentLoadsVersion !== state.loadsVersion))
    ) {
        sendReport(transaction, peer);
    }
}

/** Tells all peers at once what was read. */
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
        heardAt: undefined,
        link: "closed",
        reopenAt: 0,
        openedAt: 0,
        sentAt: 0,
        failures: 0,
        sentLoadsVersion: 0,
        sentLoads: new Map(),
        through: unknownOffsets,
        loads: new Map(),
    });
}

/** What a peer is told now. It is taken as told, since a link loses nothing before it closes. */
function createReport(state: GatewayState, peer: Peer, now: Milliseconds): PeerReport {
    const isFull = peer.sentLoads.size === 0;
    const loads = changedLoads(state, peer);
    loads.forEach(load => peer.sentLoads.set(load.backendServer, load));
    peer.sentLoadsVersion = state.loadsVersion;
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
    };
}

function laterOffset(one: LogOffset | undefined, other: LogOffset | undefined): LogOffset | undefined {
    return one === undefined || (other !== undefined && other > one) ? other : one;
}

/** Loads of engines that the peer was not told of. Plain services are balanced by what each gateway sees itself. */
function changedLoads(state: GatewayState, { sentLoads: toldLoads }: Peer): PeerLoad[] {
    const ended = [...toldLoads.values()]
        .filter(told => !state.loads.has(told.backendServer) && !isIdle(told))
        .map(({ backendServer }) => ({ backendServer, inProgress: 0, memoryTokens: 0, waitingTokens: 0 }));
    const changed = [...state.loads]
        .filter(([id]) => isEngine(state, id))
        .map(([backendServer, load]) => ({ backendServer, ...load }))
        .filter(load => !isSameLoad(load, toldLoads.get(load.backendServer)));
    return [...changed, ...ended];
}

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
        && one.waitingTokens === other.waitingTokens;
}

function createTopicReport(state: GatewayState, name: TopicName, peer: Peer, now: Milliseconds): PeerTopic {
    const { next, changedThrough, items, freshAsOf, lastRead } = state.followers[name];
    if (next === undefined || freshAsOf === undefined || lastRead === undefined) {
        return { name, since: 0, through: undefined, read: { reader: state.incarnation, count: 0 }, age: 0, items: [] };
    }
    // What the peer has is only known once it has reported on this link.
    const known: LogOffset = peer.through[name] ?? 0;
    const isOpen = peer.link === "open";
    const missing = isOpen && changedThrough > known ? [...items.values()].filter(({ offset }) => offset >= known) : [];
    const through = isOpen ? next : undefined;
    return { name, since: known, through, read: lastRead, age: now - freshAsOf, items: missing };
}

/** Takes a peer's report. */
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
    peer.heardAt = now;
    peer.failures = 0;
    const kept = report.isFull ? [] : peer.loads;
    peer.loads = new Map([...kept, ...report.loads.map(load => [load.backendServer, load] as const)]);
    report.topics.forEach(topic => handlePeerTopic(transaction, peer, topic, items));
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
    // What was sent to it meanwhile may be on its way; what it says is sure.
    peer.through = { ...peer.through, [topic.name]: topic.through };
    const known = follower.next ?? 0;
    if (topic.through < known || topic.since > known) {
        return;
    }
    applyItems(transaction, topic.name, items[topic.name], topic.through);
    recordFreshness(follower, topic.read, now - topic.age);
}

/** Takes the end of a link, or a link that could not be opened. */
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

/** What the live peers have at work at a server, together. */
export function peerLoad(state: GatewayState, id: BackendServerId, now: Milliseconds): Omit<PeerLoad, "backendServer"> {
    const total = { inProgress: 0, memoryTokens: 0, waitingTokens: 0 };
    for (const peer of state.peers.values()) {
        const load = peer.loads.get(id);
        if (load !== undefined && isLive(peer, now)) {
            total.inProgress += load.inProgress;
            total.memoryTokens += load.memoryTokens;
            total.waitingTokens += load.waitingTokens;
        }
    }
    return total;
}
