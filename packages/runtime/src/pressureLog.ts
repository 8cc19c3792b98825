/**
 * Counts the requests and connections that listeners reject or close, and logs at most one line a second for each reason
 * and listener.
 */
import type { Milliseconds } from "@verbenaspring/model";
import type { EventLog } from "./logging.js";
import type { Metrics } from "./metrics.js";

/** The time between two lines of the same reason and listener. */
const lineInterval: Milliseconds = 1_000;

/** Reports of rejected requests and closed connections. */
export interface PressureLog {
    /** @param detail the client's address, or what was wrong with its request */
    readonly report: (listener: string, reason: string, detail: string, now: Milliseconds) => void;
}

/**
 * Creates the log. A line states how many reports there were since the line before it.
 *
 * @example
 * const pressure = createPressureLog(log, metrics);
 * pressure.report("callers", "budget", "10.2.0.7", monotonicNow());
 */
export function createPressureLog(log: EventLog, metrics: Metrics): PressureLog {
    const lines = new Map<string, { loggedAt: Milliseconds; count: number; }>();
    return {
        report: (listener, reason, detail, now) => {
            metrics.count("verbenaspring_callers_rejected_total", { listener, reason });
            const key = `${listener}/${reason}`;
            const line = lines.get(key) ?? { loggedAt: -Infinity, count: 0 };
            lines.set(key, line);
            line.count++;
            if (now - line.loggedAt >= lineInterval) {
                log("warn", "caller_rejected", { listener, reason, detail, count: line.count });
                line.loggedAt = now;
                line.count = 0;
            }
        },
    };
}
