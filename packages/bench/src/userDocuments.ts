/**
 * The services, routes and organisations of the two users. The demo, the load tool and the tests with real processes
 * create them.
 */
import { createHash } from "node:crypto";

/** A document with its kind, ready for `verbenactl put`. */
export interface UserDocument {
    readonly kind: "service" | "route" | "organisation";
    readonly document: object;
}

/** One organisation with the bearer key of its callers. */
export interface DemoOrganisation {
    readonly name: string;
    readonly key: string;
}

/** The organisations of the demo. */
export const organisations: readonly DemoOrganisation[] = [
    "therapists-tallinn",
    "therapists-tartu",
    "therapists-narva",
    "haulage-dispatch",
    "haulage-shops",
].map(name => ({ name, key: `key-of-${name}` }));

/** Returns every document of the two users. */
export function userDocuments(): UserDocument[] {
    const services = [
        { name: "assistant", kind: "engine", objective: "stall" },
        { name: "planner", kind: "engine", objective: "preemptions" },
        { name: "booking", kind: "plain", nonIdempotentCalls: ["POST /slots/confirm"] },
        { name: "slots", kind: "plain", nonIdempotentCalls: ["POST /notes/delay"] },
    ];
    const routes = [
        { name: "week-plan", service: "assistant", workKind: "long", deadline: 120_000 },
        { name: "reminder", service: "assistant", workKind: "short", deadline: 30_000 },
        { name: "route-plan", service: "planner", workKind: "long", deadline: 120_000 },
        { name: "delay-message", service: "planner", workKind: "short", deadline: 30_000 },
    ];
    const digest = (key: string): string => createHash("sha256").update(key).digest("hex");
    return [
        ...services.map(document => ({ kind: "service" as const, document })),
        ...routes.map(document => ({ kind: "route" as const, document })),
        ...organisations.map(({ name, key }) => ({
            kind: "organisation" as const,
            document: { name, keyDigest: digest(key) },
        })),
    ];
}
