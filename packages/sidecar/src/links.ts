/**
 * Links from entries: opens, supersedes and closes them, sends load reports as heartbeats, and handles configurations.
 */
import {
    type ConfigurationMessage,
    documentKey,
    type EntryLinkRecord,
    forecastFreeTokens,
    type Load,
    marginsByObjective,
    openLinkRecord,
    pruneLinkRecords,
} from "@verbenaspring/coordination";
import type { BackendServerId, EntryIncarnation } from "@verbenaspring/model";
import { forgetAttempt } from "./attempts.js";
import { forecastQueueWait } from "./queue.js";
import { createEngineView } from "./scheduling.js";
import { findOwnService, type SidecarState } from "./state.js";
import { observe, send, type Transaction } from "./transaction.js";

const maxLinkRecords = 16_384;

/**
 * Opens a link, unless a newer one of the same entry was opened before or it is addressed to another backend server.
 */
export function handleLinkOpened(
    transaction: Transaction,
    entry: EntryIncarnation,
    linkNumber: number,
    backendServer: BackendServerId,
): void {
    const { state, effects, now } = transaction;
    const previous = state.links.get(entry);
    const isAddressed = backendServer === state.options.backendServer;
    const record = isAddressed ? openLinkRecord(state.links, entry, linkNumber, now) : undefined;
    if (record === undefined) {
        observe(transaction, { event: "link_refused", entry, linkNumber });
        effects.push({ kind: "closeLink", entry, linkNumber });
        return;
    }
    if (previous?.isOpen === true) {
        effects.push({ kind: "closeLink", entry, linkNumber: previous.linkNumber });
    }
    pruneLinkRecords(state.links, maxLinkRecords);
    forgetTombstones(transaction, entry);
    rewindReaders(state, entry);
    observe(transaction, { event: "link_opened", entry, linkNumber });
    send(transaction, entry, {
        kind: "welcome",
        sidecarIncarnation: state.options.incarnation,
        linkNumber,
        leaving: transaction.policies.refusesWork(state),
        configurationOffset: state.configuration.through,
    });
    sendLoad(transaction, entry, record);
}

/**
 * Forgets an entry's tombstones when its older links are superseded. A run that they guard against could only come over
 * such a link, whose frames are refused. An entry that still needs an answer sends its message again over the new link.
 */
function forgetTombstones(transaction: Transaction, entry: EntryIncarnation): void {
    for (const attempt of [...transaction.state.attempts.values()]) {
        if (attempt.entry === entry && attempt.phase === "withdrawn") {
            forgetAttempt(transaction, attempt);
        }
    }
}

/**
 * Rewinds an entry's readers to their last acknowledgement, since what was sent over an older link may be lost. The
 * entry first sends a run or resume for each attempt that it still needs, from its next token, and cancels the others.
 */
function rewindReaders(state: SidecarState, entry: EntryIncarnation): void {
    for (const { reader } of state.generations.values()) {
        if (reader?.entry === entry) {
            reader.sentTokens = reader.acknowledgedTokens;
            reader.conclusionSentAt = undefined;
        }
    }
}

/** Closes a link. Its entry may open the next one. */
export function closeLink(transaction: Transaction, entry: EntryIncarnation, record: EntryLinkRecord): void {
    record.isOpen = false;
    record.lastReceived = transaction.now;
    transaction.effects.push({ kind: "closeLink", entry, linkNumber: record.linkNumber });
}

/** Closes silent links and sends the others load reports, which are the heartbeats. */
export function checkLinks(transaction: Transaction): void {
    const { state, now } = transaction;
    const { silenceTimeout, heartbeatInterval } = state.options;
    for (const [entry, record] of state.links) {
        if (!record.isOpen) {
            continue;
        }
        if (now - record.lastReceived > silenceTimeout) {
            observe(transaction, { event: "link_silent", entry, linkNumber: record.linkNumber });
            closeLink(transaction, entry, record);
            continue;
        }
        if (now - record.lastReported >= heartbeatInterval) {
            sendLoad(transaction, entry, record);
        }
    }
}

/** Sends a load report over every open link at once. */
export function announceLoad(transaction: Transaction): void {
    for (const [entry, record] of transaction.state.links) {
        if (record.isOpen) {
            sendLoad(transaction, entry, record);
        }
    }
}

/**
 * Sends a load report. Routing needs one each heartbeat interval, also while tokens alone would show that the link is
 * alive.
 */
function sendLoad(transaction: Transaction, entry: EntryIncarnation, record: EntryLinkRecord): void {
    record.lastReported = transaction.now;
    send(transaction, entry, loadMessage(transaction));
}

function loadMessage(transaction: Transaction): Load {
    const { state, policies } = transaction;
    return {
        kind: "load",
        leaving: policies.refusesWork(state) || !state.isBackendReachable,
        configurationOffset: state.configuration.through,
        freeTokens: freeTokens(state),
        queueLength: state.queue.size,
        expectedWait: forecastQueueWait(state),
        preemptions: state.preemptions,
    };
}

/**
 * The free memory to report; for a plain service the negated number of running calls, so that routing prefers the
 * server with the fewest.
 */
function freeTokens(state: SidecarState): number {
    const service = findOwnService(state);
    if (service === undefined || service.kind === "plain") {
        return -state.running.size;
    }
    return Math.round(forecastFreeTokens(createEngineView(state), marginsByObjective[service.objective].deviations));
}

/** Handles `Configuration`: applies it if it is newer than the one in force. */
export function handleConfiguration(transaction: Transaction, message: ConfigurationMessage): void {
    const { state } = transaction;
    const { snapshot } = message;
    if (snapshot.through <= state.configuration.through) {
        return;
    }
    const documents = new Map(snapshot.documents.map(stored => [documentKey(stored.kind, stored.name), stored]));
    state.configuration = { documents, through: snapshot.through };
    observe(transaction, { event: "configuration_applied", through: snapshot.through });
    announceLoad(transaction);
}
