/**
 * Runs one schedule in a new world of entries and sidecars.
 */
import type { Action, Schedule } from "./actions.js";
import type { CallerRequest } from "./oracle.js";
import { defaultWorldPolicies, World, type WorldPolicies } from "./world.js";

/** The time before the first step, in which the processes settle, in milliseconds. */
const warmUpTime = 1_500;
/** The time after the last fault, in milliseconds. It is longer than any deadline and any window. */
const settleTime = 32_000;

/**
 * Runs a schedule.
 *
 * @throws BrokenPromiseError where the oracle finds a violation
 * @example
 * runSchedule(schedule);
 */
export function runSchedule(schedule: Schedule, policies: WorldPolicies = defaultWorldPolicies): void {
    const world = new World(schedule.seed, policies);
    world.clock.advanceTo(warmUpTime);
    schedule.steps.forEach(({ pause, action }, index) => {
        world.clock.advanceTo(world.clock.now + pause);
        perform(world, action, index);
    });
    // Faults with a duration end by themselves; all others end here.
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
            return world.sendRequest({ id, kind, entrySlot: entry, length, timeLimit, key });
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
    const callerRequests = [...world.oracle.callerRequests.values()];
    const request = callerRequests[action.caller % Math.max(1, callerRequests.length)];
    if (request === undefined) {
        return;
    }
    switch (action.kind) {
        case "leave":
            return request.end === undefined ? world.leave(request) : undefined;
        case "block":
            return request.end === undefined ? world.block(request, action.duration) : undefined;
        case "resume":
            return resumeStream(world, request, entrySlot, index);
        case "repeat":
            return repeatRequest(world, request, entrySlot, index);
    }
}

/** Closes the caller's connection if it is open, and resumes the stream from the caller's cursor at an entry. */
function resumeStream(world: World, request: CallerRequest, entrySlot: number, index: number): void {
    if (request.kind !== "stream" || request.cursor === undefined || request.end?.kind === "whole") {
        return;
    }
    if (request.end === undefined) {
        world.leave(request);
    }
    const { length, cursor } = request;
    const id = `${request.id.split("~")[0]}~${index}`;
    world.sendRequest({ id, kind: "stream", entrySlot, length, timeLimit: 10_000, cursor });
}

/** Repeats a request that has an idempotency key. */
function repeatRequest(world: World, request: CallerRequest, entrySlot: number, index: number): void {
    if (request.key !== undefined) {
        const { kind, length, key } = request;
        world.sendRequest({ id: `ask${index}`, kind, entrySlot, length, timeLimit: 5_000, key });
    }
}

type FaultAction = Exclude<
    Action,
    CallerAction | { readonly kind: "ask" | "drain" | "restore" | "race" | "reclaim" | "stopSidecar" | "stopEntry"; }
>;

/** How long after a fault its effects may last, in milliseconds. */
const faultEffectTime = 1_000;

function performFault(world: World, action: FaultAction, entry: number, backend: number): void {
    world.recordFault(("duration" in action ? action.duration : 0) + faultEffectTime);
    const server = world.backends[backend];
    const { backendServer } = server;
    switch (action.kind) {
        case "holdLink":
            world.recordFault((action.lateBy ?? 0) + faultEffectTime);
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
    const scheduleEnd = (endFault: () => void): void => world.clock.schedule(action.duration, endFault);
    switch (action.kind) {
        case "killBackend":
            server.crash();
            return scheduleEnd(() => server.isDown = false);
        case "stallBackend":
            server.isStalled = true;
            return scheduleEnd(() => server.isStalled = false);
        case "breakAnswers":
            server.failsServiceCalls = true;
            return scheduleEnd(() => server.failsServiceCalls = false);
        case "slowService":
            server.serviceDelay = 1_500;
            return scheduleEnd(() => server.serviceDelay = 30);
        case "logOutage":
            world.log.isUnavailable = true;
            return scheduleEnd(() => world.log.isUnavailable = false);
        case "logSlow":
            world.log.slowness = action.slowness;
            return scheduleEnd(() => world.log.slowness = 0);
        case "logLosesAnswers":
            world.log.failsCompletedAppends = true;
            return scheduleEnd(() => world.log.failsCompletedAppends = false);
    }
}
