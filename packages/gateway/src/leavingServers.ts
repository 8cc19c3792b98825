/**
 * Notices of backend servers that they leave, which they give in their answers. A notice holds for one incarnation of a
 * server, whatever its record in the store says: gateways that passed it on are bound by it.
 */
import type { BackendServerId } from "@verbenaspring/model";
import type { BackendRecord, BackendServer } from "./backendServers.js";
import { earliestAcknowledgement } from "./drainLimit.js";
import { checkStreamsSoon, migrateStreams } from "./migration.js";
import { reportToPeers } from "./peers.js";
import type { GatewayState } from "./state.js";
import { logDecision, type Transaction } from "./transaction.js";

/** A notice as gateways report it to each other. */
export interface PeerLeavingServer {
    readonly backendServer: BackendServerId;
    /** When the incarnation that leaves started, by its own clock; undefined if its records do not tell. */
    readonly startedAt: number | undefined;
}

/** The notice of a server's newest incarnation that gave one. */
export interface LeavingNotice {
    readonly startedAt: number | undefined;
    /** The notices of a gateway are numbered in the order in which it learnt of them. */
    readonly number: number;
}

/** The notices that a gateway knows, oldest first. Owned and changed by the event loop. */
export type LeavingNotices = Map<BackendServerId, LeavingNotice>;

/** More servers than are ever on their way out at the same time; beyond that the oldest notices are evicted. */
const maximumNotices = 4_096;

/** Whether the incarnation of a record has given notice. */
export function hasGivenNotice({ leavingNotices }: GatewayState, { id, startedAt }: BackendRecord): boolean {
    const notice = leavingNotices.get(id);
    return notice !== undefined && notice.startedAt === startedAt;
}

/** Whether a server leaves, or is not known any more. */
export function isLeaving({ servers }: GatewayState, { record: { id } }: BackendServer): boolean {
    const known = servers.get(id);
    return known === undefined || known.leavingSince !== undefined;
}

/** Records a notice in an answer to this gateway, and reports it to the others. */
export function recordLeavingNotice(transaction: Transaction, { id, startedAt }: BackendRecord): void {
    recordNotices(transaction, [{ backendServer: id, startedAt }], true);
}

/** Records the notices that another gateway reports, and passes on those that are new. */
export function applyPeerNotices(transaction: Transaction, notices: readonly PeerLeavingServer[]): void {
    recordNotices(transaction, notices, false);
}

function recordNotices(
    transaction: Transaction,
    notices: readonly PeerLeavingServer[],
    isOwnObservation: boolean,
): void {
    const newNotices = notices.filter(notice => isNews(transaction.state, notice));
    newNotices.forEach(notice => recordNotice(transaction, notice, isOwnObservation));
    if (newNotices.length > 0) {
        reportToPeers(transaction);
    }
}

/** Whether a notice is of the known incarnation, or of one that is not known and starts later than the known ones. */
function isNews({ leavingNotices, servers }: GatewayState, { backendServer, startedAt }: PeerLeavingServer): boolean {
    const notice = leavingNotices.get(backendServer);
    const known = servers.get(backendServer);
    if (notice !== undefined && notice.startedAt === startedAt) {
        return false;
    }
    if (known !== undefined && known.record.startedAt === startedAt) {
        return true;
    }
    const isOfPrevious = startedAt !== undefined && known?.previousStart === startedAt;
    return !isOfPrevious && !isNewer(notice?.startedAt, startedAt) && !isNewer(known?.record.startedAt, startedAt);
}

function isNewer(one: number | undefined, other: number | undefined): boolean {
    return one !== undefined && other !== undefined && one > other;
}

function recordNotice(
    transaction: Transaction,
    { backendServer: id, startedAt }: PeerLeavingServer,
    isOwnObservation: boolean,
): void {
    const { state, now } = transaction;
    const { leavingNotices, servers } = state;
    leavingNotices.delete(id);
    leavingNotices.set(id, { startedAt, number: ++state.noticeCount });
    if (leavingNotices.size > maximumNotices) {
        const [oldest] = leavingNotices.keys();
        leavingNotices.delete(oldest);
    }
    const known = servers.get(id);
    logDecision(transaction, "info", "backend_server_gave_notice", {
        server: id,
        startedAt,
        isOwnObservation,
        isKnown: known !== undefined,
        wasLeaving: known?.leavingSince !== undefined,
    });
    if (known !== undefined && known.record.startedAt === startedAt) {
        const leavingNotBefore = known.leavingNotBefore ?? earliestAcknowledgement(transaction);
        servers.set(id, { ...known, leavingSince: known.leavingSince ?? now, leavingNotBefore });
        migrateStreams(transaction, id);
        checkStreamsSoon(transaction);
    }
}

/** The notices that a gateway learnt after the one with the given number, as they are reported to others. */
export function noticesAfter({ leavingNotices, noticeCount }: GatewayState, number: number): PeerLeavingServer[] {
    return noticeCount === number ? [] : [...leavingNotices]
        .filter(([, notice]) => notice.number > number)
        .map(([backendServer, { startedAt }]) => ({ backendServer, startedAt }));
}
