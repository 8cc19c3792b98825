/**
 * Decides which requests may be sent, from the crashes of backend servers. A server that crashes does not tell why, so
 * each crash counts against all suspects that were there: the runs that had not begun to answer, and the shared parts of
 * their prompts. A suspect is innocent once a run with it begins; one that crashes server after server, and never begins,
 * is suspended.
 */
import type { Milliseconds } from "@verbenaspring/model";

/**
 * What a suspect is: a whole request, which comes again with the same content, or a part of prompts. It is common if other
 * requests are likely to need it, or a run with it began before.
 */
export type SuspectKind = "rare" | "common" | "request";

/** What is known of a suspect. */
export interface SuspectHistory {
    /** When servers crashed under runs with it, since a run with it last began. */
    readonly crashTimes: readonly Milliseconds[];
    readonly kind: SuspectKind;
}

interface SuspensionRule {
    /** Crashes after which a suspect is suspended. */
    readonly crashes: number;
    /** From the last of these crashes to the next try. */
    readonly pause: Milliseconds;
    /** By how much each further crash multiplies the pause. */
    readonly growth: number;
}

/** A common suspect is suspended later, and tried again sooner. A request is tried last: no other one waits for it. */
const rules: Readonly<Record<SuspectKind, SuspensionRule>> = {
    rare: { crashes: 2, pause: 15_000, growth: 2 },
    common: { crashes: 4, pause: 1_000, growth: 4 },
    request: { crashes: 2, pause: 60_000, growth: 2 },
};

/** The longest time without a try. */
const longestPause: Milliseconds = 600_000;
/** Crashes closer together than this count as one: servers that lose power together crash for another reason. */
const jointCrashInterval: Milliseconds = 300;

/**
 * Returns until when a suspect is suspended; undefined if it is not. After that time one run may try it.
 *
 * @example
 * const until = suspendedUntil({ crashTimes: [1_000, 2_500], kind: "rare" }); // 17_500
 */
export function suspendedUntil({ crashTimes, kind }: SuspectHistory): Milliseconds | undefined {
    const { crashes, pause, growth } = rules[kind];
    const separate = separateCrashes(crashTimes);
    const further = separate.length - crashes;
    return further < 0 ? undefined : separate[separate.length - 1] + Math.min(longestPause, pause * growth ** further);
}

/** The times of crashes, without those that came together with an earlier one. */
function separateCrashes(times: readonly Milliseconds[]): Milliseconds[] {
    const separate: Milliseconds[] = [];
    for (const time of [...times].sort((one, other) => one - other)) {
        if (separate.length === 0 || time - separate[separate.length - 1] >= jointCrashInterval) {
            separate.push(time);
        }
    }
    return separate;
}
