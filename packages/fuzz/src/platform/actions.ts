/**
 * What can happen on the users' platform in a schedule, drawn by fast-check. Slots are taken modulo what there is.
 */
import type { ServerBehaviour, StoreBehaviour } from "@verbenaspring/emulator";
import * as fc from "fast-check";
import type { RequestKind } from "./works.js";

/** What callers and the operator do. */
export type CallerAction =
    | {
        readonly kind: "ask";
        readonly work: RequestKind;
        readonly gateway: number;
        /** Tokens of the answer of a stream. */
        readonly length: number;
        readonly timeLimit: number;
    }
    | { readonly kind: "leave"; readonly caller: number; }
    | { readonly kind: "configure"; }
    /** The configuration before the newest one is written once more. */
    | { readonly kind: "rewriteOld"; }
    /** Asks for the route that one of the last versions added. */
    | { readonly kind: "probe"; readonly gateway: number; readonly back: number; };

/** What happens to gateways. */
export type GatewayAction =
    | {
        readonly kind: "killGateway";
        readonly gateway: number;
        readonly how: "reset" | "power";
        readonly away: number;
    }
    | { readonly kind: "freezeGateway"; readonly gateway: number; readonly duration: number; }
    | { readonly kind: "stopGateway"; readonly gateway: number; }
    | { readonly kind: "cutGateways"; readonly gateway: number; readonly other: number; readonly duration: number; }
    | { readonly kind: "silenceGateways"; readonly gateway: number; readonly other: number; }
    | { readonly kind: "cutServer"; readonly gateway: number; readonly server: number; readonly duration: number; }
    | { readonly kind: "silenceServer"; readonly gateway: number; readonly server: number; };

/** What happens to the store, and between it and a gateway. */
export type StoreAction =
    | { readonly kind: "storeBehaves"; readonly behaviour: StoreBehaviour; readonly duration: number; }
    | { readonly kind: "storeSlow"; readonly slowness: number; readonly duration: number; }
    | { readonly kind: "compact"; }
    | { readonly kind: "turnAway"; readonly gateway: number; readonly duration: number; }
    | { readonly kind: "cutStore"; readonly gateway: number; readonly duration: number; }
    | { readonly kind: "silenceStore"; readonly gateway: number; };

/** What happens to workers. */
export type ServerAction =
    | { readonly kind: "crashServer"; readonly server: number; readonly away: number; }
    | { readonly kind: "restartServer"; readonly server: number; }
    | { readonly kind: "replaceServer"; readonly server: number; readonly after: number; }
    | { readonly kind: "reuseAddress"; readonly server: number; }
    | {
        readonly kind: "serverBehaves";
        readonly server: number;
        readonly behaviour: ServerBehaviour;
        readonly duration: number;
    }
    | { readonly kind: "garbleEntry"; readonly server: number; }
    | { readonly kind: "loseHeartbeats"; readonly server: number; readonly duration: number; };

/** One step of a schedule. Durations are in milliseconds. */
export type PlatformAction = CallerAction | GatewayAction | StoreAction | ServerAction;

/** A step with the time before it. */
export interface PlatformStep {
    readonly pause: number;
    readonly action: PlatformAction;
}

/** A whole schedule. */
export interface PlatformSchedule {
    /** Seeds latencies, choices and identifiers. */
    readonly seed: number;
    readonly steps: readonly PlatformStep[];
}

const slot = fc.nat(11);
const shortTime = fc.integer({ min: 50, max: 3_000 });
const longTime = fc.integer({ min: 200, max: 9_000 });

const record = <Kind extends PlatformAction["kind"], Fields>(
    kind: Kind,
    fields: { [Name in keyof Fields]: fc.Arbitrary<Fields[Name]>; },
) => fc.record({ kind: fc.constant(kind), ...fields }) as unknown as fc.Arbitrary<PlatformAction>;

const ask = record("ask", {
    work: fc.constantFrom("confirm", "confirm", "lookup", "plan", "plan", "note"),
    gateway: slot,
    length: fc.oneof(fc.integer({ min: 1, max: 60 }), fc.integer({ min: 60, max: 500 })),
    timeLimit: fc.integer({ min: 500, max: 15_000 }),
});

const callerActions = fc.oneof(
    { arbitrary: record("leave", { caller: fc.nat(30) }), weight: 2 },
    { arbitrary: record("configure", {}), weight: 2 },
    { arbitrary: record("rewriteOld", {}), weight: 1 },
    { arbitrary: record("probe", { gateway: slot, back: fc.nat(3) }), weight: 4 },
);

const gatewayActions = fc.oneof(
    record("killGateway", { gateway: slot, how: fc.constantFrom("reset", "power"), away: shortTime }),
    record("freezeGateway", { gateway: slot, duration: longTime }),
    record("stopGateway", { gateway: slot }),
    record("cutGateways", { gateway: slot, other: slot, duration: longTime }),
    record("silenceGateways", { gateway: slot, other: slot }),
    record("cutServer", { gateway: slot, server: slot, duration: shortTime }),
    record("silenceServer", { gateway: slot, server: slot }),
);

const storeActions = fc.oneof(
    record("storeBehaves", { behaviour: fc.constantFrom("busy", "silent"), duration: longTime }),
    record("storeSlow", { slowness: fc.integer({ min: 100, max: 1_500 }), duration: longTime }),
    record("compact", {}),
    record("turnAway", { gateway: slot, duration: longTime }),
    record("cutStore", { gateway: slot, duration: longTime }),
    record("silenceStore", { gateway: slot }),
);

const behaviours = ["shed", "error", "break", "silent", "foreign", "slow"] as const;

const serverActions = fc.oneof(
    record("crashServer", { server: slot, away: shortTime }),
    record("restartServer", { server: slot }),
    record("replaceServer", { server: slot, after: fc.integer({ min: 3_300, max: 9_000 }) }),
    record("reuseAddress", { server: slot }),
    record("serverBehaves", { server: slot, behaviour: fc.constantFrom(...behaviours), duration: shortTime }),
    record("garbleEntry", { server: slot }),
    record("loseHeartbeats", { server: slot, duration: longTime }),
);

const action = fc.oneof(
    { arbitrary: ask, weight: 14 },
    { arbitrary: callerActions, weight: 5 },
    { arbitrary: gatewayActions, weight: 3 },
    { arbitrary: storeActions, weight: 2 },
    { arbitrary: serverActions, weight: 4 },
);

/** Schedules of up to `steps` steps. */
export function platformSchedules(steps: number): fc.Arbitrary<PlatformSchedule> {
    const step = fc.record({ pause: fc.oneof(fc.nat(40), fc.nat(900)), action });
    return fc.record({
        seed: fc.integer({ min: 1, max: 0x7fffffff }),
        steps: fc.array(step, { minLength: 1, maxLength: steps, size: "max" }),
    });
}

const callerKinds: ReadonlySet<string> = new Set(["ask", "leave", "configure", "rewriteOld", "probe"]);
const storeKinds: ReadonlySet<string> = new Set([
    "storeBehaves",
    "storeSlow",
    "compact",
    "turnAway",
    "cutStore",
    "silenceStore",
]);
const gatewayKinds: ReadonlySet<string> = new Set([
    "killGateway",
    "freezeGateway",
    "stopGateway",
    "cutGateways",
    "silenceGateways",
    "cutServer",
    "silenceServer",
]);

export function isCallerAction(step: PlatformAction): step is CallerAction {
    return callerKinds.has(step.kind);
}

export function isStoreAction(step: PlatformAction): step is StoreAction {
    return storeKinds.has(step.kind);
}

export function isGatewayAction(step: PlatformAction): step is GatewayAction {
    return gatewayKinds.has(step.kind);
}
