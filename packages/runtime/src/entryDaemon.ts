/**
 * The entry process: an event loop that runs the reducer, and a runner that performs its effects.
 */
import {
    createEntryState,
    type EntryEffect,
    type EntryEvent,
    type EntryOptions,
    reduceEntry,
} from "@verbenaspring/entry";
import { type EntrySettings, identifier, type Milliseconds } from "@verbenaspring/model";
import { type Daemon, describeError, loggedIncarnationLength } from "./daemon.js";
import { EntryRunner } from "./entryRunner.js";
import { runLoop } from "./eventLoop.js";
import { createEventLog } from "./logging.js";
import { createMetrics } from "./metrics.js";
import { systemSource } from "./randomSource.js";
import { createTickMonitor } from "./tickMonitor.js";

const tickInterval: Milliseconds = 50;
/** How many silence timeouts a link may be down before the attempts on it count as lost. */
const silenceTimeoutsUntilLost = 5;

/**
 * Starts an entry.
 *
 * @example
 * const daemon = await startEntry(settings);
 * process.on("SIGTERM", daemon.stop);
 */
export async function startEntry(settings: EntrySettings): Promise<Daemon> {
    const incarnation = systemSource.newIdentifier();
    const commonFields = { role: "entry", incarnation: incarnation.slice(0, loggedIncarnationLength) };
    const log = createEventLog(settings.observation.logLevel, commonFields);
    const metrics = createMetrics();
    const state = createEntryState(toEntryOptions(settings, incarnation));
    metrics.gauge("verbenaspring_requests_in_progress", () => state.requests.size);
    metrics.gauge("verbenaspring_configuration_offset", () => state.configuration.through);
    const runner = new EntryRunner(settings, state, log, metrics);
    await runner.listen();
    log("info", "listening", { callers: settings.callerAddress, operators: settings.operatorAddress });
    runLoop<EntryEvent, EntryEffect>({
        sources: [runner.events.stream],
        tick: { kind: "tick" },
        tickInterval,
        observeTick: createTickMonitor(tickInterval, log, metrics).observe,
        reduce: (event, now) => reduceEntry(state, event, now, systemSource),
        perform: effect => runner.perform(effect),
        handleError: error => log("error", "loop_failed", { error: describeError(error) }),
    });
    return { stop: () => runner.events.push({ kind: "stopRequested" }), stopped: runner.stopped };
}

function toEntryOptions(settings: EntrySettings, incarnation: string): EntryOptions {
    const { link, limits } = settings;
    return {
        incarnation: identifier(incarnation),
        heartbeatInterval: link.heartbeatInterval,
        silenceTimeout: link.silenceTimeout,
        reconnectDelay: link.reconnectDelay,
        lostTimeout: link.silenceTimeout * silenceTimeoutsUntilLost,
        maximumRequests: limits.maximumRequests,
        linksPerService: limits.linksPerService,
        serviceDeadline: settings.serviceDeadline,
        commentInterval: settings.commentInterval,
        keyRetention: settings.keyRetention,
        snapshotInterval: settings.snapshotInterval,
        stopGrace: settings.stopGrace,
        stopTimeout: settings.stopTimeout,
    };
}
