/**
 * The gateway process: an event loop that runs the reducer, and a runner that performs its effects.
 */
import {
    type BaseVersion,
    createGatewayState,
    type GatewayEffect,
    type GatewayEvent,
    type GatewayOptions,
    type MigrationResult,
    reduceGateway,
    type ServerReport,
    type StreamRecord,
    type StreamRegisterPage,
    type TopicItem,
    type TopicName,
    type TopicRecord,
} from "@verbenaspring/gateway";
import {
    type BackendServerId,
    type CallerAttemptId,
    identifier,
    type LogOffset,
    type Milliseconds,
} from "@verbenaspring/model";
import type { BackendCodec } from "./backendChannels.js";
import { type Daemon, describeError } from "./daemon.js";
import { monotonicNow, runLoop } from "./eventLoop.js";
import type { DecodeCallerHead } from "./gatewayCallerServer.js";
import { GatewayRunner } from "./gatewayRunner.js";
import { createEventLog, createLineWriter, type EventLog, type LogLevel } from "./logging.js";
import { limitLogRate, logRateWindow } from "./logRateLimit.js";
import { createMetrics } from "./metrics.js";
import { systemSource } from "./randomSource.js";
import { createTickMonitor } from "./tickMonitor.js";

/**
 * Reads the platform's topics. The error of a rejected read has its cause in the field `failure`, which
 * {@link classifyReadError} reads.
 */
export interface TopicReader {
    /** Reads records from an offset on; if there is none yet, waits up to `wait` milliseconds for the first. */
    readonly read: (topic: TopicName, from: LogOffset, wait: Milliseconds) => Promise<TopicPage>;
    /**
     * Reads the newest record of each key: all that was stored before the call, and until the page's `next`. It is not at its end if more
     * was stored meanwhile.
     */
    readonly readNewest: (topic: TopicName) => Promise<TopicPage>;
    /** Decodes a record; returns an empty list for a key that gateways do not use. */
    readonly decode: (topic: TopicName, item: TopicItem) => readonly TopicRecord[];
    readonly close: () => void;
}

/** The result of a read: the records, and the offset at which the next read starts. */
export interface TopicPage {
    readonly items: readonly TopicItem[];
    readonly next: LogOffset;
    /** Whether the log ended there; absent if it did. */
    readonly isAtEnd?: boolean;
}

/** Reads and writes the register of streams. A rejected call may have taken effect. */
export interface StreamRegisterStore {
    readonly read: (from: LogOffset) => Promise<StreamRegisterPage>;
    readonly record: (records: readonly StreamRecord[]) => Promise<void>;
    /** Writes a base version, unless one was written from the offset on. */
    readonly writeBase: (baseVersion: BaseVersion, at: LogOffset) => Promise<void>;
}

/** The platform's protocols: those of callers and backend servers, and the reading of topics. */
export interface GatewayAdapter extends BackendCodec {
    readonly decodeCallerHead: DecodeCallerHead;
    readonly topics: TopicReader;
    readonly streamRegister: StreamRegisterStore;
    /**
     * Copies a run's memory from the backend server at `address` to the one at `target`, after stopping the run if
     * `isStopping`. Resolves when the migration is complete or has failed.
     */
    readonly migrateRun: (
        address: string,
        callerAttemptId: CallerAttemptId,
        target: string,
        isStopping: boolean,
        timeout: Milliseconds,
    ) => Promise<MigrationResult>;
    /**
     * Requests a backend server's report. Resolves to undefined if none arrives in time, or if another server than the given
     * one has the address.
     */
    readonly readReport: (
        address: string,
        timeout: Milliseconds,
        backendServer?: BackendServerId,
    ) => Promise<ServerReport | undefined>;
    /** Sends a health check. Resolves to whether the backend server answers it in time, with any status. */
    readonly checkHealth: (
        address: string,
        backendServer: BackendServerId,
        path: string,
        timeout: Milliseconds,
    ) => Promise<boolean>;
}

/** The addresses at which a gateway listens, its log level and its limits. */
export interface GatewayDaemonOptions extends GatewayOptions {
    readonly instance: string;
    readonly callerAddress: string;
    readonly readinessAddress: string;
    readonly metricsAddress: string | undefined;
    readonly logLevel: LogLevel;
    /** The memory of the machine for the process, in bytes. */
    readonly memoryBytes: number;
    /** The limit of the process's file descriptors, if it is known. */
    readonly maxFileDescriptors?: number | undefined;
    /** Lowers the bound on what clients make the process hold, in bytes. */
    readonly callerBytes?: number | undefined;
    /** Identifies the program in the log. */
    readonly build?: string | undefined;
}

/** A running gateway. */
export interface GatewayDaemon extends Daemon {
    /** Applies changed settings while the gateway runs, except for the addresses at which it listens. */
    readonly applySettings: (options: GatewayOptions) => void;
    readonly log: EventLog;
}

const tickInterval: Milliseconds = 50;

/**
 * Starts a gateway.
 *
 * @example
 * const daemon = await startGateway(options, adapter);
 * process.on("SIGTERM", daemon.stop);
 */
export async function startGateway(options: GatewayDaemonOptions, adapter: GatewayAdapter): Promise<GatewayDaemon> {
    const write = createLineWriter(process.stdout);
    const { log, startNextWindow } = limitLogRate(
        createEventLog(options.logLevel, { instance: options.instance }, write),
    );
    setInterval(startNextWindow, logRateWindow).unref();
    const metrics = createMetrics();
    const state = createGatewayState(options, identifier(systemSource.newIdentifier()));
    const ticks = createTickMonitor(tickInterval, log, metrics);
    const runner = new GatewayRunner(options, state, adapter, log, metrics, ticks.readDelay);
    await runner.listen();
    const { build, callerAddress, readinessAddress } = options;
    log("info", "started", { build, callers: callerAddress, readiness: readinessAddress });
    runLoop<GatewayEvent, GatewayEffect>({
        sources: [runner.events.stream],
        tick: { kind: "tick" },
        tickInterval,
        observeTick: ticks.observe,
        reduce: (event, now) => reduceGateway(state, event, now, systemSource),
        perform: effect => runner.perform(effect),
        handleError: error => log("error", "loop_failed", { error: describeError(error) }),
    });
    return {
        stop: () => runner.events.push({ kind: "stopRequested", readDelay: ticks.readDelay(monotonicNow()) }),
        stopped: runner.stopped,
        applySettings: next => runner.events.push({ kind: "settingsChanged", options: next }),
        log,
    };
}
