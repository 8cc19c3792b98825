/**
 * The actions of a schedule on the users' platform, and how fast-check generates them. The numbers of gateways, servers
 * and callers are taken modulo how many there are.
 */
import {
    type BeyondEndAnswer,
    failureDomains,
    type GrowingDelay,
    type PageTiming,
    type ServerBehaviour,
    type StoreBehaviour,
} from "@verbenaspring/emulator";
import type { Milliseconds } from "@verbenaspring/model";
import * as fc from "fast-check";
import type { RequestKind } from "./requestKinds.js";
import type { ProbeSubject } from "./versions.js";

/** Actions of callers and of the operator. */
export type CallerAction =
    | {
        readonly kind: "ask";
        readonly work: RequestKind;
        readonly gateway: number;
        /** Tokens of a streamed answer. */
        readonly length: number;
        readonly timeLimit: number;
        /** Whether the request doesn't say how many tokens its answer may have. */
        readonly hidesLength?: boolean;
        /** Tokens of its prompt; by default few. */
        readonly prompt?: number;
    }
    /** Many callers send such a request at the same time, each to the next gateway. */
    | {
        readonly kind: "askTogether";
        readonly work: RequestKind;
        readonly gateway: number;
        readonly callers: number;
        readonly length: number;
        readonly prompt: number;
    }
    | { readonly kind: "leave"; readonly caller: number; }
    /** A caller whose stream broke off takes it up at a gateway. */
    | { readonly kind: "takeUp"; readonly caller: number; readonly gateway: number; }
    | { readonly kind: "configure"; }
    /** Writes versions of the configuration one after the other, with so much time between them. */
    | { readonly kind: "configureInTurn"; readonly versions: number; readonly interval: number; }
    /** Sends a configuration to the store, which executes the call after a delay and doesn't answer it. */
    | { readonly kind: "configureUnanswered"; readonly delay: number; }
    /** Writes the configuration before the newest one again. */
    | { readonly kind: "rewriteOld"; }
    /**
     * A part of a prompt crashes each engine that begins to answer on it, while requests arrive ten times a second, a
     * third of them with it.
     */
    | { readonly kind: "deadlyPart"; readonly duration: number; }
    /**
     * The operator requests the evacuation of a failure domain, of which the last number names one that does not exist,
     * and withdraws it after the duration. Meanwhile and some seconds longer requests arrive twenty times a second.
     */
    | { readonly kind: "evacuate"; readonly domain: number; readonly duration: number; }
    /** A request crashes each server that begins to run it, and comes again as often as those with a deadly part. */
    | { readonly kind: "deadlyRequest"; readonly work: RequestKind; readonly duration: number; }
    /** Sends a request for what one of the last versions added, by default its route. */
    | {
        readonly kind: "probe";
        readonly gateway: number;
        readonly back: number;
        readonly subject?: ProbeSubject;
    };

/** Faults and planned stops of gateways, and faults of their links to each other and to servers. */
export type GatewayAction =
    | {
        readonly kind: "killGateway";
        readonly gateway: number;
        readonly how: "reset" | "power";
        readonly away: number;
    }
    | { readonly kind: "killAllGateways"; readonly gateway: number; readonly away: number; }
    | { readonly kind: "freezeGateway"; readonly gateway: number; readonly duration: number; }
    | { readonly kind: "stopGateway"; readonly gateway: number; }
    /** Stops all gateways one after the other, with so much time between them that their stops overlap. */
    | { readonly kind: "stopInTurn"; readonly gateway: number; readonly interval: number; }
    | { readonly kind: "cutGateways"; readonly gateway: number; readonly other: number; readonly duration: number; }
    | { readonly kind: "silenceGateways"; readonly gateway: number; readonly other: number; }
    /** The links of a gateway to all others fall behind: what it sends, what it receives, or both. */
    | {
        readonly kind: "delayLinks";
        readonly gateway: number;
        readonly direction: "from" | "to" | "both";
        readonly delay: GrowingDelay;
    }
    | { readonly kind: "cutServer"; readonly gateway: number; readonly server: number; readonly duration: number; }
    | { readonly kind: "silenceServer"; readonly gateway: number; readonly server: number; };

/** Faults and compaction of the store, and faults between it and a gateway. */
export type StoreAction =
    | { readonly kind: "storeBehaves"; readonly behaviour: StoreBehaviour; readonly duration: number; }
    | { readonly kind: "storeSlow"; readonly slowness: number; readonly duration: number; }
    | { readonly kind: "compact"; }
    /** The store loses the newest records of the operator's topic that nobody acknowledged. */
    | { readonly kind: "loseUnacknowledged"; }
    /**
     * Gateways read a configuration that nobody acknowledged. The store loses it, refuses all reads for the duration, and
     * acknowledges another one meanwhile.
     */
    | { readonly kind: "failOver"; readonly duration: number; }
    | { readonly kind: "turnAway"; readonly gateway: number; readonly duration: number; }
    | { readonly kind: "cutStore"; readonly gateway: number; readonly duration: number; }
    | { readonly kind: "silenceStore"; readonly gateway: number; }
    /** The store's answers reach a gateway later and later. */
    | { readonly kind: "delayAnswers"; readonly gateway: number; readonly delay: GrowingDelay; };

/** Ends of backend servers, of which each is followed by the start of another one. */
export type ServerReplacement =
    | { readonly kind: "crashServer"; readonly server: number; readonly away: number; }
    | { readonly kind: "restartServer"; readonly server: number; }
    /**
     * The server crashes and starts again under its id at its address. If it is cold then, requests that it could run
     * arrive forty times a second.
     */
    | { readonly kind: "restartInPlace"; readonly server: number; readonly away: number; }
    /**
     * The server crashes, and a supervisor keeps its listener: connections are accepted and wait until the server has started
     * again under its id at its address.
     */
    | { readonly kind: "restartBehindListener"; readonly server: number; readonly away: number; }
    | { readonly kind: "replaceServer"; readonly server: number; readonly after: number; }
    /** The registration is removed without a notice, and the server serves on for a while. */
    | { readonly kind: "withdrawServer"; readonly server: number; readonly after: number; }
    | { readonly kind: "reuseAddress"; readonly server: number; };

/** Faults and replacements of backend servers. */
export type ServerAction =
    | ServerReplacement
    /** Servers that start from now on run a new version of their software. */
    | { readonly kind: "release"; readonly server: number; }
    | {
        readonly kind: "serverBehaves";
        readonly server: number;
        readonly behaviour: ServerBehaviour;
        readonly duration: number;
    }
    /** The server declares a limit, while requests that it could run arrive twenty times a second. */
    | {
        readonly kind: "limitServer";
        readonly server: number;
        readonly perSecond: number;
        readonly duration: number;
    }
    /**
     * The server says in its answers that it leaves, long before its registration says so, while requests that it could
     * run arrive twenty times a second.
     */
    | { readonly kind: "giveNotice"; readonly server: number; readonly duration: number; }
    /**
     * The server refuses everything and asks for pauses, while requests that it could run arrive twenty times a second.
     */
    | {
        readonly kind: "pauseServer";
        readonly server: number;
        readonly pause: number;
        readonly duration: number;
    }
    /** The server becomes cold, while requests that it could run arrive forty times a second. */
    | { readonly kind: "coldServer"; readonly server: number; readonly duration: number; }
    | { readonly kind: "garbleEntry"; readonly server: number; }
    | { readonly kind: "loseHeartbeats"; readonly server: number; readonly duration: number; };

/** An action of a schedule. Durations are in milliseconds. */
export type PlatformAction = CallerAction | GatewayAction | StoreAction | ServerAction;

/** An action and the pause before it, in milliseconds. */
export interface PlatformStep {
    readonly pause: number;
    readonly action: PlatformAction;
}

/** The actions of one run. */
export interface PlatformSchedule {
    /** Seeds latencies, choices and identifiers. */
    readonly seed: number;
    /** How long servers are cold after they start and after evacuations; they are never cold if absent. */
    readonly coldDuration?: number;
    /** Whether engines read prompts so slowly that long ones wait for each other; false if absent. */
    readonly areEnginesSlow?: boolean;
    /** How the store answers reads from beyond the end of a topic; with the end if absent. */
    readonly beyondEndAnswer?: BeyondEndAnswer;
    /** When the store takes the records and the end of a page of the newest records; at one time if absent. */
    readonly pageTiming?: PageTiming;
    /** The share of the records with which the store deletes the history before any read gets them; 0 if absent. */
    readonly deletedHistoryShare?: number;
    /**
     * The share of the engines whose streams have neither a length nor chunks. All engines then end runs at the time limits
     * of their calls, and their reports are old. If absent, streams are framed, time limits end no run and reports are new.
     */
    readonly unframedShare?: number;
    readonly steps: readonly PlatformStep[];
}

/** The failure domains that schedules evacuate: those of the servers, and one more. */
export const evacuationDomains = failureDomains.length + 1;

const slot = fc.nat(11);
const shortTime = fc.integer({ min: 50, max: 3_000 });
const longTime = fc.integer({ min: 200, max: 9_000 });

const arbitraryAction = <Kind extends PlatformAction["kind"], Fields>(
    kind: Kind,
    fields: { [Name in keyof Fields]: fc.Arbitrary<Fields[Name]>; },
) => fc.record({ kind: fc.constant(kind), ...fields }) as unknown as fc.Arbitrary<PlatformAction>;

const callerRequest = arbitraryAction("ask", {
    work: fc.constantFrom("confirm", "confirm", "lookup", "plan", "plan", "note"),
    gateway: slot,
    length: fc.oneof(fc.integer({ min: 1, max: 60 }), fc.integer({ min: 60, max: 500 })),
    timeLimit: fc.integer({ min: 500, max: 15_000 }),
});

const callerActions = fc.oneof(
    { arbitrary: arbitraryAction("leave", { caller: fc.nat(30) }), weight: 2 },
    { arbitrary: arbitraryAction("configure", {}), weight: 2 },
    { arbitrary: arbitraryAction("rewriteOld", {}), weight: 1 },
    { arbitrary: arbitraryAction("probe", { gateway: slot, back: fc.nat(3) }), weight: 4 },
);

const gatewayActions = fc.oneof(
    arbitraryAction("killGateway", { gateway: slot, how: fc.constantFrom("reset", "power"), away: shortTime }),
    arbitraryAction("freezeGateway", { gateway: slot, duration: longTime }),
    arbitraryAction("stopGateway", { gateway: slot }),
    arbitraryAction("cutGateways", { gateway: slot, other: slot, duration: longTime }),
    arbitraryAction("silenceGateways", { gateway: slot, other: slot }),
    arbitraryAction("cutServer", { gateway: slot, server: slot, duration: shortTime }),
    arbitraryAction("silenceServer", { gateway: slot, server: slot }),
);

const storeActions = fc.oneof(
    arbitraryAction("storeBehaves", { behaviour: fc.constantFrom("busy", "silent"), duration: longTime }),
    arbitraryAction("storeSlow", { slowness: fc.integer({ min: 100, max: 1_500 }), duration: longTime }),
    arbitraryAction("compact", {}),
    arbitraryAction("turnAway", { gateway: slot, duration: longTime }),
    arbitraryAction("cutStore", { gateway: slot, duration: longTime }),
    arbitraryAction("silenceStore", { gateway: slot }),
);

const behaviours = ["shed", "error", "break", "silent", "foreign", "slow"] as const;

// A server that gave notice goes on serving for longer than the notice takes to reach all gateways.
const replaceServer = arbitraryAction("replaceServer", {
    server: slot,
    after: fc.integer({ min: 3_300, max: 9_000 }),
});

const serverActions = fc.oneof(
    arbitraryAction("crashServer", { server: slot, away: shortTime }),
    arbitraryAction("restartServer", { server: slot }),
    replaceServer,
    arbitraryAction("reuseAddress", { server: slot }),
    arbitraryAction("serverBehaves", { server: slot, behaviour: fc.constantFrom(...behaviours), duration: shortTime }),
    arbitraryAction("garbleEntry", { server: slot }),
    arbitraryAction("loseHeartbeats", { server: slot, duration: longTime }),
);

const action = fc.oneof(
    { arbitrary: callerRequest, weight: 14 },
    { arbitrary: callerActions, weight: 5 },
    { arbitrary: gatewayActions, weight: 3 },
    { arbitrary: storeActions, weight: 2 },
    { arbitrary: serverActions, weight: 4 },
);

const limitServer = arbitraryAction("limitServer", {
    server: slot,
    perSecond: fc.double({ min: 0, max: 3, noNaN: true }),
    duration: fc.integer({ min: 4_000, max: 12_000 }),
});

const giveNotice = arbitraryAction("giveNotice", {
    server: slot,
    duration: fc.integer({ min: 4_000, max: 9_000 }),
});

/** Generates schedules of up to `steps` steps, in which servers give notice in their answers. */
export function noticeSchedules(steps: number): fc.Arbitrary<PlatformSchedule> {
    const weighted = fc.oneof({ arbitrary: action, weight: 15 }, { arbitrary: giveNotice, weight: 1 });
    return schedulesOf(weighted, steps);
}

const pauseServer = arbitraryAction("pauseServer", {
    server: slot,
    pause: fc.integer({ min: 600, max: 6_000 }),
    duration: fc.integer({ min: 1_000, max: 9_000 }),
});

/** Generates schedules of up to `steps` steps, in which servers ask for pauses. */
export function pauseSchedules(steps: number): fc.Arbitrary<PlatformSchedule> {
    const weighted = fc.oneof({ arbitrary: action, weight: 15 }, { arbitrary: pauseServer, weight: 1 });
    return schedulesOf(weighted, steps);
}

/** A server that behaves in one way for a long time. */
function serverThat(behaviour: ServerBehaviour): fc.Arbitrary<PlatformAction> {
    return arbitraryAction("serverBehaves", { server: slot, behaviour: fc.constant(behaviour), duration: longTime });
}

const loseAnswers = serverThat("lose");

/** Generates schedules of up to `steps` steps, in which servers run calls and lose the answers. */
export function lostAnswerSchedules(steps: number): fc.Arbitrary<PlatformSchedule> {
    const weighted = fc.oneof({ arbitrary: action, weight: 9 }, { arbitrary: loseAnswers, weight: 1 });
    return schedulesOf(weighted, steps);
}

/** A request for a stream, whose length and time limit are within the given bounds. */
function streamOf(
    work: RequestKind,
    [shortest, longest]: readonly [number, number],
    [least, most]: readonly [Milliseconds, Milliseconds],
): fc.Arbitrary<PlatformAction> {
    return arbitraryAction("ask", {
        work: fc.constant(work),
        gateway: slot,
        length: fc.integer({ min: shortest, max: longest }),
        timeLimit: fc.integer({ min: least, max: most }),
    });
}

const detachRuns = serverThat("detach");

const longStream = streamOf("plan", [250, 500], [10_000, 15_000]);

/** Generates schedules of up to `steps` steps, in which engines break connections, work on and refuse to stop. */
export function detachedRunSchedules(steps: number): fc.Arbitrary<PlatformSchedule> {
    const weighted = fc.oneof(
        { arbitrary: action, weight: 9 },
        { arbitrary: longStream, weight: 4 },
        { arbitrary: detachRuns, weight: 2 },
    );
    return schedulesOf(weighted, steps);
}

const resumableRequest = streamOf("note", [60, 500], [3_000, 6_000]);

/**
 * Generates schedules of up to `steps` steps, in which servers of several software versions serve, all gateways are
 * killed at once, and callers take up streams that broke off.
 */
export function releaseSchedules(steps: number): fc.Arbitrary<PlatformSchedule> {
    const weighted = fc.oneof(
        { arbitrary: action, weight: 12 },
        { arbitrary: arbitraryAction("release", { server: slot }), weight: 1 },
        { arbitrary: replaceServer, weight: 2 },
        { arbitrary: resumableRequest, weight: 6 },
        { arbitrary: arbitraryAction("takeUp", { caller: fc.nat(30), gateway: slot }), weight: 6 },
        { arbitrary: arbitraryAction("killAllGateways", { gateway: slot, away: shortTime }), weight: 1 },
    );
    return schedulesOf(weighted, steps);
}

const unframedActions = fc.oneof(
    { arbitrary: action, weight: 12 },
    { arbitrary: longStream, weight: 5 },
    { arbitrary: resumableRequest, weight: 5 },
    { arbitrary: arbitraryAction("crashServer", { server: slot, away: shortTime }), weight: 1 },
    { arbitrary: arbitraryAction("restartInPlace", { server: slot, away: fc.nat(3_000) }), weight: 1 },
    { arbitrary: arbitraryAction("restartBehindListener", { server: slot, away: fc.nat(3_000) }), weight: 2 },
    { arbitrary: replaceServer, weight: 2 },
    {
        arbitrary: arbitraryAction("withdrawServer", { server: slot, after: fc.integer({ min: 3_300, max: 9_000 }) }),
        weight: 1,
    },
    { arbitrary: arbitraryAction("takeUp", { caller: fc.nat(30), gateway: slot }), weight: 3 },
);

/**
 * Generates schedules of up to `steps` steps, in which engines write streams with neither a length nor chunks and crash, leave
 * and start again at their addresses, also while a supervisor keeps their listeners.
 */
export function unframedSchedules(steps: number): fc.Arbitrary<PlatformSchedule> {
    const unframedShare = fc.constantFrom(0.5, 1);
    return fc.tuple(schedulesOf(unframedActions, steps), unframedShare)
        .map(([schedule, share]) => ({ ...schedule, unframedShare: share }));
}

const deadlyDuration = fc.integer({ min: 4_000, max: 12_000 });
const deadlyWork = fc.oneof(
    arbitraryAction("deadlyPart", { duration: deadlyDuration }),
    arbitraryAction("deadlyRequest", {
        work: fc.constantFrom<RequestKind>("confirm", "lookup", "plan", "note"),
        duration: deadlyDuration,
    }),
);

/** Generates schedules of up to `steps` steps, in which parts of prompts and requests crash servers. */
export function deadlyWorkSchedules(steps: number): fc.Arbitrary<PlatformSchedule> {
    const weighted = fc.oneof({ arbitrary: action, weight: 20 }, { arbitrary: deadlyWork, weight: 1 });
    return schedulesOf(weighted, steps);
}

const evacuate = arbitraryAction("evacuate", {
    domain: fc.nat(evacuationDomains - 1),
    duration: fc.oneof(shortTime, fc.integer({ min: 6_000, max: 14_000 })),
});

/** Generates schedules of up to `steps` steps, in which failure domains are evacuated while streams break off. */
export function evacuationSchedules(steps: number): fc.Arbitrary<PlatformSchedule> {
    const weighted = fc.oneof(
        { arbitrary: action, weight: 16 },
        { arbitrary: resumableRequest, weight: 6 },
        { arbitrary: evacuate, weight: 1 },
    );
    return schedulesOf(weighted, steps);
}

/**
 * Generates schedules of up to `steps` steps, in which servers are cold after they start and after evacuations, and
 * become cold at other times.
 */
export function coldSchedules(steps: number): fc.Arbitrary<PlatformSchedule> {
    const weighted = fc.oneof(
        { arbitrary: action, weight: 30 },
        { arbitrary: evacuate, weight: 1 },
        { arbitrary: arbitraryAction("restartServer", { server: slot }), weight: 1 },
        { arbitrary: arbitraryAction("restartInPlace", { server: slot, away: shortTime }), weight: 1 },
        {
            arbitrary: arbitraryAction("coldServer", {
                server: slot,
                duration: fc.integer({ min: 4_000, max: 9_000 }),
            }),
            weight: 2,
        },
    );
    const coldDuration = fc.integer({ min: 2_000, max: 8_000 });
    return fc.tuple(schedulesOf(weighted, steps), coldDuration)
        .map(([schedule, duration]) => ({ ...schedule, coldDuration: duration }));
}

const configurationActions = fc.oneof(
    { arbitrary: arbitraryAction("configure", {}), weight: 4 },
    { arbitrary: arbitraryAction("probe", { gateway: slot, back: fc.nat(1) }), weight: 20 },
    { arbitrary: gatewayActions, weight: 3 },
    { arbitrary: storeActions, weight: 1 },
);

/** Generates schedules of up to `steps` steps, in which the configuration changes often and each change is probed. */
export function configurationSchedules(steps: number): fc.Arbitrary<PlatformSchedule> {
    return schedulesOf(configurationActions, steps);
}

const growingDelay = (minLimit: number, maxLimit: number): fc.Arbitrary<GrowingDelay> =>
    fc.record({
        growth: fc.double({ min: 0.1, max: 0.8, noNaN: true }),
        limit: fc.integer({ min: minLimit, max: maxLimit }),
        duration: fc.integer({ min: 3_000, max: 12_000 }),
    });

const delayedActions = fc.oneof(
    { arbitrary: arbitraryAction("configure", {}), weight: 6 },
    { arbitrary: arbitraryAction("probe", { gateway: slot, back: fc.nat(1) }), weight: 24 },
    { arbitrary: callerRequest, weight: 6 },
    { arbitrary: gatewayActions, weight: 1 },
    {
        arbitrary: arbitraryAction("delayLinks", {
            gateway: slot,
            direction: fc.constantFrom("from", "to", "both"),
            delay: growingDelay(1_000, 6_000),
        }),
        weight: 2,
    },
    { arbitrary: arbitraryAction("delayAnswers", { gateway: slot, delay: growingDelay(200, 1_500) }), weight: 1 },
);

/**
 * Generates schedules of up to `steps` steps, in which the configuration changes often while the links of gateways, and
 * the answers that they get from the store, fall behind.
 */
export function delaySchedules(steps: number): fc.Arbitrary<PlatformSchedule> {
    return schedulesOf(delayedActions, steps);
}

const plainRequest = arbitraryAction("ask", {
    work: fc.constantFrom("confirm", "lookup"),
    gateway: slot,
    length: fc.constant(1),
    timeLimit: fc.integer({ min: 500, max: 3_000 }),
});

const changingActions = fc.oneof(
    { arbitrary: arbitraryAction("configure", {}), weight: 5 },
    {
        arbitrary: arbitraryAction("probe", {
            gateway: slot,
            back: fc.nat(3),
            subject: fc.constantFrom<ProbeSubject>("route", "key", "moved"),
        }),
        weight: 4,
    },
    { arbitrary: plainRequest, weight: 4 },
    { arbitrary: replaceServer, weight: 1 },
    {
        arbitrary: arbitraryAction("withdrawServer", { server: slot, after: fc.integer({ min: 3_300, max: 9_000 }) }),
        weight: 2,
    },
    { arbitrary: arbitraryAction("compact", {}), weight: 2 },
    { arbitrary: arbitraryAction("turnAway", { gateway: slot, duration: longTime }), weight: 2 },
    { arbitrary: storeActions, weight: 1 },
    { arbitrary: gatewayActions, weight: 2 },
);

/**
 * Generates schedules of up to `steps` steps, in which the configuration changes every second, servers leave with and
 * without a notice, and the store turns gateways away and deletes its history.
 */
export function changeSchedules(steps: number): fc.Arbitrary<PlatformSchedule> {
    return schedulesOf(changingActions, steps);
}

const unacknowledgedActions = fc.oneof(
    { arbitrary: arbitraryAction("configure", {}), weight: 5 },
    {
        arbitrary: arbitraryAction("configureUnanswered", { delay: fc.oneof(fc.constant(0), fc.nat(4_000)) }),
        weight: 5,
    },
    { arbitrary: arbitraryAction("loseUnacknowledged", {}), weight: 5 },
    { arbitrary: arbitraryAction("failOver", { duration: fc.integer({ min: 700, max: 3_000 }) }), weight: 2 },
    { arbitrary: arbitraryAction("probe", { gateway: slot, back: fc.nat(1) }), weight: 14 },
    { arbitrary: plainRequest, weight: 3 },
    {
        arbitrary: arbitraryAction("killGateway", {
            gateway: slot,
            how: fc.constantFrom("reset", "power"),
            away: shortTime,
        }),
        weight: 2,
    },
    { arbitrary: arbitraryAction("turnAway", { gateway: slot, duration: longTime }), weight: 1 },
    { arbitrary: arbitraryAction("cutGateways", { gateway: slot, other: slot, duration: longTime }), weight: 1 },
    { arbitrary: arbitraryAction("compact", {}), weight: 1 },
    { arbitrary: gatewayActions, weight: 1 },
    { arbitrary: storeActions, weight: 1 },
);

/**
 * Generates schedules of up to `steps` steps, in which the store loses configurations that nobody acknowledged and stores older
 * ones after newer ones, while gateways restart and lack contact with the store or with each other.
 */
export function unacknowledgedSchedules(steps: number): fc.Arbitrary<PlatformSchedule> {
    return fc.tuple(schedulesOf(unacknowledgedActions, steps), fc.constantFrom<BeyondEndAnswer>("gone", "end"))
        .map(([schedule, beyondEndAnswer]) => ({ ...schedule, beyondEndAnswer }));
}

const snapshotActions = fc.oneof(
    { arbitrary: arbitraryAction("configure", {}), weight: 1 },
    {
        arbitrary: arbitraryAction("configureInTurn", {
            versions: fc.integer({ min: 2, max: 4 }),
            interval: fc.integer({ min: 50, max: 1_000 }),
        }),
        weight: 2,
    },
    { arbitrary: arbitraryAction("probe", { gateway: slot, back: fc.nat(1) }), weight: 20 },
    { arbitrary: plainRequest, weight: 2 },
    { arbitrary: replaceServer, weight: 1 },
    {
        arbitrary: arbitraryAction("withdrawServer", { server: slot, after: fc.integer({ min: 3_300, max: 9_000 }) }),
        weight: 1,
    },
    {
        arbitrary: arbitraryAction("killGateway", {
            gateway: slot,
            how: fc.constantFrom("reset", "power"),
            away: shortTime,
        }),
        weight: 2,
    },
    { arbitrary: arbitraryAction("stopGateway", { gateway: slot }), weight: 1 },
    { arbitrary: arbitraryAction("compact", {}), weight: 1 },
);

/**
 * Generates schedules of up to `steps` steps, in which the store takes the records and the end of a page at different times
 * and deletes its history, while gateways restart and the configuration changes several times in quick succession.
 */
export function snapshotSchedules(steps: number): fc.Arbitrary<PlatformSchedule> {
    const store = fc.record({
        pageTiming: fc.record({
            first: fc.constantFrom("records", "end"),
            gap: fc.integer({ min: 10, max: 700 }),
        }),
        deletedHistoryShare: fc.double({ min: 0, max: 0.6, noNaN: true }),
    });
    return fc.tuple(schedulesOf(snapshotActions, steps), store).map(([schedule, fields]) => ({
        ...schedule,
        ...fields,
    }));
}

const unhurriedRequest = arbitraryAction("ask", {
    work: fc.constantFrom("confirm", "lookup", "plan", "plan", "note"),
    gateway: slot,
    length: fc.oneof(fc.integer({ min: 1, max: 200 }), fc.integer({ min: 200, max: 800 })),
    timeLimit: fc.integer({ min: 4_000, max: 20_000 }),
    hidesLength: fc.boolean(),
});
const leavingDuration = fc.integer({ min: 2_300, max: 5_300 });

const plannedOperations = fc.oneof(
    { arbitrary: unhurriedRequest, weight: 14 },
    { arbitrary: arbitraryAction("stopGateway", { gateway: slot }), weight: 3 },
    { arbitrary: arbitraryAction("configure", {}), weight: 2 },
    { arbitrary: arbitraryAction("replaceServer", { server: slot, after: leavingDuration }), weight: 1 },
    { arbitrary: arbitraryAction("withdrawServer", { server: slot, after: leavingDuration }), weight: 1 },
);

/**
 * Generates schedules of up to `steps` steps without any fault: gateways stop, also several at once and again while they
 * stop, servers are replaced, and the configuration changes. Some requests don't state the length of their answer.
 */
export function stopSchedules(steps: number): fc.Arbitrary<PlatformSchedule> {
    return schedulesOf(plannedOperations, steps);
}

const waitingWork = fc.constantFrom<RequestKind>("plan", "note");
const longPrompt = fc.integer({ min: 2_000, max: 7_226 });
const shortLength = fc.integer({ min: 1, max: 31 });

const rollingStops = fc.oneof(
    {
        arbitrary: arbitraryAction("ask", {
            work: waitingWork,
            gateway: slot,
            length: shortLength,
            timeLimit: fc.integer({ min: 6_000, max: 20_000 }),
            prompt: longPrompt,
        }),
        weight: 14,
    },
    {
        arbitrary: arbitraryAction("askTogether", {
            work: waitingWork,
            gateway: slot,
            callers: fc.integer({ min: 3, max: 12 }),
            length: shortLength,
            prompt: longPrompt,
        }),
        weight: 2,
    },
    {
        arbitrary: arbitraryAction("stopInTurn", { gateway: slot, interval: fc.integer({ min: 3_000, max: 5_000 }) }),
        weight: 1,
    },
    { arbitrary: arbitraryAction("stopGateway", { gateway: slot }), weight: 1 },
);

/**
 * Generates schedules of up to `steps` steps without any fault, in which gateways stop one after the other and serve soon
 * after they have started, while short streams with long prompts wait at engines for seconds.
 */
export function rollingStopSchedules(steps: number): fc.Arbitrary<PlatformSchedule> {
    return schedulesOf(rollingStops, steps).map(schedule => ({ ...schedule, areEnginesSlow: true }));
}

/** Generates schedules of up to `steps` steps, in which no server declares a limit. */
export function platformSchedules(steps: number): fc.Arbitrary<PlatformSchedule> {
    return schedulesOf(action, steps);
}

/** Generates schedules of up to `steps` steps, in which servers declare limits. */
export function limitSchedules(steps: number): fc.Arbitrary<PlatformSchedule> {
    const weighted = fc.oneof({ arbitrary: action, weight: 15 }, { arbitrary: limitServer, weight: 1 });
    return schedulesOf(weighted, steps);
}

function schedulesOf(actions: fc.Arbitrary<PlatformAction>, steps: number): fc.Arbitrary<PlatformSchedule> {
    const step = fc.record({ pause: fc.oneof(fc.nat(40), fc.nat(900)), action: actions });
    return fc.record({
        seed: fc.integer({ min: 1, max: 0x7fffffff }),
        steps: fc.array(step, { minLength: 1, maxLength: steps, size: "max" }),
    });
}

const callerKinds: ReadonlySet<string> = new Set([
    "ask",
    "askTogether",
    "leave",
    "takeUp",
    "configure",
    "configureInTurn",
    "configureUnanswered",
    "rewriteOld",
    "probe",
    "deadlyPart",
    "deadlyRequest",
    "evacuate",
]);
const storeKinds: ReadonlySet<string> = new Set([
    "storeBehaves",
    "storeSlow",
    "compact",
    "loseUnacknowledged",
    "failOver",
    "turnAway",
    "cutStore",
    "silenceStore",
    "delayAnswers",
]);
const gatewayKinds: ReadonlySet<string> = new Set([
    "killGateway",
    "killAllGateways",
    "freezeGateway",
    "stopGateway",
    "stopInTurn",
    "cutGateways",
    "silenceGateways",
    "delayLinks",
    "cutServer",
    "silenceServer",
]);

const replacementKinds: ReadonlySet<string> = new Set([
    "crashServer",
    "restartServer",
    "restartInPlace",
    "restartBehindListener",
    "replaceServer",
    "withdrawServer",
    "reuseAddress",
]);

/** Whether an action ends a backend server and starts another one. */
export function isReplacement(action: ServerAction): action is ServerReplacement {
    return replacementKinds.has(action.kind);
}

/** Whether an action is one of a caller or of the operator. */
export function isCallerAction(action: PlatformAction): action is CallerAction {
    return callerKinds.has(action.kind);
}

/** Whether an action is a fault or the compaction of the store. */
export function isStoreAction(action: PlatformAction): action is StoreAction {
    return storeKinds.has(action.kind);
}

/** Whether an action concerns gateways or their links. */
export function isGatewayAction(action: PlatformAction): action is GatewayAction {
    return gatewayKinds.has(action.kind);
}
