/**
 * Structured logs: one line of key=value pairs for each event. Every logged field is named where it is logged, so that
 * secrets stay out.
 */
import type { Writable } from "node:stream";
import { Logger } from "tslog";

/** The log levels, lowest first. */
export const logLevels = ["debug", "info", "warn", "error"] as const;

/** One log level. */
export type LogLevel = typeof logLevels[number];

/** The fields of a log line. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Writes one event as one line. */
export type EventLog = (level: LogLevel, event: string, fields?: LogFields) => void;

interface LogLine {
    readonly event: string;
    readonly fields: LogFields;
}

const tslogLevels = { debug: 2, info: 3, warn: 4, error: 5 } as const;

/** Writes one line, which ends with a line feed. */
export type WriteLine = (line: string) => void;

const writeToStandardError: WriteLine = line => {
    process.stderr.write(line);
};

/** Bytes that may wait for a slow reader of the log before lines are dropped. */
const maxBacklogBytes = 256 * 1024;

/**
 * Creates a writer that never waits for the reader of its stream. While too many bytes are unread, lines are dropped;
 * the next write is preceded by a line with their count. After an error of the stream, such as a closed pipe, all lines
 * are dropped and the process goes on.
 *
 * @example
 * const write = createLineWriter(process.stdout);
 */
export function createLineWriter(output: Pick<Writable, "write" | "writableLength" | "on">): WriteLine {
    let droppedLines = 0;
    let isOutputBroken = false;
    // The failure cannot be logged anywhere; without a listener it would end the process.
    output.on("error", () => isOutputBroken = true);
    return line => {
        if (isOutputBroken) {
            return;
        }
        if (output.writableLength > maxBacklogBytes) {
            droppedLines++;
            return;
        }
        if (droppedLines > 0) {
            output.write(`${formatPairs({ level: "warn", event: "log_lines_left_out", count: droppedLines })}\n`);
            droppedLines = 0;
        }
        output.write(line);
    };
}

/**
 * Creates a log.
 *
 * @param write receives the lines; standard error by default
 * @example
 * const log = createEventLog("info", { role: "entry" });
 * log("info", "listening", { address: "127.0.0.1:8080" });
 */
export function createEventLog(
    minimumLevel: LogLevel,
    commonFields: LogFields,
    write: WriteLine = writeToStandardError,
): EventLog {
    const logger = new Logger<LogLine>({ type: "hidden", minLevel: tslogLevels[minimumLevel] });
    logger.attachTransport(line => {
        const { event, fields } = line as unknown as LogLine;
        const { date, logLevelName } = line._meta;
        const level = logLevelName.toLowerCase();
        write(`${formatPairs({ time: date.toISOString(), level, event, ...commonFields, ...fields })}\n`);
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
