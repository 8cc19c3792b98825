/**
 * The other gateways: who lives, what they have at work, and what they know of the platform's topics. Membership spreads
 * by reports, from the seeds on; nothing is elected.
 */
import { backoff } from "@verbenaspring/coordination";
import type { BackendServerId, LogOffset, Milliseconds, PeerAddress } from "@verbenaspring/model";
import type { GatewayEvent, TopicName } from "./event.js";
import { takeItems } from "./followers.js";
import type { PeerLoad, PeerReport, PeerTopic } from "./peerReport.js";
import type { GatewayState, Peer } from "./state.js";
import { record, type Transaction } from "./transaction.js";

type PeerReported = Extract<GatewayEvent, { readonly kind: "peerReported"; }>;

/** The shortest time between two reports to one peer. */
const shortestInterval: Milliseconds = 150;
/** The time between two reports to one peer grows with their number, so that the work stays the same. */
const intervalForPeer: Milliseconds = 12;
/** A peer from which nothing came for so many intervals counts as gone. */
const intervalsUntilGone = 6;
const shortestLife: Milliseconds = 1_500;
const shortestRetry: Milliseconds = 200;
const longestRetry: Milliseconds = 2_000;
/** A peer that is not a seed and has failed for so often in a row is forgotten. */
const failuresUntilForgotten = 40;
const topicNames: readonly TopicName[] = ["configuration", "backendServers"];

/** The other gateways that live. */
export function livePeers(state: GatewayState, now: Milliseconds): readonly Peer[] {
    const longestSilence = Math.max(shortestLife, intervalsUntilGone * intervalOf(state));
    return [...state.peers.values()].filter(({ heardAt }) => heardAt !== undefined && now - heardAt <= longestSilence);
}

/** Gateways that live, this one included. */
export function liveInstances(state: GatewayState, now: Milliseconds): number {
    return livePeers(state, now).length + 1;
}

function intervalOf(state: GatewayState): Milliseconds {
    return Math.max(shortestInterval, intervalForPeer * state.peers.size);
}

/** Sends the reports that are due. */
export function tendPeers(transaction: Transaction): void {
    const { state, now } = transaction;
    state.options.seedAddresses.forEach(address => learnPeer(state, address));
    for (const peer of [...state.peers.values()]) {
        if (now >= peer.exchangeAgainAt) {
            exchange(transaction, peer);
        }
    }
}

/** Tells all peers at once what changed. */
export function informPeers(transaction: Transaction): void {
    livePeers(transaction.state, transaction.now).forEach(peer => exchange(transaction, peer));
}

function exchange(transaction: Transaction, peer: Peer): void {
    const { state, now, effects } = transaction;
    if (peer.isExchanging) {
        // What changed meanwhile goes out as soon as the answer is here.
        peer.exchangeAgainAt = now;
        return;
    }
    peer.isExchanging = true;
    peer.exchangeAgainAt = now + intervalOf(state);
    effects.push({ kind: "exchangeReports", address: peer.address, report: reportFor(state, peer, now) });
}

function learnPeer(state: GatewayState, address: PeerAddress): void {
    if (address === state.options.peerAddress || state.peers.has(address)) {
        return;
    }
    state.peers.set(address, {
        address,
        incarnation: undefined,
        isStopping: false,
        heardAt: undefined,
        isExchanging: false,
        exchangeAgainAt: 0,
        failures: 0,
        through: { configuration: undefined, backendServers: undefined },
        loads: new Map(),
    });
}

/**
 * What this gateway tells a peer.
 *
 * @param peer the receiver; undefined where it is not known yet
 * @example
 * const report = reportFor(state, state.peers.get(address), now);
 */
export function reportFor(state: GatewayState, peer: Peer | undefined, now: Milliseconds): PeerReport {
    return {
        address: state.options.peerAddress,
        incarnation: state.incarnation,
        members: livePeers(state, now).map(({ address }) => address),
        isStopping: state.stopRequestedAt !== undefined,
        topics: topicNames.map(name => topicFor(state, name, peer?.through[name], now)),
        loads: [...state.loads].map(([backendServer, load]) => ({ backendServer, ...load })),
    };
}

function topicFor(
    state: GatewayState,
    name: TopicName,
    known: LogOffset | undefined,
    now: Milliseconds,
): PeerTopic {
    const { next, changedThrough, items, freshAsOf } = state.followers[name];
    const age = freshAsOf === undefined ? 0 : now - freshAsOf;
    if (next === undefined || freshAsOf === undefined) {
        return { name, through: undefined, age, items: [] };
    }
    const isBehind = known === undefined || changedThrough > known;
    const missing = isBehind ? [...items.values()].filter(({ offset }) => offset >= (known ?? 0)) : [];
    return { name, through: next, age, items: missing };
}

/** Takes a peer's report. */
export function takePeerReport(transaction: Transaction, { report, items }: PeerReported): void {
    const { state, now } = transaction;
    learnPeer(state, report.address);
    const peer = state.peers.get(report.address);
    if (peer === undefined) {
        return;
    }
    if (peer.incarnation !== report.incarnation) {
        record(transaction, "info", "peer_joined", { peer: peer.address, incarnation: report.incarnation });
    }
    report.members.forEach(address => learnPeer(state, address));
    peer.incarnation = report.incarnation;
    peer.isStopping = report.isStopping;
    peer.heardAt = now;
    peer.isExchanging = false;
    peer.failures = 0;
    peer.loads = new Map(report.loads.map(load => [load.backendServer, load]));
    const throughOf = (name: TopicName): LogOffset | undefined =>
        report.topics.find(topic => topic.name === name)?.through;
    peer.through = { configuration: throughOf("configuration"), backendServers: throughOf("backendServers") };
    report.topics.forEach(topic => takePeerTopic(transaction, topic, items));
}

function takePeerTopic(transaction: Transaction, topic: PeerTopic, items: PeerReported["items"]): void {
    const { state, now } = transaction;
    const follower = state.followers[topic.name];
    if (topic.through === undefined || topic.through < (follower.next ?? 0)) {
        return;
    }
    takeItems(transaction, topic.name, items[topic.name], topic.through);
    follower.freshAsOf = Math.max(follower.freshAsOf ?? 0, now - topic.age);
}

/** Takes an exchange that failed. */
export function takePeerFailed(transaction: Transaction, address: PeerAddress): void {
    const { state, now, source } = transaction;
    const peer = state.peers.get(address);
    if (peer === undefined) {
        return;
    }
    peer.isExchanging = false;
    peer.failures++;
    peer.exchangeAgainAt = now + backoff(peer.failures, shortestRetry, longestRetry, source.random);
    if (peer.failures === 1) {
        record(transaction, "info", "peer_unreachable", { peer: address, incarnation: peer.incarnation });
    }
    const isSeed = state.options.seedAddresses.includes(address);
    if (!isSeed && peer.failures >= failuresUntilForgotten) {
        state.peers.delete(address);
    }
}

/** What the live peers have at work at a server, together. */
export function peerLoad(state: GatewayState, id: BackendServerId, now: Milliseconds): Omit<PeerLoad, "backendServer"> {
    const total = { inProgress: 0, memoryTokens: 0, waitingTokens: 0 };
    for (const { loads } of livePeers(state, now)) {
        const load = loads.get(id);
        total.inProgress += load?.inProgress ?? 0;
        total.memoryTokens += load?.memoryTokens ?? 0;
        total.waitingTokens += load?.waitingTokens ?? 0;
    }
    return total;
}
