/**
 * The decisions that a sidecar is built from. Each is a function that an embedding program, an experiment or a test
 * may replace.
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

/** The replaceable decisions. */
export interface SidecarPolicies {
    readonly acceptsFrame: LinkRule;
    readonly admission: (objective: Objective) => AdmissionPolicy;
    readonly queueOrder: QueueOrder;
    readonly priority: PriorityPolicy;
    /** Whether short work may pass long work that does not fit. */
    readonly shortWorkMayPass: boolean;
    /** Whether new work is refused. */
    readonly refusesWork: (state: SidecarState) => boolean;
    /** Makes an attempt a tombstone. */
    readonly recordWithdrawal: (state: SidecarState, attempt: SidecarAttempt) => void;
    /** Whether a planned stop has nothing left to wait for. */
    readonly mayExit: (state: SidecarState) => boolean;
}

/** The decisions as the daemon takes them. */
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
