/**
 * Counts what became of the requests in the logs of gateways, and why those that were not served on time were not.
 */
import { type LogLine, parseLogLines } from "./logLines.js";

/** Requests of one route that ended in the same way. */
export interface LossRow {
    readonly route: string;
    /** `on time`, or what delayed or ended the requests. */
    readonly cause: string;
    readonly requests: number;
}

/** Options for {@link countLosses}. */
export interface LossOptions {
    /** The longest pause between the events of a stream that is on time, in milliseconds. */
    readonly pause: number;
}

/**
 * Counts the requests of each route by their ends, the most frequent first. A stream that was answered counts as late if
 * its first event came after the route's target latency, or if it paused for too long. For a stream that was cut, the
 * cause is how its last run was lost, and whether its server had announced that it leaves.
 *
 * Streams that were answered are logged at the level `debug`.
 *
 * @param texts the contents of log files
 * @example
 * console.log(formatTable(countLosses([readFileSync("gateway-1.log", "utf8")], { pause: 180 })));
 */
export function countLosses(texts: readonly string[], { pause }: LossOptions): LossRow[] {
    const lines = texts.flatMap(parseLogLines);
    const leavingServers = new Set(lines.flatMap(line => isLeaving(line) ? field(line, "server") : []));
    const lastFailures = new Map<string, LogLine>();
    const counts = new Map<string, LossRow>();
    for (const line of lines) {
        if (line.fields.get("event") === "attempt_failed") {
            lastFailures.set(field(line, "request"), line);
        }
        const cause = findCause(line, lastFailures.get(field(line, "request")), leavingServers, pause);
        if (cause !== undefined) {
            const route = field(line, "route");
            const key = `${route}/${cause}`;
            counts.set(key, { route, cause, requests: (counts.get(key)?.requests ?? 0) + 1 });
        }
    }
    return [...counts.values()].sort((one, other) =>
        one.route.localeCompare(other.route) || other.requests - one.requests
    );
}

function findCause(
    line: LogLine,
    lastFailure: LogLine | undefined,
    leavingServers: ReadonlySet<string>,
    pause: number,
): string | undefined {
    switch (line.fields.get("event")) {
        case "stream_answered":
            return answeredCause(line, pause);
        case "caller_left_early":
            return "caller left before its request was read";
        case "caller_left":
            return `caller left after ${lastFailure === undefined ? "no" : "a"} failed send`;
        case "request_failed":
            return failureCause(line, lastFailure, leavingServers);
        default:
            return undefined;
    }
}

function answeredCause(line: LogLine, pause: number): string {
    if (numberField(line, "firstEventAge") > numberField(line, "targetLatency")) {
        return "first event late";
    }
    return numberField(line, "longestPause") > pause ? "long pause" : "on time";
}

function failureCause(line: LogLine, lastFailure: LogLine | undefined, leavingServers: ReadonlySet<string>): string {
    const reason = field(line, "reason");
    if (line.fields.get("outcome") === "not_run") {
        return `refused: ${reason}`;
    }
    if (lastFailure === undefined) {
        return `failed: ${reason}`;
    }
    const server = leavingServers.has(field(lastFailure, "server")) ? "a leaving server" : "a server";
    return `failed: ${field(lastFailure, "outcome")} at ${server}`;
}

function isLeaving(line: LogLine): boolean {
    return line.fields.get("event") === "backend_server_changed" && field(line, "change") === "leaving";
}

function field({ fields }: LogLine, name: string): string {
    return fields.get(name) ?? "";
}

function numberField(line: LogLine, name: string): number {
    return Number(field(line, name));
}
