/**
 * Records of gateways: which is the newest, who is alive, what is passed on, and gateways of an older version.
 */
import {
    countLiveInstances,
    type GatewayEffect,
    memberLoad,
    type MemberRecord,
    type PeerReport,
} from "@verbenaspring/gateway";
import { identifier } from "@verbenaspring/model";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { options, server, TestGateway } from "./gatewayBuilders.js";

const address = (host: number) => identifier<never>(`10.1.0.${host}:8748`);
const engine = identifier<never>("engine-1");

function record(host: number, version: number, overrides: Partial<MemberRecord> = {}): MemberRecord {
    return {
        address: address(host),
        incarnation: identifier<never>(`incarnation ${host}`),
        incarnationNumber: 0,
        version,
        failureDomain: identifier("near"),
        isStopping: false,
        waitingRequests: 0,
        loads: [{ backendServer: engine, inProgress: version, memoryTokens: 10, copiedTokens: 0, waitingTokens: 0 }],
        requestLimits: [],
        ...overrides,
    };
}

function receive(gateway: TestGateway, from: number, ...records: readonly MemberRecord[]): GatewayEffect[] {
    return gateway.receiveReport({
        address: address(from),
        incarnation: identifier<never>(`incarnation ${from}`),
        records: records.map(each => ({ record: each, age: 0 })),
    });
}

/** The versions of a gateway's record in the reports to each peer. */
function sent(effects: readonly GatewayEffect[], host: number): Record<string, number[]> {
    const versions: Record<string, number[]> = {};
    for (const effect of effects) {
        if (effect.kind === "sendReport") {
            const records = effect.report.records.filter(({ record: { address: of } }) => of === address(host));
            versions[effect.address] = [
                ...versions[effect.address] ?? [],
                ...records.map(({ record: { version } }) => version),
            ];
        }
    }
    return versions;
}

const inProgress = (gateway: TestGateway): number => memberLoad(gateway.state, engine, gateway.now).inProgress;

/** A gateway with links to the hosts 2 and 3, which relays. */
function relayingGateway(): TestGateway {
    const gateway = new TestGateway({ overlay: { ...options.overlay, meshSize: 1 } });
    receive(gateway, 2, record(2, 1));
    receive(gateway, 3, record(3, 1));
    gateway.advance(200);
    return gateway;
}

test("a newer record replaces an older one, and an older one changes nothing", () => {
    const gateway = new TestGateway();
    receive(gateway, 2, record(2, 3));
    assert.is(inProgress(gateway), 3);
    receive(gateway, 2, record(2, 2));
    assert.is(inProgress(gateway), 3);
    receive(gateway, 2, record(2, 5));
    assert.is(inProgress(gateway), 5);
});

test("a new record is passed on once to the others, and not back", () => {
    const gateway = relayingGateway();
    receive(gateway, 2, record(7, 4));
    assert.equal(sent(gateway.advance(250), 7), { [address(3)]: [4] });
    receive(gateway, 3, record(7, 4));
    assert.equal(Object.values(sent(gateway.advance(250), 7)).flat(), []);
});

test("a peer that reports an older record gets the newer one", () => {
    const gateway = relayingGateway();
    receive(gateway, 2, record(7, 4));
    gateway.advance(200);
    receive(gateway, 3, record(7, 2));
    assert.equal(sent(gateway.advance(250), 7)[address(3)], [4]);
});

test("a member without a new record counts as dead, and a repeated record does not revive it", () => {
    const gateway = new TestGateway();
    receive(gateway, 2, record(2, 1));
    assert.is(countLiveInstances(gateway.state, gateway.now), 2);
    for (let step = 0; step < 8; step++) {
        gateway.advance(400);
        receive(gateway, 2, record(2, 1));
    }
    assert.is(countLiveInstances(gateway.state, gateway.now), 1);
    assert.is(inProgress(gateway), 0);
});

test("a record that was published long ago does not make its gateway alive", () => {
    const gateway = new TestGateway();
    gateway.receiveReport({ records: [{ record: record(7, 1), age: 5_000 }] });
    assert.is(countLiveInstances(gateway.state, gateway.now), 1);
});

test("a restarted gateway publishes under a higher incarnation number, once it hears of its predecessor", () => {
    const gateway = new TestGateway();
    const predecessor = record(1, 900, { incarnation: identifier<never>("predecessor"), incarnationNumber: 4 });
    receive(gateway, 2, record(2, 1), predecessor);
    const reports = gateway.advance(100).flatMap(effect => effect.kind === "sendReport" ? [effect.report] : []);
    const own = reports.flatMap(({ records }) => records).filter(({ record: { address: of } }) => of === address(1));
    assert.ok(own.length > 0 && own.every(({ record: { incarnationNumber } }) => incarnationNumber === 5));
    const other = new TestGateway({ peerAddress: address(3) });
    receive(other, 2, predecessor);
    receive(other, 2, own[0].record);
    assert.is(other.state.members.get(address(1))?.record.incarnation, gateway.state.incarnation);
});

const legacyReport: Partial<PeerReport> = {
    protocol: 0,
    wantsLink: false,
    records: [],
    members: [address(9)],
    waitingRequests: 2,
    loads: [{ backendServer: engine, inProgress: 6, memoryTokens: 10, copiedTokens: 0, waitingTokens: 0 }],
};

test("a gateway of an older version gets what it knows to read, and counts with what it reports", () => {
    const gateway = TestGateway.serving(server("engine-1"));
    receive(gateway, 3, record(3, 1));
    gateway.startStream("r", "note");
    gateway.receiveReport(legacyReport);
    assert.is(inProgress(gateway), 7);
    const effects = gateway.advance(600);
    const reports = effects.flatMap(effect =>
        effect.kind === "sendReport" && effect.address === address(2) ? [effect.report] : []
    );
    const [last] = reports.slice(-1);
    assert.equal([...last.members].sort(), [address(2), address(3)]);
    assert.equal(last.loads.map(({ backendServer }) => backendServer), ["engine-1"]);
    assert.is(last.isFull, true);
    assert.ok(effects.some(effect => effect.kind === "openPeerLink" && effect.address === address(9)));
    gateway.receiveReport({ ...legacyReport, isFull: false, loads: [] });
    assert.is(inProgress(gateway), 7, "its loads are kept until it reports others");
});

test.run();
