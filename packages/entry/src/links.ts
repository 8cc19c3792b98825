/**
 * Links to sidecars. The instance list says which sidecars to connect to; only a link's own heartbeats show that the
 * sidecar is reachable. A silent link is closed, and a link with the next number is opened at once.
 */
import { backoff, chooseLinks, documentKey, type Load, type Welcome } from "@verbenaspring/coordination";
import type { BackendServerId, LogOffset, StoredDocument } from "@verbenaspring/model";
import { handleAttemptLost, hedgeRequest, resendAttempt } from "./attempts.js";
import type { ListedInstance } from "./event.js";
import type { EntryAttempt, EntryLink, EntryState } from "./state.js";
import { observe, send, type Transaction } from "./transaction.js";

/** In milliseconds. */
const maxReconnectDelay = 5_000;

/**
 * Handles a new instance list: links to the instances chosen from it. {@link checkLinks} removes a link that is no
 * longer listed once it has been down for the lost timeout.
 */
export function handleInstancesListed(transaction: Transaction, instances: readonly ListedInstance[]): void {
    const { state, policies, now } = transaction;
    const { incarnation, linksPerService } = state.options;
    const chosen = chooseLinks(instances, incarnation, linksPerService, policies.hash);
    const chosenIds = new Set(chosen.map(instance => instance.backendServer));
    for (const link of state.links.values()) {
        link.isListed = chosenIds.has(link.backendServer);
    }
    for (const instance of chosen) {
        const link = state.links.get(instance.backendServer);
        if (link === undefined) {
            state.links.set(instance.backendServer, createLink(instance, now));
        }
        else {
            link.instance = instance;
        }
    }
    checkLinks(transaction);
}

function createLink(instance: ListedInstance, now: number): EntryLink {
    return {
        backendServer: instance.backendServer,
        instance,
        isListed: true,
        linkNumber: 0,
        phase: "closed",
        sidecarIncarnation: undefined,
        lastReceived: now,
        lastSent: now,
        retryAt: now,
        failures: 0,
        downSince: now,
        load: undefined,
        leaving: false,
        sentSinceReport: 0,
        sentConfigurationOffset: -1,
    };
}

/**
 * Closes silent links, sends heartbeats, reopens closed links, and marks the attempts on a link as lost once it has
 * been down for the lost timeout.
 */
export function checkLinks(transaction: Transaction): void {
    const { state, now } = transaction;
    const { silenceTimeout, heartbeatInterval, lostTimeout } = state.options;
    for (const link of [...state.links.values()]) {
        if (link.phase !== "closed" && now - link.lastReceived > silenceTimeout) {
            closeLink(transaction, link, "silent");
        }
        if (link.phase === "open" && now - link.lastSent >= heartbeatInterval) {
            send(transaction, link, { kind: "heartbeat" });
        }
        if (link.downSince !== undefined && now - link.downSince > lostTimeout) {
            markAttemptsLost(transaction, link);
            removeIfUnlisted(transaction, link);
        }
        if (link.phase === "closed" && now >= link.retryAt && state.links.has(link.backendServer)) {
            openLink(transaction, link);
        }
    }
}

function removeIfUnlisted({ state }: Transaction, link: EntryLink): void {
    if (!link.isListed && link.phase === "closed") {
        state.links.delete(link.backendServer);
    }
}

function openLink(transaction: Transaction, link: EntryLink): void {
    const { effects, now } = transaction;
    link.linkNumber++;
    link.phase = "connecting";
    link.lastReceived = now;
    const { backendServer, linkNumber, instance } = link;
    observe(transaction, { event: "link_opening", backendServer, linkNumber });
    effects.push({ kind: "openLink", backendServer, address: instance.linkAddress, linkNumber });
}

/** Closes a link and hedges the requests on it. A link that was open is reopened at once, others after a backoff. */
export function closeLink(transaction: Transaction, link: EntryLink, reason: "silent" | "closed"): void {
    const { state, now, effects, source } = transaction;
    const wasOpen = link.phase === "open";
    const { backendServer, linkNumber } = link;
    link.phase = "closed";
    link.downSince ??= now;
    link.failures = wasOpen ? 0 : link.failures + 1;
    const { reconnectDelay } = state.options;
    link.retryAt = wasOpen
        ? now
        : now + backoff(link.failures, reconnectDelay, maxReconnectDelay, source.random);
    effects.push({ kind: "closeLink", backendServer, linkNumber });
    if (!wasOpen) {
        return;
    }
    observe(transaction, { event: "link_down", backendServer, reason });
    for (const attempt of findAttemptsOn(state, backendServer)) {
        hedgeRequest(transaction, state.requests.get(attempt.requestId)!);
    }
}

function findAttemptsOn(state: EntryState, backendServer: BackendServerId): EntryAttempt[] {
    return [...state.attempts.values()].filter(attempt => attempt.backendServer === backendServer);
}

function markAttemptsLost(transaction: Transaction, link: EntryLink): void {
    const { state } = transaction;
    for (const attempt of findAttemptsOn(state, link.backendServer)) {
        markLostIfActive(transaction, attempt);
    }
}

function markLostIfActive(transaction: Transaction, attempt: EntryAttempt): void {
    const request = transaction.state.requests.get(attempt.requestId);
    if (request?.attempts.has(attempt.id) === true) {
        handleAttemptLost(transaction, request, attempt);
    }
}

/**
 * Handles `Welcome`: the link is open. Attempts at the same sidecar incarnation are sent again; those of an earlier
 * incarnation are lost.
 */
export function handleWelcome(transaction: Transaction, link: EntryLink, welcome: Welcome): void {
    const { state } = transaction;
    const { backendServer, linkNumber } = link;
    link.phase = "open";
    link.failures = 0;
    link.downSince = undefined;
    link.leaving = welcome.leaving;
    link.sentConfigurationOffset = welcome.configurationOffset;
    link.sidecarIncarnation = welcome.sidecarIncarnation;
    observe(transaction, { event: "link_open", backendServer, linkNumber });
    sendConfiguration(transaction, link);
    for (const attempt of findAttemptsOn(state, backendServer)) {
        const request = state.requests.get(attempt.requestId);
        if (request?.attempts.has(attempt.id) !== true) {
            continue;
        }
        if (attempt.sidecarIncarnation === welcome.sidecarIncarnation) {
            resendAttempt(transaction, request, attempt);
        }
        else {
            handleAttemptLost(transaction, request, attempt);
        }
    }
}

/** Handles a sidecar's load report. */
export function handleLoad(transaction: Transaction, link: EntryLink, load: Load): void {
    link.load = load;
    link.leaving = load.leaving;
    link.sentSinceReport = 0;
    sendConfiguration(transaction, link);
}

/** Sends a sidecar the documents that concern it, if they have changed since what it has or was sent. */
export function sendConfiguration(transaction: Transaction, link: EntryLink): void {
    const { state } = transaction;
    const isSent = link.sentConfigurationOffset >= requiredConfigurationOffset(state, link);
    if (link.phase !== "open" || !state.isConfigurationReady || isSent) {
        return;
    }
    const { through } = state.configuration;
    link.sentConfigurationOffset = through;
    send(transaction, link, {
        kind: "configuration",
        snapshot: { through, documents: relevantDocuments(state, link) },
    });
}

/** The highest revision of the documents that concern a sidecar; -1 if there are none. */
export function requiredConfigurationOffset(state: EntryState, link: EntryLink): LogOffset {
    return Math.max(-1, ...relevantDocuments(state, link).map(stored => stored.revision));
}

/** The documents that concern a sidecar: its service, a drain of its backend server and the evacuation of its domain. */
function relevantDocuments({ configuration }: EntryState, link: EntryLink): StoredDocument[] {
    const keys = [
        documentKey("service", link.instance.service),
        documentKey("drain", link.backendServer),
        documentKey("evacuation", link.instance.failureDomain),
    ];
    return keys.flatMap(key => configuration.documents.get(key) ?? []);
}
