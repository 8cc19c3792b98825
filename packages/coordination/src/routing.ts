/**
 * Chooses the sidecar for an attempt, and the sidecars that an entry links to.
 */
import type { BackendServerId, FailureDomain, Milliseconds, ServiceName } from "@verbenaspring/model";
import type { Random } from "./retry.js";

/** A sidecar as routing sees it: what it last said of itself, corrected by what was sent to it since. */
export interface SidecarView {
    readonly backendServer: BackendServerId;
    readonly freeTokens: number;
    readonly expectedWait: Milliseconds;
    /** Attempts sent since the last load report. */
    readonly sentSinceReport: number;
}

/** Chooses one of the candidates; there is at least one. */
export type RoutingPolicy = (candidates: readonly SidecarView[], random: Random) => SidecarView;

/** Memory that an attempt is taken to need before the next load report shows it, in tokens. */
const assumedAttemptTokens = 512;

/** Baseline: any candidate with the same chance. */
export const chooseRandom: RoutingPolicy = (candidates, random) => candidates[Math.floor(random() * candidates.length)];

/**
 * Draws two candidates and takes the better: the shorter expected wait, then the more forecast free memory. Two draws
 * keep entries that act on the same old report from all choosing the same sidecar.
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
    return freeNow(one) > freeNow(other);
}

function freeNow(view: SidecarView): number {
    return view.freeTokens - view.sentSinceReport * assumedAttemptTokens;
}

/** A listed backend server as link selection sees it. */
export interface LinkCandidate {
    readonly backendServer: BackendServerId;
    readonly service: ServiceName;
    readonly failureDomain: FailureDomain;
}

/**
 * The backend servers that an entry links to: for each service, up to `perService` by rendezvous hashing, taken from
 * the failure domains in turn, so that the loss of one domain takes an even part of the links and a change of members
 * moves no other link.
 *
 * @param hash a hash of a string, uniform over its range
 * @example
 * const chosen = chooseLinks(listed, entryIncarnation, 64, hash);
 */
export function chooseLinks<Candidate extends LinkCandidate>(
    listed: readonly Candidate[],
    entry: string,
    perService: number,
    hash: (text: string) => number,
): Candidate[] {
    const services = groupBy(listed, candidate => candidate.service);
    return services.flatMap(members => chooseSpread(members, entry, perService, hash));
}

function chooseSpread<Candidate extends LinkCandidate>(
    members: readonly Candidate[],
    entry: string,
    most: number,
    hash: (text: string) => number,
): Candidate[] {
    if (members.length <= most) {
        return [...members];
    }
    const ranked = members
        .map(member => ({ member, rank: hash(`${entry}/${member.backendServer}`) }))
        .sort((one, other) => one.rank - other.rank)
        .map(({ member }) => member);
    const domains = groupBy(ranked, member => member.failureDomain);
    const chosen: Candidate[] = [];
    for (let turn = 0; chosen.length < most; turn++) {
        chosen.push(...domains.filter(domain => turn < domain.length).map(domain => domain[turn]));
    }
    return chosen.slice(0, most);
}

function groupBy<Value>(values: readonly Value[], keyOf: (value: Value) => string): Value[][] {
    const groups = new Map<string, Value[]>();
    for (const value of values) {
        const key = keyOf(value);
        groups.set(key, [...(groups.get(key) ?? []), value]);
    }
    return [...groups.values()];
}
