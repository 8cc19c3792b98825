/**
 * Tracing: one span for each hop, propagated in W3C `traceparent` headers and exported over OTLP if the settings give
 * an address.
 */
import { type Attributes, ROOT_CONTEXT, type Span, SpanKind, trace, TraceFlags, type Tracer } from "@opentelemetry/api";
import { OTLPTraceExporter } from "@opentelemetry/exporter-trace-otlp-http";
import { resourceFromAttributes } from "@opentelemetry/resources";
import { BasicTracerProvider, BatchSpanProcessor } from "@opentelemetry/sdk-trace-base";

/** Creates the spans of one process. */
export interface Tracing {
    /** Starts a child span of the one that `traceparent` identifies, or a root span if it is malformed. */
    readonly start: (name: string, kind: HopKind, traceparent: string, attributes: Attributes) => HopSpan;
    /** Exports the remaining spans and shuts the exporter down. */
    readonly flush: () => Promise<void>;
}

/** The side of a hop that a span describes. */
export type HopKind = "server" | "client";

/** A span of one hop. */
export interface HopSpan {
    /** The `traceparent` for child spans. */
    readonly traceparent: string;
    readonly end: (attributes?: Attributes) => void;
}

/**
 * Creates the tracing of a process. Without an address spans are still created and propagated, but not exported.
 *
 * @param address IP address and port of an OTLP collector over HTTP
 * @example
 * const tracing = createTracing("verbenaspring-entry", "127.0.0.1:4318");
 */
export function createTracing(service: string, address: string | undefined): Tracing {
    const exporters = address === undefined ? [] : [new OTLPTraceExporter({ url: `http://${address}/v1/traces` })];
    const provider = new BasicTracerProvider({
        resource: resourceFromAttributes({ "service.name": service }),
        spanProcessors: exporters.map(exporter => new BatchSpanProcessor(exporter)),
    });
    const tracer = provider.getTracer("verbenaspring");
    return {
        start: (name, kind, traceparent, attributes) => startSpan(tracer, name, kind, traceparent, attributes),
        flush: () => provider.shutdown(),
    };
}

function startSpan(
    tracer: Tracer,
    name: string,
    kind: HopKind,
    traceparent: string,
    attributes: Attributes,
): HopSpan {
    const spanKind = kind === "server" ? SpanKind.SERVER : SpanKind.CLIENT;
    const span = tracer.startSpan(name, { kind: spanKind, attributes }, parentContext(traceparent));
    return {
        traceparent: formatTraceparent(span),
        end: finalAttributes => {
            span.setAttributes(finalAttributes ?? {});
            span.end();
        },
    };
}

function parentContext(traceparent: string): typeof ROOT_CONTEXT {
    const match = /^00-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})$/.exec(traceparent);
    if (match === null) {
        return ROOT_CONTEXT;
    }
    const [, traceId, spanId, flags] = match;
    return trace.setSpanContext(ROOT_CONTEXT, { traceId, spanId, traceFlags: parseInt(flags, 16), isRemote: true });
}

function formatTraceparent(span: Span): string {
    const { traceId, spanId, traceFlags } = span.spanContext();
    return `00-${traceId}-${spanId}-${(traceFlags & TraceFlags.SAMPLED).toString(16).padStart(2, "0")}`;
}
