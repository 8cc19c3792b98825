/**
 * `npm run mutations`: removes each mechanism in turn and shows that the fuzzer finds the break.
 */
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { fuzz } from "./fuzz.js";
import { mutations } from "./mutations.js";
import { PromiseBroken } from "./oracle.js";

const { seed, runs, steps } = await yargs(hideBin(process.argv))
    .scriptName("mutations")
    .options({
        seed: { type: "number", default: 1, describe: "seed of the schedules" },
        runs: { type: "number", default: 2_000, describe: "most schedules for a mutation" },
        steps: { type: "number", default: 60, describe: "most steps in a schedule" },
    })
    .strict()
    .parseAsync();

let missed = 0;
for (const { name, promises, parts } of mutations) {
    const { failure } = fuzz({ seed, runs, steps, parts, only: [...promises, "invariant"] });
    if (failure === undefined) {
        missed++;
        process.stdout.write(`MISSED ${name} (${promises.join(", ")}): ${runs} schedules broke nothing\n`);
        continue;
    }
    const schedules = Number(failure.path.split(":")[0]) + 1;
    const broken = failure.broken instanceof PromiseBroken ? failure.broken.promise : failure.broken.message;
    process.stdout.write(
        `found ${name}: schedule ${schedules}, ${failure.schedule.steps.length} steps, breaks ${broken}\n`,
    );
}
process.stdout.write(`${mutations.length - missed} of ${mutations.length} mutations found (seed ${seed})\n`);
process.exit(missed === 0 ? 0 : 1);
