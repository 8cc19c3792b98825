/**
 * The short form of `npm run hostile`: guards against hostile clients that end or block a gateway process, use up the
 * memory of its machine, or keep it from serving ordinary clients and readiness checks.
 */
import {
    attacks,
    type HostileTrial,
    missedTargets,
    runHostileTrial,
    trialsAlone,
    trialTogether,
} from "@verbenaspring/soak";
import { spawnSync } from "node:child_process";
import { test } from "uvu";
import * as assert from "uvu/assert";

const seconds = 1.5;
const seed = 1;

const build = spawnSync(process.execPath, ["scripts/buildDeploy.mjs"], { encoding: "utf8" });
assert.is(build.status, 0, build.stderr);

const trials: readonly HostileTrial[] = [
    ...trialOf("oneByteChunks", "route"),
    ...trialOf("pipelined", "route"),
    ...trialOf("pipelined", "readiness"),
    ...trialOf("pipelined", "metrics"),
    trialTogether(true),
];

function trialOf(name: string, listener: "route" | "readiness" | "metrics"): HostileTrial[] {
    return trialsAlone(attacks.filter(attack => attack.name === name), [listener], false);
}

for (const trial of trials) {
    const { listener } = trial.played[0];
    test(`the gateway withstands ${trial.name} ${trial.played.length > 1 ? "everywhere" : `at ${listener}`}`, async () => {
        const result = await runHostileTrial(trial, { seconds, seed });
        const { peakMegabytes, state, ordinary, readiness } = result;
        const seen = `${state}, ${peakMegabytes} MB, ${ordinary.served} of ${ordinary.sent} served, `
            + `${readiness.served} of ${readiness.sent} ready, slowest ${ordinary.durations.at(-1)} ms, `
            + `unserved ${JSON.stringify([...ordinary.failures])}`;
        assert.equal(missedTargets(result), [], seen);
    });
}

test.run();
