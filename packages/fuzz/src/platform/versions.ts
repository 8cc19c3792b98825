/**
 * The versions of the configuration in a schedule. Each version adds a route and an API key that are named after it and
 * drops those of two versions before. A request for such a route therefore shows which versions may be in force at a
 * gateway: the route exists in its own version and in the next one. The next one splits it, and moves a part of its paths
 * to another service.
 */
import { replicaLifetime } from "@verbenaspring/emulator";
import type { Milliseconds } from "@verbenaspring/model";
import type { PromiseName } from "../oracle.js";
import { platformLimits } from "./limits.js";
import { defaultEngines, type EngineProfile, tokensPerEvent, transferRate } from "./requestKinds.js";

/** The host of all routes. */
export const routesHost = "platform.example";
/** The timeout of each route, in milliseconds. */
export const routeTimeouts = { confirm: 1_500, lookup: 1_500, plan: 20_000, note: 6_000, probe: 1_500 } as const;

/** A version that the operator has written. */
interface WrittenVersion {
    readonly index: number;
    /** Infinity where the write was not acknowledged: the version may be lost, and is never due. */
    readonly writtenAt: Milliseconds;
}

/** An engine's memory is one byte a token, so that its transfer rate is also in bytes a millisecond. */
const bitsPerByte = 8;

/** What a probe of a version asks for: its route, its API key, or the paths of its route that the next version moves. */
export type ProbeSubject = "route" | "key" | "moved";

/** A service without backend servers, to which paths are moved. */
const emptyService = "empty";

/** The route whose requests need an API key. */
const keyedRoute = "keyed";

/** The API key that a version adds. */
export function versionKey(index: number): string {
    return `key-of-version-${index}`;
}

/** The path of a probe of a version. */
export function probePath(index: number, subject: ProbeSubject): string {
    return subject === "key" ? `/${keyedRoute}/1` : `/version${index}/${subject === "moved" ? "moved/" : ""}1`;
}

/** The average step between two version numbers, which are 4 and 2 apart in turn. */
const versionStep = 3;

/** The number of the version with an index. */
export function versionNumber(index: number): number {
    return versionStep * index + (index % 2) + 1;
}

/** What the configuration states about cold servers. */
export interface ColdServices {
    /** Requests a second to a cold server. */
    readonly perSecond: number;
    /** How long servers are cold after an evacuation. */
    readonly duration: Milliseconds;
}

/**
 * Builds the configuration document of the version with an index.
 *
 * @param cold absent if requests to cold servers are not limited
 * @param engines the engines that run
 */
export function buildConfiguration(
    index: number,
    cold?: ColdServices,
    { memoryTokens, targetLatencies }: EngineProfile = defaultEngines,
): object {
    const route = (name: string, service: string, fields: object): object => ({
        name,
        hostname: routesHost,
        pathPrefix: `/${name}/`,
        timeoutMs: routeTimeouts.probe,
        targetLatencyMs: 500,
        priority: 2,
        service,
        maxAttempts: 1,
        public: true,
        ...fields,
    });
    const versionRoute = (versionIndex: number): object =>
        route(`version${versionIndex}`, "plain", { routeType: "idempotent", maxAttempts: 2 });
    const movedRoute = (versionIndex: number): object =>
        route(`version${versionIndex}/moved`, emptyService, { routeType: "idempotent" });
    const coldFields = cold && { coldPerS: cold.perSecond, coldStartS: cold.duration / 1_000 };
    const engine = {
        kvCapacity: memoryTokens,
        kvBytes: 1,
        linkMbps: transferRate * bitsPerByte / 1_000,
        handleTtlS: replicaLifetime / 1_000,
        replicas: true,
        migrations: true,
        stride: tokensPerEvent,
    };
    return {
        version: versionNumber(index),
        routes: [
            route("confirm", "plain", { routeType: "non_idempotent", timeoutMs: routeTimeouts.confirm }),
            route("lookup", "plain", { routeType: "idempotent", maxAttempts: 3, timeoutMs: routeTimeouts.lookup }),
            route("plan", "engine", {
                routeType: "streaming",
                timeoutMs: routeTimeouts.plan,
                targetLatencyMs: targetLatencies.plan,
            }),
            route("note", "engine", {
                routeType: "streaming",
                timeoutMs: routeTimeouts.note,
                targetLatencyMs: targetLatencies.note,
                streamResume: true,
                maxAttempts: 3,
            }),
            versionRoute(index),
            ...index > 0 ? [versionRoute(index - 1), movedRoute(index - 1)] : [],
            route(keyedRoute, "plain", { routeType: "idempotent", public: false }),
        ],
        services: [
            { name: "plain", ...coldFields },
            { name: "engine", backend: engine, ...coldFields },
            { name: emptyService },
        ],
        tenants: [index, index - 1].map(versionIndex => ({
            name: `tenant${versionIndex}`,
            apiKeys: [versionKey(versionIndex)],
        })),
        limits: { maxHeaderBytes: 8_192, maxBodyBytes: 4_096, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
    };
}

/** What the version oracle needs from the oracle that it belongs to. */
export interface VersionOracleContext<Gateway> {
    /** Whether time limits apply to a gateway at a time. */
    readonly mustMeetTimeLimits: (gateway: Gateway, at: Milliseconds) => boolean;
    /** Whether two gateways have had a link for long enough to know what the other one knows. */
    readonly areLinked: (one: Gateway, other: Gateway) => boolean;
    /** Reports a violation. */
    readonly fail: (promise: PromiseName, detail: string) => void;
}

/** Checks which versions gateways use, by what callers see of them. A gateway is one incarnation of a process. */
export class VersionOracle<Gateway extends { readonly name: string; }> {
    private readonly written: WrittenVersion[] = [];
    /** The index of the newest version that an older one was written after; -1 if there is none. */
    private overwrittenThrough = -1;
    /** For each gateway, the lowest version that agrees with its answers so far. */
    private readonly lowestPossible = new Map<Gateway, number>();
    /** The versions that gateways showed to use, and when they first did. */
    private readonly shown: { readonly gateway: Gateway; readonly index: number; readonly at: Milliseconds; }[] = [];

    constructor(
        private readonly context: VersionOracleContext<Gateway>,
        private readonly now: () => Milliseconds,
    ) {}

    /** The index of the newest version; -1 before the first. */
    get newestIndex(): number {
        return this.written.length - 1;
    }

    /**
     * Records that an older version was written again. The platform's operator never does that: its versions only grow.
     * Gateways that have seen the newer version must keep it; others can learn of it only from these.
     */
    recordRewrite(): void {
        this.overwrittenThrough = this.newestIndex;
    }

    /** Records that the next version was written. */
    recordVersion(now: Milliseconds): void {
        this.written.push({ index: this.written.length, writtenAt: now });
    }

    /** Records that the next version was sent to the store, which doesn't answer. Gateways may use it from now on. */
    recordUnanswered(): void {
        this.written.push({ index: this.written.length, writtenAt: Infinity });
    }

    /**
     * Whether the newest version that is due may be unknown to a gateway, since an older one was written after it. Its
     * record may have been deleted before the gateway read it.
     */
    isOverwritten(now: Milliseconds): boolean {
        return this.versionInForce(now) <= this.overwrittenThrough;
    }

    /**
     * Determines which versions may be in force when a probe of a version is sent.
     *
     * @returns a function that checks the outcome, given whether the gateway found what the version has
     */
    startProbe(
        gateway: Gateway,
        index: number,
        sentAt: Milliseconds,
        subject: ProbeSubject = "route",
    ): (isFound: boolean) => void {
        const lastIndex = subject === "moved" ? index : index + 1;
        const lowestSeen = this.lowestPossible.get(gateway) ?? 0;
        const isTimeLimited = !this.isOverwritten(sentAt) && this.context.mustMeetTimeLimits(gateway, sentAt);
        const lowestDue = isTimeLimited ? this.versionInForce(sentAt) : 0;
        const lowest = Math.max(lowestSeen, lowestDue, this.versionOfOthers(gateway, sentAt));
        const promise = lowest === lowestSeen ? "configuration_never_reverts" : "configuration_in_force";
        return isFound => {
            const { newestIndex } = this;
            const what = `the ${subject} of version ${index}, though ${lowest} is in force`;
            if (isFound && lastIndex < lowest) {
                this.context.fail(promise, `${gateway.name} serves ${what}`);
            }
            if (!isFound && index <= lowest && newestIndex <= lastIndex) {
                this.context.fail(promise, `${gateway.name} lacks ${what}`);
            }
            if (isFound && index > (this.lowestPossible.get(gateway) ?? -1)) {
                this.shown.push({ gateway, index, at: this.now() });
            }
            if (isFound) {
                this.lowestPossible.set(gateway, Math.max(index, this.lowestPossible.get(gateway) ?? 0));
            }
        };
    }

    /** The index of the newest version that a gateway must have learnt from others by now. */
    private versionOfOthers(gateway: Gateway, now: Milliseconds): number {
        const due = this.shown.filter(shown =>
            now - shown.at > platformLimits.configurationApply && shown.gateway !== gateway
            && this.context.areLinked(gateway, shown.gateway)
        );
        return Math.max(0, ...due.map(({ index }) => index));
    }

    /** The index of the newest version that every gateway must have applied by now, unless a fault affects it. */
    versionInForce(now: Milliseconds): number {
        const due = this.written.filter(({ writtenAt }) => now - writtenAt > platformLimits.configurationApply);
        return due.at(-1)?.index ?? 0;
    }
}
