/**
 * Tests of the links between gateways in virtual time.
 */
import { type LinkOwner, VirtualClock, VirtualNetwork, VirtualPeerLinks } from "@verbenaspring/emulator";
import type { PeerReport } from "@verbenaspring/gateway";
import { identifier, type PeerAddress } from "@verbenaspring/model";
import { test } from "uvu";
import * as assert from "uvu/assert";

const report = {} as PeerReport;

// A link to a process that lost power stays open; gateways send over the one that received last.
test("reports go over the link that received last, not over an older one to a process that is gone", () => {
    const clock = new VirtualClock();
    const network = new VirtualNetwork(clock, () => 0.5);
    const found = new Map<PeerAddress, VirtualPeerLinks>();
    const received: string[] = [];
    const start = (text: string, id: string): VirtualPeerLinks => {
        const name = identifier<PeerAddress>(text);
        const owner: LinkOwner = {
            name,
            isAlive: true,
            handleReport: () => received.push(id),
            handleReportsLost: () => undefined,
            handleLinkClosed: () => undefined,
        };
        const links = new VirtualPeerLinks(owner, network, address => found.get(address));
        found.set(name, links);
        return links;
    };
    const [one, other] = [start("one", "one"), start("other", "other")];
    one.open(identifier("other"), report);
    clock.advanceTo(10);
    const next = start("other", "other after its restart");
    next.open(identifier("one"), report);
    clock.advanceTo(20);
    one.send(identifier("other"), report);
    clock.advanceTo(30);
    assert.is.not(other, next);
    assert.equal(received, ["other", "one", "other after its restart"]);
});

test.run();
