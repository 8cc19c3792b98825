/**
 * `npm run engine-load -- --size grown --load 1.35 --seeds 4`: plays a load on gateways and engines in virtual time, and
 * prints what became of the requests of each kind, as the mean of the seeds.
 */
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { type KindResult, playEngineLoad, servedByTenth } from "./engineLoad.js";
import { engineLoads, type EngineLoadSize, scaleLoad } from "./engineLoadSizes.js";

const sizes = Object.keys(engineLoads) as EngineLoadSize[];
const { size, load, seeds } = await yargs(hideBin(process.argv))
    .scriptName("engine-load")
    .options({
        size: { choices: sizes, default: "grown" as EngineLoadSize, describe: "size of the deployment" },
        load: { type: "number", default: 1, describe: "factor of all request rates" },
        seeds: { type: "number", default: 3, describe: "number of seeds, from 1 on" },
    })
    .strict()
    .parseAsync();

const results = Array.from(
    { length: seeds },
    (_, index) => playEngineLoad(scaleLoad(engineLoads[size], load), index + 1),
);
process.stdout.write(
    "kind    on time          late   refused  cut    first event p50, p90 ms  served by tenth of size\n",
);
for (const { name } of engineLoads[size].kinds) {
    printKind(name, results.flatMap(({ kinds }) => kinds.filter(kind => kind.name === name)));
}

function printKind(name: string, kinds: readonly KindResult[]): void {
    const share = (ends: "onTime" | "late" | "refused" | "cut"): number[] =>
        kinds.map(kind => kind[ends] / ended(kind));
    const firstEvents = kinds.flatMap(kind => kind.firstEvents).sort((one, other) => one - other);
    const quantile = (rank: number): string => firstEvents[Math.floor(rank * firstEvents.length)].toFixed(0);
    const onTime = share("onTime");
    const cells = [
        name.padEnd(6),
        `${mean(onTime).toFixed(3)} ± ${standardError(onTime).toFixed(3)}`,
        ...(["late", "refused", "cut"] as const).map(ends => mean(share(ends)).toFixed(3)),
        `${quantile(0.5)}, ${quantile(0.9)}`,
        servedByTenth(kinds.flatMap(kind => kind.ends)).map(value => value.toFixed(2)).join(" "),
    ];
    process.stdout.write(`${cells.join("  ")}\n`);
}

/** Requests still in progress at the end of the play don't count. */
function ended({ onTime, late, refused, cut }: KindResult): number {
    return Math.max(1, onTime + late + refused + cut);
}

function mean(values: readonly number[]): number {
    return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function standardError(values: readonly number[]): number {
    const middle = mean(values);
    const squares = values.reduce((sum, value) => sum + (value - middle) ** 2, 0);
    return Math.sqrt(squares / Math.max(1, values.length - 1) / values.length);
}
