/**
 * The kinds of request that callers of the platform send, and the backend servers that serve them.
 */
import type { ServerPlan } from "@verbenaspring/emulator";

/** A kind of request, by the name of its route. */
export type RequestKind = "confirm" | "lookup" | "plan" | "note";

/** A kind of request, or a probe that finds out which configuration is in force. */
export type RequestOrProbeKind = RequestKind | "probe";

/** The kind of a service's backend servers. */
export type ServerKind = ServerPlan["kind"];

/** Prompt tokens of each request. */
export const promptTokens = 200;
/** The memory of engines, how fast they read prompts, and how soon streams are to begin. */
export interface EngineProfile {
    /** In tokens. */
    readonly memoryTokens: number;
    /** Prompt tokens in a millisecond. */
    readonly prefillRate: number;
    /** The target latencies of the routes of streams, in milliseconds. */
    readonly targetLatencies: { readonly plan: number; readonly note: number; };
}

/** Engines at which the short prompts of most requests don't wait. */
export const defaultEngines: EngineProfile = {
    memoryTokens: 6_000,
    prefillRate: 14,
    targetLatencies: { plan: 1_800, note: 1_500 },
};
/** Engines at which long prompts wait for seconds, since they are read one after the other. */
export const slowlyReadingEngines: EngineProfile = {
    memoryTokens: 60_000,
    prefillRate: 3,
    targetLatencies: { plan: 5_000, note: 4_000 },
};
/** Tokens that an engine sends in one event. */
export const tokensPerEvent = 4;
/** Tokens of a run's memory that an engine transfers in a millisecond. */
export const transferRate = 20;

/** How old the report of an engine may be, in milliseconds, where it is not of the present. */
const reportInterval = 300;

/** Whether the answer is a stream of events. */
export function isStreamed(kind: RequestOrProbeKind): boolean {
    return kind === "plan" || kind === "note";
}

/** The service that may run a request. */
export function serviceOf(kind: RequestOrProbeKind): ServerKind {
    return isStreamed(kind) ? "engine" : "plain";
}

/** Whether a request may run at most once, not counting runs that continue from a replica. */
export function mustRunAtMostOnce(kind: RequestOrProbeKind): boolean {
    return kind === "confirm" || kind === "plan";
}

/** The number of events of a complete answer with a number of tokens; 0 for plain calls. */
export function expectedEventCount(kind: RequestOrProbeKind, tokens: number): number {
    return isStreamed(kind) ? Math.ceil(tokens / tokensPerEvent) : 0;
}

/** The same plan of a backend server; an engine ends runs at their time limits, has old reports, and may frame no stream. */
export function withOldReports(plan: ServerPlan, isUnframed: boolean): ServerPlan {
    return plan.kind === "plain" ? plan : { ...plan, stopsAtTimeLimit: true, reportInterval, isUnframed };
}

/** The plan of a backend server of a service. */
export function serverPlan(
    kind: ServerKind,
    id: string,
    softwareVersion?: string,
    { memoryTokens, prefillRate }: EngineProfile = defaultEngines,
): ServerPlan {
    return kind === "plain" ? { kind, id, service: kind, softwareVersion, slots: 4, workTime: 25 } : {
        kind,
        id,
        service: kind,
        softwareVersion,
        slots: 12,
        memoryTokens,
        tokensPerEvent,
        stepTime: 8,
        stepTimePerRun: 0.5,
        prefillRate,
        transferRate,
    };
}
