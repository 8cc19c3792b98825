/**
 * Logs: one line of key=value pairs an event. What is logged is named field by field, so secrets stay out.
 */
import type { Writable } from "node:stream";
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

const tslogLevels = { debug: 2, info: 3, warn: 4, error: 5 } as const;

/** Takes one whole line. */
export type WriteLine = (line: string) => void;

const writeToStandardError: WriteLine = line => {
    process.stderr.write(line);
};

/** Bytes of log lines that may wait for a slow reader before lines are left out. */
const maxBacklogBytes = 256 * 1024;

/**
 * Writes lines to a stream and never waits for its reader: while too much is unread, lines are left out, and the next
 * line that is written says how many. When the reader is gone, lines are dropped and the process goes on.
 *
 * @example
 * const write = createLineWriter(process.stdout);
 */
export function createLineWriter(output: Pick<Writable, "write" | "writableLength" | "on">): WriteLine {
    let droppedLines = 0;
    let isOutputBroken = false;
    // Nobody is left to be told of this failure; without a listener it would end the process.
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
 * @param write where lines go; standard error where it is left out
 *
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
