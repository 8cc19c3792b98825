/**
 * The limits that backend servers in need name in their answers: the requests a second that a server takes from all
 * gateways together.
 */
import type { BackendServerId, Milliseconds } from "@verbenaspring/model";
import type { ResponseHead } from "./messages.js";
import type { Attempt } from "./state.js";
import { logDecision, type Transaction } from "./transaction.js";

/** What a server last said about its limit. */
export interface RequestLimit {
    /** Undefined if the server named none any more. */
    readonly perSecond: number | undefined;
    readonly observedAt: Milliseconds;
}

/** The limits of servers that named one at any time. Owned and changed by the event loop. */
export type RequestLimits = Map<BackendServerId, RequestLimit>;

/**
 * Records the limit that an answer of the attempt's server names. An answer that names none ends the limit, unless its
 * request was sent before the limit was last named: answers may overtake each other.
 */
export function recordRequestLimit(transaction: Transaction, attempt: Attempt, { requestLimit }: ResponseHead): void {
    const { state: { requestLimits }, now } = transaction;
    const { id } = attempt.server.record;
    const known = requestLimits.get(id);
    if (requestLimit === "unreadable") {
        return logDecision(transaction, "warn", "request_limit_unreadable", { server: id });
    }
    if (requestLimit === undefined && (known === undefined || attempt.startedAt < known.observedAt)) {
        return;
    }
    setRequestLimit(transaction, id, { perSecond: requestLimit, observedAt: now });
}

function setRequestLimit(transaction: Transaction, id: BackendServerId, limit: RequestLimit): void {
    const { requestLimits } = transaction.state;
    const previous = requestLimits.get(id)?.perSecond;
    requestLimits.set(id, limit);
    if (limit.perSecond !== previous) {
        logDecision(transaction, "info", "request_limit_changed", { server: id, limit: limit.perSecond, previous });
    }
}
