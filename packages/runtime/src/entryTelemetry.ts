/**
 * What an entry measures of its callers, its log lines, and the span of each request.
 */
import type { EntryObservation } from "@verbenaspring/entry";
import type { Milliseconds, RequestId } from "@verbenaspring/model";
import { monotonicNow } from "./eventLoop.js";
import type { EventLog, LogFields } from "./logging.js";
import type { Metrics } from "./metrics.js";
import type { HopSpan, Tracing } from "./tracing.js";

type FinishedRequest = Extract<EntryObservation, { readonly event: "request_finished"; }>;

/** Measures requests from their arrival to their last word. */
export class EntryTelemetry {
    private readonly spans = new Map<RequestId, HopSpan>();
    private readonly lastWriteAt = new Map<RequestId, Milliseconds>();

    constructor(private readonly metrics: Metrics, private readonly log: EventLog, private readonly tracing: Tracing) {}

    /** Requests that something is still remembered of. */
    get trackedRequestCount(): number {
        return Math.max(this.spans.size, this.lastWriteAt.size);
    }

    /** A request has come; returns the `traceparent` for the hops below. */
    begin(requestId: RequestId, traceparent: string): string {
        const span = this.tracing.start("entry", "server", traceparent, { "verbenaspring.request_id": requestId });
        this.spans.set(requestId, span);
        this.lastWriteAt.set(requestId, monotonicNow());
        return span.traceparent;
    }

    /** A caller hears something: the silence before it has ended. */
    recordWrite(requestId: RequestId): void {
        const now = monotonicNow();
        const last = this.lastWriteAt.get(requestId);
        if (last !== undefined) {
            this.metrics.record("verbenaspring_stall_milliseconds", now - last);
        }
        this.lastWriteAt.set(requestId, now);
    }

    /** A caller gets tokens, the first of them with index `from`. */
    recordTokens(requestId: RequestId, tokens: number, from: number): void {
        const last = this.lastWriteAt.get(requestId);
        if (from > 0 && last !== undefined) {
            this.metrics.record("verbenaspring_time_between_tokens_milliseconds", (monotonicNow() - last) / tokens);
        }
        this.metrics.count("verbenaspring_tokens_total", {}, tokens);
        this.recordWrite(requestId);
    }

    /** A caller gets its last word, also where its request was never taken. */
    end(requestId: RequestId, result: string): void {
        this.recordWrite(requestId);
        this.endSpan(requestId, result);
    }

    /** Turns an observation into a log line and metrics. */
    observe(observation: EntryObservation): void {
        const { event, ...fields } = observation;
        switch (observation.event) {
            case "request_finished":
                return this.recordFinished(observation);
            case "first_token":
                return this.metrics.record("verbenaspring_first_token_milliseconds", observation.after);
            case "link_opening":
                return this.log("debug", event, fields as LogFields);
            default:
                return this.log("info", event, fields as LogFields);
        }
    }

    private recordFinished({ event, requestId, organisation, result, duration, tokens, waits }: FinishedRequest): void {
        this.metrics.count("verbenaspring_requests_total", { result });
        for (const { reason, duration: waited } of waits) {
            this.metrics.record("verbenaspring_wait_milliseconds", waited, { reason });
        }
        this.endSpan(requestId, result);
        this.log("info", event, { requestId, organisation, result, duration: Math.round(duration), tokens });
    }

    /** Ends the request's span. A caller that left gets no last word, so this may be the first or the second time. */
    private endSpan(requestId: RequestId, result: string): void {
        this.lastWriteAt.delete(requestId);
        this.spans.get(requestId)?.end({ "verbenaspring.result": result });
        this.spans.delete(requestId);
    }
}
