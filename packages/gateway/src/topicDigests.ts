/**
 * Digests of what gateways have of a topic. Two that know the log up to the same offset have the same, unless the log lost a
 * record that one of them has read. They can't tell which of them has what the log has by now, so both read a snapshot.
 */
import { hashText } from "@verbenaspring/coordination";
import type { Milliseconds } from "@verbenaspring/model";
import type { BackendRecord, BackendServer } from "./backendServers.js";
import type { TopicName } from "./event.js";
import { liveMembers } from "./members.js";
import type { PeerTopic } from "./peerReport.js";
import type { GatewayState, Peer, TopicFollower } from "./state.js";
import { logDecision, type Transaction } from "./transaction.js";

/** The shortest time between two snapshots because of digests; records that are stored late can make them differ for a while. */
const comparisonInterval: Milliseconds = 5_000;
/** From a difference of digests to the snapshot, if the difference remains. */
const minimumDifference: Milliseconds = 300;
/** Gateways read snapshots at random times within this for each of them, so that not all read at once. */
const snapshotSpread: Milliseconds = 10;

/** The digest of what is known of a topic, in 32 bits. The order of the log is not part of it. */
export function topicDigest(state: GatewayState, topic: TopicName): number {
    return topic === "backendServers"
        ? state.serversDigest
        : [...state.evacuations.keys()].reduce(
            (digest, failureDomain) => addDigest(digest, hashText(failureDomain)),
            0,
        );
}

/** Updates the digest of the servers after a change of one. */
export function updateServersDigest(
    state: GatewayState,
    previous: BackendServer | undefined,
    current: BackendServer | undefined,
): void {
    state.serversDigest = addDigest(state.serversDigest, serverDigest(current) - serverDigest(previous));
}

function addDigest(digest: number, term: number): number {
    return (digest + term) >>> 0;
}

/** Heartbeats are not part of it, since gateways don't report them to each other. */
function serverDigest(server: BackendServer | undefined): number {
    return server === undefined || server.removedAt !== undefined ? 0 : hashText(registrationText(server.record));
}

function registrationText(record: BackendRecord): string {
    const { id, service, address, failureDomain, softwareVersion, slots, isDraining, startedAt } = record;
    return JSON.stringify([id, service, address, failureDomain, softwareVersion, slots, isDraining, startedAt]);
}

/** Makes a snapshot due if a peer knows of lost records that this gateway does not know of. */
export function compareHistories(transaction: Transaction, { address }: Peer, topic: PeerTopic): void {
    const { state, now } = transaction;
    const follower = state.followers[topic.name];
    const history = topic.history ?? 0;
    follower.newestHistory = Math.max(follower.newestHistory, history);
    if (history > follower.history && follower.difference === undefined) {
        const isReader = follower.lastRead?.reader === state.incarnation;
        const snapshotDueAt = now + (isReader ? 0 : randomDelay(transaction));
        follower.difference = { peer: address, snapshotDueAt };
    }
}

/** Whether a peer may report records that this gateway knows to be lost. */
export function isOfEarlierHistory({ history }: TopicFollower, topic: PeerTopic): boolean {
    const isOfEarlierVersion = topic.digest === undefined;
    return !isOfEarlierVersion && (topic.history ?? 0) < history;
}

/** Makes a snapshot due if a peer that knows the log up to the same offset has other records, and that does not change. */
export function compareDigests(transaction: Transaction, { address }: Peer, topic: PeerTopic): void {
    const { state, now } = transaction;
    const { name, through, digest } = topic;
    const follower = state.followers[name];
    if (digest === undefined || through !== follower.next || follower.newestHistory > follower.history) {
        return;
    }
    const own = topicDigest(state, name);
    if (own === digest) {
        if (follower.difference?.peer === address) {
            follower.difference = undefined;
        }
    }
    else if (follower.difference === undefined && now - follower.snapshotAt >= comparisonInterval) {
        const snapshotDueAt = now + minimumDifference + randomDelay(transaction);
        follower.difference = { peer: address, snapshotDueAt };
        logDecision(transaction, "warn", "topic_views_differ", { topic: name, peer: address, through, own, digest });
    }
}

function randomDelay({ state, now, source }: Transaction): Milliseconds {
    return source.random() * snapshotSpread * (liveMembers(state, now).length + 1);
}
