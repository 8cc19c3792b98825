/**
 * The command `npm run mutations`. It removes each mechanism in turn and checks that the fuzzer finds a broken promise.
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
    type FuzzTarget,
    limitedPlatformSystem,
    linkedSystem,
    lostAnswerPlatformSystem,
    noticePlatformSystem,
    pausePlatformSystem,
    platformSystem,
    releasePlatformSystem,
    rollingStopPlatformSystem,
    snapshotPlatformSystem,
    unacknowledgedPlatformSystem,
    unframedPlatformSystem,
} from "./fuzz.js";
import { type Mutation, mutations } from "./mutations.js";
import { BrokenPromiseError, type PromiseName } from "./oracle.js";
import {
    changeMutations,
    coldMutations,
    configurationMutations,
    deadlyWorkMutations,
    delayMutations,
    detachedRunMutations,
    evacuationMutations,
    limitMutations,
    lostAnswerMutations,
    noticeMutations,
    pauseMutations,
    platformMutations,
    releaseMutations,
    rollingStopMutations,
    snapshotMutations,
    unacknowledgedMutations,
    unframedMutations,
} from "./platform/index.js";

const { seed, runs, steps } = await yargs(hideBin(process.argv))
    .scriptName("mutations")
    .options({
        seed: { type: "number", default: 1, describe: "seed of the schedules" },
        runs: { type: "number", default: 2_000, describe: "maximum number of schedules for a mutation" },
        steps: { type: "number", default: 60, describe: "maximum number of steps of a schedule" },
    })
    .strict()
    .parseAsync();

/** The search for a schedule that breaks a promise under a mutation. */
interface Search {
    readonly name: string;
    readonly promises: readonly PromiseName[];
    readonly find: () => { readonly error: Error; readonly path: string; } | undefined;
}

function createSearches<GeneratedSchedule, Implementation>(
    target: FuzzTarget<GeneratedSchedule, Implementation>,
    targetMutations: readonly Mutation<Implementation>[],
): readonly Search[] {
    return targetMutations.map(({ name, promises, implementation }) => ({
        name,
        promises,
        find: () =>
            fuzz(target, {
                seed,
                runs,
                steps,
                implementation,
                onlyPromises: [...promises, "invariant"],
                shrinks: false,
            }).failure,
    }));
}

const searches = [
    ...createSearches(linkedSystem, mutations),
    ...createSearches(platformSystem, platformMutations),
    ...createSearches(changePlatformSystem, changeMutations),
    ...createSearches(coldPlatformSystem, coldMutations),
    ...createSearches(configurationPlatformSystem, configurationMutations),
    ...createSearches(deadlyWorkPlatformSystem, deadlyWorkMutations),
    ...createSearches(delayPlatformSystem, delayMutations),
    ...createSearches(detachedRunPlatformSystem, detachedRunMutations),
    ...createSearches(evacuationPlatformSystem, evacuationMutations),
    ...createSearches(limitedPlatformSystem, limitMutations),
    ...createSearches(lostAnswerPlatformSystem, lostAnswerMutations),
    ...createSearches(noticePlatformSystem, noticeMutations),
    ...createSearches(pausePlatformSystem, pauseMutations),
    ...createSearches(releasePlatformSystem, releaseMutations),
    ...createSearches(rollingStopPlatformSystem, rollingStopMutations),
    ...createSearches(snapshotPlatformSystem, snapshotMutations),
    ...createSearches(unacknowledgedPlatformSystem, unacknowledgedMutations),
    ...createSearches(unframedPlatformSystem, unframedMutations),
];

let missedCount = 0;
for (const { name, promises, find } of searches) {
    const failure = find();
    if (failure === undefined) {
        missedCount++;
        process.stdout.write(`MISSED ${name} (${promises.join(", ")}): ${runs} schedules broke nothing\n`);
        continue;
    }
    const scheduleNumber = Number(failure.path.split(":")[0]) + 1;
    const violation = failure.error instanceof BrokenPromiseError ? failure.error.promise : failure.error.message;
    process.stdout.write(`found ${name}: schedule ${scheduleNumber} breaks ${violation}\n`);
}
process.stdout.write(`${searches.length - missedCount} of ${searches.length} mutations found (seed ${seed})\n`);
process.exit(missedCount === 0 ? 0 : 1);
