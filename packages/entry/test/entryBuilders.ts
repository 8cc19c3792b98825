/**
 * A test harness for the entry's reducer, and helpers that pick out effects.
 */
import { seededSource, type SidecarMessage } from "@verbenaspring/coordination";
import {
    createEntryState,
    type EntryEffect,
    type EntryEvent,
    type EntryState,
    reduceEntry,
} from "@verbenaspring/entry";
import { type BackendServerId, type ConfigurationRecord, identifier, type RequestId } from "@verbenaspring/model";

const bearerDigest = "a".repeat(64);

/** An entry with a configuration and links to two engines and a plain server. The test sets the clock. */
export class EntryHarness {
    now = 0;
    readonly state: EntryState = createEntryState({
        incarnation: identifier("entry"),
        heartbeatInterval: 500,
        silenceTimeout: 2_000,
        reconnectDelay: 200,
        lostTimeout: 10_000,
        maximumRequests: 10,
        linksPerService: 10,
        serviceDeadline: 10_000,
        commentInterval: 900,
        keyRetention: 60_000,
        snapshotInterval: 60_000,
        stopGrace: 100,
        stopTimeout: 0,
    });
    private readonly source = seededSource(1);

    constructor() {
        this.handle({ kind: "configurationRead", records: createConfigurationRecords(), earliest: 0, end: 4 });
        this.handle({ kind: "claimsRead", records: [], earliest: 0, end: 0 });
        const listed = [["engine-1", "chat"], ["engine-2", "chat"], ["plain-1", "booking"]].map((
            [server, service],
        ) => ({
            backendServer: identifier<BackendServerId>(server),
            service: identifier<never>(service),
            failureDomain: identifier<never>("domain"),
            linkAddress: "127.0.0.1:1",
            leaving: false,
        }));
        this.handle({ kind: "instancesListed", instances: listed });
        listed.forEach(({ backendServer }) => this.welcome(backendServer, 1));
    }

    handle(event: EntryEvent): EntryEffect[] {
        return reduceEntry(this.state, event, this.now, this.source);
    }

    /** Advances the clock in ticks of 100 ms, each preceded by a heartbeat from every connected server. */
    advance(duration: number, connectedServers: readonly string[] = []): EntryEffect[] {
        const until = this.now + duration;
        const effects: EntryEffect[] = [];
        while (this.now < until) {
            this.now += 100;
            connectedServers.forEach(server => effects.push(...this.receive(server, { kind: "heartbeat" })));
            effects.push(...this.handle({ kind: "tick" }));
        }
        return effects;
    }

    receive(server: string, message: SidecarMessage): EntryEffect[] {
        const backendServer = identifier<BackendServerId>(server);
        const linkNumber = this.state.links.get(backendServer)!.linkNumber;
        return this.handle({ kind: "linkMessage", backendServer, linkNumber, message });
    }

    welcome(server: string, linkNumber: number, sidecarIncarnation = `sidecar-of-${server}`): EntryEffect[] {
        return this.receive(server, {
            kind: "welcome",
            sidecarIncarnation: identifier(sidecarIncarnation),
            linkNumber,
            leaving: false,
            configurationOffset: 10,
        });
    }

    /** Requests a streamed completion. */
    requestStream(id: string): EntryEffect[] {
        return this.sendRequest(id, {
            kind: "completion",
            route: identifier("plan"),
            streamed: true,
            promptTokens: 10,
            maximumTokens: 100,
        });
    }

    /** Requests a confirmation, which is not idempotent. */
    requestConfirmation(id: string, key?: string): EntryEffect[] {
        return this.sendRequest(id, {
            kind: "service",
            service: identifier("booking"),
            method: "POST",
            path: "/confirm",
        }, key);
    }

    private sendRequest(
        id: string,
        target: Extract<EntryEvent, { kind: "callerRequested"; }>["call"]["target"],
        key?: string,
    ) {
        return this.handle({
            kind: "callerRequested",
            requestId: identifier<RequestId>(id),
            call: {
                bearerDigest,
                target,
                contentType: "",
                body: "",
                idempotency: key === undefined ? undefined : { keyDigest: key, requestDigest: key },
                cursor: undefined,
                timeLimit: 8_000,
                traceparent: "",
            },
        });
    }
}

function createConfigurationRecords(): { readonly offset: number; readonly value: ConfigurationRecord; }[] {
    const documents = [
        {
            kind: "service",
            document: { name: "chat", kind: "engine", objective: "stall", nonIdempotentCalls: [], concurrency: 1 },
        },
        {
            kind: "service",
            document: {
                name: "booking",
                kind: "plain",
                objective: "stall",
                nonIdempotentCalls: ["POST /confirm"],
                concurrency: 1,
            },
        },
        { kind: "route", document: { name: "plan", service: "chat", workKind: "long", deadline: 20_000 } },
        { kind: "organisation", document: { name: "organisation", keyDigest: bearerDigest, weight: 1 } },
    ];
    return documents.map(({ kind, document }, offset) => ({
        offset,
        value: {
            type: "change",
            change: { changeId: `change-${offset}`, kind, name: document.name, expectedRevision: -1, document },
        } as unknown as ConfigurationRecord,
    }));
}

/** The runs that the effects send, with their backend servers. */
export function listSentRuns(effects: readonly EntryEffect[]) {
    return effects.flatMap(effect =>
        effect.kind === "sendMessage" && effect.message.kind === "run"
            ? [{
                server: effect.backendServer as string,
                attemptId: effect.message.attemptId,
                resent: effect.message.resent,
            }]
            : []
    );
}

/** The failures that the effects answer with. */
export function listFailures(effects: readonly EntryEffect[]) {
    return effects.flatMap(effect => effect.kind === "answerFailure" ? [effect.failure] : []);
}
