/**
 * Runs one schedule in a fresh world and throws where a promise is broken.
 */
import type { Action, Schedule } from "./actions.js";
import type { CallerRequest } from "./oracle.js";
import { defaultWorldPolicies, World, type WorldPolicies } from "./world.js";

/** Callers and processes settle in the time before the first step. */
const startTime = 1_500;
/** The longest deadline and the longest window, with room to spare. */
const settleTime = 32_000;

/**
 * Runs a schedule.
 *
 * @throws PromiseBroken where the oracle finds a breach
 * @example
 * runSchedule(schedule);
 */
export function runSchedule(schedule: Schedule, parts: WorldPolicies = defaultWorldPolicies): void {
    const world = new World(schedule.seed, parts);
    world.clock.advanceTo(startTime);
    schedule.steps.forEach(({ pause, action }, index) => {
        world.clock.advanceTo(world.clock.now + pause);
        perform(world, action, index);
    });
    // Faults end by themselves within their durations; those without one end here.
    world.clock.advanceTo(Math.max(world.clock.now, world.faultsEndAt));
    world.endFaults();
    world.clock.advanceTo(world.clock.now + settleTime);
    world.checkSettled();
}

function perform(world: World, action: Action, index: number): void {
    const entry = "entry" in action ? action.entry % world.entries.length : 0;
    const backend = "backend" in action ? action.backend % world.backends.length : 0;
    switch (action.kind) {
        case "ask": {
            const id = `ask${index}`;
            const key = action.work === "keyed" ? `key${index}` : undefined;
            const { work: kind, length, timeLimit } = action;
            return world.ask({ id, kind, entrySlot: entry, length, timeLimit, key });
        }
        case "leave":
        case "resume":
        case "repeat":
        case "block":
            return performCaller(world, action, entry, index);
        case "drain":
            return world.changeDrain(entry, backend, true);
        case "restore":
            return world.changeDrain(entry, backend, false);
        case "race":
            world.changeDrain(entry, backend, true);
            return world.changeDrain((entry + 1) % world.entries.length, backend, false);
        case "reclaim":
            return world.reclaim(backend, action.duration);
        case "stopSidecar":
            return world.stopSidecar(backend);
        case "stopEntry":
            return world.stopEntry(entry);
        default:
            return performFault(world, action, entry, backend);
    }
}

type CallerAction = Extract<Action, { readonly caller: number; }>;

function performCaller(world: World, action: CallerAction, entrySlot: number, index: number): void {
    const asks = [...world.oracle.callerRequests.values()];
    const ask = asks[action.caller % Math.max(1, asks.length)];
    if (ask === undefined) {
        return;
    }
    switch (action.kind) {
        case "leave":
            return ask.end === undefined ? world.leave(ask) : undefined;
        case "block":
            return ask.end === undefined ? world.block(ask, action.duration) : undefined;
        case "resume":
            return resume(world, ask, entrySlot, index);
        case "repeat":
            return repeat(world, ask, entrySlot, index);
    }
}

/** The caller's connection breaks, if it hasn't, and it goes on through another entry. */
function resume(world: World, ask: CallerRequest, entrySlot: number, index: number): void {
    if (ask.kind !== "stream" || ask.cursor === undefined || ask.end?.kind === "whole") {
        return;
    }
    if (ask.end === undefined) {
        world.leave(ask);
    }
    const { length, cursor } = ask;
    const id = `${ask.id.split("~")[0]}~${index}`;
    world.ask({ id, kind: "stream", entrySlot, length, timeLimit: 10_000, cursor });
}

function repeat(world: World, ask: CallerRequest, entrySlot: number, index: number): void {
    if (ask.key !== undefined) {
        const { kind, length, key } = ask;
        world.ask({ id: `ask${index}`, kind, entrySlot, length, timeLimit: 5_000, key });
    }
}

type FaultAction = Exclude<
    Action,
    CallerAction | { readonly kind: "ask" | "drain" | "restore" | "race" | "reclaim" | "stopSidecar" | "stopEntry"; }
>;

/** Time after a fault in which its after-effects are still expected. */
const faultAfterEffects = 1_000;

function performFault(world: World, action: FaultAction, entry: number, backend: number): void {
    world.recordFault(("duration" in action ? action.duration : 0) + faultAfterEffects);
    const server = world.backends[backend];
    const { backendServer } = server;
    switch (action.kind) {
        case "holdLink":
            world.recordFault((action.lateBy ?? 0) + faultAfterEffects);
            return world.network.hold(entry, backendServer, action.direction, action.lateBy ?? "lost");
        case "holdOpening":
            return world.network.holdNext(entry, backendServer, action.lateBy);
        case "dropLink": {
            const link = world.network.newestLink(entry, backendServer);
            return link && world.network.drop(link);
        }
        case "killEntry":
            return world.killEntry(entry);
        case "killSidecar":
            return world.killSidecar(backend);
        case "freezeEntry":
            return world.freezeEntry(entry, action.duration);
        case "freezeSidecar":
            return world.freezeSidecar(backend, action.duration);
        case "breakStreams":
            return server.breakStreams();
        default:
            return performTimedFault(world, action, backend);
    }
}

type TimedFault = Extract<
    FaultAction,
    {
        readonly kind:
            | "killBackend"
            | "stallBackend"
            | "breakAnswers"
            | "slowService"
            | "logOutage"
            | "logSlow"
            | "logLosesAnswers";
    }
>;

function performTimedFault(world: World, action: TimedFault, backend: number): void {
    const server = world.backends[backend];
    const undo = (change: () => void): void => world.clock.schedule(action.duration, change);
    switch (action.kind) {
        case "killBackend":
            server.crash();
            return undo(() => server.isDead = false);
        case "stallBackend":
            server.isStalled = true;
            return undo(() => server.isStalled = false);
        case "breakAnswers":
            server.failsServiceCalls = true;
            return undo(() => server.failsServiceCalls = false);
        case "slowService":
            server.serviceDelay = 1_500;
            return undo(() => server.serviceDelay = 30);
        case "logOutage":
            world.log.isUnavailable = true;
            return undo(() => world.log.isUnavailable = false);
        case "logSlow":
            world.log.slowness = action.slowness;
            return undo(() => world.log.slowness = 0);
        case "logLosesAnswers":
            world.log.losesAppendAnswers = true;
            return undo(() => world.log.losesAppendAnswers = false);
    }
}
