/**
 * Bounds the volume of a log: of each kind of line at most so many are written in a second. Lines of failed and refused
 * requests may come more often than the others, so that they are the last to be left out.
 */
import type { Milliseconds } from "@verbenaspring/model";
import type { EventLog, LogLevel } from "./logging.js";

/** Lines of one kind in a second, by level; a gateway at full load then writes some 100 kB a second at most. */
const linesInSecond: Readonly<Record<LogLevel, number>> = { debug: 50, info: 50, warn: 200, error: 200 };
const windowLength: Milliseconds = 1_000;

interface KindCount {
    written: number;
    leftOut: number;
}

/** A log with bounded volume. */
export interface BoundedLog {
    readonly log: EventLog;
    /** Tells what was left out, and starts the next second; to be called once a second. */
    readonly turn: () => void;
}

/**
 * Bounds a log.
 *
 * @example
 * const bounded = boundVolume(log);
 * setInterval(bounded.turn, logTurnInterval);
 */
export function boundVolume(log: EventLog): BoundedLog {
    const kinds = new Map<string, KindCount>();
    return {
        log: (level, event, fields) => {
            const count = kinds.get(event) ?? { written: 0, leftOut: 0 };
            kinds.set(event, count);
            if (count.written >= linesInSecond[level]) {
                count.leftOut++;
                return;
            }
            count.written++;
            log(level, event, fields);
        },
        turn: () => {
            for (const [event, { leftOut }] of kinds) {
                if (leftOut > 0) {
                    log("warn", "log_lines_left_out", { kind: event, count: leftOut });
                }
            }
            kinds.clear();
        },
    };
}

/** How often {@link BoundedLog.turn} is called. */
export const logTurnInterval: Milliseconds = windowLength;
