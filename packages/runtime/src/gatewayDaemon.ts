/**
 * The gateway process: the reducer on one loop, and a runner for its effects.
 */
import {
    createGatewayState,
    type GatewayEffect,
    type GatewayEvent,
    type GatewayOptions,
    type MigrationResult,
    reduceGateway,
    type ServerReport,
    type TopicItem,
    type TopicName,
    type TopicRecord,
} from "@verbenaspring/gateway";
import { type CallerAttemptId, identifier, type LogOffset, type Milliseconds } from "@verbenaspring/model";
import type { BackendWire } from "./backendChannels.js";
import { type Daemon, describeError } from "./daemon.js";
import { monotonicNow, runLoop } from "./eventLoop.js";
import type { DecodeCallerHead } from "./gatewayCallers.js";
import { GatewayRunner } from "./gatewayRunner.js";
import { createEventLog, createLineWriter, type EventLog, type LogLevel } from "./logging.js";
import { boundVolume, logTurnInterval } from "./logVolume.js";
import { createMetrics } from "./metrics.js";
import { systemSource } from "./randomSource.js";

/** Reads the platform's topics. A rejected read carries its failure; see {@link readFailureOf}. */
export interface TopicReader {
    readonly read: (topic: TopicName, from: LogOffset, wait: Milliseconds) => Promise<TopicPage>;
    readonly readNewest: (topic: TopicName) => Promise<TopicPage>;
    /** What a record says; nothing where its key does not matter. */
    readonly decode: (topic: TopicName, item: TopicItem) => readonly TopicRecord[];
    readonly close: () => void;
}

/** The records of a read. */
export interface TopicPage {
    readonly items: readonly TopicItem[];
    readonly next: LogOffset;
}

/** What a gateway speaks: the wire towards callers and backend servers, and the platform's topics. */
export interface GatewayAdapter extends BackendWire {
    readonly decodeCallerHead: DecodeCallerHead;
    readonly topics: TopicReader;
    /** Copies a run's memory from its server to another; resolves when the copy is complete or has failed. */
    readonly migrateRun: (
        address: string,
        callerAttemptId: CallerAttemptId,
        target: string,
        timeout: Milliseconds,
    ) => Promise<MigrationResult>;
    /** Asks a backend server for a report; undefined where none came in time. */
    readonly readReport: (address: string, timeout: Milliseconds) => Promise<ServerReport | undefined>;
}

/** Where a gateway listens, and its limits. */
export interface GatewayDaemonOptions extends GatewayOptions {
    readonly instance: string;
    readonly callerAddress: string;
    readonly readinessAddress: string;
    readonly metricsAddress: string | undefined;
    readonly logLevel: LogLevel;
}

/** A running gateway. */
export interface GatewayDaemon extends Daemon {
    /** Takes limits that changed; the addresses stay. */
    readonly applySettings: (options: GatewayOptions) => void;
    readonly log: EventLog;
}

const tickInterval: Milliseconds = 50;

/**
 * Starts a gateway.
 *
 * @example
 * const daemon = await startGateway(options, adapter);
 * process.once("SIGTERM", daemon.stop);
 */
export async function startGateway(options: GatewayDaemonOptions, adapter: GatewayAdapter): Promise<GatewayDaemon> {
    const write = createLineWriter(process.stdout);
    const { log, turn } = boundVolume(createEventLog(options.logLevel, { instance: options.instance }, write));
    setInterval(turn, logTurnInterval).unref();
    const metrics = createMetrics();
    const state = createGatewayState(options, identifier(systemSource.newIdentifier()));
    const runner = new GatewayRunner(options, state, adapter, log, metrics);
    await runner.listen();
    log("info", "started", { callers: options.callerAddress, readiness: options.readinessAddress });
    let tickDueAt = monotonicNow();
    runLoop<GatewayEvent, GatewayEffect>({
        sources: [runner.events.stream],
        tick: { kind: "tick" },
        tickInterval,
        reduce: (event, now) => {
            if (event.kind === "tick") {
                metrics.record("verbenaspring_loop_delay_milliseconds", Math.max(0, now - tickDueAt));
                tickDueAt = now + tickInterval;
            }
            return reduceGateway(state, event, now, systemSource);
        },
        perform: effect => runner.perform(effect),
        fail: error => log("error", "loop_failed", { error: describeError(error) }),
    });
    return {
        stop: () => runner.events.push({ kind: "stopRequested" }),
        stopped: runner.stopped,
        applySettings: next => runner.events.push({ kind: "settingsChanged", options: next }),
        log,
    };
}
