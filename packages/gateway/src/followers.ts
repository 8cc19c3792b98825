/**
 * Follows the topics of the platform's log. One gateway reads for all: the first by rank; the others take the records
 * from it, and read by themselves once nothing fresh has come.
 */
import { createServerHealth, type DutyPatience, dutyPatience, dutyRank } from "@verbenaspring/coordination";
import type { BackendServerId, GatewayIncarnation, LogOffset, Milliseconds, ServiceName } from "@verbenaspring/model";
import { applyRecord, applyRemoval, type BackendChange, forgetRemoved } from "./backendServers.js";
import { migrateStreams } from "./evacuation.js";
import type { DecodedItem, GatewayEvent, TopicName, TopicRecord } from "./event.js";
import type { TopicReadStamp } from "./peerReport.js";
import { livePeers, reportToPeers } from "./peers.js";
import type { RoutingConfiguration } from "./routingConfiguration.js";
import type { GatewayState, TopicFollower } from "./state.js";
import { logDecision, type Transaction } from "./transaction.js";

type TopicRead = Extract<GatewayEvent, { readonly kind: "topicRead"; }>;
type TopicReadFailed = Extract<GatewayEvent, { readonly kind: "topicReadFailed"; }>;

interface ReadPlan {
    /** How long a read waits for the first record. */
    readonly wait: Milliseconds;
    /** From the end of one read to the start of the next. */
    readonly pause: Milliseconds;
    readonly dutyTimeout: DutyPatience;
}

/**
 * A channel that went silent is found when the answer to a waiting read is overdue, and a reader that is gone when
 * nothing comes from it; both together stay under the time in which a configuration must be in force. Heartbeats come
 * all the time, so that reads of the backend servers don't wait.
 */
const readPlans: Readonly<Record<TopicName, ReadPlan>> = {
    configuration: { wait: 600, pause: 0, dutyTimeout: { base: 1_100, step: 150, longest: 1_700 } },
    backendServers: { wait: 0, pause: 400, dutyTimeout: { base: 900, step: 150, longest: 1_500 } },
};

/** From a failed read to the next one. */
const retryDelay: Milliseconds = 250;
/** The same where another gateway's reads succeed. */
const relayedRetryDelay: Milliseconds = 2_000;
/** How long the end of a key is passed on to other gateways. */
const tombstoneRetention = 2_000;

/** Gateways whose reads are remembered; more than read at any time. */
const maximumReaders = 256;

/** Starts the reads that are due. */
export function startDueReads(transaction: Transaction): void {
    startDueRead(transaction, "configuration");
    startDueRead(transaction, "backendServers");
}

function startDueRead(transaction: Transaction, topic: TopicName): void {
    const { state, now, effects } = transaction;
    const follower = state.followers[topic];
    if (follower.isReading || now < follower.nextReadAt || !isDue(transaction, topic, follower)) {
        return;
    }
    follower.isReading = true;
    if (follower.next === undefined) {
        effects.push({ kind: "readSnapshot", topic });
        return;
    }
    effects.push({ kind: "readTopic", topic, from: follower.next, wait: readPlans[topic].wait });
}

/** Whether it is for this gateway to read: by its rank, or since nothing fresh has come from the others. */
function isDue({ state, now }: Transaction, topic: TopicName, follower: TopicFollower): boolean {
    if (follower.freshAsOf === undefined) {
        return true;
    }
    const peers = livePeers(state, now).filter(peer => !peer.isStopping);
    const rank = dutyRank(state.options.peerAddress, peers.map(peer => peer.address), topic);
    return now - follower.freshAsOf >= dutyPatience(rank, readPlans[topic].dutyTimeout);
}

/** Takes the records of a read. */
export function handleTopicRead(transaction: Transaction, event: TopicRead): void {
    const { state, now } = transaction;
    const { topic, next } = event;
    const follower = state.followers[topic];
    if (follower.lastFailure !== undefined) {
        logDecision(transaction, "info", "topic_regained", { topic, next });
    }
    follower.lastFailure = undefined;
    follower.isReading = false;
    follower.nextReadAt = now + readPlans[topic].pause;
    const missing = event.isSnapshot && topic === "backendServers" ? tombstonesOfMissing(follower, event) : [];
    const hasChanged = applyItems(transaction, topic, [...event.items, ...missing], next);
    recordFreshness(
        follower,
        { reader: state.incarnation, count: knownReadCount(follower, state.incarnation) + 1 },
        now,
    );
    if (hasChanged) {
        reportToPeers(transaction);
    }
    startDueRead(transaction, topic);
}

function knownReadCount({ seenReads }: TopicFollower, reader: GatewayIncarnation): number {
    return seenReads.get(reader) ?? 0;
}

/**
 * Takes a read as news of how fresh the topic is. Each read counts once, when it is first heard of: reports that go round
 * would else make it younger by their time on the way.
 */
export function recordFreshness(follower: TopicFollower, read: TopicReadStamp, readAt: Milliseconds): void {
    if (read.count <= knownReadCount(follower, read.reader)) {
        return;
    }
    // Set anew, so that the map is in order of the last read; readers that are gone are forgotten.
    follower.seenReads.delete(read.reader);
    follower.seenReads.set(read.reader, read.count);
    const [oldest] = follower.seenReads.keys();
    if (follower.seenReads.size > maximumReaders) {
        follower.seenReads.delete(oldest);
    }
    if (follower.freshAsOf === undefined || readAt > follower.freshAsOf) {
        follower.freshAsOf = readAt;
        follower.lastRead = read;
    }
}

/** Keys that a snapshot lacks were dropped. */
function tombstonesOfMissing(follower: TopicFollower, { items, next }: TopicRead): DecodedItem[] {
    const present = new Set(items.map(({ item }) => item.key));
    return [...follower.items.values()]
        .filter(({ key, value }) => !present.has(key) && value.length > 0)
        .map(({ key }) => ({
            item: { key, offset: next - 1, value: new Uint8Array() },
            records: [{ kind: "backendServerRemoved", id: key as BackendServerId }],
        }));
}

/**
 * Takes records that were read, here or by another gateway. Returns whether they changed more than heartbeats.
 *
 * @param next the offset after the last record
 */
export function applyItems(
    transaction: Transaction,
    topic: TopicName,
    items: readonly DecodedItem[],
    next: LogOffset,
): boolean {
    const { state, now } = transaction;
    const follower = state.followers[topic];
    let hasChanged = false;
    for (const { item, records } of items) {
        if (isOutdated(state, follower, { item, records })) {
            continue;
        }
        follower.items.set(item.key, item);
        if (records.map(each => applyTopicRecord(transaction, each)).includes(true)) {
            follower.changedThrough = Math.max(follower.changedThrough, item.offset + 1);
            hasChanged = true;
        }
    }
    follower.next = Math.max(follower.next ?? 0, next);
    forgetTombstones(follower);
    if (topic === "backendServers" && forgetRemoved(state.servers, now)) {
        indexByService(transaction);
        forgetRemovedServers(transaction);
    }
    return hasChanged;
}

/** Whether a record is older than what is known: of configurations the version decides, of others the place in the log. */
function isOutdated(
    { configuration }: GatewayState,
    { items }: TopicFollower,
    { item, records }: DecodedItem,
): boolean {
    const [version] = records.flatMap(each => each.kind === "configuration" ? [each.configuration.version] : []);
    if (version !== undefined && configuration !== undefined) {
        return version < configuration.version;
    }
    const known = items.get(item.key);
    return known !== undefined && known.offset > item.offset;
}

function forgetTombstones({ items, next }: TopicFollower): void {
    for (const { key, offset, value } of items.values()) {
        if (value.length === 0 && offset < (next ?? 0) - tombstoneRetention) {
            items.delete(key);
        }
    }
}

/** Takes a failed read. */
export function handleTopicReadFailed(transaction: Transaction, { topic, failure }: TopicReadFailed): void {
    const { state, now } = transaction;
    const follower = state.followers[topic];
    follower.isReading = false;
    if (failure === "records_deleted") {
        logDecision(transaction, "info", "topic_history_deleted", { topic, next: follower.next });
        follower.next = undefined;
        follower.freshAsOf = undefined;
        return startDueRead(transaction, topic);
    }
    const age = follower.freshAsOf === undefined ? undefined : Math.round(now - follower.freshAsOf);
    if (follower.lastFailure === undefined) {
        logDecision(transaction, "warn", "topic_lost", { topic, failure, age });
    }
    follower.lastFailure = failure;
    const isRelayed = age !== undefined && age < readPlans[topic].dutyTimeout.base;
    follower.nextReadAt = now + (isRelayed ? relayedRetryDelay : retryDelay);
}

/** Takes what one record says. Returns whether it changed more than a heartbeat. */
function applyTopicRecord(transaction: Transaction, item: TopicRecord): boolean {
    const { state, now } = transaction;
    switch (item.kind) {
        case "configuration":
            return applyConfiguration(transaction, item.configuration);
        case "backendServer": {
            const previous = state.servers.get(item.record.id);
            const change = applyRecord(state.servers, item.record, now);
            if (previous?.record.service !== item.record.service) {
                indexByService(transaction);
            }
            return handleServerChange(transaction, item.record.id, change);
        }
        case "backendServerRemoved":
            return handleServerChange(transaction, item.id, applyRemoval(state.servers, item.id, now));
        case "undecodable":
            logDecision(transaction, "warn", "record_undecodable", { key: item.key, detail: item.detail });
            return false;
    }
}

function applyConfiguration(transaction: Transaction, configuration: RoutingConfiguration): boolean {
    const { state, effects } = transaction;
    const held = state.configuration?.version;
    if (held !== undefined && configuration.version <= held) {
        return false;
    }
    state.configuration = configuration;
    logDecision(transaction, "info", "configuration_applied", { version: configuration.version, previous: held });
    effects.push({ kind: "applyLimits", limits: configuration.limits });
    return true;
}

function handleServerChange(transaction: Transaction, id: BackendServerId, change: BackendChange): boolean {
    const { state } = transaction;
    if (change === "unchanged") {
        return false;
    }
    if (change === "added" || change === "restarted") {
        state.health.set(id, createServerHealth());
    }
    const known = state.servers.get(id);
    if (change === "leaving" || change === "removed") {
        migrateStreams(transaction, id);
    }
    logDecision(transaction, "info", "backend_server_changed", {
        server: id,
        change,
        service: known?.record.service,
        address: known?.record.address,
    });
    return true;
}

function forgetRemovedServers({ state }: Transaction): void {
    [state.health, state.liveness].forEach(known =>
        [...known.keys()].filter(id => !state.servers.has(id)).forEach(id => known.delete(id))
    );
}

function indexByService({ state }: Transaction): void {
    const lists = new Map<ServiceName, BackendServerId[]>();
    for (const { record: { id, service } } of state.servers.values()) {
        lists.set(service, [...lists.get(service) ?? [], id]);
    }
    state.serversByService.clear();
    lists.forEach((ids, service) => state.serversByService.set(service, ids));
}
