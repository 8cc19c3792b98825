/**
 * The parts of which the answer to a stream is made: what each run contributed, and from which event it went on.
 */
import type { EventId } from "@verbenaspring/model";
import type { ContinuationSource } from "./replicas.js";
import { requestFields } from "./requests.js";
import { isSuperseded } from "./serverIncarnations.js";
import type { Attempt, GatewayRequest } from "./state.js";
import { logDecision, type Transaction } from "./transaction.js";

/** What the answer to a request takes from one run. */
export interface StreamPart {
    /** The id that the run was to go on after; undefined if it was to start at the beginning. */
    readonly after: EventId | undefined;
    readonly source: StreamPartSource;
    /** The ids of the first and the last event that were taken from the run; undefined if none with an id was. */
    firstEvent: EventId | undefined;
    lastEvent: EventId | undefined;
}

/** How a run came to its part: what it went on from, or where the stream or its continuation began. */
export type StreamPartSource = ContinuationSource | "new_run" | "take_up" | "beginning";

/** Starts the part of a run that is about to be sent. */
export function startPart(
    { head, lastEvent, sends }: GatewayRequest,
    memory: ContinuationSource | undefined,
): StreamPart {
    const isTakeUp = lastEvent !== undefined && lastEvent === head.lastEvent;
    const source = memory ?? (isTakeUp ? "take_up" : sends === 0 || lastEvent === undefined ? "beginning" : "new_run");
    return { after: lastEvent, source, firstEvent: undefined, lastEvent: undefined };
}

/** Records that an event of a run is part of the answer. */
export function recordPartEvent({ part }: Attempt, id: EventId | undefined): void {
    part.firstEvent ??= id;
    part.lastEvent = id ?? part.lastEvent;
}

/**
 * Logs the part that an ended run contributed. The whole answer of one run with framing is logged at the level `debug`,
 * since its part says no more than the line of the answer.
 */
export function logPart(
    transaction: Transaction,
    request: GatewayRequest,
    attempt: Attempt,
    how: "ended" | "cancel" | "setAside",
): void {
    const { head, part, server } = attempt;
    if (!request.route.isStream || (attempt.firstEventAt ?? part.firstEvent) === undefined) {
        return;
    }
    const isPlain = part.source === "beginning" && how === "ended" && head?.endsWithChannel !== true
        && !attempt.isStopRequested;
    const leavingSince = transaction.state.servers.get(server.record.id)?.leavingSince;
    logDecision(transaction, isPlain ? "debug" : "info", "stream_part_ended", {
        ...requestFields(transaction, request),
        server: server.record.id,
        attempt: attempt.id,
        softwareVersion: server.record.softwareVersion,
        weightVersion: head?.weightVersion,
        source: part.source,
        after: part.after,
        firstEvent: part.firstEvent,
        lastPartEvent: part.lastEvent,
        lastReadEvent: attempt.lastEvent,
        readEvents: attempt.events,
        framing: head?.endsWithChannel === true ? "channel" : "length_or_chunks",
        end: how,
        isStopRequested: attempt.isStopRequested,
        serverStartedAt: server.record.startedAt,
        serverLeavingFor: leavingSince === undefined ? undefined : Math.round(transaction.now - leavingSince),
        hasServerRestarted: isSuperseded(transaction.state, server),
    });
}
