/**
 * Configuration: following the log, asking peers while it is out, and operators' calls.
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
import { sendConfiguration, wantedConfiguration } from "./links.js";
import type { EntryState, PendingChange, StreamFollower } from "./state.js";
import { observe, type Transaction } from "./transaction.js";

const retryBase: Milliseconds = 100;
const retryLongest: Milliseconds = 2_000;
/** An operator's change that is not read back by then gets the answer that its outcome is unknown. */
const changeTimeout: Milliseconds = 10_000;
/** Peers are asked when the log has not been read for this long, and again as often. */
const peerInterval: Milliseconds = 2_000;

type ConfigurationRead = Extract<EntryEvent, { readonly kind: "configurationRead"; }>;

/** Folds what was read, settles operators' changes, and passes the configuration on. */
export function takeConfigurationRead(transaction: Transaction, event: ConfigurationRead): void {
    const { state, policies: parts, now } = transaction;
    noteRead(state.configurationFollower, now);
    const before = state.configuration;
    const { state: folded, outcomes } = foldConfiguration(before, event.records, event.earliest, parts.changeRule);
    state.configuration = folded;
    if (folded.lastSnapshotOffset !== before.lastSnapshotOffset) {
        state.snapshotDueAt = undefined;
    }
    const hasGap = folded.through < folded.next - 1;
    if (folded.next >= event.end && !hasGap) {
        state.isConfigurationReady = true;
    }
    settleChanges(transaction, outcomes);
    publish(transaction, before.through);
}

function publish(transaction: Transaction, before: number): void {
    const { state } = transaction;
    const { through } = state.configuration;
    if (through > before) {
        observe(transaction, { event: "configuration_applied", through });
    }
    for (const link of state.links.values()) {
        sendConfiguration(transaction, link);
    }
}

/** Takes the newest configuration that a peer holds. */
export function takePeersAnswered(transaction: Transaction, snapshots: readonly ConfigurationSnapshot[]): void {
    const { state } = transaction;
    const before = state.configuration.through;
    for (const snapshot of snapshots) {
        state.configuration = adoptSnapshot(state.configuration, snapshot);
    }
    if (snapshots.some(snapshot => snapshot.through >= 0)) {
        state.isConfigurationReady = true;
    }
    publish(transaction, before);
}

/** Marks a successful read. */
export function noteRead(follower: StreamFollower, now: Milliseconds): void {
    follower.isReading = false;
    follower.failures = 0;
    follower.retryAt = now;
    follower.lastReadAt = now;
}

/** Marks a failed read; the next one waits a little longer each time. */
export function noteReadFailed(
    transaction: Transaction,
    follower: StreamFollower,
    stream: "configuration" | "claims",
): void {
    const { now, source } = transaction;
    follower.isReading = false;
    follower.failures++;
    follower.retryAt = now + backoff(follower.failures, retryBase, retryLongest, source.random);
    if (follower.failures === 1) {
        observe(transaction, { event: "log_unavailable", stream });
    }
}

/** Keeps one read of each stream under way, and asks the peers while the log gives nothing. */
export function tendFollowers(transaction: Transaction): void {
    const { state, effects, now } = transaction;
    if (isDue(state.configurationFollower, now)) {
        state.configurationFollower.isReading = true;
        effects.push({ kind: "readConfiguration", from: state.configuration.next });
    }
    if (isDue(state.claimsFollower, now)) {
        state.claimsFollower.isReading = true;
        effects.push({ kind: "readClaims", from: state.claims.next });
    }
    askPeersWhenBlind(transaction);
}

function isDue(follower: StreamFollower, now: Milliseconds): boolean {
    return !follower.isReading && now >= follower.retryAt;
}

function askPeersWhenBlind({ state, effects, now }: Transaction): void {
    const { failures } = state.configurationFollower;
    const isAsked = state.peersRequestedAt !== undefined && now - state.peersRequestedAt < peerInterval;
    if (failures > 0 && !isAsked) {
        state.peersRequestedAt = now;
        effects.push({ kind: "askPeers" });
    }
}

/** Appends a snapshot once the last one is older than the interval, so that the log may forget what is before. */
export function tendSnapshot({ state, effects, now, source }: Transaction): void {
    const { snapshotInterval } = state.options;
    if (!state.isConfigurationReady || state.configuration.through < 0) {
        return;
    }
    // The jitter lets one entry's snapshot usually spare the others theirs.
    state.snapshotDueAt ??= now + snapshotInterval * (0.5 + source.random() / 2);
    if (now >= state.snapshotDueAt) {
        state.snapshotDueAt = now + snapshotInterval;
        effects.push({ kind: "appendSnapshot", snapshot: takeSnapshot(state.configuration) });
    }
}

/** Answers an operator's call, at once or when its change has been read back. */
export function takeOperatorCall(transaction: Transaction, callId: string, call: OperatorCall): void {
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
        current: (link.load?.configurationOffset ?? -1) >= wantedConfiguration(state, link),
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

function settleChanges(transaction: Transaction, outcomes: readonly ChangeOutcome[]): void {
    for (const { changeId, applied, revision } of outcomes) {
        const pending = transaction.state.pendingChanges.get(changeId);
        if (pending !== undefined) {
            settleChange(transaction, pending, { kind: applied ? "changed" : "conflict", revision });
        }
    }
}

function settleChange({ state, effects }: Transaction, pending: PendingChange, answer: OperatorAnswer): void {
    state.pendingChanges.delete(pending.change.changeId);
    effects.push({ kind: "answerOperator", callId: pending.callId, answer });
}

/** The append failed or its answer was lost. The same record goes again; a second copy can't apply twice. */
export function takeChangeAppendFailed(transaction: Transaction, changeId: ChangeId): void {
    const { state, now, source } = transaction;
    const pending = state.pendingChanges.get(changeId);
    if (pending !== undefined) {
        pending.retryAt = now + backoff(pending.appendCount, retryBase, retryLongest, source.random);
    }
}

/** Retries appends, and gives up changes that the log does not show in time. */
export function tendChanges(transaction: Transaction): void {
    const { state, effects, now } = transaction;
    for (const pending of [...state.pendingChanges.values()]) {
        if (now - pending.since >= changeTimeout) {
            const message = "the platform's log is unavailable; whether the change takes effect is not known";
            settleChange(transaction, pending, { kind: "unavailable", message });
        }
        else if (pending.retryAt !== undefined && now >= pending.retryAt) {
            pending.retryAt = undefined;
            pending.appendCount++;
            effects.push({ kind: "appendChange", change: pending.change });
        }
    }
}
