/**
 * The sidecar process: an event loop that runs the reducer, and a runner that performs its effects.
 */
import { identifier, type Milliseconds, type SidecarSettings } from "@verbenaspring/model";
import {
    createSidecarState,
    isLeaving,
    reduceSidecar,
    type SidecarEffect,
    type SidecarEvent,
    type SidecarOptions,
    type SidecarState,
} from "@verbenaspring/sidecar";
import { type Daemon, describeError, loggedIncarnationLength } from "./daemon.js";
import { runLoop } from "./eventLoop.js";
import { createEventLog } from "./logging.js";
import { createMetrics, type Metrics } from "./metrics.js";
import { systemSource } from "./randomSource.js";
import { SidecarRunner } from "./sidecarRunner.js";
import { createTickMonitor } from "./tickMonitor.js";

const tickInterval: Milliseconds = 50;

/**
 * Starts a sidecar.
 *
 * @example
 * const daemon = await startSidecar(settings);
 * process.on("SIGTERM", daemon.stop);
 */
export async function startSidecar(settings: SidecarSettings): Promise<Daemon> {
    const incarnation = systemSource.newIdentifier();
    const { backendServer } = settings;
    const commonFields = { role: "sidecar", backendServer, incarnation: incarnation.slice(0, loggedIncarnationLength) };
    const log = createEventLog(settings.observation.logLevel, commonFields);
    const metrics = createMetrics();
    const state = createSidecarState(toSidecarOptions(settings, incarnation));
    registerGauges(metrics, state);
    const runner = new SidecarRunner(settings, log, metrics);
    await runner.listen();
    log("info", "listening", { links: settings.linkAddress, metrics: settings.metricsAddress });
    runLoop<SidecarEvent, SidecarEffect>({
        sources: [runner.events.stream],
        tick: { kind: "tick" },
        tickInterval,
        observeTick: createTickMonitor(tickInterval, log, metrics).observe,
        reduce: (event, now) => reduceSidecar(state, event, now, systemSource),
        perform: effect => runner.perform(effect),
        handleError: error => log("error", "loop_failed", { error: describeError(error) }),
    });
    return { stop: () => runner.events.push({ kind: "stopRequested" }), stopped: runner.stopped };
}

function toSidecarOptions(settings: SidecarSettings, incarnation: string): SidecarOptions {
    return {
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
    };
}

function registerGauges(metrics: Metrics, state: SidecarState): void {
    metrics.gauge("verbenaspring_queue_length", () => state.queue.size);
    metrics.gauge("verbenaspring_running", () => state.running.size);
    metrics.gauge("verbenaspring_kept_tokens", () => state.keptTokens);
    metrics.gauge("verbenaspring_attempts", () => state.attempts.size);
    metrics.gauge("verbenaspring_configuration_offset", () => state.configuration.through);
    metrics.gauge("verbenaspring_leaving", () => Number(isLeaving(state)));
}
