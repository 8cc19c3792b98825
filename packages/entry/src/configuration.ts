/**
 * The configuration: follows the log, requests the peers' snapshots while the log is unavailable, and handles
 * operators' calls.
 */
import {
    adoptSnapshot,
    backoff,
    type ChangeOutcome,
    foldConfiguration,
    takeSnapshot,
    waitSpans,
} from "@verbenaspring/coordination";
import { type ChangeId, type ConfigurationSnapshot, identifier, type Milliseconds } from "@verbenaspring/model";
import type { OperatorAnswer } from "./effect.js";
import type { EntryEvent, OperatorCall } from "./event.js";
import { requiredConfigurationOffset, sendConfiguration } from "./links.js";
import type { EntryState, PendingChange, StreamFollower } from "./state.js";
import { observe, type Transaction } from "./transaction.js";

const minRetryDelay: Milliseconds = 100;
const maxRetryDelay: Milliseconds = 2_000;
/** An operator's change that has not been read back after this long is answered as unavailable, its outcome unknown. */
const changeTimeout: Milliseconds = 10_000;
/** How often the peers' snapshots are requested while reads of the log fail. */
const peerRequestInterval: Milliseconds = 2_000;

type ConfigurationRead = Extract<EntryEvent, { readonly kind: "configurationRead"; }>;

/** Applies the records that were read, answers operators' changes, and sends the configuration to the sidecars. */
export function handleConfigurationRead(transaction: Transaction, event: ConfigurationRead): void {
    const { state, policies, now } = transaction;
    recordRead(state.configurationFollower, now);
    const before = state.configuration;
    const { state: folded, outcomes } = foldConfiguration(before, event.records, event.earliest, policies.changeRule);
    state.configuration = folded;
    if (folded.lastSnapshotOffset !== before.lastSnapshotOffset) {
        state.snapshotDueAt = undefined;
    }
    const hasGap = folded.through < folded.next - 1;
    if (folded.next >= event.end && !hasGap) {
        state.isConfigurationReady = true;
    }
    answerChanges(transaction, outcomes);
    publishConfiguration(transaction, before.through);
}

function publishConfiguration(transaction: Transaction, before: number): void {
    const { state } = transaction;
    const { through } = state.configuration;
    if (through > before) {
        observe(transaction, { event: "configuration_applied", through });
    }
    for (const link of state.links.values()) {
        sendConfiguration(transaction, link);
    }
}

/** Handles the peers' snapshots: adopts the newest. */
export function handlePeersAnswered(transaction: Transaction, snapshots: readonly ConfigurationSnapshot[]): void {
    const { state } = transaction;
    const before = state.configuration.through;
    for (const snapshot of snapshots) {
        state.configuration = adoptSnapshot(state.configuration, snapshot);
    }
    if (snapshots.some(snapshot => snapshot.through >= 0)) {
        state.isConfigurationReady = true;
    }
    publishConfiguration(transaction, before);
}

/** Records a successful read. */
export function recordRead(follower: StreamFollower, now: Milliseconds): void {
    follower.isReading = false;
    follower.failures = 0;
    follower.retryAt = now;
    follower.lastReadAt = now;
}

/** Records a failed read. The delay before the next read grows with each consecutive failure. */
export function recordReadFailure(
    transaction: Transaction,
    follower: StreamFollower,
    stream: "configuration" | "claims",
): void {
    const { now, source } = transaction;
    follower.isReading = false;
    follower.failures++;
    follower.retryAt = now + backoff(follower.failures, minRetryDelay, maxRetryDelay, source.random);
    if (follower.failures === 1) {
        observe(transaction, { event: "log_unavailable", stream });
    }
}

/** Starts the reads that are due, at most one for each stream, and requests the peers' snapshots while reads fail. */
export function startDueReads(transaction: Transaction): void {
    const { state, effects, now } = transaction;
    if (isReadDue(state.configurationFollower, now)) {
        state.configurationFollower.isReading = true;
        effects.push({ kind: "readConfiguration", from: state.configuration.next });
    }
    if (isReadDue(state.claimsFollower, now)) {
        state.claimsFollower.isReading = true;
        effects.push({ kind: "readClaims", from: state.claims.next });
    }
    requestPeerSnapshots(transaction);
}

function isReadDue(follower: StreamFollower, now: Milliseconds): boolean {
    return !follower.isReading && now >= follower.retryAt;
}

function requestPeerSnapshots({ state, effects, now }: Transaction): void {
    const { failures } = state.configurationFollower;
    const isRecent = state.peersRequestedAt !== undefined && now - state.peersRequestedAt < peerRequestInterval;
    if (failures > 0 && !isRecent) {
        state.peersRequestedAt = now;
        effects.push({ kind: "requestPeerSnapshots" });
    }
}

/**
 * Appends a snapshot between half and the whole of the snapshot interval after the last one was read, so that the log
 * may delete the records before it.
 */
export function appendDueSnapshot({ state, effects, now, source }: Transaction): void {
    const { snapshotInterval } = state.options;
    if (!state.isConfigurationReady || state.configuration.through < 0) {
        return;
    }
    // The jitter usually lets one entry append first; the others put their snapshots off when they read it.
    state.snapshotDueAt ??= now + snapshotInterval * (0.5 + source.random() / 2);
    if (now >= state.snapshotDueAt) {
        state.snapshotDueAt = now + snapshotInterval;
        effects.push({ kind: "appendSnapshot", snapshot: takeSnapshot(state.configuration) });
    }
}

/** Handles an operator's call. Queries are answered at once, changes when they have been read back. */
export function handleOperatorCall(transaction: Transaction, callId: string, call: OperatorCall): void {
    const { state, effects } = transaction;
    if (call.kind === "change") {
        return beginChange(transaction, callId, call);
    }
    effects.push({ kind: "answerOperator", callId, answer: answerQuery(state, call, transaction.now) });
}

function answerQuery(
    state: EntryState,
    call: Exclude<OperatorCall, { readonly kind: "change"; }>,
    now: Milliseconds,
): OperatorAnswer {
    const configurationOffset = state.configuration.through;
    if (call.kind === "listDocuments") {
        const documents = [...state.configuration.documents.values()].filter(stored =>
            stored.document !== undefined && (call.document === undefined || stored.kind === call.document)
        );
        return { kind: "documents", configurationOffset, documents };
    }
    if (call.kind === "revision") {
        return { kind: "revision", configurationOffset, sidecars: listSidecars(state) };
    }
    const running = [...state.requests.values()].map(request => ({
        requestId: request.id,
        organisation: request.work.organisation,
        route: request.routeName,
        finished: false,
        spans: waitSpans(request.waits, now).filter(span => span.reason !== "generating"),
    }));
    const waits = [...state.finishedWaits, ...running.filter(request => request.spans.length > 0)];
    return {
        kind: "waits",
        waits: waits.filter(each => call.organisation === undefined || each.organisation === call.organisation),
    };
}

function listSidecars(state: EntryState): Extract<OperatorAnswer, { kind: "revision"; }>["sidecars"] {
    return [...state.links.values()].map(link => ({
        backendServer: link.backendServer,
        configurationOffset: link.load?.configurationOffset ?? -1,
        current: (link.load?.configurationOffset ?? -1) >= requiredConfigurationOffset(state, link),
        leaving: link.leaving,
        connected: link.phase === "open",
    }));
}

function beginChange(
    transaction: Transaction,
    callId: string,
    call: Extract<OperatorCall, { readonly kind: "change"; }>,
): void {
    const { state, effects, now, source } = transaction;
    const change = {
        changeId: identifier<ChangeId>(source.newIdentifier()),
        kind: call.document,
        name: call.name,
        expectedRevision: call.expectedRevision,
        document: call.value,
    };
    state.pendingChanges.set(change.changeId, { callId, change, since: now, retryAt: undefined, appendCount: 1 });
    effects.push({ kind: "appendChange", change });
}

function answerChanges(transaction: Transaction, outcomes: readonly ChangeOutcome[]): void {
    for (const { changeId, applied, revision } of outcomes) {
        const pending = transaction.state.pendingChanges.get(changeId);
        if (pending !== undefined) {
            answerChange(transaction, pending, { kind: applied ? "changed" : "conflict", revision });
        }
    }
}

function answerChange({ state, effects }: Transaction, pending: PendingChange, answer: OperatorAnswer): void {
    state.pendingChanges.delete(pending.change.changeId);
    effects.push({ kind: "answerOperator", callId: pending.callId, answer });
}

/**
 * Schedules the retry of a failed append, with the same record. If only the answer was lost the log then holds the
 * record twice; the second one is not applied, since the first has changed the revision that it expects.
 */
export function handleChangeAppendFailed(transaction: Transaction, changeId: ChangeId): void {
    const { state, now, source } = transaction;
    const pending = state.pendingChanges.get(changeId);
    if (pending !== undefined) {
        pending.retryAt = now + backoff(pending.appendCount, minRetryDelay, maxRetryDelay, source.random);
    }
}

/** Retries failed appends, and answers changes that have not been read back in time. */
export function checkPendingChanges(transaction: Transaction): void {
    const { state, effects, now } = transaction;
    for (const pending of [...state.pendingChanges.values()]) {
        if (now - pending.since >= changeTimeout) {
            const message = "the platform's log is unavailable; whether the change takes effect is not known";
            answerChange(transaction, pending, { kind: "unavailable", message });
        }
        else if (pending.retryAt !== undefined && now >= pending.retryAt) {
            pending.retryAt = undefined;
            pending.appendCount++;
            effects.push({ kind: "appendChange", change: pending.change });
        }
    }
}
