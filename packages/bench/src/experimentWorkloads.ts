/**
 * The workloads of the experiments. Output lengths are heavy-tailed, and no policy knows them in advance.
 */
import type { Random } from "@verbenaspring/coordination";
import { identifier, type Milliseconds, type OrganisationId } from "@verbenaspring/model";
import { drawLength } from "./mixedLoad.js";

/** A kind of request in a workload. */
export interface WorkloadRequestKind {
    readonly name: string;
    readonly workKind: "short" | "long";
    /** Its share of the requests. */
    readonly share: number;
    readonly medianTokens: number;
    /** Standard deviation of the logarithm of the output length. */
    readonly spread: number;
    readonly promptTokens: number;
    readonly deadline: Milliseconds;
}

/** A mix of requests of several kinds. */
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

const maxOutputTokens = 8_000;

/** A workload for each of the two users. */
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

/** Ten organisations with their shares of the requests: two large ones, one with bursts, seven small ones. */
const organisationShares: readonly (readonly [string, number])[] = [
    ["large-1", 0.3],
    ["large-2", 0.25],
    ["bursting", 0.1],
    ...Array.from({ length: 7 }, (_, index) => [`small-${index + 1}`, 0.05] as const),
];
const burstPeriod: Milliseconds = 60_000;
const burstLength: Milliseconds = 10_000;
const burstFactor = 4;

/** Whether an organisation is one of the small ones, whose stalls show whether the queue is fair. */
export function isSmallOrganisation(organisation: OrganisationId): boolean {
    return organisation.startsWith("small-");
}

/**
 * Draws the arrivals of a run: a Poisson process, in which one organisation has four times its share in the
 * first 10 s of each minute.
 *
 * @example
 * const requests = drawArrivals(workloads[0], 12, 300_000, source.random);
 */
export function drawArrivals(
    workload: Workload,
    requestsPerSecond: number,
    duration: Milliseconds,
    random: Random,
): WorkloadRequest[] {
    const requests: WorkloadRequest[] = [];
    for (let at = 0; at < duration; at += -Math.log(1 - random()) / requestsPerSecond * 1_000) {
        const kind = drawByShare(workload.requestKinds.map(each => [each, each.share] as const), random);
        const shares = organisationShares.map(([name, share]) => [name, share * burstFactorAt(name, at)] as const);
        const outputTokens = Math.min(maxOutputTokens, drawLength(kind.medianTokens, kind.spread, random));
        requests.push({ arrivesAt: at, organisation: identifier(drawByShare(shares, random)), kind, outputTokens });
    }
    return requests;
}

function burstFactorAt(organisation: string, at: Milliseconds): number {
    return organisation === "bursting" && at % burstPeriod < burstLength ? burstFactor : 1;
}

function drawByShare<Value>(shares: readonly (readonly [Value, number])[], random: Random): Value {
    let remaining = random() * shares.reduce((sum, [, share]) => sum + share, 0);
    for (const [value, share] of shares) {
        remaining -= share;
        if (remaining < 0) {
            return value;
        }
    }
    return shares[0][0];
}
