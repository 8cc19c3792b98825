/**
 * Link numbers. A link is named by the entry's incarnation, the sidecar's incarnation and a number; opening number n+1
 * supersedes n for good, so a connection that went silent is left at once, and its late frames are refused.
 */
import type { EntryIncarnation, Milliseconds } from "@verbenaspring/model";

/** What a sidecar remembers of one entry. Owned and changed by the loop. */
export interface EntryLinkRecord {
    /** The highest link number seen. */
    linkNumber: number;
    isOpen: boolean;
    lastReceived: Milliseconds;
    /** When the entry was last sent a load report, which is the sidecar's heartbeat. */
    lastReported: Milliseconds;
    /**
     * A started attempt of this entry was forgotten before the entry acknowledged its end. From then on an unknown
     * attempt of this entry may have run, and nothing may be said or started on the strength of not knowing it.
     */
    forgotStartedAttempt: boolean;
}

/** Decides whether a frame that came over link `number` may be acted on. */
export type LinkRule = (record: EntryLinkRecord | undefined, number: number) => boolean;

/** Only the newest link of an entry counts, and only until it is closed. */
export const newestLinkOnly: LinkRule = (record, number) => record?.isOpen === true && record.linkNumber === number;

/**
 * Opens a link where its number is higher than any seen from that entry; returns undefined where it is superseded.
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
    // Deleting first moves the entry to the end, so that the oldest records are forgotten first.
    records.delete(entry);
    records.set(entry, record);
    return record;
}

/**
 * Bounds the records, dropping closed links that were opened longest ago. Every entry replaced leaves one record, and
 * the bound is several days' replacements at the target size, long past the life of any frame.
 *
 * @example
 * boundLinkRecords(records, 16_384);
 */
export function pruneLinkRecords(records: Map<EntryIncarnation, EntryLinkRecord>, most: number): void {
    for (const [entry, record] of records) {
        if (records.size <= most) {
            return;
        }
        if (!record.isOpen) {
            records.delete(entry);
        }
    }
}
