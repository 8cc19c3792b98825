/**
 * The actions of a schedule for entries and sidecars, and how fast-check generates them. The numbers of entries,
 * backend servers and callers are taken modulo how many there are.
 */
import * as fc from "fast-check";

/** An action of a schedule. Durations are in milliseconds. */
export type Action =
    | {
        readonly kind: "ask";
        readonly work: "stream" | "whole" | "lookup" | "confirm" | "keyed";
        readonly entry: number;
        readonly length: number;
        readonly timeLimit: number;
    }
    | { readonly kind: "leave"; readonly caller: number; }
    | { readonly kind: "resume"; readonly caller: number; readonly entry: number; }
    | { readonly kind: "repeat"; readonly caller: number; readonly entry: number; }
    | { readonly kind: "block"; readonly caller: number; readonly duration: number; }
    | {
        readonly kind: "holdLink";
        readonly entry: number;
        readonly backend: number;
        readonly direction: "up" | "down" | "both";
        /** By how much the frames are delayed; undefined if they never arrive. */
        readonly lateBy: number | undefined;
    }
    | { readonly kind: "holdOpening"; readonly entry: number; readonly backend: number; readonly lateBy: number; }
    | { readonly kind: "dropLink"; readonly entry: number; readonly backend: number; }
    | { readonly kind: "killEntry"; readonly entry: number; }
    | { readonly kind: "killSidecar"; readonly backend: number; }
    | { readonly kind: "freezeEntry"; readonly entry: number; readonly duration: number; }
    | { readonly kind: "freezeSidecar"; readonly backend: number; readonly duration: number; }
    | { readonly kind: "killBackend"; readonly backend: number; readonly duration: number; }
    | { readonly kind: "stallBackend"; readonly backend: number; readonly duration: number; }
    | { readonly kind: "breakStreams"; readonly backend: number; }
    | { readonly kind: "breakAnswers"; readonly backend: number; readonly duration: number; }
    | { readonly kind: "slowService"; readonly backend: number; readonly duration: number; }
    | { readonly kind: "logOutage"; readonly duration: number; }
    | { readonly kind: "logSlow"; readonly duration: number; readonly slowness: number; }
    | { readonly kind: "logLosesAnswers"; readonly duration: number; }
    | { readonly kind: "drain"; readonly backend: number; readonly entry: number; }
    | { readonly kind: "restore"; readonly backend: number; readonly entry: number; }
    | { readonly kind: "race"; readonly backend: number; readonly entry: number; }
    | { readonly kind: "reclaim"; readonly backend: number; readonly duration: number; }
    | { readonly kind: "stopSidecar"; readonly backend: number; }
    | { readonly kind: "stopEntry"; readonly entry: number; };

/** An action and the pause before it, in milliseconds. */
export interface Step {
    readonly pause: number;
    readonly action: Action;
}

/** The actions of one run. */
export interface Schedule {
    /** Seeds latencies, engines and identifiers. */
    readonly seed: number;
    readonly steps: readonly Step[];
}

const slot = fc.nat(11);
const caller = fc.nat(30);
const shortTime = fc.integer({ min: 50, max: 3_000 });
const longTime = fc.integer({ min: 200, max: 9_000 });

const arbitraryAction = <Kind extends Action["kind"], Fields>(
    kind: Kind,
    fields: { [Name in keyof Fields]: fc.Arbitrary<Fields[Name]>; },
) => fc.record({ kind: fc.constant(kind), ...fields }) as unknown as fc.Arbitrary<Action>;

const callerRequest = arbitraryAction("ask", {
    work: fc.constantFrom("stream", "stream", "whole", "lookup", "confirm", "confirm", "keyed", "keyed"),
    entry: slot,
    length: fc.oneof(fc.integer({ min: 1, max: 20 }), fc.integer({ min: 20, max: 120 })),
    timeLimit: fc.integer({ min: 1_000, max: 15_000 }),
});

const callerActions = fc.oneof(
    arbitraryAction("leave", { caller }),
    arbitraryAction("resume", { caller, entry: slot }),
    arbitraryAction("repeat", { caller, entry: slot }),
    arbitraryAction("block", { caller, duration: shortTime }),
);

const linkFaults = fc.oneof(
    {
        arbitrary: arbitraryAction("holdLink", {
            entry: slot,
            backend: slot,
            direction: fc.constantFrom("up", "down", "both"),
            lateBy: fc.option(fc.integer({ min: 100, max: 12_000 }), { nil: undefined }),
        }),
        weight: 4,
    },
    { arbitrary: arbitraryAction("holdOpening", { entry: slot, backend: slot, lateBy: longTime }), weight: 1 },
    { arbitrary: arbitraryAction("dropLink", { entry: slot, backend: slot }), weight: 2 },
);

const processFaults = fc.oneof(
    arbitraryAction("killEntry", { entry: slot }),
    arbitraryAction("killSidecar", { backend: slot }),
    arbitraryAction("freezeEntry", { entry: slot, duration: longTime }),
    arbitraryAction("freezeSidecar", { backend: slot, duration: longTime }),
);

const backendFaults = fc.oneof(
    arbitraryAction("killBackend", { backend: slot, duration: shortTime }),
    arbitraryAction("stallBackend", { backend: slot, duration: shortTime }),
    arbitraryAction("breakStreams", { backend: slot }),
    arbitraryAction("breakAnswers", { backend: slot, duration: shortTime }),
    arbitraryAction("slowService", { backend: slot, duration: longTime }),
);

const platformFaults = fc.oneof(
    arbitraryAction("logOutage", { duration: longTime }),
    arbitraryAction("logSlow", { duration: longTime, slowness: fc.integer({ min: 100, max: 4_000 }) }),
    arbitraryAction("logLosesAnswers", { duration: longTime }),
);

const operatorActions = fc.oneof(
    arbitraryAction("drain", { backend: slot, entry: slot }),
    arbitraryAction("restore", { backend: slot, entry: slot }),
    arbitraryAction("race", { backend: slot, entry: slot }),
);

const plannedStops = fc.oneof(
    arbitraryAction("stopSidecar", { backend: slot }),
    arbitraryAction("stopEntry", { entry: slot }),
    arbitraryAction("reclaim", { backend: slot, duration: longTime }),
);

const action = fc.oneof(
    { arbitrary: callerRequest, weight: 12 },
    { arbitrary: callerActions, weight: 5 },
    { arbitrary: linkFaults, weight: 4 },
    { arbitrary: processFaults, weight: 2 },
    { arbitrary: backendFaults, weight: 2 },
    { arbitrary: platformFaults, weight: 2 },
    { arbitrary: operatorActions, weight: 3 },
    { arbitrary: plannedStops, weight: 2 },
);

/** Generates schedules of up to `steps` steps. */
export function schedules(steps: number): fc.Arbitrary<Schedule> {
    const step = fc.record({ pause: fc.oneof(fc.nat(40), fc.nat(900)), action });
    return fc.record({
        seed: fc.integer({ min: 1, max: 0x7fffffff }),
        steps: fc.array(step, { minLength: 1, maxLength: steps, size: "max" }),
    });
}
