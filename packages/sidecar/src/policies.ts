/**
 * The policies of a sidecar. Each is a function that an embedding program, an experiment or a test may replace.
 */
import {
    type AdmissionPolicy,
    admitByForecast,
    fairShortFirst,
    type LinkRule,
    marginsByObjective,
    newestLinkOnly,
    type PriorityPolicy,
    type QueueOrder,
    shortFirstPriority,
} from "@verbenaspring/coordination";
import type { Objective } from "@verbenaspring/model";
import { isLeaving, type SidecarAttempt, type SidecarState } from "./state.js";

/** The replaceable policies of a sidecar. */
export interface SidecarPolicies {
    readonly acceptsFrame: LinkRule;
    readonly admission: (objective: Objective) => AdmissionPolicy;
    readonly queueOrder: QueueOrder;
    readonly priority: PriorityPolicy;
    /** Whether short work may start before long work that admission refuses for now. */
    readonly shortWorkMayPass: boolean;
    /** Whether new work is refused. */
    readonly refusesWork: (state: SidecarState) => boolean;
    /** Turns an attempt that was refused or withdrawn into a tombstone. */
    readonly recordWithdrawal: (state: SidecarState, attempt: SidecarAttempt) => void;
    /** Whether nothing is in progress that a planned stop waits for. */
    readonly mayExit: (state: SidecarState) => boolean;
}

/** The policies that the daemon uses. */
export const defaultSidecarPolicies: SidecarPolicies = {
    acceptsFrame: newestLinkOnly,
    admission: objective => admitByForecast(marginsByObjective[objective]),
    queueOrder: fairShortFirst,
    priority: shortFirstPriority,
    shortWorkMayPass: true,
    refusesWork: isLeaving,
    recordWithdrawal: (state, attempt) => {
        state.queue.delete(attempt.id);
        attempt.phase = "withdrawn";
    },
    mayExit: state => state.running.size === 0 && ![...state.attempts.values()].some(isUnsettled),
};

function isUnsettled(attempt: SidecarAttempt): boolean {
    return attempt.phase !== "withdrawn";
}
