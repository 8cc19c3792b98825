/**
 * Parses the log lines of all processes.
 */

/** A parsed log line. */
export interface LogLine {
    /** The line from its time on, without what a collector of logs wrote before it. */
    readonly text: string;
    readonly time: string;
    readonly fields: ReadonlyMap<string, string>;
}

const fieldPattern = /([A-Za-z]+)=("(?:[^"\\]|\\.)*"|\S+)/g;

/**
 * Parses the contents of a log file. Lines without a valid time are omitted.
 *
 * @example
 * const lines = parseLogLines(readFileSync("entry-1.log", "utf8"));
 */
export function parseLogLines(text: string): LogLine[] {
    return text.split("\n").flatMap(parseLine);
}

function parseLine(text: string): LogLine[] {
    const fields = new Map([...text.matchAll(fieldPattern)].map(([, key, value]) => [key, unquote(value)] as const));
    const time = fields.get("time");
    const start = text.indexOf("time=");
    return time === undefined || Number.isNaN(Date.parse(time)) ? [] : [{ text: text.slice(start), time, fields }];
}

function unquote(value: string): string {
    return value.startsWith("\"") ? String(JSON.parse(value)) : value;
}
