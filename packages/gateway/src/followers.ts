/**
 * Follows the topics of the platform's log. The gateway that ranks first for a topic reads it, and the others get the
 * records from its reports. A gateway reads by itself when what it has is no longer fresh.
 */
import { takeoverTimeout, type TakeoverTimeouts, taskRank } from "@verbenaspring/coordination";
import type {
    BackendServerId,
    GatewayIncarnation,
    LogOffset,
    Milliseconds,
    PeerAddress,
    ServiceName,
} from "@verbenaspring/model";
import {
    applyRecord,
    applyRemoval,
    type BackendChange,
    type BackendRecord,
    type BackendServer,
    forgetRemoved,
} from "./backendServers.js";
import { settleLostRuns } from "./crashSuspects.js";
import { earliestAcknowledgement } from "./drainLimit.js";
import { applyEvacuation } from "./evacuations.js";
import type { DecodedItem, GatewayEvent, TopicItem, TopicName, TopicRecord } from "./event.js";
import { recordFormer } from "./formerConfigurations.js";
import { hasGivenNotice } from "./leavingServers.js";
import { forgetLostRecords, updateHistory } from "./lostRecords.js";
import { liveMembers, type Member } from "./members.js";
import { checkStreamsSoon, migrateStreams } from "./migration.js";
import type { MemberRecord, OffsetRange, TopicReadStamp } from "./peerReport.js";
import { reportToPeers } from "./peers.js";
import { earliestAnswer, logLateRead, longestWait } from "./readAges.js";
import { isReadRequired, recordReadEnd, recordReadStart } from "./resumption.js";
import { forgetRoutes } from "./routeDurations.js";
import type { RoutingConfiguration } from "./routingConfiguration.js";
import { forgetEarlierIncarnation, isOtherIncarnation } from "./serverIncarnations.js";
import type { GatewayState, TopicFollower } from "./state.js";
import { updateServersDigest } from "./topicDigests.js";
import { logDecision, type Transaction } from "./transaction.js";

type TopicRead = Extract<GatewayEvent, { readonly kind: "topicRead"; }>;
type TopicReadFailed = Extract<GatewayEvent, { readonly kind: "topicReadFailed"; }>;

interface ReadPlan {
    /** How long the log holds a read open until there is a record. */
    readonly wait: Milliseconds;
    /** From the end of one read to the start of the next. */
    readonly pause: Milliseconds;
    /** How old the newest known read may become, by rank, before this gateway reads by itself. */
    readonly takeoverTimeouts: TakeoverTimeouts;
    /**
     * Whether reads begin at the last record that was read, and so show that the log has lost it. Reads that wait for a record can't, as they would
     * never wait.
     */
    readonly repeatsLastRecord: boolean;
    /** When the gateway that reads the topic compares what it has with the newest records; undefined if it never does. */
    readonly verification?: {
        /** After the last record, whether or not it changed anything: the log may lose it before it is acknowledged. */
        readonly delay: Milliseconds;
        /** Without records. */
        readonly interval: Milliseconds;
    };
}

/**
 * A dead channel to the log is detected when the answer to a waiting read is overdue, and a dead reader when its
 * reports stop. Both timeouts together are shorter than the time within which a configuration must be in force. Reads
 * of the backend servers don't wait, since heartbeats are written continuously.
 */
const readPlans: Readonly<Record<TopicName, ReadPlan>> = {
    configuration: {
        wait: 600,
        pause: 0,
        takeoverTimeouts: { base: 1_100, step: 150, max: 1_700 },
        repeatsLastRecord: false,
        verification: { delay: 600, interval: 5_000 },
    },
    backendServers: {
        wait: 0,
        pause: 400,
        takeoverTimeouts: { base: 900, step: 150, max: 1_500 },
        repeatsLastRecord: true,
    },
};

/** The pause after a read while {@link readServersOften} asks for it. */
const shortPause: Milliseconds = 50;

/**
 * Has the records of the servers read more often for a while. Only a gateway that reads for all does so: it goes by its own
 * requests, as all have requests of the same services.
 */
export function readServersOften({ state, now }: Transaction, until: Milliseconds): void {
    const follower = state.followers.backendServers;
    follower.readOftenUntil = Math.max(follower.readOftenUntil, until);
    if (follower.lastFailure === undefined) {
        follower.nextReadAt = Math.min(follower.nextReadAt, now + shortPause);
    }
}

function pauseAfterRead({ readOftenUntil }: TopicFollower, topic: TopicName, now: Milliseconds): Milliseconds {
    return now < readOftenUntil ? Math.min(shortPause, readPlans[topic].pause) : readPlans[topic].pause;
}

/** How long the log may hold a read of a topic open. */
export function longestReadWait(topic: TopicName): Milliseconds {
    return readPlans[topic].wait;
}

/** From a failed snapshot to the next one; meanwhile the log is followed by reads from an offset on. */
const snapshotRetryDelay: Milliseconds = 2_000;
/** From a failed read to the next one. */
const retryDelay: Milliseconds = 250;
/** For how long after a failed read a gateway leaves the reads to the others, if theirs succeed. */
const relayedRetryDelay: Milliseconds = 2_000;
/** A tombstone is dropped, and no longer reported to other gateways, once the topic is known this far beyond it. */
const tombstoneRetentionOffsets = 2_000;

/** How long the times of changes are kept; longer than a gateway waits before it passes on what another one read. */
const changeRetention: Milliseconds = 2_000;

/** Gaps that are kept apart: a gateway that was in touch a moment ago is up to date with one of the last reads. */
const maximumRemovalGaps = 16;

/** Gateways whose read counts are kept; more than ever read at the same time. */
const maximumReaders = 256;

/** Starts the reads that are due. */
export function startDueReads(transaction: Transaction): void {
    startDueRead(transaction, "configuration");
    startDueRead(transaction, "backendServers");
}

function startDueRead(transaction: Transaction, topic: TopicName): void {
    const { state, now, effects } = transaction;
    const follower = state.followers[topic];
    const isRequired = isReadRequired(state, topic);
    const isSnapshotDue = now >= (follower.difference?.snapshotDueAt ?? Infinity);
    const isDueNow = isRequired
        || (now >= follower.nextReadAt && (isSnapshotDue || isDue(transaction, topic, follower)));
    if (follower.isReading || !isDueNow) {
        return;
    }
    follower.isReading = true;
    follower.readStartedAt = now;
    recordReadStart(state, topic);
    // The log may have lost and replaced records while it could not be read, which a read from the end on would not show.
    const isComparisonDue = isSnapshotDue || follower.isSnapshotOwed || isVerificationDue(state, topic, now);
    follower.isReadingSnapshot = isComparisonDue && now - follower.snapshotFailedAt >= snapshotRetryDelay;
    if (follower.next === undefined || follower.isReadingSnapshot) {
        follower.readWait = 0;
        follower.knownAtSnapshotStart = follower.knownThrough ?? 0;
        follower.newestHistoryAtSnapshotStart = follower.newestHistory;
        effects.push({ kind: "readSnapshot", topic });
        return;
    }
    follower.readWait = isRequired ? 0 : longestWait(follower, readPlans[topic].wait, now);
    effects.push({
        kind: "readTopic",
        topic,
        from: startOffset(follower, topic, follower.next),
        wait: follower.readWait,
    });
}

/** Where a read begins, and whether that is at the last record that was read. */
function startOffset(follower: TopicFollower, topic: TopicName, next: LogOffset): LogOffset {
    const { lastRecord } = follower;
    const isRepeated = readPlans[topic].repeatsLastRecord && lastRecord?.offset === next - 1;
    follower.repeatedRecord = isRepeated ? lastRecord : undefined;
    return isRepeated ? lastRecord.offset : next;
}

/**
 * Whether what is known of a topic is to be compared with the newest records of the log. Only the gateway that reads for all does
 * so: when it is late, many others read.
 */
function isVerificationDue({ followers, incarnation }: GatewayState, topic: TopicName, now: Milliseconds): boolean {
    const { verification } = readPlans[topic];
    const { changedAt, recordReadAt, snapshotAt, lastRead } = followers[topic];
    if (verification === undefined || lastRead?.reader !== incarnation) {
        return false;
    }
    const recordAt = Math.max(changedAt, recordReadAt);
    return snapshotAt < recordAt + verification.delay
        ? now - recordAt >= verification.delay
        : now - snapshotAt >= verification.interval;
}

/** Whether this gateway has to read the topic: it ranks first, or the newest known read is too old for its rank. */
function isDue({ state, now }: Transaction, topic: TopicName, follower: TopicFollower): boolean {
    if (follower.next === undefined || follower.freshAsOf === undefined) {
        return true;
    }
    const members = liveMembers(state, now);
    if (follower.rank?.members !== members) {
        follower.rank = { members, value: readerRank(state, members, topic) };
    }
    const timeouts = readPlans[topic].takeoverTimeouts;
    const timeout = takeoverTimeout(follower.rank.value, timeouts);
    const hasJustFailed = follower.lastFailure !== undefined && now - follower.lastFailure.at < relayedRetryDelay;
    return now - follower.freshAsOf >= (hasJustFailed ? Math.max(timeout, timeouts.base) : timeout);
}

/**
 * The rank of this gateway among those that may read a topic: the reader sends what it read to all others, so gateways
 * with faster links rank first. One that tells no rate ranks as if it had the same link.
 */
function readerRank({ options }: GatewayState, members: readonly Member[], topic: TopicName): number {
    const others = members.map(({ record }) => record).filter(({ isStopping }) => !isStopping);
    const rateOf = ({ linkRate }: MemberRecord): number => linkRate ?? options.linkRate ?? 0;
    const faster = others.filter(record => rateOf(record) > (options.linkRate ?? rateOf(record)));
    const equal = others.filter(record => rateOf(record) === (options.linkRate ?? rateOf(record)));
    return faster.length + taskRank(options.peerAddress, equal.map(({ address }) => address), topic);
}

/** Handles the records of a successful read. */
export function handleTopicRead(transaction: Transaction, event: TopicRead): void {
    const { topic, isSnapshot, items } = event;
    const { repeatedRecord } = transaction.state.followers[topic];
    if (isSnapshot || repeatedRecord === undefined) {
        return applyRead(transaction, event);
    }
    const [first, ...newer] = items;
    if (first === undefined || !isSameItem(first.item, repeatedRecord)) {
        return handleTopicReadFailed(transaction, { kind: "topicReadFailed", topic, failure: "beyond_end" });
    }
    applyRead(transaction, { ...event, items: newer });
}

function isSameItem(one: TopicItem, other: TopicItem): boolean {
    return one.key === other.key && Buffer.compare(one.value, other.value) === 0;
}

function applyRead(transaction: Transaction, event: TopicRead): void {
    const { state, now } = transaction;
    const { topic, next } = event;
    const follower = state.followers[topic];
    if (follower.lastFailure !== undefined) {
        logDecision(transaction, "info", "topic_regained", { topic, next });
    }
    follower.isReading = false;
    recordReadEnd(state, topic);
    logLateRead(transaction, event);
    const isAtEnd = event.isAtEnd ?? true;
    follower.nextReadAt = now + (isAtEnd ? pauseAfterRead(follower, topic, now) : 0);
    const hasChanged = applyReadItems(transaction, event);
    follower.lastFailure = undefined;
    // A snapshot has all that was stored when it was requested.
    if (isAtEnd || event.isSnapshot) {
        const count = knownReadCount(follower, state.incarnation) + 1;
        recordFreshness(follower, { reader: state.incarnation, count }, earliestAnswer(follower, event, now));
    }
    if (hasChanged) {
        follower.isChangeOwnRead = true;
        reportToPeers(transaction);
    }
    startDueRead(transaction, topic);
}

/** Applies the items of a read, and records what it was of. Returns whether they changed more than heartbeats. */
function applyReadItems(transaction: Transaction, event: TopicRead): boolean {
    const { state, now } = transaction;
    const { topic, items, isSnapshot, next } = event;
    const follower = state.followers[topic];
    const source = isSnapshot ? "snapshot" : "read";
    follower.lastRecord = items.findLast(({ item }) => item.offset === next - 1)?.item ?? follower.lastRecord;
    if (!isSnapshot && items.length > 0) {
        follower.recordReadAt = now;
    }
    if (isOvertaken(follower, event)) {
        logDecision(transaction, "info", "topic_read_overtaken", { topic, source, through: next, next: follower.next });
        return false;
    }
    if (!isSnapshot) {
        return applyItems(transaction, topic, { items, next, source });
    }
    const hasChanged = applySnapshot(transaction, topic, { items, next, source });
    if (event.isAtEnd === false) {
        recordUnshownRemovals(follower, next);
    }
    logSnapshot(transaction, event);
    follower.isSnapshotOwed = false;
    follower.snapshotAt = follower.readStartedAt;
    follower.difference = undefined;
    return hasChanged;
}

/**
 * Whether peers have reported beyond the end of a read meanwhile, and may not have reported what undid a change that it shows. What
 * made a snapshot due then still does.
 */
function isOvertaken(follower: TopicFollower, { isSnapshot, next: through }: TopicRead): boolean {
    const { next = 0, knownAtSnapshotStart } = follower;
    const hasLost = isSnapshot && through < knownAtSnapshotStart;
    return !hasLost && through < next && lacksRemovals(follower, through);
}

/** Logs whether the records of a snapshot reach as far as the offset from which reads go on. */
function logSnapshot(transaction: Transaction, { topic, items, next, isAtEnd }: TopicRead): void {
    const { state, now } = transaction;
    const { knownAtSnapshotStart, readStartedAt } = state.followers[topic];
    logDecision(transaction, "info", "topic_snapshot_read", {
        topic,
        records: items.length,
        newestOffset: items.reduce((newest, { item }) => Math.max(newest, item.offset), -1),
        next,
        isAtEnd,
        known: knownAtSnapshotStart,
        took: Math.round(now - readStartedAt),
    });
}

function knownReadCount({ readCounts }: TopicFollower, reader: GatewayIncarnation): number {
    return readCounts.get(reader) ?? 0;
}

/**
 * Updates how fresh a topic is by a read of this or another gateway. Each read counts only when it is first reported:
 * reports of it that go round between gateways are no news.
 *
 * @param readAt the earliest time, by this gateway's clock, at which the read can have found the end of the log
 */
export function recordFreshness(follower: TopicFollower, read: TopicReadStamp, readAt: Milliseconds): void {
    if (read.count <= knownReadCount(follower, read.reader)) {
        return;
    }
    // Deleted first to keep the map ordered by last read, so that the entries of readers that are gone are evicted
    // first.
    follower.readCounts.delete(read.reader);
    follower.readCounts.set(read.reader, read.count);
    const [oldest] = follower.readCounts.keys();
    if (follower.readCounts.size > maximumReaders) {
        follower.readCounts.delete(oldest);
    }
    if (follower.freshAsOf === undefined || readAt > follower.freshAsOf) {
        follower.freshAsOf = readAt;
        follower.knownAsOf = readAt;
        follower.lastRead = read;
    }
}

/** Records of a topic that were read, by this or another gateway. */
export interface TopicItems {
    readonly items: readonly DecodedItem[];
    /** The offset after the last record. */
    readonly next: LogOffset;
    /** How they were learnt: by a read from an offset on or of a snapshot, or from a peer. */
    readonly source: "read" | "snapshot" | PeerAddress;
}

/**
 * Applies the newest records of all keys of a topic: known keys that are missing among them were removed. Returns
 * whether anything but heartbeats changed.
 */
export function applySnapshot(
    transaction: Transaction,
    topic: TopicName,
    { items, next, source }: TopicItems,
): boolean {
    const follower = transaction.state.followers[topic];
    const removals = topic === "backendServers"
        ? createTombstones(follower, items, next)
        : createWithdrawals(transaction.state, items, next);
    if (source === "snapshot") {
        const hasLost = forgetLostRecords(transaction, topic, items, next);
        updateHistory(follower, hasLost);
    }
    recordRemovalGap(follower, next);
    return applyItems(transaction, topic, { items: [...items, ...removals], next, source });
}

/** Records which removals a snapshot can't show: of keys that were not known before it. */
function recordRemovalGap(follower: TopicFollower, next: LogOffset): void {
    const { knownThrough, removalGaps } = follower;
    if (knownThrough === undefined) {
        follower.removalsKnownFrom = Math.max(follower.removalsKnownFrom, next);
    }
    else if (next > knownThrough) {
        follower.removalGaps = mergeOldest([...removalGaps, { from: knownThrough, to: next }]);
    }
}

/**
 * Records that a snapshot lacked keys whose removals may stand at its offset or later, so that a peer that knows the log up to there
 * does not learn them by their offsets.
 */
function recordUnshownRemovals(follower: TopicFollower, next: LogOffset): void {
    follower.removalGaps = mergeOldest([...follower.removalGaps, { from: next - 1, to: next + 1 }]);
}

/** Whether a gateway that knows a topic up to an offset may lack removals before the known ones. */
export function lacksRemovals({ removalsKnownFrom, removalGaps }: TopicFollower, known: LogOffset): boolean {
    return known < removalsKnownFrom || isInsideGap(removalGaps, known);
}

/** Whether an offset is between two reads of which the records in between were deleted. */
export function isInsideGap(gaps: readonly OffsetRange[], known: LogOffset): boolean {
    return gaps.some(({ from, to }) => known > from && known < to);
}

/** Adopts the gaps of a peer's report that has been applied: what it could not show, this gateway can't show either. */
export function adoptRemovalGaps(follower: TopicFollower, reported: readonly OffsetRange[]): void {
    const { removalGaps } = follower;
    const lastKnown = removalGaps[removalGaps.length - 1]?.to ?? 0;
    const newer = reported.filter(({ to }) => to > lastKnown);
    follower.removalGaps = newer.reduce((gaps, gap) => mergeOldest([...gaps, gap]), removalGaps);
}

/** Merges the two oldest gaps if there are too many. */
function mergeOldest(gaps: readonly OffsetRange[]): readonly OffsetRange[] {
    const [first, second, ...others] = gaps;
    return gaps.length <= maximumRemovalGaps ? gaps : [{ from: first.from, to: second.to }, ...others];
}

/** Tombstones for known evacuations that a snapshot of the operator's topic no longer contains. */
function createWithdrawals(
    { evacuations }: GatewayState,
    items: readonly DecodedItem[],
    next: LogOffset,
): DecodedItem[] {
    const present = new Set(items.map(({ item }) => item.key));
    return [...evacuations]
        .filter(([, { key }]) => !present.has(key))
        .map(([failureDomain, { key }]) => ({
            item: { key, offset: next - 1, value: new Uint8Array() },
            records: [{ kind: "evacuation", key, failureDomain, isRequested: false }],
        }));
}

/** Tombstones for known keys that a snapshot no longer contains. */
function createTombstones(
    { items: knownItems }: TopicFollower,
    items: readonly DecodedItem[],
    next: LogOffset,
): DecodedItem[] {
    // The known tombstone of a peer that read a snapshot may be older than the removal that the snapshot showed.
    const present = new Set(items.filter(({ item }) => item.value.length > 0).map(({ item }) => item.key));
    return [...knownItems.values()]
        .filter(({ key, value }) => !present.has(key) && value.length > 0)
        .map(({ key }) => ({
            item: { key, offset: next - 1, value: new Uint8Array() },
            records: [{ kind: "backendServerRemoved", id: key as BackendServerId }],
        }));
}

/** Applies records that this or another gateway read. Returns whether they changed more than heartbeats. */
export function applyItems(transaction: Transaction, topic: TopicName, topicItems: TopicItems): boolean {
    const { state, now } = transaction;
    const follower = state.followers[topic];
    const hasChanged = applyRecords(transaction, topic, topicItems);
    follower.next = Math.max(follower.next ?? 0, topicItems.next);
    follower.knownThrough = follower.next;
    forgetTombstones(follower);
    if (topic === "backendServers" && forgetRemoved(state.servers, now)) {
        indexByService(transaction);
        forgetRemovedServers(transaction);
    }
    return hasChanged;
}

/** Applies records wherever they stand in the log. Returns whether they changed more than heartbeats. */
export function applyRecords(
    transaction: Transaction,
    topic: TopicName,
    { items, source }: Pick<TopicItems, "items" | "source">,
): boolean {
    const { state, now } = transaction;
    const follower = state.followers[topic];
    let hasChanged = false;
    for (const { item, records } of items) {
        logConflict(transaction, topic, { item, records }, source);
        if (isOutdated(state, follower, { item, records })) {
            continue;
        }
        const isNew = follower.items.get(item.key)?.offset !== item.offset;
        follower.items.set(item.key, item);
        // All records are applied; `some` would stop at the first change.
        const isChange = records.map(each => applyTopicRecord(transaction, each, item, { isNew, source })).includes(
            true,
        );
        // A report has only the newest record of a key: what changes nothing here may be a change for one that knows a record in between.
        if (isChange || (isNew && isFromPeer(source))) {
            follower.changedThrough = Math.max(follower.changedThrough, item.offset + 1);
            follower.changes.set(item.key, item.offset);
        }
        hasChanged ||= isChange;
    }
    if (hasChanged) {
        recordChange(follower, now);
    }
    return hasChanged;
}

function isFromPeer(source: TopicItems["source"]): boolean {
    return source !== "read" && source !== "snapshot";
}

function recordChange(follower: TopicFollower, now: Milliseconds): void {
    follower.changedAt = now;
    // One that is older than the retention is kept: a peer that lacks it has lacked it for as long at least.
    const firstKept = follower.recentChanges.findLastIndex(({ learnedAt }) => now - learnedAt > changeRetention);
    const kept = follower.recentChanges.slice(Math.max(0, firstKept));
    follower.recentChanges = [...kept, { through: follower.changedThrough, learnedAt: now }];
}

/** Whether a record is older than the known one: configurations are ordered by version, other records by log offset. */
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
    if (known === undefined || known.offset !== item.offset) {
        return known !== undefined && known.offset > item.offset;
    }
    // A tombstone made for a key that a snapshot lacks may have the offset of the record that was deleted.
    return known.value.length === 0 && item.value.length > 0;
}

/**
 * Logs a record that contradicts a known one: another one at the same offset, or an older configuration that was stored after
 * a newer one.
 */
function logConflict(
    transaction: Transaction,
    topic: TopicName,
    { item, records }: DecodedItem,
    source: TopicItems["source"],
): void {
    const { configuration, followers } = transaction.state;
    const known = followers[topic].items.get(item.key);
    if (known === undefined || known.value.length === 0 || item.value.length === 0 || item.offset < known.offset) {
        return;
    }
    const [version] = records.flatMap(each => each.kind === "configuration" ? [each.configuration.version] : []);
    const isReplaced = item.offset === known.offset && Buffer.compare(item.value, known.value) !== 0;
    const isOlder = version !== undefined && configuration !== undefined && version < configuration.version;
    if (isReplaced || (isOlder && item.offset > known.offset)) {
        logDecision(transaction, "warn", "record_conflicts", {
            topic,
            key: item.key,
            offset: item.offset,
            version,
            knownOffset: known.offset,
            knownVersion: configuration?.version,
            source,
        });
    }
}

function forgetTombstones(follower: TopicFollower): void {
    const { items, next } = follower;
    for (const { key, offset, value } of items.values()) {
        if (value.length === 0 && offset < (next ?? 0) - tombstoneRetentionOffsets) {
            items.delete(key);
            follower.changes.delete(key);
            follower.removalsKnownFrom = Math.max(follower.removalsKnownFrom, offset + 1);
        }
    }
}

/** Handles a failed read. If the records at the offset were deleted, or are lost, the topic is read again from a snapshot. */
export function handleTopicReadFailed(transaction: Transaction, { topic, failure }: TopicReadFailed): void {
    const { state, now } = transaction;
    const follower = state.followers[topic];
    follower.isReading = false;
    // The next report of a peer that differs makes a snapshot due at another time.
    follower.difference = undefined;
    recordReadEnd(state, topic);
    const isSnapshot = follower.next === undefined || follower.isReadingSnapshot;
    if (!isSnapshot && failure === "records_deleted" && follower.repeatedRecord !== undefined) {
        // Maybe only the record before the offset was deleted.
        follower.lastRecord = undefined;
        return startDueRead(transaction, topic);
    }
    if (!isSnapshot && (failure === "records_deleted" || failure === "beyond_end")) {
        logDecision(transaction, "info", "topic_history_deleted", { topic, next: follower.next, failure });
        follower.next = undefined;
        if (failure === "beyond_end") {
            follower.freshAsOf = undefined;
        }
        return startDueRead(transaction, topic);
    }
    const age = follower.freshAsOf === undefined ? undefined : Math.round(now - follower.freshAsOf);
    if (follower.lastFailure === undefined) {
        logDecision(transaction, "warn", "topic_lost", { topic, failure, age });
    }
    follower.lastFailure = { failure, at: now };
    follower.isSnapshotOwed = true;
    if (follower.isReadingSnapshot) {
        follower.snapshotFailedAt = now;
    }
    follower.nextReadAt = now + retryDelay;
}

/**
 * Applies one record. Returns whether it changed more than a heartbeat.
 *
 * @param isNew whether the item was not known before
 */
function applyTopicRecord(
    transaction: Transaction,
    decoded: TopicRecord,
    item: TopicItem,
    { isNew, source }: Pick<TopicItems, "source"> & { readonly isNew: boolean; },
): boolean {
    const { state, now } = transaction;
    switch (decoded.kind) {
        case "configuration":
            return applyConfiguration(transaction, decoded.configuration, item, source);
        case "configurationUndecodable":
            state.undecodableConfiguration = Math.max(state.undecodableConfiguration ?? 0, item.offset);
            // Gateways that get the topic from this one have to know that a newer configuration exists.
            return isNew;
        case "backendServer": {
            const previous = state.servers.get(decoded.record.id);
            const circumstances = {
                hasGivenNotice: hasGivenNotice(state, decoded.record),
                knownAsOf: state.followers.backendServers.knownAsOf ?? now,
                leavingNotBefore: earliestAcknowledgement(transaction),
            };
            const change = applyRecord(state.servers, decoded.record, circumstances, now);
            if (previous?.record.service !== decoded.record.service) {
                indexByService(transaction);
            }
            if (change === "restarted" && previous !== undefined) {
                endEarlierIncarnation(transaction, previous.record, decoded.record);
            }
            return handleServerChange(transaction, decoded.record.id, previous, change);
        }
        case "backendServerRemoved": {
            const previous = state.servers.get(decoded.id);
            const change = applyRemoval(state.servers, decoded.id, now, earliestAcknowledgement(transaction));
            return handleServerChange(transaction, decoded.id, previous, change);
        }
        case "evacuation":
            applyEvacuation(transaction, decoded, item.offset);
            // A withdrawal counts also where the evacuation was not known: gateways that get the topic from this one may
            // know it.
            return isNew;
        case "undecodable":
            logDecision(transaction, "warn", "record_undecodable", { key: decoded.key, detail: decoded.detail });
            return false;
    }
}

function applyConfiguration(
    transaction: Transaction,
    configuration: RoutingConfiguration,
    item: TopicItem,
    source: TopicItems["source"],
): boolean {
    const { state, effects } = transaction;
    const previous = state.configuration?.version;
    if (previous !== undefined && configuration.version <= previous) {
        return false;
    }
    const { offset } = item;
    recordFormer(transaction, state.configuration);
    state.configuration = configuration;
    state.configurationItem = item;
    if (state.undecodableConfiguration !== undefined && offset > state.undecodableConfiguration) {
        state.undecodableConfiguration = undefined;
    }
    forgetSizes(state, configuration);
    forgetRoutes(state.durations, configuration);
    logDecision(transaction, "info", "configuration_applied", {
        version: configuration.version,
        previous,
        offset,
        next: state.followers.configuration.next,
        source,
    });
    effects.push({ kind: "applyLimits", limits: configuration.limits });
    return true;
}

function forgetSizes({ recentSizes }: GatewayState, { services }: RoutingConfiguration): void {
    for (const service of recentSizes.keys()) {
        if (!services.has(service)) {
            recentSizes.delete(service);
        }
    }
}

/** Closes the connections to a server that has restarted, and settles which requests its end is blamed on. */
function endEarlierIncarnation(
    transaction: Transaction,
    { id, address, startedAt: previousStart }: BackendRecord,
    { startedAt }: BackendRecord,
): void {
    transaction.effects.push({ kind: "closeIdleChannels", address });
    if (isOtherIncarnation(previousStart, startedAt)) {
        settleLostRuns(transaction, id, { isLeaving: false, startedAt, runs: undefined });
    }
}

function handleServerChange(
    transaction: Transaction,
    id: BackendServerId,
    previous: BackendServer | undefined,
    change: BackendChange,
): boolean {
    const { state } = transaction;
    if (change === "unchanged") {
        return false;
    }
    if (change === "added" || change === "restarted") {
        forgetEarlierIncarnation(state, id);
    }
    const known = state.servers.get(id);
    updateServersDigest(state, previous, known);
    if (change === "leaving" || change === "removed") {
        migrateStreams(transaction, id);
    }
    checkStreamsSoon(transaction);
    logDecision(transaction, "info", "backend_server_changed", {
        server: id,
        change,
        service: known?.record.service,
        address: known?.record.address,
    });
    return true;
}

function forgetRemovedServers({ state }: Transaction): void {
    [state.health, state.liveness, state.requestLimits, state.pausedUntil].forEach(entries =>
        [...entries.keys()].filter(id => !state.servers.has(id)).forEach(id => entries.delete(id))
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
