/**
 * What a soak plays: the series of faults and planned operations, and what callers send meanwhile.
 */
import type { Random } from "@verbenaspring/coordination";
import {
    defaultEngines,
    type EngineProfile,
    isStreamed,
    promptTokens,
    type RequestKind,
    type RequestOrProbeKind,
    routeTimeouts,
    slowlyReadingEngines,
} from "@verbenaspring/fuzz";
import {
    answerLossKinds,
    changeKinds,
    configurationKinds,
    detachedRunKinds,
    engineCrashKinds,
    engineReplacementKinds,
    evacuationFaultKinds,
    faultKinds,
    type FaultSeries,
    gatewayRestartKinds,
    growingDelayKinds,
    harmlessFaultKinds,
    hostileFaultKinds,
    maxSuccessionDuration,
    readInterruptionKinds,
    releaseFaultKinds,
    repeatedSignalKinds,
    rollingStopKinds,
    slowGatewayKinds,
    stopKinds,
    successiveChangeKinds,
    unacknowledgedKinds,
} from "./soakFaults.js";

/** The lengths of a prompt and an answer in tokens, and the time limit of the request in milliseconds. */
export interface RequestSize {
    readonly promptTokens: number;
    readonly length: number;
    readonly timeLimit: number;
    /** Whether the request says how many tokens its answer may have. */
    readonly statesLength: boolean;
}

/** How a request is sent. */
export interface SendingHabits {
    /** Whether its body has no length and is sent in chunks, with pauses between them. */
    readonly isChunked: boolean;
    /** Whether its caller keeps the connection for the next request. */
    readonly keepsConnection: boolean;
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
    readonly drawSending: (random: Random) => SendingHabits;
    /** Draws the milliseconds between the end of a request at a time, which may be a refusal, and the caller's next one. */
    readonly drawThinkTime: (random: Random, now: number, isRefused: boolean) => number;
    /** Whether new connections are opened only where the load balancer allows it. */
    readonly areBalanced: boolean;
}

/** A plan of a soak. */
export interface SoakPlan {
    readonly series: readonly FaultSeries[];
    readonly callers: CallerHabits;
    readonly engines: number;
    readonly engineProfile: EngineProfile;
    /** Whether nothing but planned operations happens, so that requests may not fail after the last of them. */
    readonly isPlanned: boolean;
    /** The longest time in milliseconds between the two halves of a page of the store's newest records; 0 if absent. */
    readonly maxPageGap?: number;
    /** The share of the records with which the store deletes the history before any read gets them; 0 if absent. */
    readonly deletedHistoryShare?: number;
    /** The share of the engines whose streams have neither a length nor chunks; if absent, none, and reports are new. */
    readonly unframedShare?: number;
    /** Whether what gateways send each other passes through relays; false if absent. */
    readonly relaysPeerLinks?: boolean;
}

/** Milliseconds from the first of successive changes to the next ones, which leaves 5.5 s after the last of them. */
const calmPause = maxSuccessionDuration + 5_500;
const allPauses = { minPause: 0, maxPause: 900 };
const maxShortLength = 300;

/** The tokens of a stream that doesn't state them. */
const unstatedLength = 160;
const maxLongLength = 800;
/** The share of the streams that don't state their length. */
const unstatedShare = 0.4;

/** The prompts, and the answers, of short streams that wait for their first event. */
const [minLongPrompt, maxLongPrompt] = [2_000, 7_226];
const maxWaitingLength = 31;
/** The shares of their requests that have a body in chunks, and that close their connection. */
const chunkedShare = 0.6;
const closingShare = 0.5;

/** The longest time in milliseconds between an answer and the caller's next request. */
const maxThinkTime = 120;
const drawShortThinkTime = (random: Random): number => maxThinkTime * random();

/** In each period callers send more and more often, until the streams that wait at engines are many. */
const loadPeriod = 11_000;
const maxLongThinkTime = 12_000;

const drawShortSize = (kind: RequestOrProbeKind, random: Random): RequestSize => ({
    promptTokens,
    length: isStreamed(kind) ? 1 + Math.floor(maxShortLength * random() ** 2) : 1,
    timeLimit: 1_000 + Math.floor(12_000 * random()),
    statesLength: true,
});

const reuseConnections = (): SendingHabits => ({ isChunked: false, keepsConnection: true });

const shortRequests = {
    areBalanced: false,
    drawSending: reuseConnections,
    drawThinkTime: drawShortThinkTime,
    drawSize: drawShortSize,
};

/** Ordinary requests, and probes of the version of the configuration. */
const probingCallers: CallerHabits = {
    kinds: ["confirm", "lookup", "plan", "note"],
    leavingShare: 0,
    probeShare: 0.4,
    ...shortRequests,
};

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
            ...shortRequests,
        },
        engines: 3,
        engineProfile: defaultEngines,
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
            drawSending: reuseConnections,
            drawThinkTime: drawShortThinkTime,
            drawSize: (kind, random) => {
                const statesLength = random() >= unstatedShare;
                const maxLength = kind === "note" ? maxShortLength : maxLongLength;
                const length = statesLength ? 1 + Math.floor(maxLength * random()) : unstatedLength;
                return {
                    promptTokens,
                    length: isStreamed(kind) ? length : 1,
                    timeLimit: routeTimeouts[kind],
                    statesLength,
                };
            },
        },
        engines: 6,
        engineProfile: defaultEngines,
        isPlanned: true,
    },
    /** Links between gateways, and answers of the store, fall behind while the configuration changes. */
    delays: {
        series: [
            { kinds: growingDelayKinds, minPause: 2_000, maxPause: 6_000, source: 16 },
            { kinds: configurationKinds, minPause: 400, maxPause: 1_400, source: 17 },
        ],
        callers: probingCallers,
        engines: 3,
        engineProfile: defaultEngines,
        isPlanned: false,
        relaysPeerLinks: true,
    },
    /** The store loses configurations that nobody acknowledged and executes calls late, while gateways restart. */
    unacknowledged: {
        series: [
            { kinds: unacknowledgedKinds, minPause: 3_000, maxPause: 5_000, source: 20 },
            { kinds: readInterruptionKinds, minPause: 3_000, maxPause: 8_000, source: 21 },
        ],
        callers: probingCallers,
        engines: 3,
        engineProfile: defaultEngines,
        isPlanned: false,
    },
    /**
     * The store takes the records and the end of a page at different times and deletes its history, while the configuration
     * changes in quick succession and gateways stop and start.
     */
    snapshots: {
        series: [
            { kinds: successiveChangeKinds, minPause: calmPause, maxPause: calmPause, source: 22 },
            { kinds: gatewayRestartKinds, minPause: 4_000, maxPause: 9_000, source: 23 },
        ],
        callers: probingCallers,
        engines: 3,
        engineProfile: defaultEngines,
        isPlanned: false,
        maxPageGap: 700,
        deletedHistoryShare: 0.4,
    },
    /** Engines break the connections of streams and work on, while others are replaced. */
    detached: {
        series: [
            { kinds: detachedRunKinds, ...allPauses, source: 18 },
            { kinds: engineReplacementKinds, minPause: 2_000, maxPause: 5_000, source: 19 },
        ],
        callers: {
            kinds: ["plan", "plan", "plan", "lookup"],
            leavingShare: 0,
            probeShare: 0,
            areBalanced: false,
            drawSending: reuseConnections,
            drawThinkTime: drawShortThinkTime,
            drawSize: (kind, random) => ({
                promptTokens,
                length: isStreamed(kind) ? Math.ceil(maxLongLength * (1 + random()) / 2) : 1,
                timeLimit: routeTimeouts[kind],
                statesLength: true,
            }),
        },
        engines: 6,
        engineProfile: defaultEngines,
        isPlanned: false,
    },
    /** Engines write streams with neither a length nor chunks, crash and start again, and are replaced, while gateways stop. */
    unframed: {
        series: [
            { kinds: engineCrashKinds, minPause: 1_000, maxPause: 3_500, source: 26 },
            { kinds: engineReplacementKinds, minPause: 2_000, maxPause: 5_000, source: 27 },
            { kinds: stopKinds, minPause: 2_000, maxPause: 6_000, source: 28 },
        ],
        callers: {
            kinds: ["plan", "plan", "plan", "note", "note", "lookup"],
            leavingShare: 0.05,
            probeShare: 0,
            areBalanced: false,
            drawSending: reuseConnections,
            drawThinkTime: drawShortThinkTime,
            drawSize: (kind, random) => ({
                promptTokens,
                length: isStreamed(kind) ? 1 + Math.floor(maxLongLength * random()) : 1,
                timeLimit: 2_000 + Math.floor(routeTimeouts[kind] * random()),
                statesLength: true,
            }),
        },
        engines: 6,
        engineProfile: defaultEngines,
        isPlanned: false,
        unframedShare: 0.8,
    },
    /**
     * Gateways stop one after the other, so that their stops overlap and some have just started, while short streams with
     * long prompts wait at engines. More and more of them arrive at a time, so that earlier ones waited less than later ones do.
     */
    rolling: {
        series: [{ kinds: rollingStopKinds, minPause: 4_000, maxPause: 5_000, source: 15 }],
        callers: {
            kinds: ["note", "note", "note", "plan", "plan", "plan", "lookup"],
            leavingShare: 0,
            probeShare: 0,
            areBalanced: true,
            drawSending: random => ({
                isChunked: random() < chunkedShare,
                keepsConnection: random() >= closingShare,
            }),
            drawThinkTime: (random, now, isRefused) =>
                isRefused
                    ? drawShortThinkTime(random)
                    : maxLongThinkTime * (1 - now % loadPeriod / loadPeriod) ** 2 * random(),
            drawSize: (kind, random) => ({
                promptTokens: isStreamed(kind)
                    ? minLongPrompt + Math.floor((maxLongPrompt + 1 - minLongPrompt) * random() ** 2)
                    : promptTokens,
                length: isStreamed(kind) ? 1 + Math.floor(maxWaitingLength * random()) : 1,
                timeLimit: routeTimeouts[kind],
                statesLength: true,
            }),
        },
        engines: 5,
        engineProfile: slowlyReadingEngines,
        isPlanned: true,
    },
} as const satisfies Readonly<Record<string, SoakPlan>>;

/** The name of a plan. */
export type SoakPlanName = keyof typeof soakPlans;
