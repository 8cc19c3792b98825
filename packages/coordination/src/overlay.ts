/**
 * The links of an overlay network between instances. Each instance computes its neighbours from the members that it
 * knows; instances with the same view agree on all links. The number of links of an instance is bounded whatever the
 * number of members, the network stays connected when some fail, and few links cross failure domains.
 *
 * The members of a failure domain form rings, each in an order of its own. The members that rank first in each failure
 * domain are its bridges, and the bridges of all failure domains form rings as well.
 */
import { hashText } from "./hash.js";

/** A member as the overlay sees it. */
export interface OverlayMember {
    /** Identifies the member. */
    readonly address: string;
    readonly failureDomain: string;
}

/** The shape of an overlay. */
export interface OverlayShape {
    /** With this many members or fewer, each has a link to every other one: news then take one hop. */
    readonly meshSize: number;
    /** Rings within a failure domain. */
    readonly localRings: number;
    /** The most members of a failure domain that have links to other ones; at most half of its members do. */
    readonly bridgesPerDomain: number;
    /** Rings over the bridges of all failure domains. */
    readonly bridgeRings: number;
}

/** At most 8 links for a member of a large overlay, 4 of them to other failure domains. */
export const defaultOverlayShape: OverlayShape = { meshSize: 40, localRings: 2, bridgesPerDomain: 4, bridgeRings: 2 };

/**
 * Returns the addresses of the members to which an instance has links.
 *
 * @param others the other members
 * @example
 * const neighbours = overlayNeighbours(own, others, defaultOverlayShape);
 */
export function overlayNeighbours(
    own: OverlayMember,
    others: readonly OverlayMember[],
    shape: OverlayShape,
): ReadonlySet<string> {
    if (others.length < shape.meshSize) {
        return new Set(others.map(({ address }) => address));
    }
    const members = [own, ...others];
    const local = members.filter(({ failureDomain }) => failureDomain === own.failureDomain);
    const bridges = bridgesOf(members, shape);
    const neighbours = new Set(ringNeighbours(own, local, "local", shape.localRings));
    if (bridges.includes(own)) {
        ringNeighbours(own, bridges, "bridge", shape.bridgeRings).forEach(address => neighbours.add(address));
    }
    return neighbours;
}

/** The members that rank first in each failure domain. */
function bridgesOf(members: readonly OverlayMember[], { bridgesPerDomain }: OverlayShape): readonly OverlayMember[] {
    const domains = new Map<string, OverlayMember[]>();
    for (const member of sortByHash(members, "rank")) {
        domains.set(member.failureDomain, [...domains.get(member.failureDomain) ?? [], member]);
    }
    return [...domains.values()].flatMap(inDomain =>
        inDomain.slice(0, Math.min(bridgesPerDomain, Math.ceil(inDomain.length / 2)))
    );
}

function ringNeighbours(own: OverlayMember, members: readonly OverlayMember[], name: string, rings: number): string[] {
    const neighbours: string[] = [];
    for (let ring = 0; ring < rings; ring++) {
        const inOrder = sortByHash(members, `${name}${ring}`);
        const position = inOrder.indexOf(own);
        const before = inOrder[(position + inOrder.length - 1) % inOrder.length];
        const after = inOrder[(position + 1) % inOrder.length];
        neighbours.push(...[before, after].filter(member => member !== own).map(({ address }) => address));
    }
    return neighbours;
}

function sortByHash(members: readonly OverlayMember[], salt: string): OverlayMember[] {
    return members
        .map(member => ({ member, rank: hashText(`${salt}/${member.address}`) }))
        .sort((one, other) => one.rank - other.rank || (one.member.address < other.member.address ? -1 : 1))
        .map(({ member }) => member);
}
