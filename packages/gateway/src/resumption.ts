/**
 * What a gateway does after its process was suspended: requests wait until the operator's topic was read anew, since an
 * evacuation may have been requested meanwhile.
 */
import type { Milliseconds } from "@verbenaspring/model";
import type { TopicName } from "./event.js";
import type { GatewayRequest, GatewayState } from "./state.js";
import type { Transaction } from "./transaction.js";

/** A read of the operator's topic after a suspension of the process. */
export interface Resumption {
    readonly since: Milliseconds;
    /** Whether the read has started; a read from before the suspension may lack the newest records. */
    hasStartedRead: boolean;
}

/**
 * A suspension at least this long delays what a gateway learns so far that it may miss the bound of an evacuation. Ticks
 * come every 50 ms, so only a suspension has such a pause between events.
 */
const minimumSuspension: Milliseconds = 2_500;
/** Requests wait no longer than this, so that a store that is out costs them no more. */
const longestHold: Milliseconds = 500;

/** Detects a suspension by the time since the last event. */
export function detectSuspension({ state, now }: Transaction): void {
    const { lastEventAt, followers } = state;
    state.lastEventAt = now;
    if (
        lastEventAt !== undefined && now - lastEventAt >= minimumSuspension
        && followers.configuration.next !== undefined
    ) {
        state.resumption = { since: now, hasStartedRead: false };
    }
}

/** Whether a topic has to be read at once, because of a suspension. */
export function isReadRequired({ resumption }: GatewayState, topic: TopicName): boolean {
    return topic === "configuration" && resumption !== undefined && !resumption.hasStartedRead;
}

/** Records that a read of a topic starts. */
export function recordReadStart({ resumption }: GatewayState, topic: TopicName): void {
    if (topic === "configuration" && resumption !== undefined) {
        resumption.hasStartedRead = true;
    }
}

/** Records that a read of a topic has ended, whatever its outcome: without a store, known evacuations stay in force. */
export function recordReadEnd(state: GatewayState, topic: TopicName): void {
    if (topic === "configuration" && state.resumption?.hasStartedRead === true) {
        state.resumption = undefined;
    }
}

/** Keeps a request until {@link releaseHeldRequests} if the process was just suspended. Returns whether it does. */
export function holdAfterSuspension({ resumption, heldRequests }: GatewayState, { id }: GatewayRequest): boolean {
    if (resumption === undefined) {
        return false;
    }
    heldRequests.add(id);
    return true;
}

/** The requests that need not wait any more. */
export function releaseHeldRequests({ state, now }: Transaction): GatewayRequest[] {
    if (state.resumption !== undefined && now - state.resumption.since < longestHold) {
        return [];
    }
    state.resumption = undefined;
    const released = [...state.heldRequests].flatMap(id => state.requests.get(id) ?? []);
    state.heldRequests.clear();
    return released;
}
