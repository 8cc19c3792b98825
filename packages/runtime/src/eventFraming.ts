/**
 * Splits the body of an event stream (server-sent events) into complete events, whose bytes are left unchanged.
 */
import type { StreamEvent } from "@verbenaspring/gateway";

/** Splits the bytes of one stream. */
export interface EventFramer {
    /** Adds a chunk of the body; returns the events that it completes. */
    readonly push: (chunk: Buffer) => StreamEvent[];
    /** The bytes of an incomplete event that are kept. */
    readonly incompleteBytes: () => number;
    /** Whether an event was longer than allowed; nothing more is returned then. */
    readonly hasOverflowed: () => boolean;
}

const lineFeed = 0x0a;
const carriageReturn = 0x0d;

/**
 * Creates a framer for one stream. Each byte is looked at once, however the body is cut into chunks.
 *
 * @param maxEventBytes the longest event
 * @example
 * const framer = createEventFramer(65_536);
 * framer.push(Buffer.from("id: 1\ndata: a\n\n")); // one event with id 1
 */
export function createEventFramer(maxEventBytes: number): EventFramer {
    let pieces: Buffer[] = [];
    let pieceBytes = 0;
    /** What the end of the pieces is: the end of a line, that and a carriage return, or neither. */
    let lineState: LineState = "inLine";
    let hasOverflowed = false;
    const keep = (piece: Buffer): void => {
        pieces.push(piece);
        pieceBytes += piece.length;
        hasOverflowed ||= pieceBytes > maxEventBytes;
    };
    const takeEvent = (piece: Buffer): StreamEvent => {
        const bytes = pieces.length === 0 ? piece : Buffer.concat([...pieces, piece]);
        pieces = [];
        pieceBytes = 0;
        return parseEvent(bytes);
    };
    return {
        push: chunk => {
            const events: StreamEvent[] = [];
            let start = 0;
            let end = findEventEnd(chunk, start, lineState);
            while (end !== undefined && !hasOverflowed) {
                events.push(takeEvent(chunk.subarray(start, end)));
                start = end;
                lineState = "inLine";
                end = findEventEnd(chunk, start, lineState);
            }
            const rest = chunk.subarray(start);
            if (rest.length > 0 && !hasOverflowed) {
                keep(rest);
                lineState = stateAtEnd(rest, lineState);
            }
            return events;
        },
        incompleteBytes: () => pieceBytes,
        hasOverflowed: () => hasOverflowed,
    };
}

type LineState = "inLine" | "afterLineEnd" | "afterCarriageReturn";

/** The position after the empty line that ends the event at `start`, or undefined if the event is incomplete. */
function findEventEnd(chunk: Buffer, start: number, state: LineState): number | undefined {
    const early = state === "inLine" ? undefined : endOfEmptyLine(chunk, start, state);
    if (early !== undefined) {
        return early;
    }
    for (let lineEnd = chunk.indexOf(lineFeed, start); lineEnd !== -1; lineEnd = chunk.indexOf(lineFeed, lineEnd + 1)) {
        const end = endOfEmptyLine(chunk, lineEnd + 1, "afterLineEnd");
        if (end !== undefined) {
            return end;
        }
    }
    return undefined;
}

/** The position after a line end at `start`, with or without a carriage return before it; undefined if there is none. */
function endOfEmptyLine(chunk: Buffer, start: number, state: LineState): number | undefined {
    const hasReturn = state === "afterLineEnd" && chunk[start] === carriageReturn;
    const position = hasReturn ? start + 1 : start;
    return chunk[position] === lineFeed ? position + 1 : undefined;
}

/** The state after a rest of a chunk that completes no event. */
function stateAtEnd(rest: Buffer, state: LineState): LineState {
    const last = rest[rest.length - 1];
    if (last === lineFeed) {
        return "afterLineEnd";
    }
    const followsLineEnd = rest.length === 1 ? state === "afterLineEnd" : rest[rest.length - 2] === lineFeed;
    return last === carriageReturn && followsLineEnd ? "afterCarriageReturn" : "inLine";
}

function parseEvent(bytes: Buffer): StreamEvent {
    const id = /^id: ?(\d+)\r?$/m.exec(bytes.toString("latin1"))?.[1];
    return { id: id === undefined ? undefined : Number(id), bytes };
}
