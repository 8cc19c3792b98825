/**
 * A request that crashes each plain server that begins to run it and comes again at any gateway, beside sound ones of the
 * same route, in virtual time.
 */
import { VirtualPlatform } from "@verbenaspring/emulator";
import { buildConfiguration, routesHost, routeTimeouts, serverPlan } from "@verbenaspring/fuzz";
import { type ContentDigest, identifier, type RequestId } from "@verbenaspring/model";
import { test } from "uvu";
import * as assert from "uvu/assert";

/** The bounds of the small deployments. */
const contactTime = 3_000;
const arrivalsAfterThirdCrash = 3;
const deadlyContent = "deadly";

interface SentRequest {
    readonly isDeadly: boolean;
    readonly sentAt: number;
    isAnswered: boolean;
}

type PlainRoute = "confirm" | "lookup";

/** Five gateways and three plain servers under a steady load, a share of which is the deadly request. */
class LoadedPlatform {
    readonly crashTimes: number[] = [];
    private readonly arrivals: number[] = [];
    private readonly requests = new Map<RequestId, SentRequest>();
    private readonly platform: VirtualPlatform;

    constructor(seed: number, private readonly route: PlainRoute) {
        const retries = { ratio: 0.2, slack: 50, window: 10_000 };
        this.platform = new VirtualPlatform({ seed, gateways: 5, retries, stopLimit: 8_000 }, {
            runStarted: () => undefined,
            answered: (_, { kind, requestId }) => {
                const request = this.requests.get(requestId);
                if (request !== undefined && kind === "answerWhole") {
                    request.isAnswered = true;
                }
            },
            decisionLogged: () => undefined,
            callArrived: (_, { head }) => {
                if (head.target === this.deadlyTarget) {
                    this.arrivals.push(this.now);
                }
            },
            crashedUnderCall: () => this.crashTimes.push(this.now),
            pauseRequested: () => undefined,
            exited: () => undefined,
        });
        this.platform.configure(buildConfiguration(0));
        ["plain1", "plain2", "plain3"].forEach(id => this.platform.fleet.add(serverPlan("plain", id)));
        this.platform.clock.advanceTo(this.now + 4_000);
        this.platform.fleet.deadlyPath = this.deadlyTarget;
    }

    get now(): number {
        return this.platform.clock.now;
    }

    private get deadlyTarget(): string {
        return `/${this.route}/${deadlyContent}`;
    }

    /** Sends requests to the gateways in turn. */
    load(duration: number, perSecond: number, deadlyShare: number): void {
        const interval = 1_000 / perSecond;
        let deadlyDue = 0;
        for (let elapsed = 0; elapsed < duration; elapsed += interval) {
            deadlyDue += deadlyShare;
            const isDeadly = deadlyDue >= 1;
            deadlyDue -= isDeadly ? 1 : 0;
            this.ask(isDeadly);
            this.platform.clock.advanceTo(this.now + interval);
        }
    }

    private ask(isDeadly: boolean): void {
        const number = this.requests.size;
        const requestId = this.platform.nextRequestId();
        this.requests.set(requestId, { isDeadly, sentAt: this.now, isAnswered: false });
        const content = isDeadly ? deadlyContent : `sound${number}`;
        const { gateways } = this.platform;
        this.platform.ask(gateways[number % gateways.length], requestId, {
            callerAttemptId: identifier(requestId),
            method: "POST",
            target: `/${this.route}/${content}`,
            host: routesHost,
            timeLimit: routeTimeouts[this.route],
            apiKey: undefined,
            lastEvent: undefined,
            resumedAttemptId: undefined,
            promptTokens: 0,
            maximumTokens: 0,
            estimatedTokens: undefined,
            sharedParts: [],
            headers: [],
        }, identifier<ContentDigest>(content));
    }

    /** How often the deadly request reached servers later than `contactTime` after the third crash. */
    lateArrivals(): number {
        const thirdCrash = this.crashTimes[2] ?? Infinity;
        return this.arrivals.filter(at => at > thirdCrash + contactTime).length;
    }

    /** The share of the sound requests sent from a time on that were answered. */
    soundShare(from: number): number {
        const sound = [...this.requests.values()].filter(({ isDeadly, sentAt }) => !isDeadly && sentAt >= from);
        return sound.filter(({ isAnswered }) => isAnswered).length / sound.length;
    }
}

for (const route of ["confirm", "lookup"] as const) {
    for (const [seed, perSecond, deadlyShare] of [[1, 20, 0.3], [2, 20, 0.05], [3, 8, 0.3]]) {
        const load = `${perSecond} a second, ${deadlyShare} of them deadly`;

        test(`a deadly ${route} stops reaching servers after three crashes, at ${load}, and sound ones are answered`, () => {
            const loaded = new LoadedPlatform(seed, route);
            loaded.load(30_000, perSecond, deadlyShare);
            const late = loaded.lateArrivals();
            assert.ok(late <= arrivalsAfterThirdCrash, `${late} arrivals, ${loaded.crashTimes.length} crashes`);
            const recovered = (loaded.crashTimes.at(-1) ?? 0) + 2 * contactTime;
            const share = loaded.soundShare(recovered);
            assert.ok(share >= 0.9, `${share} of the sound requests`);
        });
    }
}

test.run();
