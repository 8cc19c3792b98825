import { identifier, type SoftwareVersion } from "@verbenaspring/model";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { callsIn, failuresIn, kindsIn, server, TestGateway } from "./gatewayBuilders.js";

function engine(number: number, version: string, heartbeat = 1) {
    return server(`engine-${number}`, { softwareVersion: identifier<SoftwareVersion>(version), heartbeat });
}

/** Three engines of one version, and three of the next. */
function gatewayInRelease(): TestGateway {
    return TestGateway.serving(
        ...[1, 2, 3].map(number => engine(number, "v1")),
        ...[4, 5, 6].map(number => engine(number, "v2")),
    );
}

function versionOf(gateway: TestGateway, address: string | undefined): SoftwareVersion | undefined {
    const servers = [...gateway.state.servers.values()];
    return servers.find(({ record }) => record.address === address)?.record.softwareVersion;
}

const requests = Array.from({ length: 12 }, (_, index) => `r${index}`);

test("a replica is placed at a server of the version that runs the stream", () => {
    for (const id of requests) {
        const gateway = gatewayInRelease();
        gateway.advance(50 * Number(id.slice(1)));
        const call = gateway.sendRequest(id, "plan");
        assert.ok(call.replicaAddress);
        assert.is(versionOf(gateway, call.replicaAddress), versionOf(gateway, call.address));
    }
});

test("a new run continues a stream only at the version that began it", () => {
    for (const id of requests) {
        const gateway = gatewayInRelease();
        gateway.advance(50 * Number(id.slice(1)));
        const first = gateway.startStream(id, "note");
        const [second] = callsIn(gateway.failAttempt(first));
        assert.is(versionOf(gateway, second.address), versionOf(gateway, first.address));
    }
});

test("a stream is migrated only to a server of the version that began it", () => {
    for (const id of requests) {
        const gateway = gatewayInRelease();
        gateway.advance(50 * Number(id.slice(1)));
        const large = { promptTokens: 4_000, maximumTokens: 2_000 };
        const call = gateway.startStream(id, "plan", large);
        const { record } = gateway.state.servers.get(call.backendServer)!;
        const holder = [...gateway.state.servers.values()].find(({ record: { address } }) =>
            address === call.replicaAddress
        );
        gateway.register({ ...holder!.record, isDraining: true, heartbeat: 2 });
        const effects = gateway.register({ ...record, isDraining: true, heartbeat: 2 });
        const targets = effects.flatMap(effect => effect.kind === "migrateRun" ? [effect.targetAddress] : []);
        assert.is(targets.length, 1);
        assert.is(versionOf(gateway, targets[0]), record.softwareVersion);
    }
});

test("a stream ends at once, and not as if it were whole, when no server of its version is left", () => {
    const gateway = TestGateway.serving(engine(1, "v1"));
    const call = gateway.startStream("r", "note");
    gateway.register(engine(2, "v2"));
    gateway.remove("engine-1");
    gateway.advance(2_000);
    const effects = gateway.failAttempt(call);
    assert.equal(callsIn(effects), []);
    assert.ok(kindsIn(effects).includes("answerCut"));
    assert.not.ok(kindsIn(effects).includes("answerEnd"));
});

test("a server that restarts under its id with another version does not continue its streams", () => {
    const gateway = TestGateway.serving(engine(1, "v1"));
    const call = gateway.startStream("r", "note");
    gateway.register({ ...engine(1, "v2"), startedAt: 2 });
    const effects = gateway.failAttempt(call);
    assert.equal(callsIn(effects), []);
});

test("a run that produced no event is free to start at any version", () => {
    const gateway = TestGateway.serving(engine(1, "v1"));
    const call = gateway.sendRequest("r", "note");
    gateway.register(engine(2, "v2"));
    gateway.remove("engine-1");
    const [second] = callsIn(gateway.failAttempt(call));
    assert.is(second.backendServer, "engine-2");
    assert.equal(failuresIn(gateway.openStream(second)), []);
});

test.run();
