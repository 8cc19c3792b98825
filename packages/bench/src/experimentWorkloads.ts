/**
 * The workloads of the experiments. Lengths are heavy-tailed and unknown to every policy.
 */
import type { Random } from "@verbenaspring/coordination";
import { identifier, type Milliseconds, type OrganisationId } from "@verbenaspring/model";
import { drawLength } from "./mixedLoad.js";

/** One kind of work of a workload. */
export interface WorkloadRequestKind {
    readonly name: string;
    readonly workKind: "short" | "long";
    readonly share: number;
    readonly medianTokens: number;
    /** Standard deviation of the logarithm of the length. */
    readonly spread: number;
    readonly promptTokens: number;
    readonly deadline: Milliseconds;
}

/** A workload. */
export interface Workload {
    readonly name: string;
    readonly requestKinds: readonly WorkloadRequestKind[];
}

/** One request of a workload. */
export interface WorkloadRequest {
    readonly arrivesAt: Milliseconds;
    readonly organisation: OrganisationId;
    readonly kind: WorkloadRequestKind;
    readonly outputTokens: number;
}

const longestOutput = 8_000;

/** The users' workloads. */
export const workloads: readonly Workload[] = [
    {
        name: "association-evening",
        requestKinds: [
            {
                name: "week-plan",
                workKind: "long",
                share: 0.2,
                medianTokens: 1_000,
                spread: 0.8,
                promptTokens: 500,
                deadline: 240_000,
            },
            {
                name: "reminder",
                workKind: "short",
                share: 0.6,
                medianTokens: 40,
                spread: 0.6,
                promptTokens: 120,
                deadline: 30_000,
            },
            {
                name: "confirmation",
                workKind: "short",
                share: 0.2,
                medianTokens: 15,
                spread: 0.4,
                promptTokens: 80,
                deadline: 15_000,
            },
        ],
    },
    {
        name: "haulage-day",
        requestKinds: [
            {
                name: "route-plan",
                workKind: "long",
                share: 0.4,
                medianTokens: 700,
                spread: 0.9,
                promptTokens: 900,
                deadline: 240_000,
            },
            {
                name: "delay-note",
                workKind: "short",
                share: 0.4,
                medianTokens: 50,
                spread: 0.5,
                promptTokens: 200,
                deadline: 30_000,
            },
            {
                name: "slot-reply",
                workKind: "short",
                share: 0.2,
                medianTokens: 20,
                spread: 0.4,
                promptTokens: 100,
                deadline: 15_000,
            },
        ],
    },
];

/** Ten organisations: two large, one that bursts, seven small. */
const organisationShares: readonly (readonly [string, number])[] = [
    ["large-1", 0.3],
    ["large-2", 0.25],
    ["bursting", 0.1],
    ...Array.from({ length: 7 }, (_, index) => [`small-${index + 1}`, 0.05] as const),
];
const burstPeriod: Milliseconds = 60_000;
const burstLength: Milliseconds = 10_000;
const burstFactor = 4;

/** True for the organisations whose treatment shows whether the queue is fair. */
export function isSmallOrganisation(organisation: OrganisationId): boolean {
    return organisation.startsWith("small-");
}

/**
 * Draws the arrivals of a run: Poisson, with one organisation in bursts.
 *
 * @example
 * const requests = drawArrivals(workloads[0], 12, 300_000, source.random);
 */
export function drawArrivals(
    workload: Workload,
    perSecond: number,
    duration: Milliseconds,
    random: Random,
): WorkloadRequest[] {
    const requests: WorkloadRequest[] = [];
    for (let at = 0; at < duration; at += -Math.log(1 - random()) / perSecond * 1_000) {
        const kind = drawByShare(workload.requestKinds.map(each => [each, each.share] as const), random);
        const shares = organisationShares.map(([name, share]) => [name, share * burstAt(name, at)] as const);
        const outputTokens = Math.min(longestOutput, drawLength(kind.medianTokens, kind.spread, random));
        requests.push({ arrivesAt: at, organisation: identifier(drawByShare(shares, random)), kind, outputTokens });
    }
    return requests;
}

function burstAt(organisation: string, at: Milliseconds): number {
    return organisation === "bursting" && at % burstPeriod < burstLength ? burstFactor : 1;
}

function drawByShare<Value>(shares: readonly (readonly [Value, number])[], random: Random): Value {
    let left = random() * shares.reduce((sum, [, share]) => sum + share, 0);
    for (const [value, share] of shares) {
        left -= share;
        if (left < 0) {
            return value;
        }
    }
    return shares[0][0];
}
