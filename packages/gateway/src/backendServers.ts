/**
 * What a gateway knows of the backend servers: what they registered, and when they were withdrawn.
 */
import type { BackendServerId, FailureDomain, Milliseconds, ServiceName } from "@verbenaspring/model";

/** What a backend server registered of itself. */
export interface BackendRecord {
    readonly id: BackendServerId;
    readonly service: ServiceName;
    readonly address: string;
    readonly failureDomain: FailureDomain;
    /** Requests that it processes at once. */
    readonly slots: number;
    readonly isDraining: boolean;
    /** How much longer it is slow after its start, as of the report. */
    readonly remainingWarmUp: Milliseconds;
    /** The start of this incarnation on the server's own clock, where it says so. */
    readonly startedAt: number | undefined;
    /** Grows with each heartbeat of one incarnation. */
    readonly heartbeat: number;
}

/** A backend server in the view. */
export interface BackendServer {
    readonly record: BackendRecord;
    /** Changes when the server starts anew under its old id. */
    readonly incarnation: number;
    readonly warmAt: Milliseconds;
    /** Since when it takes no new work: it announced its stop, or its registration is gone. */
    readonly leavingSince: Milliseconds | undefined;
    /** Since when its registration is gone. */
    readonly removedAt: Milliseconds | undefined;
}

/** All backend servers by id. Owned and changed by the loop. */
export type BackendView = Map<BackendServerId, BackendServer>;

/** How a record changed the view. */
export type BackendChange = "added" | "restarted" | "leaving" | "returned" | "removed" | "unchanged";

/** How long a removed server stays known, so that its last streams can be followed. */
const removedRetention: Milliseconds = 20_000;

/**
 * Takes a server's record. One that is older than what is known, by its incarnation or its heartbeat, changes nothing.
 *
 * @example
 * const change = applyRecord(view, record, now);
 */
export function applyRecord(view: BackendView, record: BackendRecord, now: Milliseconds): BackendChange {
    const known = view.get(record.id);
    if (known !== undefined && isOlder(record, known.record)) {
        return "unchanged";
    }
    const isRestart = known !== undefined && known.record.startedAt !== record.startedAt;
    const continues = known !== undefined && !isRestart;
    view.set(record.id, {
        record,
        incarnation: (known?.incarnation ?? 0) + (isRestart ? 1 : 0),
        warmAt: now + record.remainingWarmUp,
        leavingSince: record.isDraining ? (continues ? known.leavingSince : undefined) ?? now : undefined,
        removedAt: undefined,
    });
    return nameChange(known, record, isRestart);
}

function nameChange(known: BackendServer | undefined, record: BackendRecord, isRestart: boolean): BackendChange {
    if (known === undefined) {
        return "added";
    }
    if (isRestart) {
        return "restarted";
    }
    const wasLeaving = known.leavingSince !== undefined;
    if (record.isDraining === wasLeaving) {
        return "unchanged";
    }
    return record.isDraining ? "leaving" : "returned";
}

function isOlder(record: BackendRecord, known: BackendRecord): boolean {
    if (record.startedAt !== known.startedAt) {
        return record.startedAt !== undefined && known.startedAt !== undefined && record.startedAt < known.startedAt;
    }
    return record.heartbeat < known.heartbeat;
}

/** Takes the end of a server's registration. */
export function applyRemoval(view: BackendView, id: BackendServerId, now: Milliseconds): BackendChange {
    const known = view.get(id);
    if (known === undefined || known.removedAt !== undefined) {
        return "unchanged";
    }
    view.set(id, { ...known, leavingSince: known.leavingSince ?? now, removedAt: now });
    return "removed";
}

/** Forgets servers that were removed long ago. Returns whether there were any. */
export function forgetRemoved(view: BackendView, now: Milliseconds): boolean {
    const before = view.size;
    for (const [id, { removedAt }] of view) {
        if (removedAt !== undefined && now - removedAt > removedRetention) {
            view.delete(id);
        }
    }
    return view.size < before;
}
