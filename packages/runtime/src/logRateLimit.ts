/**
 * Limits the rate of a log: a maximum of lines a second for each event name. Warnings and errors, such as those of
 * failed and refused requests, have a higher limit, so that they are the last to be omitted.
 */
import type { Milliseconds } from "@verbenaspring/model";
import type { EventLog, LogLevel } from "./logging.js";

/** Lines of one event in a second, by level. They keep a gateway at full load below some 100 kB of log a second. */
const linesPerWindow: Readonly<Record<LogLevel, number>> = { debug: 50, info: 50, warn: 200, error: 200 };
const rateWindow: Milliseconds = 1_000;

interface LineCount {
    written: number;
    omitted: number;
}

/** A log with a limited rate. */
export interface RateLimitedLog {
    readonly log: EventLog;
    /**
     * Logs how many lines of each event were omitted, and resets the counts. To be called every {@link logRateWindow}.
     */
    readonly startNextWindow: () => void;
}

/**
 * Limits the rate of a log.
 *
 * @example
 * const limited = limitLogRate(log);
 * setInterval(limited.startNextWindow, logRateWindow);
 */
export function limitLogRate(log: EventLog): RateLimitedLog {
    const countsByEvent = new Map<string, LineCount>();
    return {
        log: (level, event, fields) => {
            const count = countsByEvent.get(event) ?? { written: 0, omitted: 0 };
            countsByEvent.set(event, count);
            if (count.written >= linesPerWindow[level]) {
                count.omitted++;
                return;
            }
            count.written++;
            log(level, event, fields);
        },
        startNextWindow: () => {
            for (const [event, { omitted }] of countsByEvent) {
                if (omitted > 0) {
                    log("warn", "log_lines_left_out", { kind: event, count: omitted });
                }
            }
            countsByEvent.clear();
        },
    };
}

/** The period in which {@link RateLimitedLog.startNextWindow} is to be called. */
export const logRateWindow: Milliseconds = rateWindow;
