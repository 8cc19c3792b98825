/**
 * The sidecar process: the reducer on one loop, and a runner for its effects.
 */
import { type GenerationId, identifier, type Milliseconds, type SidecarSettings } from "@verbenaspring/model";
import {
    createSidecarState,
    isLeaving,
    reduceSidecar,
    type SidecarEffect,
    type SidecarEvent,
    type SidecarObservation,
    type SidecarState,
} from "@verbenaspring/sidecar";
import { createServer } from "node:http";
import { createBackendClient } from "./engineClient.js";
import { type Daemon, describe } from "./entryDaemon.js";
import { createEventChannel, runLoop } from "./eventLoop.js";
import { createLinkServer } from "./linkServer.js";
import { listen } from "./listening.js";
import { createEventLog, type EventLog } from "./logging.js";
import { createMetrics, type Metrics } from "./metrics.js";
import { readInstances } from "./platformClient.js";
import { systemSource } from "./randomSource.js";
import { createTracing, type HopSpan } from "./tracing.js";

const tickInterval: Milliseconds = 50;
/** Time for the last frames to leave before the process exits. */
const flushTime: Milliseconds = 200;

/**
 * Starts a sidecar.
 *
 * @example
 * const daemon = await startSidecar(settings);
 * process.once("SIGTERM", daemon.stop);
 */
export async function startSidecar(settings: SidecarSettings): Promise<Daemon> {
    const incarnation = systemSource.newIdentifier();
    const common = { role: "sidecar", backendServer: settings.backendServer, incarnation: incarnation.slice(0, 8) };
    const log = createEventLog(settings.observation.logLevel, common);
    const metrics = createMetrics();
    const state = createSidecarState({
        incarnation: identifier(incarnation),
        backendServer: identifier(settings.backendServer),
        service: identifier(settings.service),
        ...settings.engine,
        ...settings.limits,
        heartbeatInterval: settings.link.heartbeatInterval,
        silenceTimeout: settings.link.silenceTimeout,
        detachedWindow: settings.detachedWindow,
        resumeWindow: settings.resumeWindow,
        stopTimeout: settings.stopTimeout,
    });
    registerGauges(metrics, state);
    const runner = createRunner(settings, log, metrics);
    await runner.listen(state);
    log("info", "listening", { links: settings.linkAddress, metrics: settings.metricsAddress });
    runLoop<SidecarEvent, SidecarEffect>({
        sources: [runner.events.stream],
        tick: { kind: "tick" },
        tickInterval,
        reduce: (event, now) => reduceSidecar(state, event, now, systemSource),
        perform: runner.perform,
        fail: error => log("error", "loop_failed", { error: describe(error) }),
    });
    return { stop: () => runner.events.push({ kind: "stopRequested" }), stopped: runner.stopped };
}

function registerGauges(metrics: Metrics, state: SidecarState): void {
    metrics.gauge("verbenaspring_queue_length", () => state.queue.size);
    metrics.gauge("verbenaspring_running", () => state.running.size);
    metrics.gauge("verbenaspring_kept_tokens", () => state.keptTokens);
    metrics.gauge("verbenaspring_attempts", () => state.attempts.size);
    metrics.gauge("verbenaspring_configuration_offset", () => state.configuration.through);
    metrics.gauge("verbenaspring_leaving", () => Number(isLeaving(state)));
}

function createRunner(settings: SidecarSettings, log: EventLog, metrics: Metrics) {
    const events = createEventChannel<SidecarEvent>();
    const { push } = events;
    const tracing = createTracing("verbenaspring-sidecar", settings.observation.traceAddress);
    const spans = new Map<GenerationId, readonly HopSpan[]>();
    const backend = createBackendClient(settings.backendAddress, event => {
        endSpans(event);
        push(event);
    }, (generationId, error) => log("warn", "backend_call_failed", { generationId, error: String(error) }));
    const links = createLinkServer(settings.link.batchInterval, {
        opened: ({ entryIncarnation: entry, linkNumber, backendServer }) =>
            push({ kind: "linkOpened", entry, linkNumber, backendServer }),
        message: (entry, linkNumber, message) => push({ kind: "linkMessage", entry, linkNumber, message }),
        closed: (entry, linkNumber) => push({ kind: "linkClosed", entry, linkNumber }),
    });
    const probes = createServer((request, response) => {
        response.writeHead(request.url === "/metrics" || request.url === "/live" ? 200 : 404);
        response.end(request.url === "/metrics" ? metrics.format() : "live\n");
    });
    let finishStop: () => void = () => undefined;
    const stopped = new Promise<void>(resolve => finishStop = resolve);
    const poll = setInterval(() => void observeSurroundings(), settings.platform.pollInterval);

    async function observeSurroundings(): Promise<void> {
        push({ kind: "backendStatus", reachable: await backend.probe() });
        try {
            const { instanceListAddress, requestTimeout } = settings.platform;
            const instances = await readInstances(instanceListAddress, requestTimeout);
            const own = instances.find(instance => instance.backendServer === settings.backendServer);
            push({ kind: "listed", leaving: own?.leaving ?? false });
        }
        catch (error) {
            log("debug", "instance_list_unavailable", { error: String(error) });
        }
    }

    /** Starts a span for the link's hop and one for the backend server's; returns the inner one's name. */
    function startSpans(generationId: GenerationId, traceparent: string): string {
        const link = tracing.start("link", "client", traceparent, {});
        const sidecar = tracing.start("sidecar", "server", link.traceparent, {
            "verbenaspring.generation_id": generationId,
        });
        const call = tracing.start("backend server", "client", sidecar.traceparent, {});
        spans.set(generationId, [call, sidecar, link]);
        return call.traceparent;
    }

    function endSpans(event: SidecarEvent): void {
        const isLast = event.kind === "generationEnded" || event.kind === "generationLost"
            || event.kind === "serviceResponded" || event.kind === "serviceFailed" || event.kind === "backendRefused";
        if (isLast) {
            spans.get(event.generationId)?.forEach(span => span.end());
            spans.delete(event.generationId);
        }
    }

    function observe(observation: SidecarObservation): void {
        const { event, ...fields } = observation;
        if (observation.event === "attempt_started") {
            metrics.record("verbenaspring_queue_wait_milliseconds", observation.waited);
        }
        if (observation.event === "generation_preempted") {
            metrics.count("verbenaspring_preemptions_total");
        }
        if (observation.event === "attempt_refused") {
            metrics.count("verbenaspring_refusals_total", { reason: observation.reason });
        }
        log("info", event, fields as Record<string, string | number>);
    }

    async function exit(): Promise<void> {
        log("info", "stopped");
        clearInterval(poll);
        await new Promise(resolve => setTimeout(resolve, flushTime));
        links.stop();
        probes.close();
        await tracing.flush();
        finishStop();
    }

    function perform(effect: SidecarEffect): void {
        switch (effect.kind) {
            case "sendMessage":
                return links.send(effect.entry, effect.linkNumber, effect.message);
            case "closeLink":
                return links.close(effect.entry, effect.linkNumber);
            case "startGeneration": {
                const { generationId, attemptId, work, priority } = effect;
                const traceparent = startSpans(generationId, work.traceparent);
                return backend.start(generationId, attemptId, work, priority, traceparent);
            }
            case "resumeGeneration":
                return backend.resume(effect.generationId, effect.from);
            case "cancelGeneration":
                spans.delete(effect.generationId);
                return backend.cancel(effect.generationId);
            case "callService": {
                const { generationId, attemptId, work, timeLeft } = effect;
                const traceparent = startSpans(generationId, work.traceparent);
                return backend.callService(generationId, attemptId, work, timeLeft, traceparent);
            }
            case "observe":
                return observe(effect.observation);
            case "violated": {
                const { invariant, detail } = effect.violation;
                metrics.count("verbenaspring_invariant_violations_total", { invariant });
                return log("error", "invariant_violated", { invariant, detail, attemptId: effect.attemptId });
            }
            case "exit":
                void exit();
                return;
        }
    }

    async function listenAll(state: SidecarState): Promise<void> {
        await links.listen(settings.linkAddress);
        await listen(probes, settings.metricsAddress);
        state.reachable = await backend.probe();
        void observeSurroundings();
    }

    return { events, perform, listen: listenAll, stopped };
}
