/**
 * Performs the effects of the sidecar's reducer. Their outcomes return to the reducer as events.
 */
import type { GenerationId, Milliseconds, SidecarSettings } from "@verbenaspring/model";
import type { SidecarEffect, SidecarEvent, SidecarObservation } from "@verbenaspring/sidecar";
import { createServer, type Server } from "node:http";
import { type BackendClient, createBackendClient } from "./backendClient.js";
import { createDeferred } from "./daemon.js";
import { createEventChannel } from "./eventLoop.js";
import { createLinkServer, type LinkServer } from "./linkServer.js";
import type { EventLog, LogFields } from "./logging.js";
import type { Metrics } from "./metrics.js";
import { readInstances } from "./platformClient.js";
import { listen } from "./socketAddress.js";
import { createTracing, type HopSpan, type Tracing } from "./tracing.js";

/** Time to send the last frames before the links are closed and the process exits. */
const flushDelay: Milliseconds = 200;

/** Kinds of events that end a generation, and its spans with it. */
const finalEventKinds: ReadonlySet<SidecarEvent["kind"]> = new Set([
    "generationEnded",
    "generationLost",
    "serviceResponded",
    "serviceFailed",
    "backendRefused",
]);

/** Owns the sidecar's links and its backend client, and performs the reducer's effects on them. */
export class SidecarRunner {
    readonly events = createEventChannel<SidecarEvent>();
    private readonly stopCompletion = createDeferred();
    readonly stopped = this.stopCompletion.promise;
    private readonly tracing: Tracing;
    private readonly backend: BackendClient;
    private readonly links: LinkServer;
    private readonly statusServer: Server;
    private readonly spans = new Map<GenerationId, readonly HopSpan[]>();
    private pollTimer: NodeJS.Timeout | undefined;

    constructor(
        private readonly settings: SidecarSettings,
        private readonly log: EventLog,
        private readonly metrics: Metrics,
    ) {
        const { push } = this.events;
        this.tracing = createTracing("verbenaspring-sidecar", settings.observation.traceAddress);
        this.backend = createBackendClient(
            settings.backendAddress,
            event => this.handleBackendEvent(event),
            (generationId, error) => log("warn", "backend_call_failed", { generationId, error: String(error) }),
        );
        this.links = createLinkServer(settings.link.batchInterval, {
            opened: ({ entryIncarnation: entry, linkNumber, backendServer }) =>
                push({ kind: "linkOpened", entry, linkNumber, backendServer }),
            message: (entry, linkNumber, message) => push({ kind: "linkMessage", entry, linkNumber, message }),
            closed: (entry, linkNumber) => push({ kind: "linkClosed", entry, linkNumber }),
        });
        this.statusServer = createServer((request, response) => {
            const isKnown = request.url === "/metrics" || request.url === "/live";
            response.writeHead(isKnown ? 200 : 404);
            response.end(request.url === "/metrics" ? metrics.format() : "live\n");
        });
    }

    /** Starts listening for links and metrics, and begins to poll the backend server and the instance list. */
    async listen(): Promise<void> {
        await this.links.listen(this.settings.linkAddress);
        await listen(this.statusServer, this.settings.metricsAddress);
        await this.probeBackend();
        void this.readInstanceList();
        this.pollTimer = setInterval(() => {
            void this.probeBackend();
            void this.readInstanceList();
        }, this.settings.platform.pollInterval);
    }

    /** Performs one effect. */
    perform(effect: SidecarEffect): void {
        switch (effect.kind) {
            case "sendMessage":
                return this.links.send(effect.entry, effect.linkNumber, effect.message);
            case "closeLink":
                return this.links.close(effect.entry, effect.linkNumber);
            case "startGeneration": {
                const { generationId, attemptId, work, priority } = effect;
                const traceparent = this.startSpans(generationId, work.traceparent);
                return this.backend.start(generationId, attemptId, work, priority, traceparent);
            }
            case "resumeGeneration":
                return this.backend.resume(effect.generationId, effect.from);
            case "cancelGeneration":
                this.endSpans(effect.generationId);
                return this.backend.cancel(effect.generationId);
            case "callService": {
                const { generationId, attemptId, work, timeLeft } = effect;
                const traceparent = this.startSpans(generationId, work.traceparent);
                return this.backend.callService(generationId, attemptId, work, timeLeft, traceparent);
            }
            case "observe":
                return this.observe(effect.observation);
            case "violated":
                return this.reportViolation(effect);
            case "exit":
                void this.exit();
                return;
        }
    }

    private handleBackendEvent(event: SidecarEvent): void {
        if ("generationId" in event && finalEventKinds.has(event.kind)) {
            this.endSpans(event.generationId);
        }
        this.events.push(event);
    }

    private async probeBackend(): Promise<void> {
        this.events.push({ kind: "backendStatus", reachable: await this.backend.probe() });
    }

    private async readInstanceList(): Promise<void> {
        const { platform: { instanceListAddress, requestTimeout }, backendServer } = this.settings;
        try {
            const instances = await readInstances(instanceListAddress, requestTimeout);
            const own = instances.find(instance => instance.backendServer === backendServer);
            this.events.push({ kind: "listed", leaving: own?.leaving ?? false });
        }
        catch (error) {
            this.log("debug", "instance_list_unavailable", { error: String(error) });
        }
    }

    /**
     * Starts nested spans for the link, the sidecar and the backend call. Returns the `traceparent` of the innermost.
     */
    private startSpans(generationId: GenerationId, traceparent: string): string {
        const attributes = { "verbenaspring.generation_id": generationId };
        const link = this.tracing.start("link", "client", traceparent, {});
        const sidecar = this.tracing.start("sidecar", "server", link.traceparent, attributes);
        const call = this.tracing.start("backend server", "client", sidecar.traceparent, {});
        this.spans.set(generationId, [call, sidecar, link]);
        return call.traceparent;
    }

    private endSpans(generationId: GenerationId): void {
        this.spans.get(generationId)?.forEach(span => span.end());
        this.spans.delete(generationId);
    }

    private observe(observation: SidecarObservation): void {
        const { event, ...fields } = observation;
        switch (observation.event) {
            case "attempt_started":
                this.metrics.record("verbenaspring_queue_wait_milliseconds", observation.waited);
                break;
            case "generation_preempted":
                this.metrics.count("verbenaspring_preemptions_total");
                break;
            case "attempt_refused":
                this.metrics.count("verbenaspring_refusals_total", { reason: observation.reason });
                break;
        }
        this.log("info", event, fields as LogFields);
    }

    private reportViolation({ violation, attemptId }: Extract<SidecarEffect, { readonly kind: "violated"; }>): void {
        const { invariant, detail } = violation;
        this.metrics.count("verbenaspring_invariant_violations_total", { invariant });
        this.log("error", "invariant_violated", { invariant, detail, attemptId });
    }

    private async exit(): Promise<void> {
        this.log("info", "stopped");
        clearInterval(this.pollTimer);
        await new Promise(resolve => setTimeout(resolve, flushDelay));
        this.links.stop();
        this.statusServer.close();
        await this.tracing.flush();
        this.stopCompletion.resolve();
    }
}
