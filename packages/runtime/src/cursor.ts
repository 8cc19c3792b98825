/**
 * Cursors: the `id` of each server-sent event, with which a caller can resume at the next token through any entry.
 */
import type { Cursor } from "@verbenaspring/entry";
import { identifier } from "@verbenaspring/model";

const cursorPattern = /^([a-zA-Z0-9_-]{1,63})\.([0-9a-f]{32})\.([0-9a-f]{32})\.(\d{1,9})$/;

/** Formats a cursor as text. */
export function formatCursor(cursor: Cursor): string {
    return `${cursor.backendServer}.${cursor.sidecarIncarnation}.${cursor.generationId}.${cursor.next}`;
}

/**
 * Parses a cursor; returns undefined if the text is malformed.
 *
 * @example
 * const cursor = parseCursor(request.headers["last-event-id"]);
 */
export function parseCursor(text: string): Cursor | undefined {
    const match = cursorPattern.exec(text);
    if (match === null) {
        return undefined;
    }
    const [, backendServer, sidecarIncarnation, generationId, next] = match;
    return {
        backendServer: identifier(backendServer),
        sidecarIncarnation: identifier(sidecarIncarnation),
        generationId: identifier(generationId),
        next: Number(next),
    };
}
