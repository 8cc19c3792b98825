/**
 * Runs one schedule on a platform in virtual time. When its steps are done, all faults end, and after a recovery time
 * the run checks what must hold without faults.
 */
import { defaultOverlayShape, type OverlayShape, type Random, seededSource } from "@verbenaspring/coordination";
import {
    failureDomains,
    type GatewayInterceptors,
    operatorTopic,
    passThroughInterceptors,
    type ServerModel,
    type ServerPlan,
    storeName,
    type VirtualGateway,
    VirtualPlatform,
} from "@verbenaspring/emulator";
import type { BackendCall, RequestHead } from "@verbenaspring/gateway";
import {
    type ApiKey,
    type CallerAttemptId,
    type ContentDigest,
    type EventId,
    identifier,
    type Milliseconds,
    type PromptPartId,
} from "@verbenaspring/model";
import {
    type CallerAction,
    type GatewayAction,
    isCallerAction,
    isGatewayAction,
    isReplacement,
    isStoreAction,
    type PlatformAction,
    type PlatformSchedule,
    type ServerAction,
    type ServerReplacement,
    type StoreAction,
} from "./actions.js";
import { platformLimits } from "./limits.js";
import { denials, PlatformOracle, type PlatformRequest } from "./oracle.js";
import {
    defaultEngines,
    type EngineProfile,
    expectedEventCount,
    promptTokens,
    type RequestKind,
    type RequestOrProbeKind,
    type ServerKind,
    serverPlan,
    slowlyReadingEngines,
    tokensPerEvent,
    withOldReports,
} from "./requestKinds.js";
import {
    buildConfiguration,
    probePath,
    type ProbeSubject,
    routesHost,
    routeTimeouts,
    versionKey,
    versionNumber,
    VersionOracle,
} from "./versions.js";

/** The gateways of a platform, and the shape of their links. */
export interface GatewayPlan {
    readonly count: number;
    readonly overlay: OverlayShape;
}

/** Few gateways, each with links to all others. */
export const meshedGateways: GatewayPlan = { count: 3, overlay: defaultOverlayShape };
/** More gateways than each has links. */
export const overlaidGateways: GatewayPlan = {
    count: 8,
    overlay: { meshSize: 3, localRings: 1, bridgesPerDomain: 2, bridgeRings: 1 },
};

/** The numbers of the random sources beside that of the platform. */
const [deletionSource, framingSource] = [1, 2];
const warmUpTime: Milliseconds = 1_500;
/** The time after the last fault. It is longer than any request and than a planned stop. */
const recoveryTime: Milliseconds = 25_000;
const checkInterval: Milliseconds = 250;
/** How long after a crash a server of another service starts at the crashed server's address. */
const addressReuseDelay: Milliseconds = 2_000;
const restartDelay: Milliseconds = 500;
/** How long after a configuration was stored all gateways have read it, or got it from others. */
const readingTime: Milliseconds = 150;
/** The domain that an operator evacuates although no server is in it. */
const unknownDomain = "nowhere";
/** How long after the withdrawal of an evacuation requests still arrive. */
const returnDuration: Milliseconds = 3_000;
/** The time between the requests that arrive while a server is cold. */
const coldRequestInterval: Milliseconds = 25;
/** How long a server that gave notice in its answers still serves after its registration says so. */
const departureDelay: Milliseconds = 4_000;
/** The time between the requests that arrive while a server declares a limit. */
const limitedRequestInterval: Milliseconds = 50;
/** The time between the requests that arrive while a part or a request crashes servers; one of so many is deadly. */
const deadlyWorkInterval: Milliseconds = 100;
const deadlyRequestPeriod = 3;
/** A part that all requests share. */
const commonPart = "common";
/** The time limit of these requests, and the length of those that are streamed. */
const limitedRequest = { timeLimit: 1_000, length: 8 } as const;

/**
 * Runs a schedule.
 *
 * @throws BrokenPromiseError where a promise is broken
 * @example
 * runPlatformSchedule({ seed: 1, steps: [] });
 */
export function runPlatformSchedule(
    schedule: PlatformSchedule,
    implementation: GatewayInterceptors = passThroughInterceptors,
    gateways: GatewayPlan = meshedGateways,
): void {
    const run = new ScheduleRun(schedule, implementation, gateways);
    schedule.steps.forEach(({ pause, action }) => run.step(pause, action));
    run.finish();
}

interface RequestDetails {
    /** Overrides the path of the kind of request. */
    readonly path?: string;
    readonly sharedParts?: readonly string[];
    readonly apiKey?: string;
    /** The request whose broken stream this one takes up. */
    readonly broken?: PlatformRequest;
    /** Whether its head doesn't say how many tokens the answer may have. */
    readonly hidesLength?: boolean;
    /** Tokens of its prompt. */
    readonly prompt?: number;
}

class ScheduleRun {
    private readonly platform: VirtualPlatform;
    private readonly engines: EngineProfile;
    private readonly drawFraming: Random;
    private readonly oracle: PlatformOracle;
    private readonly versions: VersionOracle<VirtualGateway>;
    /** Ends the faults of earlier steps. */
    private readonly faultEnds: (() => void)[] = [];
    /** For each open probe, the check of its outcome. */
    private readonly probes = new Map<PlatformRequest, (isFound: boolean) => void>();
    /** The requests whose streams callers have taken up. */
    private readonly takenUp = new Set<PlatformRequest>();
    /** The index of the newest version that was ever stored. */
    private newestStored = -1;
    private requestCount = 0;
    private serverCount = 0;
    private releaseCount = 1;
    private deadlyPartCount = 0;
    private deadlyRequestCount = 0;

    constructor(
        private readonly schedule: PlatformSchedule,
        implementation: GatewayInterceptors,
        private readonly gatewayPlan: GatewayPlan,
    ) {
        const { seed, coldDuration, areEnginesSlow = false, beyondEndAnswer = "end", pageTiming } = schedule;
        this.engines = areEnginesSlow ? slowlyReadingEngines : defaultEngines;
        this.drawFraming = seededSource(seed, framingSource).random;
        this.platform = new VirtualPlatform({
            seed,
            cold: coldDuration === undefined
                ? undefined
                : { rate: platformLimits.coldRate, duration: coldDuration },
            gateways: gatewayPlan.count,
            overlay: gatewayPlan.overlay,
            retries: {
                ratio: platformLimits.retryRatio,
                slack: platformLimits.retrySlack,
                window: platformLimits.retryWindow,
            },
            stopLimit: platformLimits.stopLimit,
            interceptors: implementation,
        }, {
            runStarted: record => this.oracle.recordRun(record),
            answered: (gateway, effect) => this.oracle.recordAnswer(gateway, effect),
            decisionLogged: () => undefined,
            callArrived: (gateway, call, sentAt) => this.recordArrival(gateway, call, sentAt),
            pauseRequested: (gateway, call, pause) =>
                this.oracle.serverPauses.recordRefusal(gateway, call.backendServer, pause, this.platform.clock.now),
            crashedUnderCall: (server, { path }) => {
                const { deadlyParts, deadlyRequests } = this.oracle;
                const isRequest = path === this.platform.fleet.deadlyPath;
                (isRequest ? deadlyRequests : deadlyParts).recordCrash(this.platform.clock.now);
                this.forgetServer(server);
            },
            crashedWhileCold: server => {
                this.recordServerFault();
                this.forgetServer(server);
            },
            exited: gateway => this.replaceGateway(gateway),
        });
        const { clock, fleet, store } = this.platform;
        store.beyondEndAnswer = beyondEndAnswer;
        store.pageTiming = pageTiming ?? store.pageTiming;
        store.model.deletesHistory = this.drawDeletions();
        this.oracle = new PlatformOracle(
            clock,
            id => fleet.drainPublishedAt(id),
            id => fleet.liveServers().find(({ options }) => options.id === id)?.requestLimit,
            () => this.platform.gateways.filter(({ isAlive }) => isAlive),
            id => fleet.liveServers().some(({ options }) => options.id === id),
        );
        this.versions = new VersionOracle<VirtualGateway>({
            mustMeetTimeLimits: (gateway, at) => this.oracle.mustKnowStore(gateway, at),
            areLinked: (one, other) => this.oracle.contact.areLinked(one, other),
            fail: (promise, detail) => this.oracle.fail(promise, detail),
        }, () => clock.now);
        this.configure();
        [1, 2].forEach(() => this.addServer("plain"));
        [1, 2, 3].forEach(() => this.addServer("engine"));
        this.advance(warmUpTime);
    }

    /** The plan of a backend server, whose streams may be unframed. */
    private planServer(kind: ServerKind, id: string): ServerPlan {
        const { unframedShare } = this.schedule;
        const plan = serverPlan(kind, id, this.softwareVersion(), this.engines);
        return unframedShare === undefined ? plan : withOldReports(plan, this.drawFraming() < unframedShare);
    }

    private drawDeletions(): () => boolean {
        const { seed, deletedHistoryShare = 0 } = this.schedule;
        const { random } = seededSource(seed, deletionSource);
        return () => random() < deletedHistoryShare;
    }

    step(pause: Milliseconds, action: PlatformAction): void {
        this.advance(pause);
        this.perform(action);
    }

    /** Ends all faults, waits for recovery, and checks what must hold then. */
    finish(): void {
        this.faultEnds.splice(0).forEach(end => end());
        this.advance(recoveryTime);
        this.oracle.checkBudget();
        this.platform.gateways.forEach(gateway => this.checkRecovered(gateway));
        this.advance(2 * routeTimeouts.note);
    }

    private checkRecovered(gateway: VirtualGateway): void {
        const { state } = gateway;
        const remaining = state.requests.size + state.attempts.size + state.waiting.size + state.loads.size;
        if (remaining > 0) {
            this.oracle.fail(
                "state_is_bounded",
                `${gateway.name} still has ${remaining} requests, attempts, waits and loads`,
            );
        }
        this.checkServed(gateway, "lookup");
        this.checkServed(gateway, "note");
    }

    private checkServed(gateway: VirtualGateway, kind: RequestKind): void {
        const request = this.sendRequest(gateway, kind, 1, routeTimeouts[kind]);
        this.platform.clock.schedule(routeTimeouts[kind], () => {
            if (request.end !== "whole") {
                this.oracle.fail(
                    "serves_again",
                    `${gateway.name} answered a request with ${JSON.stringify(request.end)}`,
                );
            }
        });
    }

    private advance(duration: Milliseconds): void {
        const { clock } = this.platform;
        const end = clock.now + duration;
        while (clock.now < end) {
            clock.advanceTo(Math.min(end, clock.now + checkInterval));
            this.oracle.checkWaiting();
            this.observeKnowledge();
            this.settleProbes();
        }
    }

    /** Records which servers are cold, and what gateways know by now. */
    private observeKnowledge(): void {
        const { fleet } = this.platform;
        for (const { options: { id } } of fleet.liveServers()) {
            const period = fleet.coldPeriodOf(id);
            if (period !== undefined) {
                this.oracle.coldServers.recordCold(id, period);
            }
        }
        const { versions, platform: { clock } } = this;
        const versionDue = versions.isOverwritten(clock.now)
            ? undefined
            : versionNumber(versions.versionInForce(clock.now));
        this.oracle.observeGateways(versionDue);
    }

    /** Records a call that reached an address, at which another server than its target may listen. */
    private recordArrival(gateway: VirtualGateway, call: BackendCall, sentAt: Milliseconds): void {
        const { fleet, clock } = this.platform;
        const { backendServer, address } = call;
        this.oracle.recordArrival(gateway, call);
        const failureDomain = fleet.failureDomainOf(backendServer);
        if (failureDomain === undefined || fleet.findByAddress(address)?.options.id !== backendServer) {
            return;
        }
        this.oracle.evacuations.checkArrival(gateway, backendServer, failureDomain, sentAt);
        const period = fleet.coldPeriodOf(backendServer);
        if (period !== undefined) {
            this.oracle.coldServers.recordArrival(gateway, backendServer, period, sentAt, clock.now);
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
                this.sendRequest(this.gatewayOf(action.gateway), action.work, action.length, action.timeLimit, {
                    hidesLength: action.hidesLength,
                    prompt: action.prompt,
                });
                return;
            case "askTogether":
                return this.askTogether(action);
            case "leave":
                return this.disconnectCaller(action.caller);
            case "takeUp":
                return this.takeUp(action.caller, this.gatewayOf(action.gateway));
            case "configure":
                return this.configure();
            case "configureInTurn":
                return this.configureInTurn(action.versions, action.interval);
            case "configureUnanswered":
                return this.configureUnanswered(action.delay);
            case "rewriteOld":
                this.versions.recordRewrite();
                return this.platform.configure(this.buildConfiguration(Math.max(0, this.versions.newestIndex - 1)));
            case "deadlyPart":
                return this.startDeadlyPart(action.duration);
            case "deadlyRequest":
                return this.startDeadlyRequest(action.work, action.duration);
            case "evacuate":
                return this.evacuate(failureDomains[action.domain] ?? unknownDomain, action.duration);
            case "probe":
                return this.sendProbe(
                    this.gatewayOf(action.gateway),
                    Math.max(0, this.versions.newestIndex - action.back),
                    action.subject,
                );
        }
    }

    private sendRequest(
        gateway: VirtualGateway,
        kind: RequestOrProbeKind,
        length: number,
        timeLimit: Milliseconds,
        { path, sharedParts = [commonPart], apiKey, broken, hidesLength = false, prompt = promptTokens }:
            RequestDetails = {},
    ): PlatformRequest {
        const { clock } = this.platform;
        const timeout = Math.min(timeLimit, routeTimeouts[kind]);
        const request: PlatformRequest = {
            callerAttemptId: `caller${++this.requestCount}`,
            kind,
            gateway,
            sentAt: clock.now,
            deadlineAt: clock.now + timeout,
            events: expectedEventCount(kind, length),
            lastEventNumber: broken?.lastEventNumber ?? 0,
            lineage: undefined,
            softwareVersion: broken?.softwareVersion,
            firstAttemptId: broken?.firstAttemptId ?? broken?.callerAttemptId,
            end: undefined,
        };
        this.oracle.recordRequest(request);
        if (!gateway.isAlive) {
            request.end = "gateway_gone";
            return request;
        }
        const head = createRequestHead(
            request.callerAttemptId,
            path ?? `/${kind}/1?length=${length}`,
            hidesLength ? 0 : length,
            timeLimit,
            prompt,
            sharedParts,
            apiKey,
            broken,
        );
        const requestId = this.platform.nextRequestId();
        this.oracle.recordRequestId(gateway, requestId, request);
        const contentDigest = path === undefined ? undefined : identifier<ContentDigest>(path);
        this.platform.ask(gateway, requestId, head, contentDigest);
        return request;
    }

    private configureInTurn(versions: number, interval: Milliseconds): void {
        for (let index = 0; index < versions; index++) {
            this.platform.clock.schedule(index * interval, () => this.configure());
        }
    }

    private askTogether(action: Extract<CallerAction, { readonly kind: "askTogether"; }>): void {
        const { work, gateway, callers, length, prompt } = action;
        for (let caller = 0; caller < callers; caller++) {
            this.sendRequest(this.gatewayOf(gateway + caller), work, length, routeTimeouts[work], { prompt });
        }
    }

    /** Requests an evacuation, and withdraws it after a duration. The servers of the domain are cold then. */
    private evacuate(failureDomain: string, duration: Milliseconds): void {
        const { operator, clock } = this.platform;
        operator.evacuate(failureDomain, () => this.oracle.evacuations.recordRequested(failureDomain, clock.now));
        const kinds = ["confirm", "note"] as const;
        kinds.forEach(kind => this.sendRequests(kind, duration + returnDuration, 2 * limitedRequestInterval));
        this.endAfter(duration, () => operator.withdraw(failureDomain, () => this.returnDomain(failureDomain)));
    }

    private returnDomain(failureDomain: string): void {
        const { fleet, clock } = this.platform;
        const informed = this.oracle.evacuations.recordWithdrawn(failureDomain);
        if (informed === undefined) {
            return;
        }
        fleet.returnDomain(failureDomain);
        for (const { options: { id } } of fleet.liveServers()) {
            const period = fleet.coldPeriodOf(id);
            if (fleet.failureDomainOf(id) === failureDomain && period !== undefined) {
                this.oracle.coldServers.recordInformed(id, period, informed, clock.now);
            }
        }
    }

    private makeServerCold(id: string, duration: Milliseconds): void {
        const { fleet } = this.platform;
        fleet.makeCold(id, duration);
        this.sendRequestsTo(id, duration);
    }

    /** Sends requests that a server could run, more of them than a cold one may get. */
    private sendRequestsTo(id: string, duration: Milliseconds): void {
        const kind = this.platform.fleet.findPlan(id)!.kind === "plain" ? "confirm" : "note";
        this.sendRequests(kind, duration, coldRequestInterval);
    }

    /** Starts a server again under its id, unless another one listens at its address by now. */
    private restartInPlace(id: string, address: string): void {
        const { fleet } = this.platform;
        const hasStarted = fleet.liveServers().some(({ options }) => options.id === id);
        if (!hasStarted && fleet.findByAddress(address) === undefined) {
            fleet.restart(id, this.softwareVersion(), address);
            this.sendRequestsTo(id, this.schedule.coldDuration ?? 0);
        }
    }

    /** Forgets what an incarnation of a server told gateways. */
    private forgetServer(id: string): void {
        this.oracle.serverNotices.forgetServer(id);
        this.oracle.serverPauses.forgetServer(id);
    }

    /** Sends requests to the gateways in turn for a duration. */
    private sendRequests(kind: RequestKind, duration: Milliseconds, interval = limitedRequestInterval): void {
        for (let delay = 0; delay < duration; delay += interval) {
            const gateway = delay / interval;
            const { length, timeLimit } = limitedRequest;
            this.platform.clock.schedule(
                delay,
                () => void this.sendRequest(this.gatewayOf(gateway), kind, length, timeLimit),
            );
        }
    }

    /** Lets a new part crash engines for a duration, and sends requests with and without it. */
    private startDeadlyPart(duration: Milliseconds): void {
        const { fleet, clock } = this.platform;
        const part = `deadly${++this.deadlyPartCount}`;
        fleet.deadlyPart = part;
        this.oracle.deadlyParts.start(part);
        this.recordServerFault(duration);
        for (let delay = 0; delay < duration; delay += deadlyWorkInterval) {
            const number = delay / deadlyWorkInterval;
            const sharedParts = [commonPart, number % deadlyRequestPeriod === 0 ? part : `sound${number}`];
            const { length, timeLimit } = limitedRequest;
            clock.schedule(
                delay,
                () => void this.sendRequest(this.gatewayOf(number), "plan", length, timeLimit, { sharedParts }),
            );
        }
    }

    /** Lets a new request crash the servers that run it for a duration, and sends it and sound ones. */
    private startDeadlyRequest(kind: RequestKind, duration: Milliseconds): void {
        const { fleet, clock } = this.platform;
        const { length, timeLimit } = limitedRequest;
        const deadlyPath = `/${kind}/deadly${++this.deadlyRequestCount}?length=${length}`;
        fleet.deadlyPath = deadlyPath;
        this.oracle.deadlyRequests.start(deadlyPath);
        this.recordServerFault(duration);
        for (let delay = 0; delay < duration; delay += deadlyWorkInterval) {
            const number = delay / deadlyWorkInterval;
            const path = number % deadlyRequestPeriod === 0 ? deadlyPath : undefined;
            clock.schedule(
                delay,
                () => void this.sendRequest(this.gatewayOf(number), kind, length, timeLimit, { path }),
            );
        }
    }

    private sendProbe(gateway: VirtualGateway, index: number, subject: ProbeSubject = "route"): void {
        const check = this.versions.startProbe(gateway, index, this.platform.clock.now, subject);
        const request = this.sendRequest(gateway, "probe", 1, routeTimeouts.probe, {
            path: probePath(index, subject),
            apiKey: subject === "key" ? versionKey(index) : undefined,
        });
        this.probes.set(request, check);
        this.settleProbes();
    }

    private settleProbes(): void {
        for (const [request, check] of this.probes) {
            if (request.end === "whole") {
                check(true);
            }
            if (typeof request.end === "object" && denials.has(request.end.failure)) {
                check(false);
            }
            if (request.end !== undefined) {
                this.probes.delete(request);
            }
        }
    }

    /** Takes up one of the streams that broke off after their first event, if there is one with time left. */
    private takeUp(caller: number, gateway: VirtualGateway): void {
        const { now } = this.platform.clock;
        const broken = this.oracle.callerRequests.filter(request =>
            request.kind === "note" && (request.end === "cut" || request.end === "gateway_gone")
            && request.lastEventNumber > 0 && request.lastEventNumber < request.events && request.deadlineAt > now
            && !this.takenUp.has(request)
        );
        if (broken.length === 0) {
            return;
        }
        const request = broken[caller % broken.length];
        this.takenUp.add(request);
        const length = request.events * tokensPerEvent;
        this.sendRequest(gateway, "note", length, request.deadlineAt - now, { broken: request });
    }

    private disconnectCaller(caller: number): void {
        const openRequests = this.oracle.callerRequests.filter(request => request.end === undefined);
        if (openRequests.length === 0) {
            return;
        }
        const request = openRequests[caller % openRequests.length];
        const requestId = this.oracle.requestIdOf(request);
        this.oracle.recordCallerLeft(request);
        request.gateway.handleEvent({ kind: "callerLeft", requestId });
    }

    private configure(): void {
        this.newestStored = this.versions.newestIndex + 1;
        this.platform.configure(this.buildConfiguration(this.newestStored));
        this.versions.recordVersion(this.platform.clock.now);
    }

    /** Sends the next version to the store, which stores it after a delay, by when newer ones may be stored. */
    private configureUnanswered(delay: Milliseconds): void {
        const { versions, platform } = this;
        const index = versions.newestIndex + 1;
        versions.recordUnanswered();
        const execute = (): void => {
            if (this.newestStored > index) {
                versions.recordRewrite();
            }
            this.newestStored = Math.max(this.newestStored, index);
            platform.configureUnanswered(this.buildConfiguration(index));
        };
        if (delay === 0) {
            return execute();
        }
        platform.clock.schedule(delay, execute);
    }

    private buildConfiguration(index: number): object {
        const { coldDuration } = this.schedule;
        const { perSecond } = platformLimits.coldRate;
        return buildConfiguration(
            index,
            coldDuration === undefined ? undefined : { perSecond, duration: coldDuration },
            this.engines,
        );
    }

    private performGateway(action: GatewayAction): void {
        const { network } = this.platform;
        const gateway = this.gatewayOf(action.gateway);
        switch (action.kind) {
            case "killGateway":
                return this.killGateway(gateway, action.how, action.away);
            case "killAllGateways":
                return this.platform.gateways.forEach(each => this.killGateway(each, "power", action.away));
            case "freezeGateway":
                this.oracle.faultRecord.recordProcessFault(gateway.name, action.duration);
                this.oracle.contact.recordFreeze(gateway, action.duration);
                this.oracle.serverNotices.excuse(gateway);
                return gateway.freeze(action.duration);
            case "stopGateway":
                return gateway.stop();
            case "stopInTurn":
                return this.stopInTurn(action.gateway, action.interval);
            case "cutGateways": {
                const other = this.gatewayOf(action.other);
                this.recordFaults(gateway, other, action.duration);
                return network.cut(gateway.name, other.name, action.duration);
            }
            case "silenceGateways": {
                const other = this.gatewayOf(action.other);
                this.recordFaults(gateway, other, 0);
                return network.silence(gateway.name, other.name);
            }
            case "delayLinks":
                return this.delayLinks(gateway, action);
            case "cutServer": {
                const address = this.addressOf(action.server);
                this.oracle.faultRecord.recordProcessFault(gateway.name, action.duration);
                this.oracle.recordServerPathFault(gateway, address, action.duration);
                return network.cut(gateway.name, address, action.duration);
            }
            case "silenceServer": {
                const address = this.addressOf(action.server);
                this.oracle.faultRecord.recordProcessFault(gateway.name, routeTimeouts.plan);
                this.oracle.recordServerPathFault(gateway, address, 0);
                return network.silence(gateway.name, address);
            }
        }
    }

    /** The other gateways stay in touch, so that no fault is recorded for them. */
    private delayLinks(
        gateway: VirtualGateway,
        { direction, delay }: Extract<GatewayAction, { readonly kind: "delayLinks"; }>,
    ): void {
        const { network, gateways } = this.platform;
        const duration = delay.duration + delay.limit;
        this.oracle.faultRecord.recordProcessFault(gateway.name, duration);
        for (const other of gateways.filter(({ name }) => name !== gateway.name)) {
            this.oracle.contact.recordPeerPathFault(gateway, other, duration);
            if (direction !== "to") {
                network.fallBehind(gateway.name, other.name, delay);
            }
            if (direction !== "from") {
                network.fallBehind(other.name, gateway.name, delay);
            }
        }
    }

    private stopInTurn(first: number, interval: Milliseconds): void {
        for (let count = 0; count < this.gatewayPlan.count; count++) {
            this.platform.clock.schedule(count * interval, () => this.gatewayOf(first + count).stop());
        }
    }

    private recordFaults(gateway: VirtualGateway, other: VirtualGateway, duration: Milliseconds): void {
        this.oracle.faultRecord.recordProcessFault(gateway.name, duration);
        this.oracle.faultRecord.recordProcessFault(other.name, duration);
        this.oracle.contact.recordPeerPathFault(gateway, other, duration);
    }

    private recordStoreFault(duration: Milliseconds): void {
        this.oracle.faultRecord.recordStoreFault(duration);
        this.oracle.contact.recordStoreFault(duration);
    }

    private recordStorePathFault(gateway: VirtualGateway, duration: Milliseconds): void {
        this.oracle.faultRecord.recordProcessFault(gateway.name, duration);
        this.oracle.contact.recordStorePathFault(gateway, duration);
    }

    private performStore(action: StoreAction): void {
        const { store, network } = this.platform;
        switch (action.kind) {
            case "storeBehaves":
                this.recordStoreFault(action.duration);
                store.behaviour = action.behaviour;
                return this.endAfter(action.duration, () => store.behaviour = "up");
            case "storeSlow":
                this.recordStoreFault(action.duration + action.slowness);
                store.slowness = action.slowness;
                return this.endAfter(action.duration, () => store.slowness = 0);
            case "compact":
                return ["keyed.op", "keyed.servers"].forEach(topic => store.model.compact(topic));
            case "loseUnacknowledged":
                store.model.loseUnacknowledged(operatorTopic);
                return;
            case "failOver":
                return this.failOver(action.duration);
            case "turnAway": {
                const gateway = this.gatewayOf(action.gateway);
                const { name } = gateway;
                this.recordStorePathFault(gateway, action.duration);
                store.rejectedReaders.add(name);
                return this.endAfter(action.duration, () => store.rejectedReaders.delete(name));
            }
            case "cutStore": {
                const gateway = this.gatewayOf(action.gateway);
                this.recordStorePathFault(gateway, action.duration);
                return network.cut(gateway.name, storeName, action.duration);
            }
            case "silenceStore": {
                const gateway = this.gatewayOf(action.gateway);
                this.recordStorePathFault(gateway, 0);
                return network.silence(gateway.name, storeName);
            }
            case "delayAnswers": {
                const gateway = this.gatewayOf(action.gateway);
                this.recordStorePathFault(gateway, action.delay.duration + action.delay.limit);
                return network.fallBehind(storeName, gateway.name, action.delay);
            }
        }
    }

    private failOver(duration: Milliseconds): void {
        const { store, clock } = this.platform;
        this.configureUnanswered(0);
        clock.schedule(readingTime, () => {
            this.recordStoreFault(duration);
            store.behaviour = "busy";
            store.model.loseUnacknowledged(operatorTopic);
            clock.schedule(duration / 2, () => this.configure());
            this.endAfter(duration, () => store.behaviour = "up");
        });
    }

    private performServer(action: ServerAction): void {
        const servers = this.platform.fleet.liveServers();
        if (servers.length === 0) {
            return;
        }
        const server = servers[action.server % servers.length];
        if (isReplacement(action)) {
            return this.replaceServer(action, server);
        }
        this.disturbServer(action, server);
    }

    /** Ends a backend server, with or without notice, and starts another one. */
    private replaceServer(action: ServerReplacement, { options: { id, address } }: ServerModel): void {
        const { fleet, clock } = this.platform;
        const plan = fleet.findPlan(id)!;
        switch (action.kind) {
            case "crashServer":
                this.recordServerFault();
                fleet.crash(id);
                return clock.schedule(action.away, () => this.addServer(plan.kind));
            case "restartServer":
                this.recordServerFault();
                this.forgetServer(id);
                return fleet.restart(id, this.softwareVersion());
            case "restartInPlace":
                this.recordServerFault(action.away);
                this.forgetServer(id);
                fleet.crash(id);
                return clock.schedule(action.away, () => this.restartInPlace(id, address));
            case "restartBehindListener":
                this.recordServerFault(action.away);
                this.forgetServer(id);
                fleet.crash(id, action.away);
                return clock.schedule(action.away, () => this.restartInPlace(id, address));
            case "replaceServer":
                this.addServer(plan.kind);
                return fleet.leave(id, action.after);
            case "withdrawServer":
                this.addServer(plan.kind);
                return fleet.withdraw(id, action.after);
            case "reuseAddress":
                this.recordServerFault();
                fleet.crash(id);
                this.addServer(plan.kind);
                return clock.schedule(addressReuseDelay, () => {
                    this.addServer(plan.kind === "plain" ? "engine" : "plain", address);
                });
        }
    }

    private disturbServer(action: Exclude<ServerAction, ServerReplacement>, server: ServerModel): void {
        const { fleet, clock } = this.platform;
        const { id } = server.options;
        const plan = fleet.findPlan(id)!;
        switch (action.kind) {
            case "release":
                this.releaseCount++;
                return;
            case "coldServer":
                return this.makeServerCold(id, action.duration);
            case "serverBehaves":
                this.recordServerFault(action.duration);
                server.behaviour = action.behaviour;
                return this.endAfter(action.duration, () => server.behaviour = "well");
            case "limitServer":
                server.requestLimit = action.perSecond;
                this.sendRequests(plan.kind === "plain" ? "confirm" : "note", action.duration);
                return this.endAfter(action.duration, () => server.requestLimit = undefined);
            case "giveNotice":
                this.addServer(plan.kind);
                server.isLeaving = true;
                this.sendRequests(plan.kind === "plain" ? "confirm" : "note", action.duration);
                return clock.schedule(action.duration, () => fleet.leave(id, departureDelay));
            case "pauseServer":
                this.recordServerFault(action.duration);
                server.behaviour = "shed";
                server.pause = action.pause;
                this.sendRequests(plan.kind === "plain" ? "confirm" : "note", action.duration);
                return this.endAfter(action.duration, () => {
                    server.behaviour = "well";
                    server.pause = undefined;
                });
            case "garbleEntry":
                return fleet.corruptRegistration(id);
            case "loseHeartbeats":
                fleet.suppressHeartbeats(id, true);
                return this.endAfter(action.duration, () => fleet.suppressHeartbeats(id, false));
        }
    }

    /**
     * Records a fault of a backend server. The gateways' time limits stay in force. Only the checks that need the whole
     * system free of faults are suspended: an answer that is lost around the fault does not count against a planned
     * stop, and one that is ready need not be delivered.
     */
    private recordServerFault(duration: Milliseconds = 0): void {
        this.oracle.faultRecord.recordProcessFault("servers", duration);
    }

    private killGateway(gateway: VirtualGateway, how: "reset" | "power", away: Milliseconds): void {
        if (!gateway.isAlive) {
            return;
        }
        this.oracle.faultRecord.recordProcessFault(gateway.name, away);
        this.oracle.recordGatewayGone(gateway);
        gateway.kill(how);
        this.restartLater(gateway, away);
    }

    /** Restarts a gateway whose process has ended after a planned stop. */
    private replaceGateway(gateway: VirtualGateway): void {
        this.oracle.recordGatewayGone(gateway);
        this.oracle.faultRecord.recordPlannedRestart(gateway.name, restartDelay);
        this.restartLater(gateway, restartDelay);
    }

    private restartLater(gateway: VirtualGateway, delay: Milliseconds): void {
        const slot = this.platform.gateways.indexOf(gateway);
        this.platform.clock.schedule(delay, () => this.platform.startGateway(slot));
    }

    private addServer(kind: ServerKind, address?: string): void {
        const id = `${kind}${++this.serverCount}`;
        this.platform.fleet.add(this.planServer(kind, id), address);
    }

    /** The version of the servers that start now. */
    private softwareVersion(): string {
        return `v${this.releaseCount}`;
    }

    /** Ends a fault after its duration, or at the end of the schedule if that comes first. */
    private endAfter(duration: Milliseconds, end: () => void): void {
        this.platform.clock.schedule(duration, end);
        this.faultEnds.push(end);
    }

    private gatewayOf(slot: number): VirtualGateway {
        return this.platform.gateways[slot % this.gatewayPlan.count];
    }

    /** The address of a server that runs, or of none if all have crashed. */
    private addressOf(slot: number): string {
        const servers = this.platform.fleet.liveServers();
        return servers.length === 0 ? "" : servers[slot % servers.length].options.address;
    }
}

function createRequestHead(
    id: string,
    target: string,
    maximumTokens: number,
    timeLimit: Milliseconds,
    prompt: number,
    sharedParts: readonly string[],
    apiKey: string | undefined,
    broken: PlatformRequest | undefined,
): RequestHead {
    return {
        callerAttemptId: identifier(id),
        method: "POST",
        target,
        host: routesHost,
        timeLimit,
        apiKey: apiKey === undefined ? undefined : identifier<ApiKey>(apiKey),
        lastEvent: broken === undefined ? undefined : identifier<EventId>(String(broken.lastEventNumber)),
        resumedAttemptId: broken === undefined
            ? undefined
            : identifier<CallerAttemptId>(broken.firstAttemptId ?? broken.callerAttemptId),
        promptTokens: prompt,
        maximumTokens,
        estimatedTokens: undefined,
        sharedParts: sharedParts.map(part => identifier<PromptPartId>(part)),
        headers: [],
    };
}
