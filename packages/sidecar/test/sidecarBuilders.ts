/**
 * A test harness for the sidecar's reducer, and helpers that pick out effects.
 */
import { type EntryMessage, type Run, seededSource } from "@verbenaspring/coordination";
import { type EntryIncarnation, identifier } from "@verbenaspring/model";
import {
    createSidecarState,
    reduceSidecar,
    type SidecarEffect,
    type SidecarEvent,
    type SidecarPolicies,
    type SidecarState,
} from "@verbenaspring/sidecar";

/** A sidecar of an engine. The test sets the clock. */
export class SidecarHarness {
    now = 0;
    readonly state: SidecarState;
    private readonly source = seededSource(1);

    constructor(private readonly policies?: SidecarPolicies) {
        this.state = createSidecarState({
            incarnation: identifier("sidecar"),
            backendServer: identifier("engine"),
            service: identifier("service"),
            memoryTokens: 1_000,
            maximumOutputTokens: 500,
            maximumQueue: 2,
            keptTokens: 1_000,
            unacknowledgedTokens: 4,
            heartbeatInterval: 500,
            silenceTimeout: 2_000,
            detachedWindow: 5_000,
            resumeWindow: 10_000,
            stopTimeout: 0,
        });
    }

    handle(event: SidecarEvent): SidecarEffect[] {
        return reduceSidecar(this.state, event, this.now, this.source, this.policies);
    }

    /** Opens a link and sends the sidecar the configuration of its service. */
    openLink(entry: string, linkNumber: number): SidecarEffect[] {
        const effects = this.handle({
            kind: "linkOpened",
            entry: identifier(entry),
            linkNumber,
            backendServer: identifier("engine"),
        });
        const document = {
            name: "service",
            kind: "engine",
            objective: "stall",
            nonIdempotentCalls: [],
            concurrency: 1,
        };
        const stored = { kind: "service", name: "service", revision: 0, document: document as never } as const;
        this.receive(entry, linkNumber, { kind: "configuration", snapshot: { through: 0, documents: [stored] } });
        return effects;
    }

    receive(entry: string, linkNumber: number, message: EntryMessage): SidecarEffect[] {
        return this.handle({ kind: "linkMessage", entry: identifier<EntryIncarnation>(entry), linkNumber, message });
    }
}

/** Creates the run message of an attempt. */
export function createRun(attemptId: string, overrides: Partial<Run> = {}): Run {
    return {
        kind: "run",
        attemptId: identifier(attemptId),
        sidecarIncarnation: identifier("sidecar"),
        organisation: identifier("organisation"),
        service: identifier("service"),
        workKind: "short",
        idempotent: true,
        weight: 1,
        promptTokens: 10,
        maximumTokens: 100,
        method: "POST",
        path: "",
        contentType: "",
        body: "{}",
        traceparent: "",
        timeLeft: 10_000,
        from: 0,
        resent: false,
        ...overrides,
    };
}

/** The kinds of the messages that the effects send. */
export function listSentKinds(effects: readonly SidecarEffect[]): string[] {
    return effects.flatMap(effect => effect.kind === "sendMessage" ? [effect.message.kind] : []);
}

/** The generation that the effects start; undefined if they start none. */
export function findStartedGeneration(effects: readonly SidecarEffect[]) {
    const start = effects.find(effect => effect.kind === "startGeneration");
    return start?.kind === "startGeneration" ? start.generationId : undefined;
}
