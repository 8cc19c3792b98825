/**
 * Records that a gateway has read and that the platform's log then lost: it keeps what it has acknowledged, and may give the
 * offsets of other records out again. A newer record may then have a lower offset than the known one of its key.
 */
import type { LogOffset } from "@verbenaspring/model";
import type { DecodedItem, TopicItem, TopicName } from "./event.js";
import type { GatewayState, TopicFollower } from "./state.js";
import { logDecision, type Transaction } from "./transaction.js";

/**
 * Forgets the offsets of known records that a snapshot shows to be lost, so that the snapshot does not count as older. Only what was known
 * when its read started is compared: what other gateways reported since may be newer. Returns whether any were lost.
 *
 * @param next the offset after the last record of the log
 */
export function forgetLostRecords(
    transaction: Transaction,
    topic: TopicName,
    items: readonly DecodedItem[],
    next: LogOffset,
): boolean {
    const { state } = transaction;
    const follower = state.followers[topic];
    const { knownAtSnapshotStart } = follower;
    const present = new Map(items.map(({ item }) => [item.key, item]));
    const keysByOffset = new Map(items.map(({ item }) => [item.offset, item.key]));
    // Configurations are ordered by version, and gateways that lack the one in force still get it from this one.
    const lost = [...follower.items.values()].filter(item =>
        item.key !== state.configurationItem?.key && item.offset < knownAtSnapshotStart
        && (isLost(item, present.get(item.key), next) || isReplaced(item, keysByOffset.get(item.offset)))
    );
    if (lost.length === 0 && next >= knownAtSnapshotStart) {
        return false;
    }
    logDecision(transaction, "warn", "topic_records_lost", {
        topic,
        records: lost.length,
        firstOffset: lost.length === 0 ? undefined : Math.min(...lost.map(({ offset }) => offset)),
        known: knownAtSnapshotStart,
        next,
    });
    for (const { key } of lost) {
        follower.items.delete(key);
        follower.changes.delete(key);
    }
    forgetOffsets(state, follower, next);
    return true;
}

/** Counts a loss that a snapshot showed. The same loss, known from another gateway before the read, counts once. */
export function updateHistory(follower: TopicFollower, hasLost: boolean): void {
    follower.history = Math.max(follower.history + (hasLost ? 1 : 0), follower.newestHistoryAtSnapshotStart);
    follower.newestHistory = Math.max(follower.newestHistory, follower.history);
}

function isLost(known: TopicItem, present: TopicItem | undefined, next: LogOffset): boolean {
    if (present === undefined) {
        return known.offset >= next;
    }
    return present.offset < known.offset
        || (present.offset === known.offset && Buffer.compare(present.value, known.value) !== 0);
}

/**
 * Whether the record of another key has the offset at which a record was known. A tombstone may stand for a removal that a
 * snapshot showed, at an offset that is not its own.
 */
function isReplaced({ key, value }: TopicItem, presentKey: string | undefined): boolean {
    return value.length > 0 && presentKey !== undefined && presentKey !== key;
}

/** Forgets offsets at which the log no longer has the records that were known there. */
function forgetOffsets(state: GatewayState, follower: TopicFollower, next: LogOffset): void {
    follower.next = undefined;
    // The configuration in force may stand beyond the end. Peers that lack it get it by its version.
    [...follower.changes].filter(([, offset]) => offset >= next).forEach(([key]) =>
        follower.changes.set(key, next - 1)
    );
    follower.changedThrough = Math.max(0, ...[...follower.changes.values()].map(offset => offset + 1));
    follower.recentChanges = follower.recentChanges.filter(({ through }) => through <= next);
    follower.removalsKnownFrom = Math.min(follower.removalsKnownFrom, next);
    follower.removalGaps = follower.removalGaps.filter(({ to }) => to <= next);
    const { undecodableConfiguration } = state;
    if (follower === state.followers.configuration && (undecodableConfiguration ?? 0) >= next) {
        state.undecodableConfiguration = undefined;
    }
}
