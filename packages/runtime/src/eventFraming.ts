/**
 * Splits the body of an event stream (server-sent events) into complete events, whose bytes are left unchanged.
 */
import { hasOrder, type StreamEvent } from "@verbenaspring/gateway";
import { type EventId, identifier } from "@verbenaspring/model";
import { BodyCollector } from "./bodyCollector.js";

/** Splits the bytes of one stream. */
export interface EventFramer {
    /** Adds a chunk of the body; returns the events that it completes. Empty lines and comments in a row form one without an id. */
    readonly push: (chunk: Buffer) => StreamEvent[];
    /** The bytes of an incomplete event that are kept. */
    readonly incompleteBytes: () => number;
    /** The memory that the incomplete event takes. */
    readonly heldBytes: () => number;
    /**
     * Whether an event, or what came between two events that have fields, was longer than allowed; nothing more is returned
     * then.
     */
    readonly hasOverflowed: () => boolean;
}

const lineFeed = 0x0a;
const carriageReturn = 0x0d;

/**
 * Creates a framer for one stream. Each byte is looked at once, however the body is cut into chunks.
 *
 * @param maxEventBytes the longest event, and the most empty lines and comments in a row
 * @example
 * const framer = createEventFramer(65_536);
 * framer.push(Buffer.from("id: 1\ndata: a\n\n")); // one event with id 1
 */
export function createEventFramer(maxEventBytes: number): EventFramer {
    let pieces = new BodyCollector();
    let pieceBytes = 0;
    /** Empty lines and comments since the last event with a field. */
    let emptyBytes = 0;
    /** What the end of the pieces is: the end of a line, that and a carriage return, or neither. */
    let lineState: LineState = "inLine";
    let hasOverflowed = false;
    const keep = (piece: Buffer): void => {
        pieces.append(piece);
        pieceBytes += piece.length;
        hasOverflowed ||= pieceBytes > maxEventBytes;
    };
    const takeBytes = (piece: Buffer): Buffer => {
        if (pieceBytes === 0) {
            return piece;
        }
        pieces.append(piece);
        const bytes = pieces.take();
        pieces = new BodyCollector();
        pieceBytes = 0;
        return bytes;
    };
    const toEvent = (bytes: Buffer): StreamEvent => {
        const { id, hasField } = parseEvent(bytes);
        emptyBytes = hasField ? 0 : emptyBytes + bytes.length;
        hasOverflowed ||= emptyBytes > maxEventBytes;
        return hasField ? { id, bytes } : { id, bytes, isComment: true };
    };
    return {
        push: chunk => {
            const events: StreamEvent[] = [];
            let start = 0;
            let end = findEnd(chunk, start, pieceBytes, lineState);
            while (end !== undefined && !hasOverflowed) {
                events.push(toEvent(takeBytes(chunk.subarray(start, end))));
                start = end;
                lineState = "inLine";
                end = findEnd(chunk, start, pieceBytes, lineState);
            }
            const rest = chunk.subarray(start);
            if (rest.length > 0 && !hasOverflowed) {
                keep(rest);
                lineState = stateAtEnd(rest, lineState);
            }
            return events;
        },
        incompleteBytes: () => pieceBytes,
        heldBytes: () => pieces.heldBytes,
        hasOverflowed: () => hasOverflowed,
    };
}

type LineState = "inLine" | "afterLineEnd" | "afterCarriageReturn";

/** The position after the empty lines and comments, or else the event, at `start`; undefined if neither is complete. */
function findEnd(chunk: Buffer, start: number, pieceBytes: number, state: LineState): number | undefined {
    const emptyEnd = pieceBytes === 0 ? endOfEmptyPart(chunk, start) : start;
    return emptyEnd > start ? emptyEnd : findEventEnd(chunk, start, state);
}

const colon = 0x3a;

/** The position after the last of the empty lines at `start`, which may have comments between them. */
function endOfEmptyPart(chunk: Buffer, start: number): number {
    let end = start;
    let position = start;
    while (position < chunk.length) {
        const emptyEnd = endOfEmptyLine(chunk, position, "afterLineEnd");
        const commentEnd = chunk[position] === colon ? chunk.indexOf(lineFeed, position) + 1 : 0;
        if (emptyEnd === undefined && commentEnd === 0) {
            break;
        }
        end = emptyEnd ?? end;
        position = emptyEnd ?? commentEnd;
    }
    return end;
}

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

function parseEvent(bytes: Buffer): { readonly id: EventId | undefined; readonly hasField: boolean; } {
    const text = bytes.toString("latin1");
    const id = identifier<EventId>(/^id: ?(\d+)\r?$/m.exec(text)?.[1] ?? "");
    return { id: hasOrder(id) ? id : undefined, hasField: /^[^:\r\n]/m.test(text) };
}
