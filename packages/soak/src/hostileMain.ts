/**
 * `npm run hostile`: plays attacks of hostile clients on a gateway process, prints what they did, and fails where a
 * target is missed.
 */
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { attacks } from "./hostileAttacks.js";
import {
    formatHeading,
    formatResult,
    type HostileTrial,
    missedTargets,
    runHostileTrial,
    trialsAlone,
    trialTogether,
    trialWithoutAttack,
} from "./hostileCallers.js";
import { httpListeners } from "./hostileTargets.js";

const listenerNames = [...httpListeners, "feed", "peers"] as const;
const attackNames = [trialWithoutAttack.name, ...attacks.map(({ name }) => name), "together"];

const { attack, listener, servers, seconds, seed } = await yargs(hideBin(process.argv))
    .scriptName("hostile")
    .options({
        attack: { choices: attackNames, array: true, default: attackNames, describe: "attacks to play" },
        listener: { choices: listenerNames, array: true, default: listenerNames, describe: "listeners to attack" },
        servers: {
            choices: ["healthy", "failing"] as const,
            array: true,
            default: ["healthy", "failing"] as const,
            describe: "backend servers; failing: one of two, beside attacks at the route and all together",
        },
        seconds: { type: "number", default: 8, describe: "how long each trial lasts" },
        seed: { type: "number", default: 1, describe: "what attacks draw from" },
    })
    .example("$0 --attack pipelined --listener readiness", "one attack at one listener")
    .strict()
    .parseAsync();

const selected = attacks.filter(({ name }) => attack.includes(name));
const isTogether = attack.includes("together");
const routeListeners = listener.filter(name => name === "route" || name === "feed");
const trials: HostileTrial[] = [
    ...(attack.includes(trialWithoutAttack.name) ? [trialWithoutAttack] : []),
    ...(servers.includes("healthy")
        ? [...trialsAlone(selected, listener, false), ...(isTogether ? [trialTogether(false)] : [])]
        : []),
    ...(servers.includes("failing")
        ? [...trialsAlone(selected, routeListeners, true), ...(isTogether ? [trialTogether(true)] : [])]
        : []),
];

let failedTrials = 0;
process.stdout.write(`${formatHeading()}\n`);
for (const trial of trials) {
    const result = await runHostileTrial(trial, { seconds, seed });
    process.stdout.write(`${formatResult(result)}\n`);
    failedTrials += missedTargets(result).length > 0 ? 1 : 0;
}
process.stdout.write(`${trials.length - failedTrials} of ${trials.length} trials met every target\n`);
process.exit(failedTrials === 0 ? 0 : 1);
