/**
 * The versions of the configuration in a schedule. Each adds a route named after it and drops the one of two versions
 * before, so that an answer tells which versions may be in force at a gateway.
 */
import type { Milliseconds } from "@verbenaspring/model";
import type { PromiseName } from "../oracle.js";
import { platformLimits } from "./bounds.js";
import { engineMemory, tokensPerEvent } from "./works.js";

/** The host of all routes. */
export const routesHost = "platform.example";
/** The time that each route gives a request. */
export const routeTimeouts = { confirm: 1_500, lookup: 1_500, plan: 20_000, note: 6_000, probe: 1_500 } as const;

/** A version whose route may be asked for. */
interface WrittenVersion {
    readonly index: number;
    readonly writtenAt: Milliseconds;
}

/** Versions differ by uneven steps. */
const versionStep = 3;

/** The document of a version. */
export function buildConfiguration(index: number): object {
    const route = (name: string, service: string, more: object): object => ({
        name,
        hostname: routesHost,
        pathPrefix: `/${name}/`,
        timeoutMs: routeTimeouts.probe,
        targetLatencyMs: 500,
        priority: 2,
        service,
        maxAttempts: 1,
        public: true,
        ...more,
    });
    const marker = (of: number): object => route(`version${of}`, "plain", { routeType: "idempotent", maxAttempts: 2 });
    const engine = {
        kvCapacity: engineMemory,
        kvBytes: 1,
        replicas: true,
        migrations: true,
        stride: tokensPerEvent,
    };
    return {
        version: versionStep * index + (index % 2) + 1,
        routes: [
            route("confirm", "plain", { routeType: "non_idempotent", timeoutMs: routeTimeouts.confirm }),
            route("lookup", "plain", { routeType: "idempotent", maxAttempts: 3, timeoutMs: routeTimeouts.lookup }),
            route("plan", "engine", { routeType: "streaming", timeoutMs: routeTimeouts.plan, targetLatencyMs: 1_800 }),
            route("note", "engine", {
                routeType: "streaming",
                timeoutMs: routeTimeouts.note,
                targetLatencyMs: 1_500,
                streamResume: true,
                maxAttempts: 3,
            }),
            marker(index),
            ...index > 0 ? [marker(index - 1)] : [],
        ],
        services: [{ name: "plain" }, { name: "engine", backend: engine }],
        limits: { maxHeaderBytes: 8_192, maxBodyBytes: 4_096, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
    };
}

/** Who knows when bounds of time hold for a gateway, and takes what is broken. */
export interface VersionJudge<Gateway> {
    readonly mustMeetTimeLimits: (gateway: Gateway, at: Milliseconds) => boolean;
    readonly fail: (promise: PromiseName, detail: string) => void;
}

/** What callers have learnt of the versions in force. A gateway is one life of a process. */
export class VersionOracle<Gateway extends { readonly name: string; }> {
    private readonly written: WrittenVersion[] = [];
    private isOldNewest = false;
    /** The lowest version that a gateway's answers allow. */
    private readonly atLeast = new Map<Gateway, number>();

    constructor(private readonly judge: VersionJudge<Gateway>) {}

    get newestIndex(): number {
        return this.written.length - 1;
    }

    /**
     * An older version was written again. The platform's operator never does that: its versions only grow. Who has seen
     * the newer version must keep it; who starts now can't know of it.
     */
    recordRewrite(): void {
        this.isOldNewest = true;
    }

    recordVersion(now: Milliseconds): void {
        this.isOldNewest = false;
        this.written.push({ index: this.written.length, writtenAt: now });
    }

    /** The versions that may be in force for a request that is sent now. */
    startProbe(gateway: Gateway, index: number, sentAt: Milliseconds): (isFound: boolean) => void {
        const known = this.atLeast.get(gateway) ?? 0;
        const isBound = !this.isOldNewest && this.judge.mustMeetTimeLimits(gateway, sentAt);
        const oldest = isBound ? Math.max(known, this.inForceAt(sentAt)) : known;
        const why = oldest === known ? "configuration_never_reverts" : "configuration_in_force";
        return isFound => {
            const { newestIndex: newest } = this;
            if (isFound && index + 1 < oldest) {
                this.judge.fail(why, `${gateway.name} serves version ${index}, though ${oldest} is in force`);
            }
            if (!isFound && index <= oldest && newest <= index + 1) {
                this.judge.fail(why, `${gateway.name} lacks version ${index}, though ${oldest} is in force`);
            }
            if (isFound) {
                this.atLeast.set(gateway, Math.max(index, this.atLeast.get(gateway) ?? 0));
            }
        };
    }

    private inForceAt(now: Milliseconds): number {
        const due = this.written.filter(({ writtenAt }) => now - writtenAt > platformLimits.configurationApply);
        return due.at(-1)?.index ?? 0;
    }
}
