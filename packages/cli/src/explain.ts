/**
 * Collects the log lines of one request from the log files of all processes, in chronological order.
 */

import { type LogLine, parseLogLines } from "./logLines.js";

/** Changes of a request's servers are included up to so many milliseconds before its first and after its last line. */
const contextWindow = 10_000;

/**
 * Returns the log lines of a request and those about changes of the servers that it used, sorted by time. Lines of
 * different processes can be out of order by the difference between the clocks of the processes.
 *
 * @param texts the contents of log files
 * @param request the id that the caller gave the request
 * @example
 * explainRequest([readFileSync("entry-1.log", "utf8")], "9c41d07be2a35f68").forEach(line => console.log(line));
 */
export function explainRequest(texts: readonly string[], request: string): string[] {
    const lines = texts.flatMap(parseLogLines);
    const requestLines = lines.filter(({ fields }) => fields.get("request") === request).sort(byTime);
    if (requestLines.length === 0) {
        return [];
    }
    const servers = new Set(requestLines.flatMap(line => serversNamedIn(line)));
    const start = Date.parse(requestLines[0].time) - contextWindow;
    const end = Date.parse(requestLines[requestLines.length - 1].time) + contextWindow;
    const serverLines = lines.filter(line =>
        line.fields.get("request") === undefined
        && servers.has(line.fields.get("server") ?? "")
        && Date.parse(line.time) >= start
        && Date.parse(line.time) <= end
    );
    return [...requestLines, ...removeDuplicateChanges(serverLines)].sort(byTime).map(({ text }) => text);
}

function serversNamedIn({ fields }: LogLine): string[] {
    return ["server", "from", "to", "target", "replica"].flatMap(name => fields.get(name) ?? []);
}

/** Every process logs each change of a server; keeps the first line of each change. */
function removeDuplicateChanges(lines: readonly LogLine[]): LogLine[] {
    const seen = new Set<string>();
    return [...lines].sort(byTime).filter(({ fields }) => {
        const key = ["event", "server", "change"].map(name => fields.get(name)).join("/");
        const isNew = !seen.has(key);
        seen.add(key);
        return isNew;
    });
}

function byTime(one: LogLine, other: LogLine): number {
    return Date.parse(one.time) - Date.parse(other.time);
}
