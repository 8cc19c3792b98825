/**
 * The oracle for the configuration. It folds the whole log from its beginning and checks every process's view of the
 * configuration against the result.
 */
import type { ConfigurationRecord, LogOffset, StoredDocument } from "@verbenaspring/model";
import type { Oracle } from "./oracle.js";

/** Keeps the revision of each document as of every offset of the log. */
export class ConfigurationOracle {
    private readonly revisionsByOffset: ReadonlyMap<string, LogOffset>[] = [];
    /** The offset of the last change, applied or not. */
    lastChangeOffset: LogOffset = -1;
    private readonly acceptedChangeIds = new Map<string, string>();

    constructor(private readonly oracle: Oracle) {}

    /** Applies a record that was stored at an offset. */
    recordLogRecord(offset: LogOffset, record: ConfigurationRecord): void {
        const previous = this.revisionsByOffset[offset - 1] ?? new Map<string, LogOffset>();
        if (record.type === "snapshot") {
            this.revisionsByOffset[offset] = previous;
            return;
        }
        const { kind, name, expectedRevision } = record.change;
        const document = `${kind}/${name}`;
        this.lastChangeOffset = offset;
        const applies = (previous.get(document) ?? -1) === expectedRevision;
        this.revisionsByOffset[offset] = applies ? new Map(previous).set(document, offset) : previous;
    }

    /**
     * Checks a change that an operator was told has been applied. The log must hold it, and no other change with the
     * same expected revision may have been accepted.
     */
    recordAcceptedChange(document: string, expectedRevision: LogOffset, changeId: string, revision: LogOffset): void {
        const baseRevision = `${document}@${expectedRevision}`;
        const acceptedId = this.acceptedChangeIds.get(baseRevision);
        if (acceptedId !== undefined && acceptedId !== changeId) {
            this.oracle.fail("configuration_never_reverts", `two changes of ${baseRevision} were accepted`);
        }
        this.acceptedChangeIds.set(baseRevision, changeId);
        if (this.revisionsByOffset[revision]?.get(document) !== revision) {
            this.oracle.fail("configuration_never_reverts", `${document} was not changed at ${revision}`);
        }
    }

    /** Checks that a process holds the newest revision of the named documents. */
    checkNewest(
        incarnation: string,
        documents: ReadonlyMap<string, StoredDocument>,
        documentNames: readonly string[],
    ): void {
        const expected = this.revisionsByOffset.at(-1);
        for (const document of documentNames) {
            const revision = documents.get(document)?.revision;
            if (revision !== expected?.get(document)) {
                this.oracle.fail(
                    "configuration_never_reverts",
                    `${incarnation} holds ${document} at ${revision}, which is not the newest`,
                );
            }
        }
    }

    /**
     * Checks the documents that a process holds as of an offset.
     *
     * @param isComplete whether the process must hold every document; otherwise documents that it lacks are passed over
     */
    checkView(
        incarnation: string,
        through: LogOffset,
        documents: ReadonlyMap<string, StoredDocument>,
        isComplete: boolean,
    ): void {
        const expected = this.revisionsByOffset[through] ?? new Map<string, LogOffset>();
        for (const [document, expectedRevision] of expected) {
            const revision = documents.get(document)?.revision;
            if (revision !== expectedRevision && (isComplete || revision !== undefined)) {
                this.oracle.fail(
                    "configuration_never_reverts",
                    `${incarnation} holds ${document} at ${revision}, not ${expectedRevision}, through ${through}`,
                );
            }
        }
    }
}
