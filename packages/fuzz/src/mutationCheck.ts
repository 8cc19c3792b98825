/**
 * `npm run mutations`: removes each mechanism in turn and shows that the fuzzer finds the break.
 */
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { fuzz, type FuzzTarget, linkedSystem, platformSystem } from "./fuzz.js";
import { type Mutation, mutations } from "./mutations.js";
import { BrokenPromiseError, type PromiseName } from "./oracle.js";
import { platformMutations } from "./platform/index.js";

const { seed, runs, steps } = await yargs(hideBin(process.argv))
    .scriptName("mutations")
    .options({
        seed: { type: "number", default: 1, describe: "seed of the schedules" },
        runs: { type: "number", default: 2_000, describe: "most schedules for a mutation" },
        steps: { type: "number", default: 60, describe: "most steps in a schedule" },
    })
    .strict()
    .parseAsync();

interface Search {
    readonly name: string;
    readonly promises: readonly PromiseName[];
    readonly find: () => { readonly error: Error; readonly path: string; } | undefined;
}

function createSearches<Drawn, Parts>(
    subject: FuzzTarget<Drawn, Parts>,
    removed: readonly Mutation<Parts>[],
): readonly Search[] {
    return removed.map(({ name, promises, implementation: parts }) => ({
        name,
        promises,
        find: () =>
            fuzz(subject, {
                seed,
                runs,
                steps,
                implementation: parts,
                onlyPromises: [...promises, "invariant"],
                shrinks: false,
            }).failure,
    }));
}

const searches = [...createSearches(linkedSystem, mutations), ...createSearches(platformSystem, platformMutations)];

let missed = 0;
for (const { name, promises, find } of searches) {
    const failure = find();
    if (failure === undefined) {
        missed++;
        process.stdout.write(`MISSED ${name} (${promises.join(", ")}): ${runs} schedules broke nothing\n`);
        continue;
    }
    const schedules = Number(failure.path.split(":")[0]) + 1;
    const broken = failure.error instanceof BrokenPromiseError ? failure.error.promise : failure.error.message;
    process.stdout.write(`found ${name}: schedule ${schedules} breaks ${broken}\n`);
}
process.stdout.write(`${searches.length - missed} of ${searches.length} mutations found (seed ${seed})\n`);
process.exit(missed === 0 ? 0 : 1);
