/**
 * Chooses the sidecar for an attempt, and the sidecars to which an entry opens links.
 */
import type { BackendServerId, FailureDomain, Milliseconds, ServiceName } from "@verbenaspring/model";
import type { Random } from "./retry.js";

/** The properties of a sidecar that routing uses: its last load report, and what was sent to it since. */
export interface SidecarView {
    readonly backendServer: BackendServerId;
    readonly freeTokens: number;
    readonly expectedWait: Milliseconds;
    /** Attempts sent since the last load report. */
    readonly sentSinceReport: number;
}

/** Chooses one of the candidates, of which there is at least one. */
export type RoutingPolicy = (candidates: readonly SidecarView[], random: Random) => SidecarView;

/** Memory in tokens assumed for each attempt that the last load report doesn't include yet. */
const assumedAttemptTokens = 512;

/** Baseline: a random candidate. */
export const chooseRandom: RoutingPolicy = (candidates, random) => candidates[Math.floor(random() * candidates.length)];

/**
 * Draws two candidates at random and takes the one with the shorter expected wait or, if those are equal, the one with
 * more free memory. Drawing two keeps entries that act on the same outdated reports from all choosing the same sidecar.
 */
export const betterOfTwo: RoutingPolicy = (candidates, random) => {
    const first = chooseRandom(candidates, random);
    const others = candidates.filter(candidate => candidate !== first);
    if (others.length === 0) {
        return first;
    }
    const second = chooseRandom(others, random);
    return isBetter(second, first) ? second : first;
};

function isBetter(one: SidecarView, other: SidecarView): boolean {
    if (one.expectedWait !== other.expectedWait) {
        return one.expectedWait < other.expectedWait;
    }
    return estimatedFreeTokens(one) > estimatedFreeTokens(other);
}

function estimatedFreeTokens(view: SidecarView): number {
    return view.freeTokens - view.sentSinceReport * assumedAttemptTokens;
}

/** The properties of a listed backend server that link selection uses. */
export interface LinkCandidate {
    readonly backendServer: BackendServerId;
    readonly service: ServiceName;
    readonly failureDomain: FailureDomain;
}

/**
 * Chooses the backend servers to which an entry opens links. For each service it takes up to `maxPerService` servers by
 * rendezvous hashing, from the failure domains in turn. The loss of one domain therefore takes only its even part of
 * the links, and adding or removing a server doesn't move the links to the others.
 *
 * @param hash a hash function for strings with uniformly distributed values
 * @example
 * const chosen = chooseLinks(listed, entryIncarnation, 64, hash);
 */
export function chooseLinks<Candidate extends LinkCandidate>(
    listed: readonly Candidate[],
    entry: string,
    maxPerService: number,
    hash: (text: string) => number,
): Candidate[] {
    const services = groupBy(listed, candidate => candidate.service);
    return services.flatMap(members => chooseAcrossDomains(members, entry, maxPerService, hash));
}

function chooseAcrossDomains<Candidate extends LinkCandidate>(
    members: readonly Candidate[],
    entry: string,
    maxCount: number,
    hash: (text: string) => number,
): Candidate[] {
    if (members.length <= maxCount) {
        return [...members];
    }
    const ranked = members
        .map(member => ({ member, rank: hash(`${entry}/${member.backendServer}`) }))
        .sort((one, other) => one.rank - other.rank)
        .map(({ member }) => member);
    const domains = groupBy(ranked, member => member.failureDomain);
    const chosen: Candidate[] = [];
    for (let round = 0; chosen.length < maxCount; round++) {
        chosen.push(...domains.filter(domain => round < domain.length).map(domain => domain[round]));
    }
    return chosen.slice(0, maxCount);
}

function groupBy<Value>(values: readonly Value[], keyOf: (value: Value) => string): Value[][] {
    const groups = new Map<string, Value[]>();
    for (const value of values) {
        const key = keyOf(value);
        groups.set(key, [...(groups.get(key) ?? []), value]);
    }
    return [...groups.values()];
}
