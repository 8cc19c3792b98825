/**
 * `npm run soak -- --seed S --seconds N`: runs gateways as processes under injected faults and checks the promises.
 */
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { runSoak } from "./soak.js";
import { type SoakPlanName, soakPlans } from "./soakPlans.js";

const { seed, seeds, seconds, gateways, callers, times, plan } = await yargs(hideBin(process.argv))
    .scriptName("soak")
    .options({
        seed: { type: "number", default: 1, describe: "seed of the first run" },
        seeds: { type: "number", default: 1, describe: "runs, each with the next seed" },
        seconds: { type: "number", default: 20, describe: "how long faults are injected in each run" },
        gateways: { type: "number", default: 3, describe: "gateway processes" },
        plan: {
            choices: Object.keys(soakPlans) as SoakPlanName[],
            default: "faults" as SoakPlanName,
            describe:
                "all faults, overlapping planned stops and other planned operations only, links that fall behind, a store that loses what nobody acknowledged, one whose pages are of several moments, engines that break connections and work on, engines that write streams without framing, or gateways that stop one after the other while streams wait at engines",
        },
        callers: { type: "number", default: 16, describe: "concurrent callers" },
        times: { type: "boolean", default: true, describe: "check time limits; turn this off on a busy machine" },
    })
    .example("$0 --seed 7 --seeds 50 --seconds 15", "fifty runs")
    .strict()
    .parseAsync();

let failedRuns = 0;
for (let current = seed; current < seed + seeds; current++) {
    // Runs of one seed at the same time, and the next ones, keep their logs apart.
    const logFolder = `results/soak-${current}-${process.pid}`;
    const options = { seed: current, seconds, gateways, callers, plan, checksTimeLimits: times, logFolder };
    const { violations, endCounts, faultCounts, endedWithServer } = await runSoak(options);
    const requests = [...endCounts].map(([name, count]) => `${name}=${count}`).join(" ");
    const faultCount = [...faultCounts.values()].reduce((sum, count) => sum + count, 0);
    process.stdout.write(`seed ${current}: ${faultCount} faults, ${requests}, ${violations.length} promises broken\n`);
    violations.forEach(({ promise, detail, at }) => process.stdout.write(`  ${promise} at ${at}: ${detail}\n`));
    if (endedWithServer.length > 0) {
        process.stdout.write(`  cut when their server ended: ${endedWithServer.join(" ")}\n`);
    }
    if (violations.length > 0) {
        failedRuns++;
        process.stdout.write(
            `  logs in ${logFolder}; repeat: npm run soak -- --plan ${plan} --seed ${current} --seconds ${seconds}\n`,
        );
    }
}
process.stdout.write(`${seeds - failedRuns} of ${seeds} runs broke no promise\n`);
process.exit(failedRuns === 0 ? 0 : 1);
