/**
 * Backend servers that say in their answers that they leave.
 */
import type { GatewayEffect } from "@verbenaspring/gateway";
import { identifier } from "@verbenaspring/model";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { callsIn, configuration, engineService, responseHead, server, TestGateway } from "./gatewayBuilders.js";

const noticesIn = (effects: readonly GatewayEffect[]) =>
    effects.flatMap(effect => effect.kind === "sendReport" ? effect.report.leavingServers ?? [] : []);
const notice = { backendServer: identifier<never>("plain-1"), startedAt: 7 };

/** The servers that get the next calls. */
function targets(gateway: TestGateway, calls = 6): Set<string> {
    const servers = Array.from({ length: calls }, (_, index) => {
        const call = gateway.sendRequest(`next${index}`, "confirm");
        gateway.answer(call);
        return String(call.backendServer);
    });
    return new Set(servers);
}

function gatewayWithPlainServers(): TestGateway {
    return TestGateway.serving(server("plain-1", { startedAt: 7 }), server("plain-2", { startedAt: 7 }));
}

function callTo(gateway: TestGateway, id: string) {
    for (let index = 0;; index++) {
        const call = gateway.sendRequest(`first${index}`, "confirm");
        if (call.backendServer === id) {
            return call;
        }
        gateway.answer(call);
    }
}

for (
    const [name, answer] of [
        ["a complete answer", {}],
        ["a server error", { status: 500 }],
        ["a refusal", { status: 503, isNotRun: true, isSealed: false }],
    ] as const
) {
    test(`a server that says in ${name} that it leaves gets no further request`, () => {
        const gateway = gatewayWithPlainServers();
        gateway.answer(callTo(gateway, "plain-1"), { ...answer, isLeaving: true });
        assert.equal([...targets(gateway)], ["plain-2"]);
        gateway.register(server("plain-1", { startedAt: 7, heartbeat: 2 }));
        assert.equal([...targets(gateway)], ["plain-2"], "a record that still says ready changes nothing");
        gateway.remove("plain-1");
        gateway.register(server("plain-1", { startedAt: 7, heartbeat: 3 }));
        assert.equal([...targets(gateway)], ["plain-2"], "nor does one that returns");
        gateway.register(server("plain-1", { startedAt: 8, heartbeat: 1 }));
        gateway.remove("plain-2");
        assert.equal([...targets(gateway)], ["plain-1"], "a new incarnation is used");
    });
}

test("an answer of a server at a reused address says nothing of the server that was called", () => {
    const gateway = gatewayWithPlainServers();
    gateway.answer(callTo(gateway, "plain-1"), { status: 421, isNotRun: true, isLeaving: true });
    assert.ok(targets(gateway).has("plain-1"));
});

test("the streams of a server whose stream head or health answer says that it leaves are migrated at once", () => {
    const gateway = new TestGateway();
    const engine = {
        memoryTokens: 10_000,
        canReplicate: false,
        canMigrate: true,
        tokensPerEvent: 4,
        transferRate: 20,
        replicaLifetime: 5_000,
    };
    gateway.configure(configuration(1, { services: new Map([[engineService, { name: engineService, engine }]]) }));
    gateway.register(server("engine-1"), server("engine-2"), server("engine-3"));
    const first = gateway.startStream("one", "plan");
    const report = { runs: [], isLeaving: true, startedAt: undefined };
    const effects = gateway.handle({ kind: "serverProbed", backendServer: first.backendServer, report });
    assert.equal(effects.filter(effect => effect.kind === "migrateRun").map(({ attemptId }) => attemptId), [
        first.attemptId,
    ]);
    const second = gateway.sendRequest("two", "note");
    gateway.handle({
        kind: "streamOpened",
        attemptId: second.attemptId,
        head: { ...responseHead(second), isLeaving: true },
    });
    const next = callsIn(gateway.receiveRequest("three", "note"));
    assert.ok(next.every(({ backendServer }) => ![first, second].some(call => call.backendServer === backendServer)));
});

test("a notice is reported to the other gateways at once, and only once", () => {
    const gateway = gatewayWithPlainServers();
    gateway.receiveReport({});
    const call = callTo(gateway, "plain-1");
    assert.equal(noticesIn(gateway.answer(call, { isLeaving: true })), [notice]);
    assert.equal(noticesIn(gateway.advance(2_000)), []);
});

test("a notice that another gateway reports is obeyed and passed on, also before the server's record is known", () => {
    const gateway = gatewayWithPlainServers();
    gateway.receiveReport({});
    gateway.receiveReport({ address: identifier<never>("10.1.0.3:8748"), incarnation: identifier<never>("third") });
    assert.equal(noticesIn(gateway.receiveReport({ leavingServers: [notice] })).length, 2);
    assert.equal([...targets(gateway)], ["plain-2"]);
    const early = new TestGateway();
    early.receiveReport({ leavingServers: [notice] });
    early.configure(gateway.state.configuration!);
    early.register(server("plain-1", { startedAt: 7 }), server("plain-2", { startedAt: 7 }));
    assert.equal([...targets(early)], ["plain-2"]);
});

test.run();
