/**
 * Requests with a part of a prompt that crashes each engine that begins to answer on it, beside sound ones that share
 * their other parts, at several gateways in virtual time.
 */
import { VirtualPlatform } from "@verbenaspring/emulator";
import { buildConfiguration, routesHost, routeTimeouts, serverPlan } from "@verbenaspring/fuzz";
import { identifier, type RequestId } from "@verbenaspring/model";
import { test } from "uvu";
import * as assert from "uvu/assert";

/** The bounds of the small deployments. */
const contactTime = 3_000;
const arrivalsAfterFifthCrash = 3;
const gatewayCount = 5;
const engineCount = 6;
const deadlyPart = "deadly";

interface SentRequest {
    readonly isDeadly: boolean;
    readonly sentAt: number;
    hasBegun: boolean;
    hasFailed: boolean;
}

/** A platform under a steady load, a share of which carries the deadly part. */
class LoadedPlatform {
    readonly platform: VirtualPlatform;
    readonly crashTimes: number[] = [];
    readonly deadlyArrivals: number[] = [];
    readonly requests = new Map<RequestId, SentRequest>();

    constructor(seed: number, gateways = gatewayCount) {
        this.platform = new VirtualPlatform({
            seed,
            gateways,
            retries: { ratio: 0.2, slack: 50, window: 10_000 },
            stopLimit: 8_000,
        }, {
            runStarted: () => undefined,
            answered: (_, effect) => {
                const request = this.requests.get(effect.requestId);
                if (request !== undefined) {
                    request.hasBegun ||= effect.kind === "answerEvents";
                    request.hasFailed ||= effect.kind === "answerFailure" || effect.kind === "answerCut";
                }
            },
            decisionLogged: () => undefined,
            callArrived: (_, call) => {
                if (call.head.sharedParts.some(part => part === deadlyPart)) {
                    this.deadlyArrivals.push(this.now);
                }
            },
            crashedUnderCall: () => this.crashTimes.push(this.now),
            pauseRequested: () => undefined,
            exited: () => undefined,
        });
        this.platform.configure(buildConfiguration(0));
        for (let count = 1; count <= engineCount; count++) {
            this.platform.fleet.add(serverPlan("engine", `engine${count}`));
        }
        this.advance(4_000);
        this.platform.fleet.deadlyPart = deadlyPart;
    }

    get now(): number {
        return this.platform.clock.now;
    }

    advance(duration: number): void {
        this.platform.clock.advanceTo(this.now + duration);
    }

    /** Sends requests to the gateways in turn; a share of them is deadly, and none is like another. */
    load(duration: number, perSecond: number, deadlyShare: number): void {
        const interval = 1_000 / perSecond;
        let deadlyDue = 0;
        for (let elapsed = 0; elapsed < duration; elapsed += interval) {
            deadlyDue += deadlyShare;
            const isDeadly = deadlyDue >= 1;
            deadlyDue -= isDeadly ? 1 : 0;
            this.ask(this.requests.size, isDeadly);
            this.advance(interval);
        }
    }

    ask(gateway: number, isDeadly: boolean): SentRequest {
        const number = this.requests.size;
        const requestId = this.platform.nextRequestId();
        const request = { isDeadly, sentAt: this.now, hasBegun: false, hasFailed: false };
        this.requests.set(requestId, request);
        const parts = ["shared", isDeadly ? deadlyPart : `sound${number % 3}`, `own${number}`];
        const { gateways } = this.platform;
        this.platform.ask(gateways[gateway % gateways.length], requestId, {
            callerAttemptId: identifier(requestId),
            method: "POST",
            target: "/plan/1?length=120",
            host: routesHost,
            timeLimit: routeTimeouts.plan,
            apiKey: undefined,
            lastEvent: undefined,
            resumedAttemptId: undefined,
            promptTokens: 600,
            maximumTokens: 120,
            estimatedTokens: undefined,
            sharedParts: parts.map(part => identifier<never>(part)),
            headers: [],
        });
        return request;
    }

    /** Deadly requests that reached engines later than `contactTime` after the fifth crash. */
    lateDeadlyArrivals(): number {
        const fifthCrash = this.crashTimes[4] ?? Infinity;
        return this.deadlyArrivals.filter(at => at > fifthCrash + contactTime).length;
    }

    /** The share of the sound requests sent in a span that began. */
    soundShare(from: number, to: number): number {
        const sound = [...this.requests.values()].filter(({ isDeadly, sentAt }) =>
            !isDeadly && sentAt >= from && sentAt < to
        );
        return sound.filter(({ hasBegun }) => hasBegun).length / sound.length;
    }
}

for (const [seed, perSecond, deadlyShare] of [[1, 6, 0.3], [2, 6, 0.1], [3, 20, 0.3]]) {
    test(`a deadly part stops reaching servers after five crashes, at ${perSecond} a second, ${deadlyShare} of them deadly`, () => {
        const loaded = new LoadedPlatform(seed);
        loaded.load(30_000, perSecond, deadlyShare);
        const late = loaded.lateDeadlyArrivals();
        assert.ok(late <= arrivalsAfterFifthCrash, `${late} requests, ${loaded.crashTimes.length} crashes`);
    });

    test(`sound requests with the same first part go on, at ${perSecond} a second, ${deadlyShare} of them deadly`, () => {
        const loaded = new LoadedPlatform(seed);
        loaded.load(10_000, perSecond, 0);
        const start = loaded.now;
        loaded.load(30_000, perSecond, deadlyShare);
        const usual = loaded.soundShare(0, start);
        const lastCounted = loaded.crashTimes.at(4) ?? loaded.crashTimes.at(-1) ?? start;
        const share = loaded.soundShare(lastCounted + 2 * contactTime, loaded.now);
        assert.ok(share >= usual / 2, `${share} of the sound requests, before ${usual}`);
    });
}

test.run();
