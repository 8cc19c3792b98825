/**
 * Records which requests waited and why, for display to dispatchers.
 */
import type { Milliseconds, OrganisationId, RequestId } from "@verbenaspring/model";
import type { WaitReason } from "./linkMessages.js";

/** The total time that a request waited for one reason. */
export interface WaitSpan {
    readonly reason: WaitReason;
    readonly duration: Milliseconds;
}

/** The waits of one request. */
export interface RequestWaits {
    readonly requestId: RequestId;
    readonly organisation: OrganisationId;
    readonly route: string;
    readonly finished: boolean;
    readonly spans: readonly WaitSpan[];
}

/** The current wait of a request and its earlier ones. Owned by the event loop, which changes it in place. */
export interface WaitRecord {
    /** The reason of the current wait; undefined while the request does not wait. */
    reason: WaitReason | undefined;
    since: Milliseconds;
    readonly spans: { reason: WaitReason; duration: Milliseconds; }[];
}

/** Creates a record without waits. */
export function createWaitRecord(now: Milliseconds): WaitRecord {
    return { reason: undefined, since: now, spans: [] };
}

/**
 * Ends the current wait and starts one for `reason`, or none if that is undefined. Does nothing if the reason is
 * unchanged.
 *
 * @example
 * setWaitReason(request.waits, "engine_memory", now);
 */
export function setWaitReason(record: WaitRecord, reason: WaitReason | undefined, now: Milliseconds): void {
    if (reason === record.reason) {
        return;
    }
    const ended = record.reason;
    const duration = now - record.since;
    if (ended !== undefined && duration > 0) {
        const span = record.spans.find(earlier => earlier.reason === ended);
        if (span === undefined) {
            record.spans.push({ reason: ended, duration });
        }
        else {
            span.duration += duration;
        }
    }
    record.reason = reason;
    record.since = now;
}

/** Returns the wait spans so far, including the current one. */
export function waitSpans(record: WaitRecord, now: Milliseconds): WaitSpan[] {
    const snapshot: WaitRecord = { ...record, spans: record.spans.map(span => ({ ...span })) };
    setWaitReason(snapshot, undefined, now);
    return snapshot.spans;
}
