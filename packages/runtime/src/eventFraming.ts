/**
 * Splits the body of an event stream (server-sent events) into complete events, whose bytes are left unchanged.
 */
import type { StreamEvent } from "@verbenaspring/gateway";

/** Splits the bytes of one stream. */
export interface EventFramer {
    /** Adds a chunk of the body; returns the events that it completes. */
    readonly push: (chunk: Buffer) => StreamEvent[];
    /** Whether bytes of an incomplete event remain. */
    readonly hasIncompleteEvent: () => boolean;
}

const lineFeed = 0x0a;
const carriageReturn = 0x0d;

/**
 * Creates a framer for one stream.
 *
 * @example
 * const framer = createEventFramer();
 * framer.push(Buffer.from("id: 1\ndata: a\n\n")); // one event with id 1
 */
export function createEventFramer(): EventFramer {
    let incomplete: Buffer = Buffer.alloc(0);
    return {
        push: chunk => {
            const bytes = incomplete.length === 0 ? chunk : Buffer.concat([incomplete, chunk]);
            const events: StreamEvent[] = [];
            let start = 0;
            for (let end = findEventEnd(bytes, start); end !== undefined; end = findEventEnd(bytes, start)) {
                events.push(parseEvent(bytes.subarray(start, end)));
                start = end;
            }
            incomplete = bytes.subarray(start);
            return events;
        },
        hasIncompleteEvent: () => incomplete.length > 0,
    };
}

/** The position after the empty line that ends the event at `start`, or undefined if the event is incomplete. */
function findEventEnd(bytes: Buffer, start: number): number | undefined {
    for (let lineEnd = bytes.indexOf(lineFeed, start); lineEnd !== -1; lineEnd = bytes.indexOf(lineFeed, lineEnd + 1)) {
        const next = bytes[lineEnd + 1] === carriageReturn ? lineEnd + 2 : lineEnd + 1;
        if (bytes[next] === lineFeed) {
            return next + 1;
        }
    }
    return undefined;
}

function parseEvent(bytes: Buffer): StreamEvent {
    const id = /^id: ?(\d+)\r?$/m.exec(bytes.toString("latin1"))?.[1];
    return { id: id === undefined ? undefined : Number(id), bytes };
}
