/**
 * The telemetry of an entry: metrics and log lines of its requests, and a span for each.
 */
import type { EntryObservation } from "@verbenaspring/entry";
import type { Milliseconds, RequestId } from "@verbenaspring/model";
import { monotonicNow } from "./eventLoop.js";
import type { EventLog, LogFields } from "./logging.js";
import type { Metrics } from "./metrics.js";
import type { HopSpan, Tracing } from "./tracing.js";

type FinishedRequest = Extract<EntryObservation, { readonly event: "request_finished"; }>;

/** Records requests from their arrival to the end of their answers. */
export class EntryTelemetry {
    private readonly spans = new Map<RequestId, HopSpan>();
    private readonly lastWriteAt = new Map<RequestId, Milliseconds>();

    constructor(private readonly metrics: Metrics, private readonly log: EventLog, private readonly tracing: Tracing) {}

    /** How many requests still have state here. */
    get trackedRequestCount(): number {
        return Math.max(this.spans.size, this.lastWriteAt.size);
    }

    /** Starts to track a request that has arrived. Returns the `traceparent` for its child spans. */
    begin(requestId: RequestId, traceparent: string): string {
        const span = this.tracing.start("entry", "server", traceparent, { "verbenaspring.request_id": requestId });
        this.spans.set(requestId, span);
        this.lastWriteAt.set(requestId, monotonicNow());
        return span.traceparent;
    }

    /** Records a write to the caller, and the time since the one before it or since the request's arrival. */
    recordWrite(requestId: RequestId): void {
        const now = monotonicNow();
        const last = this.lastWriteAt.get(requestId);
        if (last !== undefined) {
            this.metrics.record("verbenaspring_stall_milliseconds", now - last);
        }
        this.lastWriteAt.set(requestId, now);
    }

    /** Records a write of tokens to the caller, the first of them with index `from`. */
    recordTokens(requestId: RequestId, tokens: number, from: number): void {
        const last = this.lastWriteAt.get(requestId);
        if (from > 0 && last !== undefined) {
            this.metrics.record("verbenaspring_time_between_tokens_milliseconds", (monotonicNow() - last) / tokens);
        }
        this.metrics.count("verbenaspring_tokens_total", {}, tokens);
        this.recordWrite(requestId);
    }

    /** Records the end of an answer, also that of a request that was refused before it was accepted. */
    end(requestId: RequestId, result: string): void {
        this.recordWrite(requestId);
        this.stopTracking(requestId, result);
    }

    /** Logs an observation and updates the metrics that depend on it. */
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
        this.stopTracking(requestId, result);
        this.log("info", event, { requestId, organisation, result, duration: Math.round(duration), tokens });
    }

    /**
     * Ends the request's span and removes its state. Called by `end` and by `observe`, once or twice for each request:
     * a caller that left gets no answer, and of a request that was refused before it was accepted nothing is observed.
     */
    private stopTracking(requestId: RequestId, result: string): void {
        this.lastWriteAt.delete(requestId);
        this.spans.get(requestId)?.end({ "verbenaspring.result": result });
        this.spans.delete(requestId);
    }
}
