/**
 * Logs: one line of key=value pairs an event. What is logged is named field by field, so secrets stay out.
 */
import { Logger } from "tslog";

/** The levels of severity, lowest first. */
export const logLevels = ["debug", "info", "warn", "error"] as const;

/** One level of severity. */
export type LogLevel = typeof logLevels[number];

/** The fields of a log line. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Writes one event as one line. */
export type EventLog = (level: LogLevel, event: string, fields?: LogFields) => void;

interface LogLine {
    readonly event: string;
    readonly fields: LogFields;
}

const minimumLevels = { debug: 2, info: 3, warn: 4, error: 5 } as const;

/**
 * Creates a log that writes to standard error.
 *
 * @example
 * const log = createEventLog("info", { role: "entry" });
 * log("info", "listening", { address: "127.0.0.1:8080" });
 */
export function createEventLog(minimum: LogLevel, common: LogFields): EventLog {
    const logger = new Logger<LogLine>({ type: "hidden", minLevel: minimumLevels[minimum] });
    logger.attachTransport(line => {
        const { event, fields } = line as unknown as LogLine;
        const { date, logLevelName } = line._meta;
        const level = logLevelName.toLowerCase();
        process.stderr.write(`${formatPairs({ time: date.toISOString(), level, event, ...common, ...fields })}\n`);
    });
    return (level, event, fields = {}) => {
        logger[level]({ event, fields });
    };
}

/** Formats fields as `key=value` pairs; values with spaces, quotes or control characters are quoted. */
export function formatPairs(fields: LogFields): string {
    return Object.entries(fields)
        .filter(([, value]) => value !== undefined)
        .map(([key, value]) => `${key}=${formatValue(String(value))}`)
        .join(" ");
}

function formatValue(value: string): string {
    return /^[^\s"=\p{Cc}]+$/u.test(value) ? value : JSON.stringify(value);
}
