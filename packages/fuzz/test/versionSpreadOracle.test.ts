/**
 * Tests of the check that versions of the configuration reach every gateway.
 */
import { ContactRecord, platformLimits, type VersionedGateway, VersionSpreadOracle } from "@verbenaspring/fuzz";
import { test } from "uvu";
import * as assert from "uvu/assert";

interface TestGateway extends VersionedGateway {
    configurationVersion: number | undefined;
    stopRequestedAt: number | undefined;
}

const step = 250;
const apply = platformLimits.configurationApply;

/** Three gateways that have run for long, and use version 1. */
function createWorld() {
    let now = 0;
    const violations: string[] = [];
    const gateways: TestGateway[] = ["a", "b", "c"].map(name => ({
        name,
        configurationVersion: 1,
        stopRequestedAt: undefined,
    }));
    const contact = new ContactRecord<TestGateway>(() => now, () => gateways);
    const oracle = new VersionSpreadOracle(contact, () => gateways, (_, detail) => violations.push(detail));
    const run = (duration: number, versionDue = 1): readonly string[] => {
        for (const end = now + duration; now < end;) {
            now += step;
            contact.observe();
            oracle.observe(now, versionDue);
        }
        return violations;
    };
    run(2 * platformLimits.faultRecovery);
    return { gateways, contact, run };
}

const day = 86_400_000;

test("a version that is due at a gateway in contact breaks the promise", () => {
    const { run } = createWorld();
    assert.equal(run(step, 2).map(detail => detail[0]), ["a", "b", "c"]);
});

test("a gateway that the store turns away has contact through another one", () => {
    const { gateways: [a], contact, run } = createWorld();
    contact.recordStorePathFault(a, day);
    assert.equal(run(step, 2).length, 3);
});

test("a gateway without a path to the store or to another gateway is excused", () => {
    const { gateways: [a, b, c], contact, run } = createWorld();
    contact.recordStorePathFault(a, day);
    [b, c].forEach(other => contact.recordPeerPathFault(a, other, day));
    assert.equal(run(step, 2).map(detail => detail[0]), ["b", "c"]);
});

test("a version that one gateway uses breaks the promise where another with a link to it lacks it", () => {
    const { gateways: [a, b, c], contact, run } = createWorld();
    contact.recordStoreFault(day);
    contact.recordPeerPathFault(a, b, day);
    a.configurationVersion = 2;
    assert.equal(run(apply + step), []);
    assert.equal(run(step), ["c uses 1, though a, to which it has a link, uses 2"]);
    c.configurationVersion = 3;
    assert.is(run(apply).length, 1);
});

// One that starts after an older version was written last reads that as the newest record. The others tell it of the newer one.
test("a version that a gateway uses has to be told also where no version can be due", () => {
    const { gateways: [a], contact, run } = createWorld();
    contact.recordStoreFault(day);
    a.configurationVersion = 2;
    assert.equal(run(apply + 2 * step, -Infinity), [
        "b uses 1, though a, to which it has a link, uses 2",
        "c uses 1, though a, to which it has a link, uses 2",
    ]);
});

test("newer versions don't postpone when an older one is due", () => {
    const { gateways: [a, b], contact, run } = createWorld();
    contact.recordStoreFault(day);
    for (let version = 2; version < 8; version++) {
        a.configurationVersion = version;
        run(apply / 4);
    }
    assert.ok(run(0).some(detail => detail.startsWith(`${b.name} uses 1`)));
});

test("a planned stop and a link that was cut a moment ago excuse", () => {
    const { gateways: [a, b, c], contact, run } = createWorld();
    contact.recordStoreFault(day);
    a.configurationVersion = 2;
    b.stopRequestedAt = 0;
    contact.recordPeerPathFault(a, c, apply);
    assert.equal(run(apply + platformLimits.faultRecovery - step), []);
});

test.run();
