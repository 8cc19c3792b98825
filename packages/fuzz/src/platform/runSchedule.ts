/**
 * Runs one schedule on a platform in virtual time: faults for as long as it lasts, then calm, then the checks of what
 * must hold once all is calm.
 */
import {
    type GatewayInterceptors,
    passThroughInterceptors,
    storeName,
    type VirtualGateway,
    VirtualPlatform,
} from "@verbenaspring/emulator";
import type { RequestHead } from "@verbenaspring/gateway";
import { identifier, type Milliseconds } from "@verbenaspring/model";
import {
    type CallerAction,
    type GatewayAction,
    isCallerAction,
    isGatewayAction,
    isStoreAction,
    type PlatformAction,
    type PlatformSchedule,
    type ServerAction,
    type StoreAction,
} from "./actions.js";
import { platformLimits } from "./bounds.js";
import { type PlatformAsk, PlatformOracle } from "./oracle.js";
import { buildConfiguration, routesHost, routeTimeouts, VersionOracle } from "./versions.js";
import { expectedEventCount, promptTokens, type RequestOrProbeKind, type ServerKind, serverPlan } from "./works.js";

const gatewayCount = 3;
const startTime: Milliseconds = 1_500;
/** After the last fault: longer than any request may last, and than a planned stop. */
const calmTime: Milliseconds = 25_000;
const checkInterval: Milliseconds = 250;
/** A server that gave notice serves on for longer than the notice takes to spread. */
const longestReuse: Milliseconds = 2_000;
const restartDelay: Milliseconds = 500;

/**
 * Runs a schedule. Throws {@link PromiseBroken} where a promise is broken.
 *
 * @example
 * runPlatformSchedule({ seed: 1, steps: [] });
 */
export function runPlatformSchedule(
    schedule: PlatformSchedule,
    parts: GatewayInterceptors = passThroughInterceptors,
): void {
    const run = new ScheduleRun(schedule, parts);
    schedule.steps.forEach(({ pause, action }) => run.step(pause, action));
    run.calmDown();
}

class ScheduleRun {
    private readonly platform: VirtualPlatform;
    private readonly oracle: PlatformOracle;
    private readonly versions: VersionOracle<VirtualGateway>;
    private readonly undo: (() => void)[] = [];
    private readonly probes = new Map<PlatformAsk, (isFound: boolean) => void>();
    private asked = 0;
    private servers = 0;

    constructor({ seed }: PlatformSchedule, parts: GatewayInterceptors) {
        this.platform = new VirtualPlatform({
            seed,
            gateways: gatewayCount,
            retries: {
                ratio: platformLimits.retryRatio,
                slack: platformLimits.retrySlack,
                window: platformLimits.retryWindow,
            },
            stopLimit: platformLimits.stopLimit,
            interceptors: parts,
        }, {
            runStarted: record => this.oracle.noteRun(record),
            answered: (gateway, effect) => this.oracle.noteAnswer(gateway, effect),
            decisionLogged: () => undefined,
            callArrived: (gateway, call) => this.oracle.noteArrival(gateway, call),
            exited: gateway => this.replaceGateway(gateway),
        });
        this.oracle = new PlatformOracle(this.platform.clock, id => this.platform.fleet.drainPublishedAt(id));
        this.versions = new VersionOracle<VirtualGateway>(this.oracle);
        this.configure();
        [1, 2].forEach(() => this.addServer("plain"));
        [1, 2, 3].forEach(() => this.addServer("engine"));
        this.advance(startTime);
    }

    step(pause: Milliseconds, action: PlatformAction): void {
        this.advance(pause);
        this.perform(action);
    }

    /** Ends all faults, waits, and checks what must hold then. */
    calmDown(): void {
        this.undo.splice(0).forEach(end => end());
        this.advance(calmTime);
        this.oracle.checkBudget();
        this.platform.gateways.forEach(gateway => this.checkCalm(gateway));
        this.advance(2 * routeTimeouts.lookup);
    }

    private checkCalm(gateway: VirtualGateway): void {
        const { state } = gateway;
        const left = state.requests.size + state.attempts.size + state.waiting.size + state.loads.size;
        if (left > 0) {
            this.oracle.fail("state_is_bounded", `${gateway.name} remembers ${left} things that are over`);
        }
        const ask = this.ask(gateway, "lookup", 1, routeTimeouts.lookup);
        this.platform.clock.schedule(routeTimeouts.lookup, () => {
            if (ask.end !== "whole") {
                this.oracle.fail("serves_again", `${gateway.name} answers ${JSON.stringify(ask.end)}`);
            }
        });
    }

    private advance(duration: Milliseconds): void {
        const { clock } = this.platform;
        const end = clock.now + duration;
        while (clock.now < end) {
            clock.advanceTo(Math.min(end, clock.now + checkInterval));
            this.oracle.checkWaiting();
            this.settleProbes();
        }
    }

    private perform(action: PlatformAction): void {
        if (isCallerAction(action)) {
            return this.performCaller(action);
        }
        if (isStoreAction(action)) {
            return this.performStore(action);
        }
        if (isGatewayAction(action)) {
            return this.performGateway(action);
        }
        this.performServer(action);
    }

    private performCaller(action: CallerAction): void {
        switch (action.kind) {
            case "ask":
                this.ask(this.gatewayOf(action.gateway), action.work, action.length, action.timeLimit);
                return;
            case "leave":
                return this.leave(action.caller);
            case "configure":
                return this.configure();
            case "rewriteOld":
                this.versions.recordRewrite();
                return this.platform.configure(buildConfiguration(Math.max(0, this.versions.newestIndex - 1)));
            case "probe":
                return this.probe(this.gatewayOf(action.gateway), Math.max(0, this.versions.newestIndex - action.back));
        }
    }

    private ask(
        gateway: VirtualGateway,
        work: RequestOrProbeKind,
        length: number,
        timeLimit: Milliseconds,
        path?: string,
    ): PlatformAsk {
        const { clock } = this.platform;
        const timeout = Math.min(timeLimit, routeTimeouts[work]);
        const ask: PlatformAsk = {
            callerAttemptId: `caller${++this.asked}`,
            work,
            gateway,
            sentAt: clock.now,
            finishBy: clock.now + timeout,
            events: expectedEventCount(work, length),
            lastEvent: 0,
            lineage: undefined,
            end: undefined,
        };
        this.oracle.noteAsk(ask);
        if (!gateway.isAlive) {
            ask.end = "gateway_gone";
            return ask;
        }
        const head = callerHead(ask.callerAttemptId, path ?? `/${work}/1?length=${length}`, length, timeLimit);
        const requestId = this.platform.nextRequestId();
        this.oracle.nameRequest(gateway, requestId, ask);
        this.platform.ask(gateway, requestId, head);
        return ask;
    }

    private probe(gateway: VirtualGateway, index: number): void {
        const check = this.versions.startProbe(gateway, index, this.platform.clock.now);
        const ask = this.ask(gateway, "probe", 1, routeTimeouts.probe, `/version${index}/1`);
        this.probes.set(ask, check);
        this.settleProbes();
    }

    private settleProbes(): void {
        for (const [ask, check] of this.probes) {
            if (ask.end === "whole") {
                check(true);
            }
            if (typeof ask.end === "object" && ask.end.failure === "route_not_found") {
                check(false);
            }
            if (ask.end !== undefined) {
                this.probes.delete(ask);
            }
        }
    }

    private leave(caller: number): void {
        const open = this.oracle.asks.filter(ask => ask.end === undefined);
        if (open.length === 0) {
            return;
        }
        const ask = open[caller % open.length];
        const requestId = this.oracle.requestOf(ask);
        this.oracle.noteLeft(ask);
        ask.gateway.handleEvent({ kind: "callerLeft", requestId });
    }

    private configure(): void {
        this.platform.configure(buildConfiguration(this.versions.newestIndex + 1));
        this.versions.recordVersion(this.platform.clock.now);
    }

    private performGateway(action: GatewayAction): void {
        const { network } = this.platform;
        const gateway = this.gatewayOf(action.gateway);
        switch (action.kind) {
            case "killGateway":
                return this.killGateway(gateway, action.how, action.away);
            case "freezeGateway":
                this.oracle.harm.note(gateway.name, action.duration);
                return gateway.freeze(action.duration);
            case "stopGateway":
                return gateway.stop();
            case "cutGateways": {
                const other = this.gatewayOf(action.other);
                this.harmBoth(gateway, other, action.duration);
                return network.cut(gateway.name, other.name, action.duration);
            }
            case "silenceGateways": {
                const other = this.gatewayOf(action.other);
                this.harmBoth(gateway, other, 0);
                return network.silence(gateway.name, other.name);
            }
            case "cutServer":
                this.oracle.harm.note(gateway.name, action.duration);
                return network.cut(gateway.name, this.addressOf(action.server), action.duration);
            case "silenceServer":
                this.oracle.harm.note(gateway.name, routeTimeouts.plan);
                return network.silence(gateway.name, this.addressOf(action.server));
        }
    }

    private harmBoth(gateway: VirtualGateway, other: VirtualGateway, duration: Milliseconds): void {
        this.oracle.harm.note(gateway.name, duration);
        this.oracle.harm.note(other.name, duration);
    }

    private performStore(action: StoreAction): void {
        const { store, network } = this.platform;
        switch (action.kind) {
            case "storeBehaves":
                this.oracle.harm.recordStoreFault(action.duration);
                store.behaviour = action.behaviour;
                return this.later(action.duration, () => store.behaviour = "up");
            case "storeSlow":
                this.oracle.harm.recordStoreFault(action.duration + action.slowness);
                store.slowness = action.slowness;
                return this.later(action.duration, () => store.slowness = 0);
            case "compact":
                return ["keyed.op", "keyed.servers"].forEach(topic => store.model.compact(topic));
            case "turnAway": {
                const { name } = this.gatewayOf(action.gateway);
                this.oracle.harm.note(name, action.duration);
                store.rejectedReaders.add(name);
                return this.later(action.duration, () => store.rejectedReaders.delete(name));
            }
            case "cutStore": {
                const { name } = this.gatewayOf(action.gateway);
                this.oracle.harm.note(name, action.duration);
                return network.cut(name, storeName, action.duration);
            }
            case "silenceStore": {
                const { name } = this.gatewayOf(action.gateway);
                this.oracle.harm.note(name, 0);
                return network.silence(name, storeName);
            }
        }
    }

    private performServer(action: ServerAction): void {
        const { fleet, clock } = this.platform;
        const living = fleet.liveServers();
        const server = living[action.server % living.length];
        const { id, address } = server.options;
        const plan = fleet.findPlan(id)!;
        switch (action.kind) {
            case "crashServer":
                this.noteServerHarm();
                fleet.crash(id);
                return clock.schedule(action.away, () => this.addServer(plan.kind));
            case "restartServer":
                this.noteServerHarm();
                return fleet.restart(id);
            case "replaceServer":
                this.addServer(plan.kind);
                return fleet.leave(id, action.after);
            case "reuseAddress":
                this.noteServerHarm();
                fleet.crash(id);
                this.addServer(plan.kind);
                return clock.schedule(longestReuse, () => {
                    this.addServer(plan.kind === "plain" ? "engine" : "plain", address);
                });
            case "serverBehaves":
                this.noteServerHarm(action.duration);
                server.behaviour = action.behaviour;
                return this.later(action.duration, () => server.behaviour = "well");
            case "garbleEntry":
                return fleet.corruptRegistration(id);
            case "loseHeartbeats":
                fleet.suppressHeartbeats(id, true);
                return this.later(action.duration, () => fleet.suppressHeartbeats(id, false));
        }
    }

    /** A worker's fault is no planned work: what is lost around it says nothing about planned stops. */
    private noteServerHarm(duration: Milliseconds = 0): void {
        this.oracle.harm.note("servers", duration);
    }

    private killGateway(gateway: VirtualGateway, how: "reset" | "power", away: Milliseconds): void {
        if (!gateway.isAlive) {
            return;
        }
        this.oracle.harm.note(gateway.name, away);
        this.oracle.noteGone(gateway);
        gateway.kill(how);
        this.restartLater(gateway, away);
    }

    /** A process that ended after a planned stop is started again. */
    private replaceGateway(gateway: VirtualGateway): void {
        this.oracle.noteGone(gateway);
        this.oracle.harm.note(gateway.name, restartDelay);
        this.restartLater(gateway, restartDelay);
    }

    private restartLater(gateway: VirtualGateway, delay: Milliseconds): void {
        const slot = this.platform.gateways.indexOf(gateway);
        this.platform.clock.schedule(delay, () => this.platform.startGateway(slot));
    }

    private addServer(kind: ServerKind, address?: string): void {
        this.platform.fleet.add(serverPlan(kind, `${kind}${++this.servers}`), address);
    }

    /** Ends a fault after its duration, or when the schedule calms down. */
    private later(duration: Milliseconds, end: () => void): void {
        this.platform.clock.schedule(duration, end);
        this.undo.push(end);
    }

    private gatewayOf(slot: number): VirtualGateway {
        return this.platform.gateways[slot % gatewayCount];
    }

    private addressOf(slot: number): string {
        const living = this.platform.fleet.liveServers();
        return living[slot % living.length].options.address;
    }
}

function callerHead(id: string, target: string, length: number, timeLimit: Milliseconds): RequestHead {
    return {
        callerAttemptId: identifier(id),
        method: "POST",
        target,
        host: routesHost,
        timeLimit,
        apiKey: undefined,
        lastEvent: undefined,
        promptTokens,
        maximumTokens: length,
        estimatedTokens: undefined,
        headers: [],
    };
}
