/**
 * Links to sidecars. The instance list gives candidates; the link's own heartbeat gives truth; a link that is silent is
 * left at once for the next number.
 */
import { backoff, chooseLinks, documentKey, type Load, type Welcome } from "@verbenaspring/coordination";
import type { BackendServerId, LogOffset, StoredDocument } from "@verbenaspring/model";
import { askAgain, hedgeAttempt, loseAttempt } from "./attempts.js";
import type { ListedInstance } from "./event.js";
import type { EntryAttempt, EntryLink, EntryState } from "./state.js";
import { observe, send, type Transaction } from "./transaction.js";

const longestReconnectDelay = 5_000;

/** Follows the instance list: links to new instances, and lets go of those that are neither listed nor reachable. */
export function takeInstances(transaction: Transaction, instances: readonly ListedInstance[]): void {
    const { state, policies: parts, now } = transaction;
    const { incarnation, linksPerService } = state.options;
    const chosen = chooseLinks(instances, incarnation, linksPerService, parts.hash);
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
    tendLinks(transaction);
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

/** Opens, closes and keeps alive. */
export function tendLinks(transaction: Transaction): void {
    const { state, now } = transaction;
    const { silenceTimeout, heartbeatInterval, lostTimeout } = state.options;
    for (const link of [...state.links.values()]) {
        if (link.phase !== "closed" && now - link.lastReceived > silenceTimeout) {
            takeLinkDown(transaction, link, "silent");
        }
        if (link.phase === "open" && now - link.lastSent >= heartbeatInterval) {
            send(transaction, link, { kind: "heartbeat" });
        }
        if (link.downSince !== undefined && now - link.downSince > lostTimeout) {
            loseAttempts(transaction, link);
            forgetUnlisted(transaction, link);
        }
        if (link.phase === "closed" && now >= link.retryAt && state.links.has(link.backendServer)) {
            openLink(transaction, link);
        }
    }
}

function forgetUnlisted({ state }: Transaction, link: EntryLink): void {
    if (!link.isListed && link.phase === "closed") {
        state.links.delete(link.backendServer);
    }
}

function openLink(transaction: Transaction, link: EntryLink): void {
    const { effects, now } = transaction;
    link.linkNumber++;
    link.phase = "connecting";
    link.lastReceived = now;
    const { backendServer, linkNumber: linkNumber, instance } = link;
    observe(transaction, { event: "link_opening", backendServer, linkNumber });
    effects.push({ kind: "openLink", backendServer, address: instance.linkAddress, linkNumber });
}

/** Leaves a link. The first try to open the next one is made at once. */
export function takeLinkDown(transaction: Transaction, link: EntryLink, reason: "silent" | "closed"): void {
    const { state, now, effects, source } = transaction;
    const wasOpen = link.phase === "open";
    const { backendServer, linkNumber: linkNumber } = link;
    link.phase = "closed";
    link.downSince ??= now;
    link.failures = wasOpen ? 0 : link.failures + 1;
    const { reconnectDelay } = state.options;
    link.retryAt = wasOpen
        ? now
        : now + backoff(link.failures, reconnectDelay, longestReconnectDelay, source.random);
    effects.push({ kind: "closeLink", backendServer, linkNumber });
    if (!wasOpen) {
        return;
    }
    observe(transaction, { event: "link_down", backendServer, reason });
    for (const attempt of attemptsOn(state, backendServer)) {
        hedgeAttempt(transaction, state.requests.get(attempt.requestId)!);
    }
}

function attemptsOn(state: EntryState, backendServer: BackendServerId): EntryAttempt[] {
    return [...state.attempts.values()].filter(attempt => attempt.backendServer === backendServer);
}

function loseAttempts(transaction: Transaction, link: EntryLink): void {
    const { state } = transaction;
    for (const attempt of attemptsOn(state, link.backendServer)) {
        loseIfHeld(transaction, attempt);
    }
}

function loseIfHeld(transaction: Transaction, attempt: EntryAttempt): void {
    const request = transaction.state.requests.get(attempt.requestId);
    if (request?.attempts.has(attempt.id) === true) {
        loseAttempt(transaction, request, attempt);
    }
}

/** The sidecar has answered the opening: what is still wanted of it is asked for again. */
export function takeWelcome(transaction: Transaction, link: EntryLink, welcome: Welcome): void {
    const { state } = transaction;
    const { backendServer, linkNumber: linkNumber } = link;
    link.phase = "open";
    link.failures = 0;
    link.downSince = undefined;
    link.leaving = welcome.leaving;
    link.sentConfigurationOffset = welcome.configurationOffset;
    link.sidecarIncarnation = welcome.sidecarIncarnation;
    observe(transaction, { event: "link_open", backendServer, linkNumber });
    sendConfiguration(transaction, link);
    for (const attempt of attemptsOn(state, backendServer)) {
        const request = state.requests.get(attempt.requestId);
        if (request?.attempts.has(attempt.id) !== true) {
            continue;
        }
        if (attempt.sidecarIncarnation === welcome.sidecarIncarnation) {
            askAgain(transaction, request, attempt);
        }
        else {
            loseAttempt(transaction, request, attempt);
        }
    }
}

/** Takes what a sidecar says of itself. */
export function takeLoad(transaction: Transaction, link: EntryLink, load: Load): void {
    link.load = load;
    link.leaving = load.leaving;
    link.sentSinceReport = 0;
    sendConfiguration(transaction, link);
}

/** Sends a sidecar its part of the configuration, where that has changed since what it has or was sent. */
export function sendConfiguration(transaction: Transaction, link: EntryLink): void {
    const { state } = transaction;
    const isSent = link.sentConfigurationOffset >= wantedConfiguration(state, link);
    if (link.phase !== "open" || !state.isConfigurationReady || isSent) {
        return;
    }
    const { through } = state.configuration;
    link.sentConfigurationOffset = through;
    send(transaction, link, { kind: "configuration", snapshot: { through, documents: partFor(state, link) } });
}

/** The offset at which a sidecar's part of the configuration last changed; -1 where it has none. */
export function wantedConfiguration(state: EntryState, link: EntryLink): LogOffset {
    return Math.max(-1, ...partFor(state, link).map(stored => stored.revision));
}

function partFor({ configuration }: EntryState, link: EntryLink): StoredDocument[] {
    const keys = [documentKey("service", link.instance.service), documentKey("drain", link.backendServer)];
    return keys.flatMap(key => configuration.documents.get(key) ?? []);
}
