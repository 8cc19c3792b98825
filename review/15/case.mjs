/**
 * A gateway is killed while it passes on a stream that may be resumed, whose ids are times in microseconds. The client resumes
 * it at another gateway. TROUBLE=0: no gateway is killed.
 */
import { fileURLToPath } from "node:url";
import { startEngine } from "../lib-3/engine.mjs";
import { openChannel, pause, runCase } from "../lib-3/world.mjs";

const events = 30;
const eventMs = 50;
const killAfterMs = 800;
const streams = 3;

await runCase(fileURLToPath(new URL("record.txt", import.meta.url)), async (world, hasTrouble) => {
    const firstId = Date.now() * 1_000;
    const idOf = number => firstId + number * eventMs * 1_000;
    const engine = await startEngine(
        "i-1",
        { events, eventMs, isChunked: true, idOf },
        text => world.record(`worker i-1 ${text}`),
    );
    world.configure(1, {
        routes: [{
            name: "note",
            hostname: "clinic.example",
            pathPrefix: "/note/",
            routeType: "streaming",
            timeoutMs: 6_000,
            targetLatencyMs: 1_500,
            priority: 0,
            service: "llm",
            maxAttempts: 2,
            public: false,
            sessionAffinity: true,
            streamResume: true,
            itlTargetMs: 180,
        }],
        services: [{
            name: "llm",
            healthCheckPath: "/healthz",
            maxConnections: 572,
            protocol: "h1",
            tls: false,
            backend: {
                slots: 96,
                kvCapacity: 34_609,
                kvBytes: 18_432,
                linkMbps: 2_700,
                migrations: true,
                replicas: true,
                stride: 4,
                most: 12,
                pinMs: 4_000,
                holdMs: 2_000,
                handleTtlS: 5,
                modelList: [{ name: "m" }],
            },
        }],
    });
    world.register("i-1", { service: "llm", address: engine.address, slots: 96, phase: "colocated" });
    const first = await world.startGateway("edge-1");
    const second = await world.startGateway("edge-2", { seeds: [first.peerAddress] });
    await pause(2_000);

    const ask = async (gateway, id, last) => {
        const channel = await openChannel(gateway.frontend);
        const { status, body, isComplete } = await channel.send({
            path: "/note/1",
            id,
            headers: {
                "Deadline-Ms": "6000",
                "Model": "m",
                "Token-Usage": `100,${4 * events}`,
                "Prefix-Hash": "5c1e07a2:60,91bd3f06:40",
                ...last === undefined ? {} : { "Last-Event-Id": String(last) },
            },
            body: "{}",
        });
        channel.close();
        // An event is whole if the empty line after it has come.
        const ids = [...body.matchAll(/^id: (\d+)\ndata: .*\n\n/gm)].map(([, number]) => Number(number));
        world.record(
            `client gets ${id}: ${status}, ${isComplete ? "complete" : "cut"}, ${ids.length} events, `
                + `from ${ids[0]} to ${ids.at(-1)}`,
        );
        return { isComplete, ids };
    };
    const asked = Array.from({ length: streams }, (_, index) => ask(first, `s${index + 1}`));
    await pause(killAfterMs);
    if (hasTrouble) {
        first.child.kill("SIGKILL");
        world.record("gateway edge-1 is killed");
    }
    let broken = 0;
    for (const [index, { isComplete, ids }] of (await Promise.all(asked)).entries()) {
        const got = [...ids];
        if (!isComplete && ids.length > 0) {
            const last = ids.at(-1);
            world.record(`client resumes s${index + 1} after event ${last}`);
            const resumed = await ask(second, `t${index + 1}`, last);
            got.push(...resumed.ids);
        }
        const twice = got.length - new Set(got).size;
        const missing = Array.from({ length: events }, (_, position) =>
            idOf(position + 1)).filter(id => !got.includes(id)).length;
        world.record(`stream ${index + 1}: ${twice} events came twice, ${missing} are missing`);
        broken += twice > 0 ? 1 : 0;
    }
    engine.close();
    return broken === 0;
});
