/**
 * Folds the configuration stream of the platform's log. Every process folds the same records in order of offset, so all
 * processes resolve concurrent changes by operators in the same way, and the applied offset never decreases.
 */
import {
    type ChangeId,
    type ConfigurationChange,
    type ConfigurationRecord,
    type ConfigurationSnapshot,
    type DocumentByKind,
    type DocumentKind,
    InvariantViolation,
    type LogOffset,
    type StoredDocument,
} from "@verbenaspring/model";

/** A record and its offset in the log. */
export interface OffsetRecord<Value> {
    readonly offset: LogOffset;
    readonly value: Value;
}

/** The configuration known to one process. */
export interface ConfigurationState {
    readonly documents: ReadonlyMap<string, StoredDocument>;
    /** The last offset folded into `documents`; -1 before the first. */
    readonly through: LogOffset;
    /** The next offset to read. */
    readonly next: LogOffset;
    /** Changes read after a gap that expired records left in the log; applied once a snapshot covers the gap. */
    readonly pendingChanges: readonly OffsetRecord<ConfigurationChange>[];
    /** The offset of the last snapshot record read; -1 before the first. */
    readonly lastSnapshotOffset: LogOffset;
}

/** The result of one change. */
export interface ChangeOutcome {
    readonly changeId: ChangeId;
    readonly applied: boolean;
    /** The document's revision after the fold. */
    readonly revision: LogOffset;
}

/** The next state and the results of the changes that the fold decided. */
export interface FoldResult {
    readonly state: ConfigurationState;
    readonly outcomes: readonly ChangeOutcome[];
}

/** Returns whether a change applies to the stored document of the same kind and name. */
export type ChangeRule = (stored: StoredDocument | undefined, change: ConfigurationChange) => boolean;

/** The configuration before the first record. */
export const emptyConfiguration: ConfigurationState = {
    documents: new Map(),
    through: -1,
    next: 0,
    pendingChanges: [],
    lastSnapshotOffset: -1,
};

/** Applies a change only if the document still has the revision that the operator saw. */
export const expectedRevisionRule: ChangeRule = (stored, change) =>
    (stored?.revision ?? -1) === change.expectedRevision;

/** Returns the key of a document in {@link ConfigurationState.documents}. */
export function documentKey(kind: DocumentKind, name: string): string {
    return `${kind}/${name}`;
}

/**
 * Looks up a document. Returns undefined for deleted documents.
 *
 * @example
 * const route = findDocument(configuration, "route", "week-plan");
 */
export function findDocument<Kind extends DocumentKind>(
    state: Pick<ConfigurationState, "documents">,
    kind: Kind,
    name: string,
): DocumentByKind[Kind] | undefined {
    return state.documents.get(documentKey(kind, name))?.document as DocumentByKind[Kind] | undefined;
}

/**
 * Folds records in order of offset. Records below the next offset are ignored, so reading a record twice is harmless.
 * If records that this process has not read have expired from the log (`earliest` is above the next offset), changes
 * are kept pending until a snapshot covers the gap.
 *
 * @param earliest the offset of the first record that the log still holds
 * @throws InvariantViolation if the applied offset would decrease
 * @example
 * const { state, outcomes } = foldConfiguration(emptyConfiguration, records, 0);
 */
export function foldConfiguration(
    state: ConfigurationState,
    records: readonly OffsetRecord<ConfigurationRecord>[],
    earliest: LogOffset,
    rule: ChangeRule = expectedRevisionRule,
): FoldResult {
    let current = earliest > state.next ? { ...state, next: earliest } : state;
    const outcomes: ChangeOutcome[] = [];
    for (const record of records) {
        if (record.offset < current.next) {
            continue;
        }
        const previous = current.through;
        current = { ...foldRecord(current, record, rule, outcomes), next: record.offset + 1 };
        if (current.through < previous) {
            throw new InvariantViolation("configuration_offset_grows", `${previous} to ${current.through}`);
        }
    }
    return { state: current, outcomes };
}

function foldRecord(
    state: ConfigurationState,
    record: OffsetRecord<ConfigurationRecord>,
    rule: ChangeRule,
    outcomes: ChangeOutcome[],
): ConfigurationState {
    const hasGap = state.through < state.next - 1;
    if (record.value.type === "snapshot") {
        return foldSnapshotRecord(state, record.offset, record.value.snapshot, hasGap, rule, outcomes);
    }
    const change = { offset: record.offset, value: record.value.change };
    if (hasGap) {
        return { ...state, pendingChanges: [...state.pendingChanges, change] };
    }
    return applyChange(state, change, rule, outcomes);
}

function foldSnapshotRecord(
    state: ConfigurationState,
    offset: LogOffset,
    snapshot: ConfigurationSnapshot,
    hasGap: boolean,
    rule: ChangeRule,
    outcomes: ChangeOutcome[],
): ConfigurationState {
    const updated = { ...state, lastSnapshotOffset: offset };
    if (!hasGap) {
        return { ...updated, through: offset };
    }
    const firstPending = state.pendingChanges[0]?.offset ?? offset;
    if (snapshot.through < firstPending - 1) {
        return updated;
    }
    let restored: ConfigurationState = { ...updated, ...restoreSnapshot(snapshot), pendingChanges: [] };
    for (const change of state.pendingChanges) {
        if (change.offset > restored.through) {
            restored = applyChange(restored, change, rule, outcomes);
        }
    }
    return { ...restored, through: offset };
}

function applyChange(
    state: ConfigurationState,
    record: OffsetRecord<ConfigurationChange>,
    rule: ChangeRule,
    outcomes: ChangeOutcome[],
): ConfigurationState {
    const change = record.value;
    const key = documentKey(change.kind, change.name);
    const stored = state.documents.get(key);
    if (!rule(stored, change)) {
        outcomes.push({ changeId: change.changeId, applied: false, revision: stored?.revision ?? -1 });
        return { ...state, through: record.offset };
    }
    outcomes.push({ changeId: change.changeId, applied: true, revision: record.offset });
    const documents = new Map(state.documents);
    documents.set(key, { kind: change.kind, name: change.name, revision: record.offset, document: change.document });
    return { ...state, documents, through: record.offset };
}

/**
 * Replaces the configuration by a peer's snapshot if that is newer; returns the state unchanged otherwise.
 *
 * @example
 * const adopted = adoptSnapshot(state, peerSnapshot);
 */
export function adoptSnapshot(state: ConfigurationState, snapshot: ConfigurationSnapshot): ConfigurationState {
    if (snapshot.through <= state.through) {
        return state;
    }
    return { ...state, ...restoreSnapshot(snapshot), next: snapshot.through + 1, pendingChanges: [] };
}

/** Returns all documents as of the last offset folded in, including the tombstones of deleted ones. */
export function takeSnapshot(state: ConfigurationState): ConfigurationSnapshot {
    return { through: state.through, documents: [...state.documents.values()] };
}

function restoreSnapshot(snapshot: ConfigurationSnapshot): Pick<ConfigurationState, "documents" | "through"> {
    const documents = new Map(snapshot.documents.map(stored => [documentKey(stored.kind, stored.name), stored]));
    return { documents, through: snapshot.through };
}
