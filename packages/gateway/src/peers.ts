/**
 * The links of a gateway to others: to its neighbours in the overlay of all live gateways, and to those that want a link
 * themselves. Records of members, notices of servers and records of topics are passed on over them. A gateway first
 * looks for others at its seed addresses.
 */
import { backoff, overlayNeighbours } from "@verbenaspring/coordination";
import type { Milliseconds, PeerAddress } from "@verbenaspring/model";
import { applyPeerSuspects, suspectsAfter } from "./crashSuspects.js";
import type { GatewayEvent } from "./event.js";
import { applyPeerNotices, noticesAfter } from "./leavingServers.js";
import {
    acceptLegacyReport,
    acceptRecord,
    engineLoads,
    forgetMembers,
    heartbeatInterval,
    isFullMesh,
    isLive,
    isPlacementDue,
    liveAddresses,
    liveMembers,
    publishIfDue,
    publishRecord,
} from "./members.js";
import { recordClockSample } from "./peerClocks.js";
import { createConfigurationReport, handlePeerConfiguration } from "./peerConfigurations.js";
import { type PeerReport, type RelayedRecord, reportProtocol } from "./peerReport.js";
import { createTopicReports, handlePeerTopic, hasNewReads, hasOwnReads } from "./peerTopics.js";
import type { GatewayState, Peer } from "./state.js";
import { logDecision, type Transaction } from "./transaction.js";
import { echoFor, logLateReport, longestTransmission, recordHeard } from "./transmissions.js";

type PeerReported = Extract<GatewayEvent, { readonly kind: "peerReported"; }>;

/** The longest time between two reports on a link while this gateway reads a topic, which keeps it fresh for the peer. */
const readerHeartbeatInterval: Milliseconds = 500;
/** The shortest time between two reports on a link that only pass on records of others. */
const relayInterval: Milliseconds = 100;
/** A peer without a report for this many of the longest times between two counts as dead, and its link is closed. */
const heartbeatsUntilSilent = 3;
const minimumReopenDelay: Milliseconds = 200;
const maximumReopenDelay: Milliseconds = 2_000;
/** How often the neighbours are chosen again without a change of the members. */
const wantedInterval: Milliseconds = 500;
/** How long a link stays open that neither end wants. */
const unwantedLinkRetention: Milliseconds = 2_000;
/** How often a gateway tries one that it has no news of: the overlay may have fallen apart. */
const probeInterval: Milliseconds = 2_000;
/** How long a probed gateway is wanted. */
const probeDuration: Milliseconds = 1_500;
/** Members of a full mesh pass on each other's records if so many more would end it: others may count more already. */
const relayingMeshMargin = 3;

/** Opens and closes links, and sends the reports that are due. */
export function maintainPeers(transaction: Transaction): void {
    const { state, now } = transaction;
    if (publishIfDue(transaction)) {
        markOwnRecord(state);
    }
    if (now - state.wantedAt >= wantedInterval || state.wantedMembershipVersion !== state.membershipVersion) {
        updateWanted(transaction);
    }
    [...state.peers.values()].forEach(peer => maintainPeer(transaction, peer));
}

function markOwnRecord({ peers, options }: GatewayState): void {
    peers.forEach(peer => peer.pending.add(options.peerAddress));
}

/** Chooses the gateways to which this one wants links. */
function updateWanted(transaction: Transaction): void {
    const { state, now } = transaction;
    forgetMembers(state, now);
    const wanted = wantedAddresses(transaction);
    state.wantedAt = now;
    state.wantedMembershipVersion = state.membershipVersion;
    wanted.forEach(address => addPeer(state, address));
    state.peers.forEach(peer => {
        const isWanted = wanted.has(peer.address);
        if (peer.isWanted && !isWanted) {
            peer.unwantedSince = now;
        }
        peer.isWanted = isWanted;
    });
}

function wantedAddresses(transaction: Transaction): ReadonlySet<PeerAddress> {
    const { state, now } = transaction;
    const { options } = state;
    const live = liveMembers(state, now);
    const current = live.filter(({ isLegacy }) => !isLegacy).map(({ record }) => record);
    const own = { address: options.peerAddress, failureDomain: options.failureDomain };
    const neighbours = overlayNeighbours(own, current, options.overlay) as ReadonlySet<PeerAddress>;
    const legacy = live.filter(({ isLegacy }) => isLegacy).map(({ record }) => record.address);
    const hasLinks = [...state.peers.values()].some(({ link }) => link === "open");
    const seeds = isFullMesh(state) || !hasLinks ? options.seedAddresses : [];
    const probed = probedAddress(transaction, neighbours);
    const wanted = new Set([...neighbours, ...legacy, ...seeds, ...state.hintedAddresses, ...probed]);
    wanted.delete(options.peerAddress);
    return wanted;
}

/** From time to time one gateway that this one has no news of. */
function probedAddress(
    { state, now, source }: Transaction,
    neighbours: ReadonlySet<PeerAddress>,
): readonly PeerAddress[] {
    const { probe } = state;
    if (probe !== undefined && now - probe.startedAt < probeInterval) {
        return now - probe.startedAt < probeDuration && probe.address !== undefined ? [probe.address] : [];
    }
    const silent = [...state.members.values()].filter(member => !isLive(state, member, now));
    const unknownSeeds = state.options.seedAddresses.filter(address => !state.members.has(address));
    const candidates = [...unknownSeeds, ...silent.map(({ record }) => record.address)].filter(address =>
        address !== state.options.peerAddress && !neighbours.has(address)
    );
    const address = candidates.length === 0 ? undefined : candidates[Math.floor(source.random() * candidates.length)];
    state.probe = { address, startedAt: now };
    return address === undefined ? [] : [address];
}

function maintainPeer(transaction: Transaction, peer: Peer): void {
    const { state, now, effects } = transaction;
    if (peer.link === "closed") {
        if (!peer.isWanted) {
            state.peers.delete(peer.address);
        }
        else if (now >= peer.reopenAt) {
            startLink(state, peer, "opening", now);
            effects.push({ kind: "openPeerLink", address: peer.address, report: createReport(state, peer, now) });
        }
        return;
    }
    if (now - Math.max(peer.openedAt, peer.lastReportAt ?? 0) > heartbeatsUntilSilent * heartbeatInterval(state)) {
        effects.push({ kind: "closePeerLink", address: peer.address });
        return handlePeerLinkClosed(transaction, peer.address);
    }
    if (peer.link === "open" && isUnwanted(peer, now)) {
        effects.push({ kind: "closePeerLink", address: peer.address });
        state.peers.delete(peer.address);
        return;
    }
    if (peer.link === "open" && isReportDue(state, peer, now)) {
        sendReport(transaction, peer);
    }
}

function isUnwanted({ isWanted, wantsLink, unwantedSince, openedAt }: Peer, now: Milliseconds): boolean {
    return !isWanted && !wantsLink && now - Math.max(unwantedSince, openedAt) > unwantedLinkRetention;
}

function isReportDue(state: GatewayState, peer: Peer, now: Milliseconds): boolean {
    const elapsed = now - peer.sentAt;
    const longest = hasOwnReads(state, peer) ? readerHeartbeatInterval : heartbeatInterval(state);
    if (elapsed >= longest || peer.pending.has(state.options.peerAddress)) {
        return true;
    }
    return elapsed >= relayInterval && (peer.pending.size > 0 || (!isFullMesh(state) && hasNewReads(state, peer)));
}

/**
 * Reports runs that were just placed and requests that wait, without waiting for the next tick: until the others know of
 * them, they choose the same engines.
 */
export function reportPlacements(transaction: Transaction): void {
    if (isPlacementDue(transaction.state, transaction.now)) {
        publishAndReport(transaction);
    }
}

/** Publishes a new version of this gateway's record, and sends it to every peer with an open link. */
export function publishAndReport(transaction: Transaction): void {
    publishRecord(transaction);
    markOwnRecord(transaction.state);
    reportToPeers(transaction);
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

function startLink(state: GatewayState, peer: Peer, link: "opening" | "open", now: Milliseconds): void {
    peer.link = link;
    peer.openedAt = now;
    peer.sentAt = now;
    peer.sentNotices = 0;
    peer.sentSuspects = 0;
    peer.through = unknownOffsets;
    peer.requestedTopics.clear();
    peer.lackingTopics.clear();
    peer.configurationVersion = undefined;
    peer.isConfigurationDue = false;
    peer.configurationDelivery = undefined;
    peer.configurationSentAt = -Infinity;
    peer.sentReads = noReads;
    peer.pending.clear();
    peer.pending.add(state.options.peerAddress);
    state.members.forEach((_, address) => peer.pending.add(address));
}

const unknownOffsets = { configuration: undefined, backendServers: undefined };
const noReads = { configuration: undefined, backendServers: undefined };

function addPeer(state: GatewayState, address: PeerAddress): Peer | undefined {
    if (address === state.options.peerAddress) {
        return undefined;
    }
    const known = state.peers.get(address);
    if (known !== undefined) {
        return known;
    }
    const peer: Peer = {
        address,
        incarnation: undefined,
        protocol: undefined,
        isWanted: false,
        unwantedSince: -Infinity,
        wantsLink: false,
        lastReportAt: undefined,
        reportedAsOf: undefined,
        heard: undefined,
        clockSamples: [],
        lateReportLoggedAt: -Infinity,
        link: "closed",
        reopenAt: 0,
        openedAt: 0,
        sentAt: 0,
        failures: 0,
        sentNotices: 0,
        sentSuspects: 0,
        pending: new Set(),
        through: unknownOffsets,
        requestedTopics: new Set(),
        lackingTopics: new Set(),
        configurationVersion: undefined,
        isConfigurationDue: false,
        configurationDelivery: undefined,
        configurationSentAt: -Infinity,
        sentReads: noReads,
    };
    state.peers.set(address, peer);
    return peer;
}

/**
 * Creates the next report to a peer, and records its contents as known there: a link delivers everything in order until
 * it closes.
 */
function createReport(state: GatewayState, peer: Peer, now: Milliseconds): PeerReport {
    const leavingServers = noticesAfter(state, peer.sentNotices);
    peer.sentNotices = state.noticeCount;
    const crashSuspects = suspectsAfter(state, peer.sentSuspects, now);
    peer.sentSuspects = state.crashSuspects.changeCount;
    const records = [...peer.pending].flatMap(address => relayedRecord(state, address, now));
    peer.pending.clear();
    // A gateway of an older version knows no records. The version is only certain after the peer has reported.
    const isCurrent = peer.protocol !== undefined && peer.protocol > 0;
    return {
        address: state.options.peerAddress,
        incarnation: state.incarnation,
        protocol: reportProtocol,
        wantsLink: peer.isWanted,
        sentAt: now,
        echo: echoFor(peer, now),
        records,
        members: isCurrent ? [] : liveAddresses(state, now),
        isStopping: state.stopRequestedAt !== undefined,
        topics: createTopicReports(state, peer, now),
        ...createConfigurationReport(state, peer, now),
        loads: isCurrent ? [] : engineLoads(state),
        isFull: true,
        waitingRequests: state.waiting.size,
        requestLimits: isCurrent ? [] : state.own.record?.requestLimits ?? [],
        leavingServers,
        crashSuspects,
    };
}

function relayedRecord(state: GatewayState, address: PeerAddress, now: Milliseconds): RelayedRecord[] {
    const { own, members, options } = state;
    if (address === options.peerAddress) {
        return own.record === undefined ? [] : [{ record: own.record, age: now - own.publishedAt }];
    }
    const member = members.get(address);
    const canRelay = member !== undefined && !member.isLegacy && isLive(state, member, now);
    return canRelay ? [{ record: member.record, age: now - member.heardAt }] : [];
}

/** Handles a report of a peer. */
export function handlePeerReport(transaction: Transaction, { report, items }: PeerReported): void {
    const { state, now } = transaction;
    const peer = addPeer(state, report.address);
    if (peer === undefined) {
        return;
    }
    const isNewIncarnation = peer.incarnation !== undefined && peer.incarnation !== report.incarnation;
    if (isNewIncarnation) {
        peer.heard = undefined;
        peer.clockSamples.length = 0;
    }
    if (peer.link !== "open" || isNewIncarnation) {
        startLink(state, peer, "open", now);
    }
    peer.incarnation = report.incarnation;
    peer.protocol = report.protocol;
    peer.wantsLink = report.wantsLink || report.protocol === 0;
    peer.lastReportAt = now;
    recordHeard(peer, report, now);
    recordClockSample(peer, report, now);
    const transmission = longestTransmission(report, now);
    if (transmission !== undefined) {
        peer.reportedAsOf = now - transmission;
    }
    logLateReport(transaction, peer, report, transmission);
    peer.failures = 0;
    state.hintedAddresses.delete(report.address);
    if (report.protocol === 0) {
        acceptLegacyReport(transaction, report);
        report.members.filter(address => !state.members.has(address)).forEach(address => addHint(state, address));
    }
    report.records.forEach(relayed => handleRecord(transaction, peer, relayed, transmission));
    const changes = report.topics.map(topic =>
        handlePeerTopic(transaction, peer, topic, { report, items, transmission })
    );
    changes.push(handlePeerConfiguration(transaction, peer, report, items));
    applyPeerNotices(transaction, report.leavingServers);
    applyPeerSuspects(transaction, report.crashSuspects);
    if (changes.includes(true) && !isFullMesh(state)) {
        reportToPeers(transaction);
    }
    else if (peer.requestedTopics.size > 0 || peer.lackingTopics.size > 0 || peer.isConfigurationDue) {
        sendReport(transaction, peer);
    }
}

/** Only gateways of an older version name others by their addresses. More than these are learnt later. */
const maximumHints = 64;

function addHint({ hintedAddresses, options }: GatewayState, address: PeerAddress): void {
    if (hintedAddresses.size < maximumHints && address !== options.peerAddress) {
        hintedAddresses.add(address);
    }
}

/** Accepts a record and passes it on, or sends the peer the newer one that is known. */
function handleRecord(
    transaction: Transaction,
    peer: Peer,
    relayed: RelayedRecord,
    transmission: Milliseconds | undefined,
): void {
    const { state } = transaction;
    const { address, incarnation, incarnationNumber, version } = relayed.record;
    const publishedAt = state.own.publishedAt;
    if (acceptRecord(transaction, relayed, transmission)) {
        peer.pending.delete(address);
        relayRecord(state, peer, address);
        return;
    }
    if (state.own.publishedAt !== publishedAt) {
        return markOwnRecord(state);
    }
    const known = address === state.options.peerAddress ? state.own.record : state.members.get(address)?.record;
    const isSame = known?.incarnation === incarnation && known.incarnationNumber === incarnationNumber
        && known.version === version;
    if (isSame) {
        peer.pending.delete(address);
    }
    else {
        peer.pending.add(address);
    }
}

function relayRecord(state: GatewayState, from: Peer, address: PeerAddress): void {
    const { live, options } = state;
    const isSmallMesh = live.members.length < options.overlay.meshSize - relayingMeshMargin;
    if (isSmallMesh && from.address === address) {
        return;
    }
    for (const peer of state.peers.values()) {
        if (peer !== from && peer.address !== address && peer.link === "open") {
            peer.pending.add(address);
        }
    }
}

/** Handles the loss of reports on a link that stays open: nothing counts as known to the peer until it reports again. */
export function handlePeerReportsLost({ state, now }: Transaction, address: PeerAddress): void {
    const peer = state.peers.get(address);
    if (peer?.link === "open") {
        startLink(state, peer, "open", now);
    }
}

/** Handles the end of a link, or a link that could not be opened. */
export function handlePeerLinkClosed(transaction: Transaction, address: PeerAddress): void {
    const { state, now, source } = transaction;
    const peer = state.peers.get(address);
    if (peer === undefined || peer.link === "closed") {
        return;
    }
    peer.link = "closed";
    peer.heard = undefined;
    peer.failures++;
    peer.wantsLink = false;
    peer.reopenAt = now + backoff(peer.failures, minimumReopenDelay, maximumReopenDelay, source.random);
    state.hintedAddresses.delete(address);
    if (!peer.isWanted) {
        state.peers.delete(address);
        return;
    }
    if (peer.failures === 1) {
        logDecision(transaction, "info", "peer_unreachable", { peer: address, incarnation: peer.incarnation });
    }
}
