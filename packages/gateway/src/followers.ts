/**
 * Follows the topics of the platform's log: the configuration by a read that waits for the next record, the backend
 * servers by short reads, since their heartbeats come all the time.
 */
import { createServerHealth } from "@verbenaspring/coordination";
import type { BackendServerId, Milliseconds, ServiceName } from "@verbenaspring/model";
import { applyRecord, applyRemoval, type BackendChange, forgetRemoved } from "./backendServers.js";
import type { GatewayEvent, TopicName, TopicRecord } from "./event.js";
import type { RoutingConfiguration } from "./routingConfiguration.js";
import { record, type Transaction } from "./transaction.js";

type TopicRead = Extract<GatewayEvent, { readonly kind: "topicRead"; }>;
type TopicReadFailed = Extract<GatewayEvent, { readonly kind: "topicReadFailed"; }>;

interface ReadPlan {
    /** How long a read waits for the first record. */
    readonly wait: Milliseconds;
    /** From the end of one read to the start of the next. */
    readonly pause: Milliseconds;
}

/**
 * A channel that went silent is found when the answer to a waiting read is overdue, so the wait bounds how late a change
 * is seen; it stays well under the time in which a configuration must be in force.
 */
const readPlans: Readonly<Record<TopicName, ReadPlan>> = {
    configuration: { wait: 1_500, pause: 0 },
    backendServers: { wait: 0, pause: 400 },
};

/** From a failed read to the next one. */
const failurePause: Milliseconds = 250;

/** Starts the reads that are due. */
export function tendFollowers(transaction: Transaction): void {
    tendFollower(transaction, "configuration");
    tendFollower(transaction, "backendServers");
}

function tendFollower({ state, now, effects }: Transaction, topic: TopicName): void {
    const follower = state.followers[topic];
    if (follower.isReading || now < follower.readAgainAt) {
        return;
    }
    follower.isReading = true;
    if (follower.next === undefined) {
        effects.push({ kind: "readSnapshot", topic });
        return;
    }
    effects.push({ kind: "readTopic", topic, from: follower.next, wait: readPlans[topic].wait });
}

/** Takes the records of a read. */
export function takeTopicRead(transaction: Transaction, event: TopicRead): void {
    const { state, now } = transaction;
    const follower = state.followers[event.topic];
    if (follower.failing !== undefined) {
        record(transaction, "info", "topic_regained", { topic: event.topic, next: event.next });
    }
    follower.failing = undefined;
    follower.isReading = false;
    follower.next = event.next;
    follower.lastReadAt = now;
    follower.readAgainAt = now + readPlans[event.topic].pause;
    event.records.forEach(item => takeRecord(transaction, item));
    if (event.isSnapshot && event.topic === "backendServers") {
        removeMissing(transaction, event.records);
    }
    if (forgetRemoved(state.servers, now)) {
        listByService(transaction);
    }
    tendFollower(transaction, event.topic);
}

/** Takes a failed read. */
export function takeTopicReadFailed(transaction: Transaction, { topic, failure }: TopicReadFailed): void {
    const { state, now } = transaction;
    const follower = state.followers[topic];
    follower.isReading = false;
    if (failure === "records_deleted") {
        record(transaction, "info", "topic_history_deleted", { topic, next: follower.next });
        follower.next = undefined;
        return tendFollower(transaction, topic);
    }
    if (follower.failing === undefined) {
        const age = follower.lastReadAt === undefined ? undefined : Math.round(now - follower.lastReadAt);
        record(transaction, "warn", "topic_lost", { topic, failure, age });
    }
    follower.failing = failure;
    follower.readAgainAt = now + failurePause;
}

function takeRecord(transaction: Transaction, item: TopicRecord): void {
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
            return;
    }
}

function takeConfiguration(transaction: Transaction, configuration: RoutingConfiguration): void {
    const { state, effects } = transaction;
    const held = state.configuration?.version;
    if (held !== undefined && configuration.version <= held) {
        return;
    }
    state.configuration = configuration;
    record(transaction, "info", "configuration_applied", { version: configuration.version, previous: held });
    effects.push({ kind: "applyLimits", limits: configuration.limits });
}

function noteChange(transaction: Transaction, id: BackendServerId, change: BackendChange): void {
    const { state } = transaction;
    if (change === "unchanged") {
        return;
    }
    if (change === "added" || change === "restarted") {
        state.health.set(id, createServerHealth());
    }
    const known = state.servers.get(id);
    record(transaction, "info", "backend_server_changed", {
        server: id,
        change,
        service: known?.record.service,
        address: known?.record.address,
    });
}

/** A snapshot that lacks a known server says that its registration is gone. */
function removeMissing(transaction: Transaction, records: readonly TopicRecord[]): void {
    const { state, now } = transaction;
    const present = new Set(records.flatMap(item => item.kind === "backendServer" ? [item.record.id] : []));
    for (const id of state.servers.keys()) {
        if (!present.has(id)) {
            noteChange(transaction, id, applyRemoval(state.servers, id, now));
        }
    }
}

function listByService({ state }: Transaction): void {
    const lists = new Map<ServiceName, BackendServerId[]>();
    for (const { record: { id, service } } of state.servers.values()) {
        lists.set(service, [...lists.get(service) ?? [], id]);
    }
    state.serversByService.clear();
    lists.forEach((ids, service) => state.serversByService.set(service, ids));
}
