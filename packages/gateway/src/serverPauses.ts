/**
 * Pauses that backend servers ask for: a server that refuses a request may say for how long it wants none from this
 * gateway. Calls that are under way go on.
 */
import type { BackendServerId, Milliseconds } from "@verbenaspring/model";
import type { ResponseHead } from "./messages.js";
import { migrateStreams } from "./migration.js";
import type { Attempt, GatewayState } from "./state.js";
import { logDecision, type Transaction } from "./transaction.js";

const refusedStatus = 503;

/** Records the pause that a server asks for in a refusal. A shorter pause does not end a longer one. */
export function recordServerPause(
    transaction: Transaction,
    { server }: Attempt,
    { status, retryAfter }: ResponseHead,
): void {
    const { state: { pausedUntil }, now } = transaction;
    const { id } = server.record;
    if (status !== refusedStatus || retryAfter === undefined) {
        return;
    }
    if (retryAfter === "unreadable") {
        return logDecision(transaction, "warn", "server_pause_unreadable", { server: id });
    }
    const until = Math.max(now + retryAfter, pausedUntil.get(id) ?? 0);
    pausedUntil.set(id, until);
    logDecision(transaction, "info", "server_paused", { server: id, retryAfter, left: Math.round(until - now) });
}

/** Whether a server wants no request from this gateway now. */
export function isPaused(state: GatewayState, id: BackendServerId, now: Milliseconds): boolean {
    return pauseLeft(state, id, now) > 0;
}

/** How long a server still wants no request from this gateway; 0 if it accepts requests. */
export function pauseLeft({ pausedUntil }: GatewayState, id: BackendServerId, now: Milliseconds): Milliseconds {
    return Math.max(0, (pausedUntil.get(id) ?? 0) - now);
}

/** Ends the pauses that are over, and starts the migrations that waited for them. */
export function endServerPauses(transaction: Transaction): void {
    const { state, now } = transaction;
    for (const id of state.pausedUntil.keys()) {
        if (!isPaused(state, id, now)) {
            state.pausedUntil.delete(id);
            if (state.servers.get(id)?.leavingSince !== undefined) {
                migrateStreams(transaction, id);
            }
        }
    }
}
