/**
 * Remembers which requests waited and why, so that dispatchers can see it.
 */
import type { Milliseconds, OrganisationId, RequestId } from "@verbenaspring/model";
import type { WaitReason } from "./linkMessages.js";

/** Time that a request spent waiting for one reason. */
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

/** The wait that a request is in, and those that it has behind it. Owned and changed by the loop. */
export interface WaitRecord {
    reason: WaitReason | undefined;
    since: Milliseconds;
    readonly spans: { reason: WaitReason; duration: Milliseconds; }[];
}

/** Starts an empty record. */
export function createWaitRecord(now: Milliseconds): WaitRecord {
    return { reason: undefined, since: now, spans: [] };
}

/**
 * Notes that a request now waits for `reason`, or for nothing where it is undefined.
 *
 * @example
 * noteWait(request.waits, "engine_memory", now);
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

/** The spans so far, the running one included. */
export function waitSpans(record: WaitRecord, now: Milliseconds): WaitSpan[] {
    const copy: WaitRecord = { ...record, spans: record.spans.map(span => ({ ...span })) };
    setWaitReason(copy, undefined, now);
    return copy.spans;
}
