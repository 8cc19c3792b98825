/**
 * The other gateways: each publishes a record of its state under rising versions, and the newest record of each gateway
 * spreads over the links. There is no election, and no gateway keeps the list for the others.
 */
import type { BackendServerId, Milliseconds, PeerAddress } from "@verbenaspring/model";
import type { MemberRecord, PeerLoad, PeerReport, RelayedRecord } from "./peerReport.js";
import { applyPeerLimit, observedLimits } from "./requestLimits.js";
import { engineOf } from "./serverLoad.js";
import type { GatewayState, ServerLoad } from "./state.js";
import { logDecision, type Transaction } from "./transaction.js";

/** Another gateway, as its newest known record describes it. */
export interface Member {
    readonly record: MemberRecord;
    /** When the record was published, as far as this gateway can tell. */
    readonly heardAt: Milliseconds;
    /** Whether it runs an older version, which reports only to gateways that it has a link to. */
    readonly isLegacy: boolean;
}

/** The record of this gateway, and what had been published in it. */
export interface OwnRecord {
    record: MemberRecord | undefined;
    publishedAt: Milliseconds;
    /** Higher than that of an earlier process at the same address that others still know. */
    incarnationNumber: number;
    loadsVersion: number;
    placements: number;
    waitingRequests: number;
}

/** The live members, as of the last time that this was computed; their records may be newer by now. */
export interface LiveMembers {
    readonly computedAt: Milliseconds;
    readonly membershipVersion: number;
    readonly members: readonly Member[];
}

/** Sums over the live members, which are computed again when a record has changed. */
export interface MemberTotals {
    readonly computedAt: Milliseconds;
    readonly membersVersion: number;
    readonly loads: ReadonlyMap<BackendServerId, ServerLoad>;
    readonly waitingRequests: number;
}

/** The longest time between two versions of a gateway's record; with more members it is longer. */
const minimumHeartbeatInterval: Milliseconds = 500;
/** In a full mesh every version is sent on every link, and a report takes about half a millisecond at its two ends. */
const heartbeatIntervalPerMeshMember: Milliseconds = 40;
const maximumMeshHeartbeatInterval: Milliseconds = 1_000;
const loadIntervalPerMeshMember: Milliseconds = 25;
/** The shortest time between two versions that were only published for changed loads. */
const minimumLoadInterval: Milliseconds = 100;
/**
 * Both times are at least this long for each member. That bounds the records of all gateways that reach each of them,
 * whatever their number.
 */
const intervalPerMember: Milliseconds = 15;
/** The shortest time between two versions for placed runs, for each member of a full mesh and of a larger overlay. */
const placementIntervalInMesh: Milliseconds = 0.5;
const placementIntervalInOverlay: Milliseconds = 2;
/** A member without a new record for this many heartbeat intervals counts as dead. */
const heartbeatsUntilDead = 3;
/** How long a record may take to reach every gateway of an overlay. */
const spreadTime: Milliseconds = 700;
/** A gateway without a new record for this long is assumed to have stopped, and not just to be out of reach. */
const outOfReachTimeout: Milliseconds = 10_000;
/** Gateways that are out of reach are forgotten after this time. */
const memberRetention: Milliseconds = 60_000;
/** How often live members and sums are computed again without a change: members may have died. */
const livenessInterval: Milliseconds = 250;

/** The number of live gateways, including this one. */
export function countLiveInstances(state: GatewayState, now: Milliseconds): number {
    return liveMembers(state, now).length + 1;
}

/** The number of known gateways, including this one and those that are out of reach but may be alive. */
export function countKnownInstances({ members }: GatewayState): number {
    return members.size + 1;
}

/** The other gateways that are alive. */
export function liveMembers(state: GatewayState, now: Milliseconds): readonly Member[] {
    const { computedAt, membershipVersion } = state.live;
    if (membershipVersion !== state.membershipVersion || now - computedAt >= livenessInterval) {
        const members = [...state.members.values()].filter(member => isLive(state, member, now));
        state.live = { computedAt: now, membershipVersion: state.membershipVersion, members };
    }
    return state.live.members;
}

/** The other gateways that are alive, or were a moment ago: one that is out of reach may still send requests. */
export function recentMembers({ members }: GatewayState, now: Milliseconds): readonly Member[] {
    return [...members.values()].filter(({ heardAt }) => now - heardAt <= outOfReachTimeout);
}

/** Whether all live gateways have links to each other. */
export function isFullMesh(state: GatewayState): boolean {
    return state.live.members.length < state.options.overlay.meshSize;
}

/** Whether a member's record is recent enough for it to be alive. */
export function isLive(state: GatewayState, { heardAt }: Member, now: Milliseconds): boolean {
    const spread = isFullMesh(state) ? 0 : spreadTime;
    return now - heardAt <= heartbeatsUntilDead * heartbeatInterval(state) + spread;
}

function memberCount({ live }: GatewayState): number {
    return live.members.length;
}

/** The longest time between two versions of a gateway's record, and between two reports on a link. */
export function heartbeatInterval(state: GatewayState): Milliseconds {
    const interval = isFullMesh(state)
        ? Math.min(maximumMeshHeartbeatInterval, heartbeatIntervalPerMeshMember * memberCount(state))
        : intervalPerMember * memberCount(state);
    return Math.max(minimumHeartbeatInterval, interval);
}

function loadInterval(state: GatewayState): Milliseconds {
    const perMember = isFullMesh(state) ? loadIntervalPerMeshMember : intervalPerMember;
    return Math.max(minimumLoadInterval, perMember * memberCount(state));
}

function placementInterval(state: GatewayState): Milliseconds {
    return (isFullMesh(state) ? placementIntervalInMesh : placementIntervalInOverlay) * memberCount(state);
}

/** Publishes a new version of this gateway's record if one is due. Returns whether it did. */
export function publishIfDue(transaction: Transaction): boolean {
    const { state, now } = transaction;
    const { own } = state;
    const elapsed = now - own.publishedAt;
    const isDue = own.record === undefined
        || elapsed >= heartbeatInterval(state)
        || (elapsed >= loadInterval(state) && own.loadsVersion !== state.loadsVersion)
        || isPlacementDue(state, now);
    if (isDue) {
        publishRecord(transaction);
    }
    return isDue;
}

/** Whether placed runs or waiting requests are to be published without waiting for the next tick. */
export function isPlacementDue(state: GatewayState, now: Milliseconds): boolean {
    const { own } = state;
    const hasChanged = own.placements !== state.placements || own.waitingRequests !== state.waiting.size;
    return hasChanged && now - own.publishedAt >= placementInterval(state);
}

/** Publishes a new version of this gateway's record. */
export function publishRecord({ state, now }: Transaction): void {
    const { own, options, incarnation } = state;
    own.record = {
        address: options.peerAddress,
        incarnation,
        incarnationNumber: own.incarnationNumber,
        version: (own.record?.version ?? 0) + 1,
        failureDomain: options.failureDomain,
        isStopping: state.stopRequestedAt !== undefined,
        linkRate: options.linkRate,
        waitingRequests: state.waiting.size,
        loads: engineLoads(state),
        requestLimits: observedLimits(state, now),
    };
    own.publishedAt = now;
    own.loadsVersion = state.loadsVersion;
    own.placements = state.placements;
    own.waitingRequests = state.waiting.size;
}

/** The loads of this gateway at engines. Plain services are omitted: each gateway balances them by its own requests. */
export function engineLoads(state: GatewayState): PeerLoad[] {
    return [...state.loads]
        .filter(([id]) => isEngine(state, id))
        .map(([backendServer, load]) => ({ backendServer, ...load }));
}

function isEngine(state: GatewayState, id: BackendServerId): boolean {
    const server = state.servers.get(id);
    return server !== undefined && engineOf(state, server.record.service) !== undefined;
}

/**
 * Accepts a record that another gateway reports, if it is newer than the known one. Returns whether it was, and so has
 * to be passed on.
 *
 * @param transmission the longest that the report can have been under way; undefined if unknown
 */
export function acceptRecord(
    transaction: Transaction,
    { record, age }: RelayedRecord,
    transmission: Milliseconds | undefined,
): boolean {
    const { state, now } = transaction;
    if (record.address === state.options.peerAddress) {
        outnumberPredecessor(transaction, record);
        return false;
    }
    const known = state.members.get(record.address);
    const heardAt = now - age;
    if (known !== undefined && !isNewer(state, record, known, now)) {
        return false;
    }
    setMember(transaction, { record, heardAt, isLegacy: false });
    record.requestLimits.forEach(limit => applyPeerLimit(transaction, limit, heardAt - (transmission ?? Infinity)));
    return true;
}

/** Publishes under a higher incarnation number if others still know an earlier process at this gateway's address. */
function outnumberPredecessor(transaction: Transaction, { incarnation, incarnationNumber }: MemberRecord): void {
    const { own } = transaction.state;
    if (incarnation !== transaction.state.incarnation && incarnationNumber >= own.incarnationNumber) {
        own.incarnationNumber = incarnationNumber + 1;
        publishRecord(transaction);
    }
}

function isNewer(state: GatewayState, record: MemberRecord, known: Member, now: Milliseconds): boolean {
    const { incarnation, incarnationNumber, version } = known.record;
    if (record.incarnation === incarnation) {
        return record.incarnationNumber > incarnationNumber
            || (record.incarnationNumber === incarnationNumber && record.version > version);
    }
    return record.incarnationNumber > incarnationNumber || !isLive(state, known, now);
}

function setMember(transaction: Transaction, member: Member): void {
    const { state } = transaction;
    const { record } = member;
    const previous = state.members.get(record.address);
    if (previous?.record.incarnation !== record.incarnation || previous.record.isStopping !== record.isStopping) {
        state.membershipVersion++;
    }
    if (previous?.record.incarnation !== record.incarnation) {
        const { address: peer, incarnation, incarnationNumber } = record;
        logDecision(transaction, "info", "peer_joined", { peer, incarnation, incarnationNumber });
    }
    state.members.set(record.address, member);
    state.membersVersion++;
}

/** Takes what a gateway of an older version reports of itself for its record. */
export function acceptLegacyReport(transaction: Transaction, report: PeerReport): void {
    const { state, now } = transaction;
    const known = state.members.get(report.address)?.record;
    const previousLoads = report.isFull || known?.incarnation !== report.incarnation ? [] : known.loads;
    const loads = new Map([...previousLoads, ...report.loads].map(load => [load.backendServer, load]));
    const record: MemberRecord = {
        address: report.address,
        incarnation: report.incarnation,
        incarnationNumber: 0,
        version: (known?.version ?? 0) + 1,
        failureDomain: state.options.failureDomain,
        isStopping: report.isStopping,
        linkRate: undefined,
        waitingRequests: report.waitingRequests,
        loads: [...loads.values()],
        requestLimits: report.requestLimits,
    };
    setMember(transaction, { record, heardAt: now, isLegacy: true });
    record.requestLimits.forEach(limit => applyPeerLimit(transaction, limit, -Infinity));
}

/** Forgets gateways that have been out of reach for long. */
export function forgetMembers(state: GatewayState, now: Milliseconds): void {
    for (const [address, { heardAt }] of state.members) {
        if (now - heardAt > memberRetention) {
            state.members.delete(address);
            state.membersVersion++;
            state.membershipVersion++;
        }
    }
}

/** The requests of all live gateways that wait for capacity at an engine. */
export function countWaitingRequests(state: GatewayState, now: Milliseconds): number {
    return memberTotals(state, now).waitingRequests + state.waiting.size;
}

const noLoad: ServerLoad = { inProgress: 0, memoryTokens: 0, copiedTokens: 0, waitingTokens: 0 };

/** The sum of the live members' loads at a server. */
export function memberLoad(state: GatewayState, id: BackendServerId, now: Milliseconds): Readonly<ServerLoad> {
    return memberTotals(state, now).loads.get(id) ?? noLoad;
}

function memberTotals(state: GatewayState, now: Milliseconds): MemberTotals {
    const { computedAt, membersVersion } = state.totals;
    if (membersVersion !== state.membersVersion || now - computedAt >= livenessInterval) {
        state.totals = computeTotals(state, now);
    }
    return state.totals;
}

function computeTotals(state: GatewayState, now: Milliseconds): MemberTotals {
    const loads = new Map<BackendServerId, ServerLoad>();
    let waitingRequests = 0;
    for (const member of state.members.values()) {
        if (isLive(state, member, now)) {
            waitingRequests += member.record.waitingRequests;
            member.record.loads.forEach(load => addTo(loads, load));
        }
    }
    return { computedAt: now, membersVersion: state.membersVersion, loads, waitingRequests };
}

function addTo(loads: Map<BackendServerId, ServerLoad>, load: PeerLoad): void {
    const total = loads.get(load.backendServer) ?? { ...noLoad };
    total.inProgress += load.inProgress;
    total.memoryTokens += load.memoryTokens;
    total.copiedTokens += load.copiedTokens;
    total.waitingTokens += load.waitingTokens;
    loads.set(load.backendServer, total);
}

/** The addresses of live gateways, as gateways of an older version expect them in reports. */
export function liveAddresses(state: GatewayState, now: Milliseconds): readonly PeerAddress[] {
    return liveMembers(state, now).map(({ record }) => record.address);
}
