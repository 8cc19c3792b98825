/**
 * Callers take up streams of two software versions after all gateways were killed at once.
 */
import { waitUntil } from "@verbenaspring/bench";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { GatewayCluster, type GatewayResponse } from "./gatewayCluster.js";

/** As many as one server has slots, so that none waits for one, however they are placed. */
const streams = 8;
const events = 60;
const eventTime = 40;

interface ReceivedEvent {
    readonly id: number;
    readonly softwareVersion: string;
}

function eventsOf({ body }: GatewayResponse): ReceivedEvent[] {
    return [...body.matchAll(/id: (\d+)\ndata: ([^:]*):.*\n\n/g)].map(([, id, softwareVersion]) => ({
        id: Number(id),
        softwareVersion,
    }));
}

test("streams that callers take up go on at the version that began them, also when no gateway remembers", async () => {
    const cluster = await GatewayCluster.start(2);
    try {
        await cluster.addServer("e1", "engine", eventTime, events, "v1");
        const isBaseWritten = (): boolean =>
            cluster.gateways.some(gateway => gateway.output().includes("base_version_written"));
        await waitUntil("the base version is written", isBaseWritten);
        await cluster.addServer("e2", "engine", eventTime, events, "v2");
        const ids = Array.from({ length: streams }, (_, index) => `stream-${index}`);
        let begun = 0;
        const onHead = (): void => void begun++;
        const answers = ids.map((attemptId, index) =>
            cluster.sendRequest(cluster.gateways[index % 2], "/note/1", { attemptId, onHead })
        );
        await waitUntil("all streams have begun", () => begun === streams);
        await cluster.killGateways();
        const broken = (await Promise.all(answers)).map(eventsOf);
        const versions = new Set(broken.flatMap(received => received.map(event => event.softwareVersion)));
        assert.equal([...versions].sort(), ["v1", "v2"]);
        const gateways = [await cluster.addGateway(), await cluster.addGateway()];
        const takenUp = await Promise.all(
            ids.map((attemptId, index) =>
                cluster.sendRequest(gateways[index % 2], "/note/1", {
                    headers: { "last-event-id": String(broken[index].length), resumes: attemptId },
                })
            ),
        );
        takenUp.forEach((response, index) => {
            const all = [...broken[index], ...eventsOf(response)];
            assert.is(response.status, 200, ids[index]);
            assert.equal(all.map(({ id }) => id), Array.from({ length: events }, (_, number) => number + 1));
            assert.is(new Set(all.map(({ softwareVersion }) => softwareVersion)).size, 1, ids[index]);
        });
    }
    finally {
        await cluster.stop();
    }
});

test.run();
