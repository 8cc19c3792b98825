/**
 * Reports that are lost when one of two links to a peer closes.
 */
import { type GatewayEffect, identifyRepeats } from "@verbenaspring/gateway";
import { identifier } from "@verbenaspring/model";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { configuration, server, type TestGateway } from "./gatewayBuilders.js";
import { LinkedGateways } from "./linkedGateways.js";

const startedAt = 7;
const servers = ["plain-1", "plain-2", "plain-3"].map(id => server(id, { startedAt }));
/** From a change until all gateways must act on it. */
const changeLimit = 2_000;

function linkedGateways(): LinkedGateways {
    const linked = new LinkedGateways(2);
    linked.configure(configuration(1));
    linked.register(...servers);
    linked.advance(5_000);
    return linked;
}

/** Delivers the reports among the effects of a gateway to the other one. */
function deliver(effects: readonly GatewayEffect[], receiver: TestGateway): void {
    for (const effect of effects) {
        if (effect.kind === "sendReport") {
            const items = { configuration: [], backendServers: [] };
            receiver.handle({ kind: "peerReported", report: effect.report, items });
        }
    }
}

// The number of the last notice that was sent counted as known, and no report of the peer corrected it.
test("a notice whose report was lost is reported again", () => {
    const learns = (isLost: boolean): boolean => {
        const linked = linkedGateways();
        const [one, other] = linked.gateways;
        const call = one.sendRequest("r", "confirm");
        const effects = one.answer(call, { isLeaving: true });
        if (isLost) {
            one.handle({ kind: "peerReportsLost", address: other.state.options.peerAddress });
        }
        deliver(isLost ? [] : effects, other);
        linked.advance(60_000);
        return other.state.leavingNotices.has(call.backendServer);
    };
    assert.is(learns(false), true);
    assert.is(learns(true), true, "unknown to the peer a minute later");
});

// The same held for suspects: a gateway that lacked one sent a request under which servers crashed to further ones (BUDGET).
test("a crash whose report was lost is reported again", () => {
    const learns = (isLost: boolean): boolean => {
        const linked = linkedGateways();
        const [one, other] = linked.gateways;
        const call = one.sendRequest("r", "confirm");
        const failed = one.failAttempt(call);
        const probed = one.handle({ kind: "serverProbed", backendServer: call.backendServer, report: undefined });
        if (isLost) {
            one.handle({ kind: "peerReportsLost", address: other.state.options.peerAddress });
        }
        deliver(isLost ? [] : [...failed, ...probed], other);
        linked.advance(60_000);
        return other.state.crashSuspects.suspects.has(identifyRepeats(undefined, identifier("r")));
    };
    assert.is(learns(false), true);
    assert.is(learns(true), true, "unknown to the peer a minute later");
});

// The peer told its offset only with a heartbeat, since a report that ends where it begins has no records to ask for.
test("a removal whose report was lost reaches a gateway within the limit, after the longest takeover of a read", () => {
    const takeover = 1_500;
    const delays: number[] = [];
    for (let phase = 0; phase < 1_000; phase += 50) {
        const linked = linkedGateways();
        const [reader, other] = linked.gateways;
        linked.turnedAway.add(other);
        linked.advance(3_000 + phase);
        linked.remove("plain-1");
        const isServing = ({ state }: TestGateway): boolean =>
            state.servers.get(identifier<never>("plain-1"))?.leavingSince === undefined;
        linked.isolate(other);
        linked.advanceUntil(() => !isServing(reader), changeLimit);
        linked.restoreLinks();
        reader.handle({ kind: "peerReportsLost", address: other.state.options.peerAddress });
        delays.push(linked.advanceUntil(() => !isServing(other), changeLimit));
    }
    assert.ok(Math.max(...delays) <= changeLimit - takeover, `delays by phase: ${delays.join(", ")} ms`);
});

test.run();
