/**
 * Puts the log lines of one request in order, over the files of all processes.
 */

/** A line of a log, with what orders it. */
interface LogLine {
    readonly text: string;
    readonly time: string;
    readonly fields: ReadonlyMap<string, string>;
}

/** How long before the request's first line and after its last one, changes of its servers are shown, in milliseconds. */
const contextWindow = 10_000;
const pairPattern = /([A-Za-z]+)=("(?:[^"\\]|\\.)*"|\S+)/g;

/**
 * The lines that name the request, and those on the servers that it used, in order of time. Clocks of processes may
 * differ, so that lines of two processes can be out of order by as much.
 *
 * @param texts the contents of log files
 * @param request the id that the caller gave
 * @example
 * explainRequest([readFileSync("entry-1.log", "utf8")], "9c41d07be2a35f68").forEach(line => console.log(line));
 */
export function explainRequest(texts: readonly string[], request: string): string[] {
    const lines = texts.flatMap(text => text.split("\n")).flatMap(parseLine);
    const own = lines.filter(({ fields }) => fields.get("request") === request).sort(byTime);
    if (own.length === 0) {
        return [];
    }
    const servers = new Set(own.flatMap(line => serversNamedIn(line)));
    const from = Date.parse(own[0].time) - contextWindow;
    const to = Date.parse(own[own.length - 1].time) + contextWindow;
    const context = lines.filter(line =>
        line.fields.get("request") === undefined
        && servers.has(line.fields.get("server") ?? "")
        && Date.parse(line.time) >= from
        && Date.parse(line.time) <= to
    );
    return [...own, ...removeDuplicateChanges(context)].sort(byTime).map(({ text }) => text);
}

function parseLine(text: string): LogLine[] {
    const fields = new Map([...text.matchAll(pairPattern)].map(([, key, value]) => [key, unquote(value)] as const));
    const time = fields.get("time");
    const start = text.indexOf("time=");
    return time === undefined || Number.isNaN(Date.parse(time)) ? [] : [{ text: text.slice(start), time, fields }];
}

function unquote(value: string): string {
    return value.startsWith("\"") ? String(JSON.parse(value)) : value;
}

function serversNamedIn({ fields }: LogLine): string[] {
    return ["server", "from", "to", "target", "replica"].flatMap(name => fields.get(name) ?? []);
}

/** Each process logs the same change of a server; the first one is enough. */
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
