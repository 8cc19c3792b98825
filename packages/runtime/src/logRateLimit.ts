/**
 * Bounds the volume of a log: of each kind of line at most so many are written in a second. Lines of failed and refused
 * requests may come more often than the others, so that they are the last to be left out.
 */
import type { Milliseconds } from "@verbenaspring/model";
import type { EventLog, LogLevel } from "./logging.js";

/** Lines of one kind in a second, by level; a gateway at full load then writes some 100 kB a second at most. */
const linesPerWindow: Readonly<Record<LogLevel, number>> = { debug: 50, info: 50, warn: 200, error: 200 };
const rateWindow: Milliseconds = 1_000;

interface LineCount {
    written: number;
    omitted: number;
}

/** A log with bounded volume. */
export interface RateLimitedLog {
    readonly log: EventLog;
    /** Tells what was left out, and starts the next second; to be called once a second. */
    readonly startNextWindow: () => void;
}

/**
 * Bounds a log.
 *
 * @example
 * const bounded = boundVolume(log);
 * setInterval(bounded.turn, logTurnInterval);
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
            for (const [event, { omitted: leftOut }] of countsByEvent) {
                if (leftOut > 0) {
                    log("warn", "log_lines_left_out", { kind: event, count: leftOut });
                }
            }
            countsByEvent.clear();
        },
    };
}

/** How often {@link RateLimitedLog.startNextWindow} is called. */
export const logRateWindow: Milliseconds = rateWindow;
