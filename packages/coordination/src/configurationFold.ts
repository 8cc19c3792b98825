/**
 * Folds the configuration stream of the platform's log. Every process folds the same records by offset, so all settle
 * a race of operators the same way, and an applied offset only grows.
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

/** A record with its place in the log. */
export interface OffsetRecord<Value> {
    readonly offset: LogOffset;
    readonly value: Value;
}

/** The configuration as one process knows it. */
export interface ConfigurationState {
    readonly documents: ReadonlyMap<string, StoredDocument>;
    /** The last offset folded in; -1 before the first. */
    readonly through: LogOffset;
    /** The next offset to read. */
    readonly next: LogOffset;
    /** Changes read behind a gap that expired records left; they wait for a snapshot that covers the gap. */
    readonly pendingChanges: readonly OffsetRecord<ConfigurationChange>[];
    /** The offset of the last snapshot record seen; -1 for none. */
    readonly lastSnapshotOffset: LogOffset;
}

/** What became of one change. */
export interface ChangeOutcome {
    readonly changeId: ChangeId;
    readonly applied: boolean;
    /** The document's revision after the fold. */
    readonly revision: LogOffset;
}

/** The next state and the outcomes that the fold settled. */
export interface FoldResult {
    readonly state: ConfigurationState;
    readonly outcomes: readonly ChangeOutcome[];
}

/** Decides whether a change applies to the document that it names. */
export type ChangeRule = (stored: StoredDocument | undefined, change: ConfigurationChange) => boolean;

/** The configuration before any record. */
export const emptyConfiguration: ConfigurationState = {
    documents: new Map(),
    through: -1,
    next: 0,
    pendingChanges: [],
    lastSnapshotOffset: -1,
};

/** A change applies only on the revision that its operator saw. */
export const expectedRevisionRule: ChangeRule = (stored, change) =>
    (stored?.revision ?? -1) === change.expectedRevision;

/** The key of a document in {@link ConfigurationState.documents}. */
export function documentKey(kind: DocumentKind, name: string): string {
    return `${kind}/${name}`;
}

/**
 * Looks a document up. Deleted documents are absent.
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
 * Folds records in order. Records below the next offset are ignored, so a record read twice does no harm. Where the
 * log has forgotten records that this process never saw (`earliest` above the next offset), changes wait until a
 * snapshot covers the gap.
 *
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
        const before = current.through;
        current = { ...foldRecord(current, record, rule, outcomes), next: record.offset + 1 };
        if (current.through < before) {
            throw new InvariantViolation("configuration_offset_grows", `${before} to ${current.through}`);
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
    const seen = { ...state, lastSnapshot: offset };
    if (!hasGap) {
        return { ...seen, through: offset };
    }
    const firstHeld = state.pendingChanges[0]?.offset ?? offset;
    if (snapshot.through < firstHeld - 1) {
        return seen;
    }
    let restored: ConfigurationState = { ...seen, ...restoreSnapshot(snapshot), pendingChanges: [] };
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
 * Takes a peer's configuration where it is newer than this process's own; returns the state unchanged otherwise.
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

/** All documents, deleted ones included, as of the last offset folded in. */
export function takeSnapshot(state: ConfigurationState): ConfigurationSnapshot {
    return { through: state.through, documents: [...state.documents.values()] };
}

function restoreSnapshot(snapshot: ConfigurationSnapshot): Pick<ConfigurationState, "documents" | "through"> {
    const documents = new Map(snapshot.documents.map(stored => [documentKey(stored.kind, stored.name), stored]));
    return { documents, through: snapshot.through };
}
