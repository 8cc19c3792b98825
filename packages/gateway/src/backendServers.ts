/**
 * The backend servers that a gateway knows: what they registered, and since when they leave or are removed.
 */
import type { BackendServerId, FailureDomain, Milliseconds, ServiceName, SoftwareVersion } from "@verbenaspring/model";

/** The registration of a backend server. */
export interface BackendRecord {
    readonly id: BackendServerId;
    readonly service: ServiceName;
    readonly address: string;
    readonly failureDomain: FailureDomain;
    /** The version of its software, not of the model's weights; undefined if it does not report one. */
    readonly softwareVersion: SoftwareVersion | undefined;
    /** Requests that it processes concurrently. */
    readonly slots: number;
    readonly isDraining: boolean;
    /** How much longer it is slow after its start, when the record was written. */
    readonly remainingWarmUp: Milliseconds;
    /** When this incarnation started, by the server's own clock; undefined if it does not report it. */
    readonly startedAt: number | undefined;
    /** Increases with each heartbeat of one incarnation. */
    readonly heartbeat: number;
}

/** A restart of a server, as far as the gateway knows of it. */
export interface ServerRestart {
    /** When the first record of the new incarnation was read. */
    readonly learnedAt: Milliseconds;
    /** The earliest time at which the last heartbeat of the incarnation before can have been written. */
    readonly previousHeartbeatNotBefore: Milliseconds;
    /** The earliest time at which the platform can have acknowledged that it leaves; undefined if it did not. */
    readonly previousLeavingNotBefore: Milliseconds | undefined;
}

/** A backend server in the view. */
export interface BackendServer {
    readonly record: BackendRecord;
    /** Increases when the server restarts under the same id. */
    readonly incarnation: number;
    /** The earliest time at which its newest heartbeat can have been written. */
    readonly heartbeatNotBefore: Milliseconds;
    /** The last restart under its id; undefined if it has not restarted since it was added to the view. */
    readonly restart: ServerRestart | undefined;
    /** The start of the incarnation before; undefined if it is not known. */
    readonly previousStart: number | undefined;
    /** The newest record of another incarnation since the last one of this, which may have been written late. */
    readonly stray: Pick<BackendRecord, "startedAt" | "heartbeat"> | undefined;
    readonly warmUpEndsAt: Milliseconds;
    /** The earliest end by the last record that changed the view and those after it; other gateways may know no later one. */
    readonly publishedWarmUpEndsAt: Milliseconds;
    /** Since when it accepts no new work: it announced its stop, or its registration was removed. */
    readonly leavingSince: Milliseconds | undefined;
    /** The earliest time at which the platform can have acknowledged that it leaves; undefined if it does not leave. */
    readonly leavingNotBefore: Milliseconds | undefined;
    /** When its registration was removed. */
    readonly removedAt: Milliseconds | undefined;
}

/** All backend servers by id. Owned and changed by the event loop. */
export type BackendView = Map<BackendServerId, BackendServer>;

/** How a record changed the view. */
export type BackendChange = "added" | "restarted" | "leaving" | "returned" | "updated" | "removed" | "unchanged";

/** How long a removed server stays in the view, for the streams that still run there. */
const removedRetention: Milliseconds = 20_000;

/** What is known besides a record when it is applied. */
export interface RecordCircumstances {
    /** Whether its incarnation said in an answer that it leaves, whatever the record says. */
    readonly hasGivenNotice: boolean;
    /** When the view before the record was last known to be complete. */
    readonly knownAsOf: Milliseconds;
    /** The earliest time at which the platform can have acknowledged a leaving that the record tells of. */
    readonly leavingNotBefore: Milliseconds;
}

/**
 * Applies a server's record, which follows the known one in the log. A record with an earlier heartbeat than the known one
 * changes nothing, and neither does one that does not report its start if the known one does: it is of another writer.
 *
 * An incarnation with an earlier start than the known one counts from its second heartbeat on: the first may have been written
 * late by one that has ended, but if it goes on, the clock of its machine went back.
 *
 * @example
 * const change = applyRecord(view, record, { hasGivenNotice: false, knownAsOf: now, leavingNotBefore: now }, now);
 */
export function applyRecord(
    view: BackendView,
    record: BackendRecord,
    { hasGivenNotice, knownAsOf, leavingNotBefore }: RecordCircumstances,
    now: Milliseconds,
): BackendChange {
    const known = view.get(record.id);
    if (known !== undefined && isOutdated(record, known)) {
        if (record.startedAt !== undefined && record.startedAt !== known.record.startedAt) {
            view.set(record.id, { ...known, stray: record });
        }
        return "unchanged";
    }
    const isRestart = known !== undefined && known.record.startedAt !== record.startedAt;
    const isSameIncarnation = known !== undefined && !isRestart;
    const isLeaving = record.isDraining || hasGivenNotice;
    const warmUpEndsAt = warmUpEnd(known, record, now);
    const change = classifyChange(known, record, { isLeaving, isRestart }, now);
    view.set(record.id, {
        record,
        incarnation: (known?.incarnation ?? 0) + (isRestart ? 1 : 0),
        heartbeatNotBefore: isSameIncarnation && known.record.heartbeat === record.heartbeat
            ? known.heartbeatNotBefore
            : knownAsOf,
        ...restartFields(known, isRestart, now),
        stray: undefined,
        warmUpEndsAt,
        publishedWarmUpEndsAt: publishedWarmUpEnd(known, change, warmUpEndsAt),
        ...leavingTimes(isSameIncarnation ? known : undefined, isLeaving, now, leavingNotBefore),
        removedAt: undefined,
    });
    return change;
}

function restartFields(
    known: BackendServer | undefined,
    isRestart: boolean,
    now: Milliseconds,
): Pick<BackendServer, "restart" | "previousStart"> {
    return known !== undefined && isRestart
        ? { restart: restartOf(known, now), previousStart: known.record.startedAt }
        : { restart: known?.restart, previousStart: known?.previousStart };
}

/** The restart that ended a known incarnation. */
function restartOf({ heartbeatNotBefore, leavingNotBefore }: BackendServer, now: Milliseconds): ServerRestart {
    return {
        learnedAt: now,
        previousHeartbeatNotBefore: heartbeatNotBefore,
        previousLeavingNotBefore: leavingNotBefore,
    };
}

/** @param known the same incarnation as it is known, if it is */
function leavingTimes(
    known: BackendServer | undefined,
    isLeaving: boolean,
    now: Milliseconds,
    leavingNotBefore: Milliseconds,
): Pick<BackendServer, "leavingSince" | "leavingNotBefore"> {
    return isLeaving
        ? { leavingSince: known?.leavingSince ?? now, leavingNotBefore: known?.leavingNotBefore ?? leavingNotBefore }
        : { leavingSince: undefined, leavingNotBefore: undefined };
}

/** When a cold server is warm by its record. A record that is read again, as in a snapshot, tells no later end. */
function warmUpEnd(known: BackendServer | undefined, record: BackendRecord, now: Milliseconds): Milliseconds {
    const { startedAt, heartbeat, remainingWarmUp } = record;
    const isReadAgain = known !== undefined && known.record.startedAt === startedAt
        && known.record.heartbeat === heartbeat && known.record.remainingWarmUp === remainingWarmUp;
    return isReadAgain ? Math.min(known.warmUpEndsAt, now + remainingWarmUp) : now + remainingWarmUp;
}

function publishedWarmUpEnd(
    known: BackendServer | undefined,
    change: BackendChange,
    warmUpEndsAt: Milliseconds,
): Milliseconds {
    // The others may have learnt earlier, and so with an earlier end, what this gateway read late.
    return known !== undefined && change === "unchanged"
        ? Math.min(known.publishedWarmUpEndsAt, warmUpEndsAt)
        : warmUpEndsAt;
}

/**
 * Heartbeats of a cold server state an end that differs by their delay; a later end than this is a new one. It is compared
 * with the end that other gateways know, since the delays of several heartbeats can add up.
 */
export const warmUpTolerance: Milliseconds = 500;

/** Whether a record says more than a heartbeat: the server is cold for longer, or its registration has changed. */
function isUpdate(record: BackendRecord, known: BackendServer, now: Milliseconds): boolean {
    const { service, address, failureDomain, softwareVersion, slots, isDraining } = known.record;
    const warmUpEndsAt = warmUpEnd(known, record, now);
    const isColdForLonger = record.remainingWarmUp > 0
        && warmUpEndsAt > Math.max(now, known.publishedWarmUpEndsAt + warmUpTolerance);
    return isColdForLonger || record.service !== service || record.address !== address || record.slots !== slots
        || record.failureDomain !== failureDomain || record.softwareVersion !== softwareVersion
        || record.isDraining !== isDraining || known.removedAt !== undefined;
}

function classifyChange(
    known: BackendServer | undefined,
    record: BackendRecord,
    { isLeaving, isRestart }: { readonly isLeaving: boolean; readonly isRestart: boolean; },
    now: Milliseconds,
): BackendChange {
    if (known === undefined) {
        return "added";
    }
    if (isRestart) {
        return "restarted";
    }
    const wasLeaving = known.leavingSince !== undefined;
    if (isLeaving === wasLeaving) {
        return isUpdate(record, known, now) ? "updated" : "unchanged";
    }
    return isLeaving ? "leaving" : "returned";
}

/** Whether a record that follows the known one in the log is outdated all the same. */
function isOutdated({ startedAt, heartbeat }: BackendRecord, known: BackendServer): boolean {
    const { record, previousStart, stray } = known;
    if (startedAt === record.startedAt) {
        return heartbeat < record.heartbeat;
    }
    if (startedAt === undefined || record.startedAt === undefined) {
        return startedAt === undefined;
    }
    const mayHaveEnded = startedAt < record.startedAt || startedAt === previousStart;
    const goesOn = stray?.startedAt === startedAt && heartbeat > stray.heartbeat;
    return mayHaveEnded && !goesOn;
}

/**
 * Marks a server as removed, because its registration ended.
 *
 * @param knownAsOf when the view before the removal was last known to be complete
 */
export function applyRemoval(
    view: BackendView,
    id: BackendServerId,
    now: Milliseconds,
    knownAsOf: Milliseconds,
): BackendChange {
    const known = view.get(id);
    if (known === undefined || known.removedAt !== undefined) {
        return "unchanged";
    }
    view.set(id, {
        ...known,
        leavingSince: known.leavingSince ?? now,
        leavingNotBefore: known.leavingNotBefore ?? knownAsOf,
        removedAt: now,
    });
    return "removed";
}

/** Deletes servers that were removed more than {@link removedRetention} ago. Returns whether there were any. */
export function forgetRemoved(view: BackendView, now: Milliseconds): boolean {
    const before = view.size;
    for (const [id, { removedAt }] of view) {
        if (removedAt !== undefined && now - removedAt > removedRetention) {
            view.delete(id);
        }
    }
    return view.size < before;
}
