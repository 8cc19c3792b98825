/**
 * `npm run soak -- --seed S --seconds N`: gateways as processes under faults from outside.
 */
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { runSoak } from "./soak.js";

const { seed, seeds, seconds, gateways, callers, times } = await yargs(hideBin(process.argv))
    .scriptName("soak")
    .options({
        seed: { type: "number", default: 1, describe: "seed of the first run" },
        seeds: { type: "number", default: 1, describe: "runs, each with the next seed" },
        seconds: { type: "number", default: 20, describe: "how long faults come in each run" },
        gateways: { type: "number", default: 3, describe: "processes" },
        callers: { type: "number", default: 16, describe: "callers at a time" },
        times: { type: "boolean", default: true, describe: "check bounds of time; not on a busy machine" },
    })
    .example("$0 --seed 7 --seeds 50 --seconds 15", "fifty runs")
    .strict()
    .parseAsync();

let failed = 0;
for (let current = seed; current < seed + seeds; current++) {
    const logFolder = `results/soak-${current}`;
    const options = { seed: current, seconds, gateways, callers, checksTimeLimits: times, logFolder };
    const { violations: breaches, endCounts: ends, faultCounts: faults } = await runSoak(options);
    const requests = [...ends].map(([name, count]) => `${name}=${count}`).join(" ");
    const faultCount = [...faults.values()].reduce((sum, count) => sum + count, 0);
    process.stdout.write(`seed ${current}: ${faultCount} faults, ${requests}, ${breaches.length} promises broken\n`);
    breaches.forEach(({ promise, detail, at }) => process.stdout.write(`  ${promise} at ${at}: ${detail}\n`));
    if (breaches.length > 0) {
        failed++;
        process.stdout.write(
            `  logs in ${logFolder}; repeat: npm run soak -- --seed ${current} --seconds ${seconds}\n`,
        );
    }
}
process.stdout.write(`${seeds - failed} of ${seeds} runs broke no promise\n`);
process.exit(failed === 0 ? 0 : 1);
