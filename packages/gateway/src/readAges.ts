/**
 * How old what a read of the log found can be: how long the read may wait, and when the log can have answered it. Only the
 * reader's own clock is used.
 */
import type { Milliseconds } from "@verbenaspring/model";
import type { GatewayEvent } from "./event.js";
import type { TopicFollower } from "./state.js";
import { logDecision, type Transaction } from "./transaction.js";

type TopicRead = Extract<GatewayEvent, { readonly kind: "topicRead"; }>;

/** The time beyond its wait from which on a read is logged as late. */
const lateReadThreshold: Milliseconds = 500;
const lateReadLogInterval: Milliseconds = 1_000;

/**
 * How long a read may wait for records: no longer than until what is known is as old as the usual wait. A read that replaces
 * those of another gateway does not wait.
 */
export function longestWait(
    { next, freshAsOf }: TopicFollower,
    usualWait: Milliseconds,
    now: Milliseconds,
): Milliseconds {
    const age = next === undefined || freshAsOf === undefined ? Infinity : now - freshAsOf;
    return Math.max(0, Math.ceil(usualWait - age));
}

/**
 * The earliest time at which the log can have answered a read: after the whole wait if it had no records, else at the start.
 * The answer may have been under way for any time since.
 */
export function earliestAnswer(
    { readStartedAt, readWait }: TopicFollower,
    { items }: TopicRead,
    now: Milliseconds,
): Milliseconds {
    const afterWait = readStartedAt + (items.length === 0 ? readWait : 0);
    return afterWait <= now ? afterWait : Math.min(now, readStartedAt);
}

/** Logs a read that took long beyond the time that the log may have waited for a record, at most once a second for each topic. */
export function logLateRead(transaction: Transaction, { topic, isSnapshot, items, next }: TopicRead): void {
    const { state, now } = transaction;
    const follower = state.followers[topic];
    const took = now - follower.readStartedAt;
    if (took - follower.readWait < lateReadThreshold || now - follower.lateReadLoggedAt < lateReadLogInterval) {
        return;
    }
    follower.lateReadLoggedAt = now;
    logDecision(transaction, "info", "topic_read_late", {
        topic,
        took: Math.round(took),
        wait: follower.readWait,
        isSnapshot,
        items: items.length,
        next,
    });
}
