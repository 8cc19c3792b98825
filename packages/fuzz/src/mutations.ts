/**
 * Mutations: each removes one mechanism of a promise. The fuzzer must find the break, or the promise has no proof.
 */
import type { PromiseName } from "./oracle.js";
import { defaultWorldParts, type WorldParts } from "./world.js";

/** One mechanism removed. */
export interface Mutation<Parts> {
    readonly name: string;
    /** A breach of any of these, or an invariant in the reducers, shows the break. */
    readonly promises: readonly PromiseName[];
    readonly parts: Parts;
}

const { entry, sidecar } = defaultWorldParts;

const entryMutation = (
    name: string,
    promises: readonly PromiseName[],
    change: Partial<WorldParts["entry"]>,
): Mutation<WorldParts> => ({
    name,
    promises,
    parts: { entry: { ...entry, ...change }, sidecar },
});

const sidecarMutation = (
    name: string,
    promises: readonly PromiseName[],
    change: Partial<WorldParts["sidecar"]>,
): Mutation<WorldParts> => ({
    name,
    promises,
    parts: { entry, sidecar: { ...sidecar, ...change } },
});

/** Every mutation, with the promise that it takes the ground from. */
export const mutations: readonly Mutation<WorldParts>[] = [
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
