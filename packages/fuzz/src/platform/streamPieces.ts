/**
 * Compares the pieces of a stream that a caller got with what runs sent: byte by byte, and where another run goes on.
 */
import type { RunEvent } from "@verbenaspring/emulator";

/** The events that the text of a stream holds, and what comes after the last whole one. */
export interface StreamPieces {
    readonly events: readonly RunEvent[];
    readonly rest: string;
}

const eventPattern = /id: (\d+)\ndata: ([^:\n]*):(.*)\n\n/y;

/**
 * Splits the text of a stream into events as servers write them. Whatever they don't write ends the list.
 *
 * @example
 * splitPieces("id: 1\ndata: 1:e1/a/0\n\nid: 2"); // one event, and the rest "id: 2"
 */
export function splitPieces(text: string): StreamPieces {
    const events: RunEvent[] = [];
    let end = 0;
    eventPattern.lastIndex = 0;
    for (let match = eventPattern.exec(text); match !== null; match = eventPattern.exec(text)) {
        const [, id, softwareVersion, lineage] = match;
        events.push({ id: Number(id), softwareVersion, lineage });
        end = eventPattern.lastIndex;
    }
    return { events, rest: text.slice(end) };
}

/** Whether a text can be the beginning of an event, as of a stream that was cut within one. */
export function isEventBeginning(text: string): boolean {
    return "id: ".startsWith(text) || /^id: \d+(\n|\nd|\nda|\ndat|\ndata|\ndata:|\ndata: .*\n?)?$/.test(text);
}

/**
 * Whether a run may give the next event to a caller: the run that gave the one before, or one that was to go on after
 * exactly that one.
 *
 * @param previous the lineage and the id of the event before; without a lineage, the caller has none of this answer
 */
export function mayGoOn(
    previous: { readonly lineage: string | undefined; readonly id: number; },
    next: RunEvent,
): boolean {
    return previous.lineage === next.lineage || Number(next.lineage.split("/").at(-1)) === previous.id;
}
