/**
 * The kinds of request that callers of the platform send, and the workers that serve them.
 */
import type { ServerPlan } from "@verbenaspring/emulator";

/** The kinds of request, by the name of their route. */
export type RequestKind = "confirm" | "lookup" | "plan" | "note";

/** A request of a kind, or one that only asks which configuration is in force. */
export type RequestOrProbeKind = RequestKind | "probe";

/** What a service's workers are. */
export type ServerKind = ServerPlan["kind"];

/** Prompt tokens of each request. */
export const promptTokens = 200;
/** What the engines have. */
export const engineMemory = 6_000;
export const tokensPerEvent = 4;

/** Whether the answer is a series of events. */
export function isStreamed(work: RequestOrProbeKind): boolean {
    return work === "plan" || work === "note";
}

/** The service that may run a request. */
export function serviceOf(work: RequestOrProbeKind): ServerKind {
    return isStreamed(work) ? "engine" : "plain";
}

/** Whether a request may run once at most, but for going on from a copy. */
export function mustRunAtMostOnce(work: RequestOrProbeKind): boolean {
    return work === "confirm" || work === "plan";
}

/** Events of a whole answer of so many tokens; 0 for plain calls. */
export function expectedEventCount(work: RequestOrProbeKind, tokens: number): number {
    return isStreamed(work) ? Math.ceil(tokens / tokensPerEvent) : 0;
}

/** A worker of a service. */
export function serverPlan(kind: ServerKind, id: string): ServerPlan {
    return kind === "plain" ? { kind, id, service: kind, slots: 4, workTime: 25 } : {
        kind,
        id,
        service: kind,
        slots: 12,
        memoryTokens: engineMemory,
        tokensPerEvent,
        stepTime: 8,
        stepTimePerRun: 0.5,
        prefillRate: 14,
        transferRate: 20,
    };
}
