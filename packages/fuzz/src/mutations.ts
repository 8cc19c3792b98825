/**
 * Mutations of entries and sidecars. Each removes one mechanism that a promise relies on. The fuzzer must find the
 * promise that is broken then; otherwise its checks don't prove that promise.
 */
import type { PromiseName } from "./oracle.js";
import { defaultWorldPolicies, type WorldPolicies } from "./world.js";

/** A removed mechanism. */
export interface Mutation<Implementation> {
    readonly name: string;
    /** The mutation is found when one of these promises, or an invariant in the reducers, is broken. */
    readonly promises: readonly PromiseName[];
    /** The implementation without the mechanism. */
    readonly implementation: Implementation;
}

const { entry, sidecar } = defaultWorldPolicies;

const entryMutation = (
    name: string,
    promises: readonly PromiseName[],
    change: Partial<WorldPolicies["entry"]>,
): Mutation<WorldPolicies> => ({
    name,
    promises,
    implementation: { entry: { ...entry, ...change }, sidecar },
});

const sidecarMutation = (
    name: string,
    promises: readonly PromiseName[],
    change: Partial<WorldPolicies["sidecar"]>,
): Mutation<WorldPolicies> => ({
    name,
    promises,
    implementation: { entry, sidecar: { ...sidecar, ...change } },
});

/** Every mutation, with the promises that rely on the removed mechanism. */
export const mutations: readonly Mutation<WorldPolicies>[] = [
    entryMutation("no pinned attempt", ["tokens_once_in_order_one_generation"], { pinRule: () => true }),
    entryMutation("tokens not checked by index", ["tokens_once_in_order_one_generation", "whole_and_own_answer"], {
        acceptTokens: (ledger, attemptId, _from, texts) => {
            const from = ledger.next;
            ledger.pinnedAttempt ??= attemptId;
            ledger.next += texts.length;
            return { action: "forward", texts, from };
        },
    }),
    entryMutation("a fresh start after tokens were delivered", ["tokens_once_in_order_one_generation"], {
        mayRunAgain: request => request.work.idempotent,
    }),
    entryMutation("answers by order of arrival", ["whole_and_own_answer"], {
        findAttempt: state => [...state.attempts.values()][0],
    }),
    sidecarMutation("no tombstone", ["not_run_is_true"], { recordWithdrawal: () => undefined }),
    sidecarMutation("no check for superseded links", ["non_idempotent_at_most_once", "not_run_is_true"], {
        acceptsFrame: record => record !== undefined,
    }),
    entryMutation("a second run while the first is unknown", ["non_idempotent_at_most_once"], {
        mayRunAgain: () => true,
    }),
    entryMutation("every claim wins", ["non_idempotent_at_most_once"], { claimRule: () => true }),
    sidecarMutation("no gate for leaving", ["leaving_gets_no_new_work"], { refusesWork: () => false }),
    sidecarMutation("a sidecar stops without draining", ["planned_stop_cuts_nothing"], { mayExit: () => true }),
    entryMutation("an entry stops without draining", ["planned_stop_cuts_nothing"], { mayExit: () => true }),
    entryMutation("the last write wins", ["configuration_never_reverts"], { changeRule: () => true }),
];
