/**
 * Splits the body of an event stream into whole events. The bytes of each event stay as they came.
 */
import type { StreamEvent } from "@verbenaspring/gateway";

/** Gathers the bytes of one stream. */
export interface EventFramer {
    /** The events that are whole now. */
    readonly push: (chunk: Buffer) => StreamEvent[];
    /** Whether bytes of an event that is not whole were left. */
    readonly hasRest: () => boolean;
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
    let rest: Buffer = Buffer.alloc(0);
    return {
        push: chunk => {
            const bytes = rest.length === 0 ? chunk : Buffer.concat([rest, chunk]);
            const events: StreamEvent[] = [];
            let start = 0;
            for (let end = endOfEvent(bytes, start); end !== undefined; end = endOfEvent(bytes, start)) {
                events.push(toEvent(bytes.subarray(start, end)));
                start = end;
            }
            rest = bytes.subarray(start);
            return events;
        },
        hasRest: () => rest.length > 0,
    };
}

/** The position after the empty line that closes the event at `start`, or undefined where it is not whole. */
function endOfEvent(bytes: Buffer, start: number): number | undefined {
    for (let at = bytes.indexOf(lineFeed, start); at !== -1; at = bytes.indexOf(lineFeed, at + 1)) {
        const next = bytes[at + 1] === carriageReturn ? at + 2 : at + 1;
        if (bytes[next] === lineFeed) {
            return next + 1;
        }
    }
    return undefined;
}

function toEvent(bytes: Buffer): StreamEvent {
    const id = /^id: ?(\d+)\r?$/m.exec(bytes.toString("latin1"))?.[1];
    return { id: id === undefined ? undefined : Number(id), bytes };
}
