/**
 * Streams at servers that leave: whether each is migrated is decided again when what decided it has changed.
 */
import type { BackendCall, BackendRecord, GatewayEffect } from "@verbenaspring/gateway";
import { identifier } from "@verbenaspring/model";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { linesIn, responseHead, server, TestGateway } from "./gatewayBuilders.js";

const inThird = { failureDomain: identifier<never>("third") };

/** The addresses of the targets to which copies begin. */
function targetsIn(effects: readonly GatewayEffect[]): string[] {
    return effects.flatMap(effect =>
        effect.kind === "migrateRun" && !effect.isStopping ? [String(effect.targetAddress)] : []
    );
}

/** A stream with its replica at a server, which has no third engine beside them yet. */
function replicatedStream(startedAt: number | undefined) {
    const gateway = TestGateway.serving(server("engine-1", { startedAt }), server("engine-2", { startedAt }));
    const call = gateway.startReplicatedStream("r", "plan");
    const { server: source, replica } = gateway.state.attempts.get(call.attemptId)!.attempt!;
    gateway.register(server("engine-3", { startedAt }), server("engine-4", { startedAt, ...inThird }));
    return { gateway, call, source: source.record, holder: replica!.record };
}

/** Advances while the run goes on. */
function produce(gateway: TestGateway, call: BackendCall, duration: number): GatewayEffect[] {
    const effects: GatewayEffect[] = [];
    for (let elapsed = 0; elapsed < duration; elapsed += 100) {
        effects.push(...gateway.advance(100));
        const { lastEvent } = gateway.state.attempts.get(call.attemptId)!;
        effects.push(...gateway.receiveEvents(call, (lastEvent ?? 0) + 1));
    }
    return effects;
}

function leave(gateway: TestGateway, record: BackendRecord): GatewayEffect[] {
    return gateway.register({ ...record, isDraining: true, heartbeat: record.heartbeat + 1 });
}

type HolderChange = (gateway: TestGateway, holder: BackendRecord) => GatewayEffect[];

const holderChanges: readonly (readonly [name: string, change: HolderChange])[] = [
    ["drains", leave],
    ["is removed", (gateway, { id }) => gateway.remove(id)],
    ["reports that it leaves", (gateway, { id }) => {
        const report = { runs: undefined, isLeaving: true, startedAt: 5 };
        return gateway.handle({ kind: "serverProbed", backendServer: id, report });
    }],
    ["says in an answer that it leaves", (gateway, { id }) => {
        for (let index = 0;; index++) {
            const call = gateway.sendRequest(`n${index}`, "note", { promptTokens: 10, maximumTokens: 10 });
            const isLeaving = call.backendServer === id;
            const effects = gateway.handle({
                kind: "streamOpened",
                attemptId: call.attemptId,
                head: { ...responseHead(call), isLeaving },
            });
            if (isLeaving) {
                return effects;
            }
        }
    }],
    ["restarts under its id", (gateway, holder) => gateway.register({ ...holder, startedAt: 6, heartbeat: 1 })],
    ["pauses", (gateway, { id }) => {
        gateway.state.pausedUntil.set(id, gateway.now + 5_000);
        return [];
    }],
    ["is evacuated", (gateway, { failureDomain }) => {
        const key = `evacuate/${failureDomain}`;
        const evacuation = { kind: "evacuation", key, failureDomain, isRequested: true } as const;
        return gateway.read("configuration", [gateway.item(key, [evacuation])]);
    }],
];

// Servers left one after the other, and the streams of the first one were cut when it exited.
for (const [name, change] of holderChanges) {
    test(`a stream at a leaving server is migrated when the holder of its replica ${name}`, () => {
        const { gateway, call, source, holder } = replicatedStream(5);
        const safe = [...leave(gateway, source), ...produce(gateway, call, 1_500)];
        assert.equal(targetsIn(safe), [], "the replica is at a server that stays");
        const targets = targetsIn([...change(gateway, holder), ...produce(gateway, call, 300)]);
        assert.is(targets.length, 1);
        assert.is.not(targets[0], source.address);
        // A holder that has restarted has lost its replica, and is a target like any other.
        assert.ok(targets[0] !== holder.address || gateway.state.servers.get(holder.id)?.record.startedAt === 6);
    });
}

test("a stream at a server that gave notice or was removed is migrated when the holder of its replica leaves", () => {
    for (const isRemoved of [false, true]) {
        const { gateway, call, source, holder } = replicatedStream(5);
        const report = { runs: undefined, isLeaving: true, startedAt: 5 };
        const left = isRemoved
            ? gateway.remove(source.id)
            : gateway.handle({ kind: "serverProbed", backendServer: source.id, report });
        assert.equal(targetsIn([...left, ...produce(gateway, call, 1_500)]), []);
        assert.is(targetsIn([...leave(gateway, holder), ...produce(gateway, call, 300)]).length, 1);
    }
});

test("a stream that was silent for longer than a replica is kept is migrated from a leaving server", () => {
    const { gateway, source } = replicatedStream(5);
    assert.equal(targetsIn([...leave(gateway, source), ...gateway.advance(4_400)]), []);
    assert.is(targetsIn(gateway.advance(400)).length, 1);
});

test("a stream stays where it is when the holder of its replica leaves and its own server does not", () => {
    const { gateway, call, holder } = replicatedStream(5);
    assert.equal(targetsIn([...leave(gateway, holder), ...produce(gateway, call, 1_000)]), []);
});

test("a stream without a target is migrated once another server is registered, and its lack is logged once", () => {
    const gateway = TestGateway.serving(server("engine-1"));
    const call = gateway.startStream("r", "plan", { promptTokens: 500, maximumTokens: 1_000 });
    const without = [...leave(gateway, server("engine-1")), ...produce(gateway, call, 1_000)];
    assert.equal(targetsIn(without), []);
    assert.is(linesIn(without, "move_without_target").length, 1);
    const registered = gateway.register(server("engine-2"));
    assert.equal(targetsIn([...registered, ...gateway.advance(50)]), [server("engine-2").address]);
});

test("a stream that was expected to end soon is migrated once it exceeds its estimate", () => {
    const gateway = TestGateway.serving(server("engine-1"));
    const call = gateway.startStream("r", "plan", { maximumTokens: 1_000, estimatedTokens: 40 });
    gateway.register(server("engine-2"));
    assert.equal(targetsIn(leave(gateway, server("engine-1"))), [], "40 tokens take half a second");
    assert.equal(targetsIn(produce(gateway, call, 800)), []);
    assert.equal(targetsIn(produce(gateway, call, 3_000)), [server("engine-2").address]);
});

test("a target at which a migration failed is tried again after a second, not at once", () => {
    const gateway = TestGateway.serving(server("engine-1"));
    const call = gateway.startStream("r", "plan", { promptTokens: 500, maximumTokens: 1_000 });
    gateway.register(server("engine-2"));
    assert.is(targetsIn(leave(gateway, server("engine-1"))).length, 1);
    const failed = gateway.answerMigration(call.attemptId, undefined);
    assert.equal(targetsIn([...failed, ...produce(gateway, call, 900)]), []);
    assert.equal(targetsIn(produce(gateway, call, 400)), [server("engine-2").address]);
});

test.run();
