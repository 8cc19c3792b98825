import { defaultOverlayShape, type OverlayMember, overlayNeighbours, seededSource } from "@verbenaspring/coordination";
import { test } from "uvu";
import * as assert from "uvu/assert";

const shape = { ...defaultOverlayShape, meshSize: 8 };

function membersIn(domains: number, perDomain: number): OverlayMember[] {
    return Array.from({ length: domains * perDomain }, (_, index) => ({
        address: `10.${index % domains}.0.${index}:8748`,
        failureDomain: `domain${index % domains}`,
    }));
}

function linksOf(members: readonly OverlayMember[]): ReadonlyMap<string, ReadonlySet<string>> {
    return new Map(members.map(member => [
        member.address,
        overlayNeighbours(member, members.filter(other => other !== member), shape),
    ]));
}

/** The number of hops from a member to the farthest one; infinite if some can't be reached. */
function eccentricity(links: ReadonlyMap<string, ReadonlySet<string>>, from: string): number {
    const reached = new Set([from]);
    let frontier = [from];
    for (let hops = 0;; hops++) {
        const next = [...new Set(frontier.flatMap(address => [...links.get(address) ?? []]))]
            .filter(address => links.has(address) && !reached.has(address));
        if (next.length === 0) {
            return reached.size === links.size ? hops : Infinity;
        }
        next.forEach(address => reached.add(address));
        frontier = next;
    }
}

test("a few members are all linked to each other", () => {
    const links = linksOf(membersIn(2, 4));
    assert.ok([...links.values()].every(neighbours => neighbours.size === 7));
});

for (const [domains, perDomain] of [[1, 30], [5, 14], [5, 60], [29, 32]] as const) {
    test(`${domains} failure domains of ${perDomain}: links are mutual, bounded, short and mostly local`, () => {
        const members = membersIn(domains, perDomain);
        const links = linksOf(members);
        const domainOf = new Map(members.map(({ address, failureDomain }) => [address, failureDomain]));
        let crossing = 0;
        for (const [address, neighbours] of links) {
            assert.ok(neighbours.size <= 8, `${neighbours.size} links`);
            for (const neighbour of neighbours) {
                assert.ok(links.get(neighbour)!.has(address), "both ends want the link");
                crossing += domainOf.get(address) === domainOf.get(neighbour) ? 0 : 1;
            }
        }
        const bridges = 4 * domains;
        assert.ok(crossing <= 4 * bridges);
        const hops = eccentricity(links, members[0].address);
        assert.ok(hops <= 14, `${hops} hops`);
    });
}

test("the others stay connected when any three members are gone, before anyone has noticed", () => {
    const members = membersIn(5, 14);
    const allLinks = linksOf(members);
    const { random } = seededSource(1);
    for (let round = 1; round <= 400; round++) {
        const gone = new Set([1, 2, 3].map(() => members[Math.floor(random() * members.length)].address));
        const links = new Map([...allLinks].filter(([address]) => !gone.has(address)));
        assert.ok(eccentricity(links, [...links.keys()][0]) < Infinity, [...gone].join());
    }
});

test("a member that joins changes the links of a bounded number of others", () => {
    const members = membersIn(5, 14);
    const before = linksOf(members);
    const joined = { address: "10.1.0.200:8748", failureDomain: "domain1" };
    const after = linksOf([...members, joined]);
    const changed = members.filter(({ address }) => {
        const [old, now] = [before.get(address)!, after.get(address)!];
        return old.size !== now.size || [...old].some(neighbour => !now.has(neighbour));
    });
    assert.ok(changed.length <= 14, `${changed.length} changed`);
});

test.run();
