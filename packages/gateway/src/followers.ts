/**
 * Follows the topics of the platform's log. One gateway reads for all: the first by rank; the others take the records
 * from it, and read by themselves once nothing fresh has come.
 */
import { createServerHealth, takeoverTimeout, type TakeoverTimeouts, taskRank } from "@verbenaspring/coordination";
import type { BackendServerId, GatewayIncarnation, LogOffset, Milliseconds, ServiceName } from "@verbenaspring/model";
import { applyRecord, applyRemoval, type BackendChange, forgetRemoved } from "./backendServers.js";
import { evacuate } from "./evacuation.js";
import type { DecodedItem, GatewayEvent, TopicName, TopicRecord } from "./event.js";
import type { TopicReadStamp } from "./peerReport.js";
import { informPeers, livePeers } from "./peers.js";
import type { RoutingConfiguration } from "./routingConfiguration.js";
import type { GatewayState, TopicFollower } from "./state.js";
import { record, type Transaction } from "./transaction.js";

type TopicRead = Extract<GatewayEvent, { readonly kind: "topicRead"; }>;
type TopicReadFailed = Extract<GatewayEvent, { readonly kind: "topicReadFailed"; }>;

interface ReadPlan {
    /** How long a read waits for the first record. */
    readonly wait: Milliseconds;
    /** From the end of one read to the start of the next. */
    readonly pause: Milliseconds;
    readonly patience: TakeoverTimeouts;
}

/**
 * A channel that went silent is found when the answer to a waiting read is overdue, and a reader that is gone when
 * nothing comes from it; both together stay under the time in which a configuration must be in force. Heartbeats come
 * all the time, so that reads of the backend servers don't wait.
 */
const readPlans: Readonly<Record<TopicName, ReadPlan>> = {
    configuration: { wait: 600, pause: 0, patience: { base: 1_100, step: 150, max: 1_700 } },
    backendServers: { wait: 0, pause: 400, patience: { base: 900, step: 150, max: 1_500 } },
};

/** From a failed read to the next one. */
const failurePause: Milliseconds = 250;
/** The same where another gateway's reads succeed. */
const relayedPause: Milliseconds = 2_000;
/** How long the end of a key is passed on to other gateways. */
const droppedRetention = 2_000;

/** Gateways whose reads are remembered; more than read at any time. */
const mostReaders = 256;

/** Starts the reads that are due. */
export function tendFollowers(transaction: Transaction): void {
    tendFollower(transaction, "configuration");
    tendFollower(transaction, "backendServers");
}

function tendFollower(transaction: Transaction, topic: TopicName): void {
    const { state, now, effects } = transaction;
    const follower = state.followers[topic];
    if (follower.isReading || now < follower.readAgainAt || !isDue(transaction, topic, follower)) {
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
    const rank = taskRank(state.options.peerAddress, peers.map(peer => peer.address), topic);
    return now - follower.freshAsOf >= takeoverTimeout(rank, readPlans[topic].patience);
}

/** Takes the records of a read. */
export function takeTopicRead(transaction: Transaction, event: TopicRead): void {
    const { state, now } = transaction;
    const { topic, next } = event;
    const follower = state.followers[topic];
    if (follower.failing !== undefined) {
        record(transaction, "info", "topic_regained", { topic, next });
    }
    follower.failing = undefined;
    follower.isReading = false;
    follower.readAgainAt = now + readPlans[topic].pause;
    const missing = event.isSnapshot && topic === "backendServers" ? droppedItems(follower, event) : [];
    const hasChanged = takeItems(transaction, topic, [...event.items, ...missing], next);
    noteFresh(follower, { reader: state.incarnation, count: countReads(follower, state.incarnation) + 1 }, now);
    if (hasChanged) {
        informPeers(transaction);
    }
    tendFollower(transaction, topic);
}

function countReads({ seenReads }: TopicFollower, reader: GatewayIncarnation): number {
    return seenReads.get(reader) ?? 0;
}

/**
 * Takes a read as news of how fresh the topic is. Each read counts once, when it is first heard of: reports that go round
 * would else make it younger by their time on the way.
 */
export function noteFresh(follower: TopicFollower, read: TopicReadStamp, readAt: Milliseconds): void {
    if (read.count <= countReads(follower, read.reader)) {
        return;
    }
    // Set anew, so that the map is in order of the last read; readers that are gone are forgotten.
    follower.seenReads.delete(read.reader);
    follower.seenReads.set(read.reader, read.count);
    const [oldest] = follower.seenReads.keys();
    if (follower.seenReads.size > mostReaders) {
        follower.seenReads.delete(oldest);
    }
    if (follower.freshAsOf === undefined || readAt > follower.freshAsOf) {
        follower.freshAsOf = readAt;
        follower.lastRead = read;
    }
}

/** Keys that a snapshot lacks were dropped. */
function droppedItems(follower: TopicFollower, { items, next }: TopicRead): DecodedItem[] {
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
export function takeItems(
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
        if (records.map(each => takeRecord(transaction, each)).includes(true)) {
            follower.changedThrough = Math.max(follower.changedThrough, item.offset + 1);
            hasChanged = true;
        }
    }
    follower.next = Math.max(follower.next ?? 0, next);
    forgetDropped(follower);
    if (topic === "backendServers" && forgetRemoved(state.servers, now)) {
        listByService(transaction);
        forgetHealth(transaction);
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

function forgetDropped({ items, next }: TopicFollower): void {
    for (const { key, offset, value } of items.values()) {
        if (value.length === 0 && offset < (next ?? 0) - droppedRetention) {
            items.delete(key);
        }
    }
}

/** Takes a failed read. */
export function takeTopicReadFailed(transaction: Transaction, { topic, failure }: TopicReadFailed): void {
    const { state, now } = transaction;
    const follower = state.followers[topic];
    follower.isReading = false;
    if (failure === "records_deleted") {
        record(transaction, "info", "topic_history_deleted", { topic, next: follower.next });
        follower.next = undefined;
        follower.freshAsOf = undefined;
        return tendFollower(transaction, topic);
    }
    const age = follower.freshAsOf === undefined ? undefined : Math.round(now - follower.freshAsOf);
    if (follower.failing === undefined) {
        record(transaction, "warn", "topic_lost", { topic, failure, age });
    }
    follower.failing = failure;
    const isRelayed = age !== undefined && age < readPlans[topic].patience.base;
    follower.readAgainAt = now + (isRelayed ? relayedPause : failurePause);
}

/** Takes what one record says. Returns whether it changed more than a heartbeat. */
function takeRecord(transaction: Transaction, item: TopicRecord): boolean {
    const { state, now } = transaction;
    switch (item.kind) {
        case "configuration":
            return takeConfiguration(transaction, item.configuration);
        case "backendServer": {
            const previous = state.servers.get(item.record.id);
            const change = applyRecord(state.servers, item.record, now);
            if (previous?.record.service !== item.record.service) {
                listByService(transaction);
            }
            return noteChange(transaction, item.record.id, change);
        }
        case "backendServerRemoved":
            return noteChange(transaction, item.id, applyRemoval(state.servers, item.id, now));
        case "undecodable":
            record(transaction, "warn", "record_undecodable", { key: item.key, detail: item.detail });
            return false;
    }
}

function takeConfiguration(transaction: Transaction, configuration: RoutingConfiguration): boolean {
    const { state, effects } = transaction;
    const held = state.configuration?.version;
    if (held !== undefined && configuration.version <= held) {
        return false;
    }
    state.configuration = configuration;
    record(transaction, "info", "configuration_applied", { version: configuration.version, previous: held });
    effects.push({ kind: "applyLimits", limits: configuration.limits });
    return true;
}

function noteChange(transaction: Transaction, id: BackendServerId, change: BackendChange): boolean {
    const { state } = transaction;
    if (change === "unchanged") {
        return false;
    }
    if (change === "added" || change === "restarted") {
        state.health.set(id, createServerHealth());
    }
    const known = state.servers.get(id);
    if (change === "leaving" || change === "removed") {
        evacuate(transaction, id);
    }
    record(transaction, "info", "backend_server_changed", {
        server: id,
        change,
        service: known?.record.service,
        address: known?.record.address,
    });
    return true;
}

function forgetHealth({ state }: Transaction): void {
    [state.health, state.liveness].forEach(known =>
        [...known.keys()].filter(id => !state.servers.has(id)).forEach(id => known.delete(id))
    );
}

function listByService({ state }: Transaction): void {
    const lists = new Map<ServiceName, BackendServerId[]>();
    for (const { record: { id, service } } of state.servers.values()) {
        lists.set(service, [...lists.get(service) ?? [], id]);
    }
    state.serversByService.clear();
    lists.forEach((ids, service) => state.serversByService.set(service, ids));
}
