/**
 * A stream that may not be resumed, whose server is silent for longer than the gateway waits, while the holder of its
 * replica refuses the stream.
 */
import { type FaultRelay, startFaultRelay, waitUntil } from "@verbenaspring/bench";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { GatewayCluster } from "./gatewayCluster.js";

const events = 120;
const eventTime = 40;
/** How long the stream runs before its server is silent: long enough for a replica. */
const beforeSilence = 1_500;
/** Longer than the gateway waits before it probes the server, and for the answer. */
const silence = 2_500;

for (const [name, isHolderSilent] of [["one server is", false], ["all servers are", true]] as const) {
    test(`a stream that may not be resumed is whole after ${name} silent, though its continuation is refused`, async () => {
        const cluster = await GatewayCluster.start(1);
        const relays = new Map<string, FaultRelay>();
        try {
            for (const id of ["e1", "e2"]) {
                await cluster.addServer(id, "engine", eventTime, events, undefined, async target => {
                    const relay = await startFaultRelay(target);
                    relays.set(id, relay);
                    return relay.address;
                });
            }
            const [gateway] = cluster.gateways;
            const answer = cluster.sendRequest(gateway, "/plan/1");
            const hasRun = (): boolean => cluster.backendServers.some(server => server.runs().length > 0);
            await waitUntil("the stream has begun", hasRun);
            await pause(beforeSilence);
            const [holder] = cluster.backendServers.filter(server => server.runs().length === 0);
            holder.setBehaviour("shed");
            const silent = [...relays].filter(([id]) => isHolderSilent || id !== holder.id);
            silent.forEach(([, relay]) => relay.hold("downstream"));
            await pause(silence);
            assert.ok(gateway.output().includes("stream_continued"), "the gateway tried to continue the stream");
            silent.forEach(([, relay]) => relay.release());
            const { status, body } = await answer;
            assert.is(status, 200);
            const ids = [...body.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id));
            assert.equal(ids, Array.from({ length: events }, (_, index) => index + 1));
        }
        finally {
            await cluster.stop();
            relays.forEach(relay => relay.close());
        }
    });
}

function pause(duration: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, duration));
}

test.run();
