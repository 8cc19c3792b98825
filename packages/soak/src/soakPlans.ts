/**
 * What a soak plays: the series of faults and planned operations, and what callers send meanwhile.
 */
import type { Random } from "@verbenaspring/coordination";
import { isStreamed, type RequestKind, type RequestOrProbeKind, routeTimeouts } from "@verbenaspring/fuzz";
import {
    answerLossKinds,
    changeKinds,
    configurationKinds,
    engineReplacementKinds,
    evacuationFaultKinds,
    faultKinds,
    type FaultSeries,
    harmlessFaultKinds,
    hostileFaultKinds,
    releaseFaultKinds,
    repeatedSignalKinds,
    slowGatewayKinds,
    stopKinds,
} from "./soakFaults.js";

/** The length of an answer, and the time limit of its request in milliseconds. */
export interface RequestSize {
    readonly length: number;
    readonly timeLimit: number;
    /** Whether the request says how many tokens its answer may have. */
    readonly statesLength: boolean;
}

/** What callers send. */
export interface CallerHabits {
    /** Requests are drawn evenly from these; a kind that is listed twice is twice as frequent. */
    readonly kinds: readonly RequestKind[];
    /** The share of the requests whose caller leaves before the end of the answer. */
    readonly leavingShare: number;
    /** The share of the requests that probe the route of a recent version of the configuration. */
    readonly probeShare: number;
    readonly drawSize: (kind: RequestOrProbeKind, random: Random) => RequestSize;
    /** Whether new connections are opened only where the load balancer allows it. */
    readonly areBalanced: boolean;
}

/** A plan of a soak. */
export interface SoakPlan {
    readonly series: readonly FaultSeries[];
    readonly callers: CallerHabits;
    readonly engines: number;
    /** Whether nothing but planned operations happens, so that requests may not fail after the last of them. */
    readonly isPlanned: boolean;
}

const allPauses = { minPause: 0, maxPause: 900 };
const maxShortLength = 300;

/** The tokens of a stream that doesn't state them. */
const unstatedLength = 160;
const maxLongLength = 800;
/** The share of the streams that don't state their length. */
const unstatedShare = 0.4;

/** The plans by name. */
export const soakPlans = {
    /** All faults, and planned operations among them. */
    faults: {
        series: [
            { kinds: faultKinds, ...allPauses, source: 2 },
            { kinds: harmlessFaultKinds, ...allPauses, source: 3 },
            { kinds: releaseFaultKinds, ...allPauses, source: 4 },
            { kinds: answerLossKinds, ...allPauses, source: 6 },
            { kinds: evacuationFaultKinds, ...allPauses, source: 7 },
            { kinds: hostileFaultKinds, ...allPauses, source: 8 },
            { kinds: changeKinds, ...allPauses, source: 9 },
        ],
        callers: {
            kinds: ["confirm", "confirm", "lookup", "plan", "plan", "note"],
            leavingShare: 0.08,
            probeShare: 0.15,
            areBalanced: false,
            drawSize: (kind, random) => ({
                length: isStreamed(kind) ? 1 + Math.floor(maxShortLength * random() ** 2) : 1,
                timeLimit: 1_000 + Math.floor(12_000 * random()),
                statesLength: true,
            }),
        },
        engines: 3,
        isPlanned: false,
    },
    /** Planned operations only, of which several happen at the same time. */
    stops: {
        series: [
            { kinds: stopKinds, minPause: 300, maxPause: 4_300, source: 10 },
            { kinds: repeatedSignalKinds, minPause: 200, maxPause: 1_500, source: 11 },
            { kinds: configurationKinds, minPause: 400, maxPause: 1_400, source: 12 },
            { kinds: engineReplacementKinds, minPause: 700, maxPause: 2_400, source: 13 },
            { kinds: slowGatewayKinds, minPause: 500, maxPause: 3_000, source: 14 },
        ],
        callers: {
            kinds: ["confirm", "lookup", "plan", "plan", "plan", "note"],
            leavingShare: 0,
            probeShare: 0.1,
            areBalanced: true,
            drawSize: (kind, random) => {
                const statesLength = random() >= unstatedShare;
                const maxLength = kind === "note" ? maxShortLength : maxLongLength;
                const length = statesLength ? 1 + Math.floor(maxLength * random()) : unstatedLength;
                return { length: isStreamed(kind) ? length : 1, timeLimit: routeTimeouts[kind], statesLength };
            },
        },
        engines: 6,
        isPlanned: true,
    },
} as const satisfies Readonly<Record<string, SoakPlan>>;

/** The name of a plan. */
export type SoakPlanName = keyof typeof soakPlans;
