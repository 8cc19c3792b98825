/**
 * The command `npm run fuzz -- --system platform|overlay|changes|cold|configurations|deadly|delays|detached-runs|evacuations|limits|lost-answers|notices|pauses|releases|rolling-stops|snapshots|stops|unacknowledged|unframed|linked --seed S --runs N --steps K`. It
 * runs randomised schedules and checks them with the oracle.
 */
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import {
    changePlatformSystem,
    coldPlatformSystem,
    configurationPlatformSystem,
    deadlyWorkPlatformSystem,
    delayPlatformSystem,
    detachedRunPlatformSystem,
    evacuationPlatformSystem,
    fuzz,
    limitedPlatformSystem,
    linkedSystem,
    lostAnswerPlatformSystem,
    noticePlatformSystem,
    overlaidPlatformSystem,
    pausePlatformSystem,
    platformSystem,
    releasePlatformSystem,
    rollingStopPlatformSystem,
    snapshotPlatformSystem,
    stopPlatformSystem,
    unacknowledgedPlatformSystem,
    unframedPlatformSystem,
} from "./fuzz.js";

/** Schedules between two lines of progress. */
const progressInterval = 1_000;

const { system, seed, runs, steps, path } = await yargs(hideBin(process.argv))
    .scriptName("fuzz")
    .options({
        system: {
            choices: [
                "linked",
                "platform",
                "overlay",
                "changes",
                "cold",
                "configurations",
                "deadly",
                "delays",
                "detached-runs",
                "evacuations",
                "limits",
                "lost-answers",
                "notices",
                "pauses",
                "releases",
                "rolling-stops",
                "snapshots",
                "stops",
                "unacknowledged",
                "unframed",
            ] as const,
            default: "platform",
            describe:
                "gateways on the platform, the same with many configurations, with changes that some gateways learn only from others, with links that fall behind, with a store that loses what nobody acknowledged, with one whose pages are of several moments, with parts of prompts that crash engines, with evacuations of failure domains, or with servers that are cold, declare limits, lose answers, break connections and work on, give notice in answers, ask for pauses, run several software versions or write streams without framing, or "
                + "entries and sidecars",
        },
        seed: { type: "number", default: 1, describe: "seed of the schedules" },
        runs: { type: "number", default: 1_000, describe: "schedules to run" },
        steps: { type: "number", default: 60, describe: "maximum number of steps of a schedule" },
        path: { type: "string", describe: "run only the schedule at this path, which a failing run prints" },
    })
    .strict()
    .parseAsync();

const startedAt = performance.now();
const onRun = (done: number): void => {
    if (done % progressInterval === 0) {
        process.stdout.write(`${done} schedules, ${Math.round((performance.now() - startedAt) / 1_000)} s\n`);
    }
};
const options = { seed, runs, steps, path, onRun };
const platformTargets = {
    platform: platformSystem,
    overlay: overlaidPlatformSystem,
    changes: changePlatformSystem,
    cold: coldPlatformSystem,
    configurations: configurationPlatformSystem,
    deadly: deadlyWorkPlatformSystem,
    delays: delayPlatformSystem,
    evacuations: evacuationPlatformSystem,
    limits: limitedPlatformSystem,
    "detached-runs": detachedRunPlatformSystem,
    "lost-answers": lostAnswerPlatformSystem,
    notices: noticePlatformSystem,
    pauses: pausePlatformSystem,
    releases: releasePlatformSystem,
    "rolling-stops": rollingStopPlatformSystem,
    snapshots: snapshotPlatformSystem,
    stops: stopPlatformSystem,
    unacknowledged: unacknowledgedPlatformSystem,
    unframed: unframedPlatformSystem,
};
const result = system === "linked"
    ? fuzz(linkedSystem, options)
    : fuzz(platformTargets[system as keyof typeof platformTargets], options);
if (result.failure === undefined) {
    process.stdout.write(`seed ${seed}: ${result.runs} schedules of up to ${steps} steps, no promise broken\n`);
    process.exit(0);
}
const { error, schedule } = result.failure;
process.stdout.write(`${error.stack ?? error.message}\n`);
process.stdout.write(`schedule seed ${schedule.seed}:\n`);
schedule.steps.forEach(step => process.stdout.write(`  +${step.pause} ${JSON.stringify(step.action)}\n`));
process.stdout.write(`as JSON: ${JSON.stringify({ what: error.message, schedule })}\n`);
process.stdout.write(
    `repeat: npm run fuzz -- --system ${system} --seed ${seed} --steps ${steps} --path "${result.failure.path}"\n`,
);
process.exit(1);
