/**
 * Each caller gets the pieces of its stream in order, each once, of one run, and no complete answer before the last: in worlds
 * with delays, losses, ends of servers and late stops.
 */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { playWorld, type WorldSettings } from "./streamWorld.js";

const settings: WorldSettings = {
    framing: "chunks",
    lostAnswers: 0.2,
    lateCalls: 0.2,
    leavings: 0.15,
    crashes: 0.05,
    darkness: 0.05,
    cuts: 0.05,
    hasNewIds: false,
    releases: 0,
    reconfigurations: 0,
    repeats: 0.3,
    idStep: 1,
    idStart: 0,
};
const seeds = Number(process.env.STREAM_WORLDS ?? 8);

for (
    const [name, overrides] of [
        ["framed streams", {}],
        ["unframed streams", { framing: "channel" }],
        ["unframed streams whose stops are late", { framing: "channel", lateCalls: 0.5, crashes: 0.01, darkness: 0.2 }],
        ["streams whose ids increase by more than 1", { idStep: 4 }],
        ["streams whose ids begin at a large number", { idStart: 1_000_000 }],
        ["streams whose channels are often cut", { cuts: 0.5 }],
        ["streams that may be resumed at times", { cuts: 0.5, reconfigurations: 0.3 }],
        ["streams of engines with new ids", { crashes: 0.15, hasNewIds: true }],
        ["streams of engines of two versions", { cuts: 0.5, crashes: 0.15, hasNewIds: true, releases: 0.6 }],
    ] as const
) {
    test(`pieces of ${name} are neither missing, doubled nor of two runs`, () => {
        const totals = { whole: 0, cut: 0, continued: 0, stops: 0, takeUps: 0 };
        const faults: string[] = [];
        for (let seed = 1; seed <= seeds; seed++) {
            const result = playWorld(seed, { ...settings, ...overrides });
            totals.whole += result.whole;
            totals.cut += result.cut;
            totals.continued += result.continued;
            totals.stops += result.stops;
            totals.takeUps += result.takeUps;
            faults.push(...result.faults.map(fault => `seed ${seed}: ${fault}`));
        }
        if (process.env.STREAM_WORLDS !== undefined) {
            process.stdout.write(`${name}: ${JSON.stringify(totals)}, ${faults.length} faults\n`);
        }
        assert.equal(faults, []);
        assert.ok(totals.continued > 0 && totals.stops > 0);
    });
}

test.run();
