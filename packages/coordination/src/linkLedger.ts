/**
 * Link numbers. A link is identified by the incarnation of the entry, the incarnation of the sidecar and a number.
 * Opening number n+1 supersedes n permanently, so an entry can abandon a silent connection at once: frames that still
 * arrive over it are refused.
 */
import type { EntryIncarnation, Milliseconds } from "@verbenaspring/model";

/** The sidecar's record of one entry. Owned by the event loop, which changes it in place. */
export interface EntryLinkRecord {
    /** The highest link number opened so far. */
    linkNumber: number;
    isOpen: boolean;
    lastReceived: Milliseconds;
    /** When the last load report, the sidecar's heartbeat, was sent to the entry. */
    lastReported: Milliseconds;
    /**
     * Whether a started attempt of this entry was removed before the entry acknowledged its end. From then on, an
     * unknown attempt of this entry may have run: it must neither be reported as not run nor be started.
     */
    forgotStartedAttempt: boolean;
}

/** Returns whether a frame that arrived over link `number` may be processed. */
export type LinkRule = (record: EntryLinkRecord | undefined, number: number) => boolean;

/** Accepts frames of the newest link of an entry only, until that link is closed. */
export const newestLinkOnly: LinkRule = (record, number) => record?.isOpen === true && record.linkNumber === number;

/**
 * Opens a link if its number is higher than all earlier ones of the entry; returns undefined if it is superseded.
 *
 * @example
 * const record = openLinkRecord(records, hello.entryIncarnation, hello.linkNumber, now);
 */
export function openLinkRecord(
    records: Map<EntryIncarnation, EntryLinkRecord>,
    entry: EntryIncarnation,
    number: number,
    now: Milliseconds,
): EntryLinkRecord | undefined {
    const known = records.get(entry);
    if (known !== undefined && number <= known.linkNumber) {
        return undefined;
    }
    const record: EntryLinkRecord = {
        linkNumber: number,
        isOpen: true,
        lastReceived: now,
        lastReported: now,
        forgotStartedAttempt: known?.forgotStartedAttempt ?? false,
    };
    // Deleting first moves the entry to the end of the map, so that pruning removes the oldest records first.
    records.delete(entry);
    records.set(entry, record);
    return record;
}

/**
 * Removes the records of closed links, those opened longest ago first, until at most `maxRecords` are left. Each
 * replaced entry leaves one record behind. The bound should cover several days of replacements at the target size,
 * which is far longer than any frame can be delayed.
 *
 * @example
 * pruneLinkRecords(records, 16_384);
 */
export function pruneLinkRecords(records: Map<EntryIncarnation, EntryLinkRecord>, maxRecords: number): void {
    for (const [entry, record] of records) {
        if (records.size <= maxRecords) {
            return;
        }
        if (!record.isOpen) {
            records.delete(entry);
        }
    }
}
