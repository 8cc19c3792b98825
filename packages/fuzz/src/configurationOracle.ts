/**
 * The oracle of the configuration: a plain fold of the whole log, against which every process's view is checked.
 */
import type { ConfigurationRecord, LogOffset, StoredDocument } from "@verbenaspring/model";
import type { Oracle } from "./oracle.js";

/** Knows what every offset of the configuration means. */
export class ConfigurationOracle {
    private readonly revisionsByOffset: ReadonlyMap<string, LogOffset>[] = [];
    /** The offset of the last change, applied or not. */
    lastChangeOffset: LogOffset = -1;
    private readonly acceptedChangeIds = new Map<string, string>();

    constructor(private readonly oracle: Oracle) {}

    /** A record has taken its place in the log. */
    recordLogRecord(offset: LogOffset, record: ConfigurationRecord): void {
        const before = this.revisionsByOffset[offset - 1] ?? new Map<string, LogOffset>();
        if (record.type === "snapshot") {
            this.revisionsByOffset[offset] = before;
            return;
        }
        const { kind, name, expectedRevision } = record.change;
        const document = `${kind}/${name}`;
        this.lastChangeOffset = offset;
        const applies = (before.get(document) ?? -1) === expectedRevision;
        this.revisionsByOffset[offset] = applies ? new Map(before).set(document, offset) : before;
    }

    /** An operator was told that its change applied. */
    recordAcceptedChange(document: string, expectedRevision: LogOffset, changeId: string, revision: LogOffset): void {
        const slot = `${document}@${expectedRevision}`;
        const earlier = this.acceptedChangeIds.get(slot);
        if (earlier !== undefined && earlier !== changeId) {
            this.oracle.fail("configuration_never_reverts", `two changes of ${slot} were accepted`);
        }
        this.acceptedChangeIds.set(slot, changeId);
        if (this.revisionsByOffset[revision]?.get(document) !== revision) {
            this.oracle.fail("configuration_never_reverts", `${document} was not changed at ${revision}`);
        }
    }

    /** Checks that a process holds the newest revision of documents. */
    checkNewest(who: string, documents: ReadonlyMap<string, StoredDocument>, wanted: readonly string[]): void {
        const truth = this.revisionsByOffset.at(-1);
        for (const document of wanted) {
            const held = documents.get(document)?.revision;
            if (held !== truth?.get(document)) {
                this.oracle.fail("configuration_never_reverts", `${who} holds ${document} at ${held}, which is old`);
            }
        }
    }

    /** Checks the documents that a process holds as of an offset. */
    checkView(who: string, through: LogOffset, documents: ReadonlyMap<string, StoredDocument>, isWhole: boolean): void {
        const truth = this.revisionsByOffset[through] ?? new Map<string, LogOffset>();
        for (const [document, revision] of truth) {
            const held = documents.get(document)?.revision;
            if (held !== revision && (isWhole || held !== undefined)) {
                this.oracle.fail(
                    "configuration_never_reverts",
                    `${who} holds ${document} at ${held}, not ${revision}, through ${through}`,
                );
            }
        }
    }
}
