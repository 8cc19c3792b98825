/**
 * Two gateways and engines whose messages are delayed, lost and overtake each other, with an oracle of each piece of each
 * stream. Streams may have neither a length nor chunks: such a channel ends in order when its stream is complete, when its run
 * is stopped, and when its engine ends.
 */
import { seededSource } from "@verbenaspring/coordination";
import {
    type BackendCall,
    type BackendRecord,
    type GatewayEffect,
    type GatewayEvent,
    indexRoutes,
    type MigrationResult,
    type RequestHead,
    type ServerReport,
    type StreamRecord,
    type StreamRegisterCall,
} from "@verbenaspring/gateway";
import { identifier, type ServiceName, type SoftwareVersion } from "@verbenaspring/model";
import { configuration, eventId, routes, server, TestGateway } from "./gatewayBuilders.js";

/** How a world behaves; each share is a probability. */
export interface WorldSettings {
    readonly framing: "chunks" | "channel";
    /** Of calls about runs: their answers are lost, or they take effect after they were given up. */
    readonly lostAnswers: number;
    readonly lateCalls: number;
    /** Of engines in a second: they leave, crash, or are dark for a while. */
    readonly leavings: number;
    readonly crashes: number;
    readonly darkness: number;
    /** Of channels in a second: they are reset on the way, while the run goes on. */
    readonly cuts: number;
    /** Whether an engine that starts again has another id, as the platform's do. */
    readonly hasNewIds: boolean;
    /** Of engines that start again: they do so with another version of their software. */
    readonly releases: number;
    /** In a second: whether the shorter streams may be resumed changes. */
    readonly reconfigurations: number;
    /** Of runs that go on after an event: they begin with that event. */
    readonly repeats: number;
    /** The step from one id to the next, and the id before the first. */
    readonly idStep: number;
    readonly idStart: number;
}

interface Channel {
    readyAt: number;
    isClosed: boolean;
    run: Run | undefined;
}

interface Run {
    readonly gateway: TestGateway;
    readonly channel: Channel;
    readonly call: BackendCall;
    readonly lineage: string;
    readonly engine: Engine;
    readonly total: number;
    made: number;
    nextAt: number;
    isOpen: boolean;
    isBeingCopied: boolean;
}

interface Engine {
    id: string;
    readonly address: string;
    startedAt: number;
    softwareVersion: SoftwareVersion;
    heartbeat: number;
    state: "up" | "leaving" | "down";
    endsAt: number;
    darkUntil: number;
    readonly runs: Map<string, Run>;
    /** Copies and replicas here, by source and name: the lineage. */
    readonly copies: Map<string, string>;
    /** What was listed by reports, newest last. */
    listed: { readonly at: number; readonly runs: ServerReport["runs"]; }[];
}

interface Caller {
    readonly route: string;
    readonly total: number;
    got: number;
    lineage: string | undefined;
    end: "whole" | "cut" | undefined;
}

interface Job {
    readonly at: number;
    readonly order: number;
    readonly run: () => void;
}

/** What became of the streams of a world. */
export interface WorldResult {
    readonly whole: number;
    readonly cut: number;
    readonly continued: number;
    readonly stops: number;
    readonly takeUps: number;
    readonly faults: readonly string[];
}

const firstVersion = identifier<SoftwareVersion>("v1");
const tick = 50;
const duration = 14_000;
const eventInterval = 40;
const callTimeout = 1_000;

/** Plays a world from its seed. */
export function playWorld(seed: number, settings: WorldSettings): WorldResult {
    return new World(seed, settings).play();
}

class World {
    private readonly gateways = [new TestGateway(), new TestGateway()];
    private now = this.gateways[0].now;
    private readonly engines = new Map<string, Engine>();
    private readonly callers = new Map<string, Caller>();
    private readonly channels = this.gateways.map(() => new Map<string, Channel>());
    private readonly random: () => number;
    private jobs: Job[] = [];
    private order = 0;
    private handles = 0;
    private continued = 0;
    private stops = 0;
    private takeUps = 0;
    private version = 1;
    private readonly baseVersions = new Map<ServiceName, SoftwareVersion | undefined>();
    private baseEnd = 0;
    private readonly streamRecords: StreamRecord[] = [];
    private readonly faults: string[] = [];

    constructor(seed: number, private readonly settings: WorldSettings) {
        const source = seededSource(seed);
        this.random = () => source.random();
    }

    play(): WorldResult {
        for (const gateway of this.gateways) {
            gateway.streamRegister = undefined;
            this.perform(gateway, gateway.configure(configuration(1)));
        }
        for (let index = 1; index <= 4; index++) {
            const { id, address } = server(`engine-${index}`);
            this.engines.set(address, {
                id,
                address,
                startedAt: index,
                softwareVersion: firstVersion,
                heartbeat: 1,
                state: "up",
                endsAt: Infinity,
                darkUntil: 0,
                runs: new Map(),
                copies: new Map(),
                listed: [],
            });
        }
        this.engines.forEach(engine => this.register(engine));
        const end = this.now + duration;
        let count = 0;
        while (this.now < end) {
            this.now += 10;
            this.gateways.forEach(gateway => gateway.now = this.now);
            if (count < 30 && this.random() < 0.05) {
                this.request(`r${count++}`);
            }
            this.reconfigure();
            this.engines.forEach(engine => this.stepEngine(engine));
            this.runJobs();
            if (this.now % tick === 0) {
                this.gateways.forEach(gateway => this.perform(gateway, gateway.handle({ kind: "tick" })));
            }
        }
        const ends = [...this.callers.values()].map(caller => caller.end);
        return {
            whole: ends.filter(ended => ended === "whole").length,
            cut: ends.filter(ended => ended === "cut").length,
            continued: this.continued,
            stops: this.stops,
            takeUps: this.takeUps,
            faults: this.faults,
        };
    }

    private request(id: string): void {
        const route = this.random() < 0.6 ? "plan" : "note";
        const total = route === "plan" ? 20 + Math.floor(100 * this.random()) : 1 + Math.floor(20 * this.random());
        this.callers.set(id, { route, total, got: 0, lineage: undefined, end: undefined });
        this.receive(id, this.gateways[Math.floor(2 * this.random())]);
    }

    private receive(id: string, gateway: TestGateway, overrides: Partial<RequestHead> = {}): void {
        const { route } = this.callers.get(id)!;
        this.perform(
            gateway,
            gateway.receiveRequest(id, route, { promptTokens: 200, maximumTokens: 1_000, ...overrides }),
        );
    }

    /** A caller takes up a stream that may be resumed, with what it has of it, at the other gateway. */
    private takeUp(id: string, gateway: TestGateway): void {
        const caller = this.callers.get(id)!;
        const other = this.gateways.find(candidate => candidate !== gateway)!;
        if (caller.route !== "note" || caller.got === 0 || id.length > 12) {
            return;
        }
        this.later(this.between(10, 400), () => {
            this.callers.set(`${id}t`, { ...caller, end: undefined });
            this.takeUps++;
            this.receive(`${id}t`, other, {
                lastEvent: eventId(this.idOf(caller.got)),
                resumedAttemptId: identifier<never>(id.replace(/t+$/, "")),
            });
        });
    }

    /** Changes whether the shorter streams may be resumed, which each gateway learns at another time. */
    private reconfigure(): void {
        if (this.random() >= this.settings.reconfigurations * 0.01) {
            return;
        }
        const canResume = this.version % 2 === 0;
        const version = ++this.version;
        const changed = routes.map(each => each.name === "note" ? { ...each, canResume } : each);
        for (const gateway of this.gateways) {
            this.later(this.between(50, 900), () => {
                if (version > (gateway.state.configuration?.version ?? 0)) {
                    this.perform(
                        gateway,
                        gateway.configure(configuration(version, { routesByHost: indexRoutes(changed) })),
                    );
                }
            });
        }
    }

    private register({ id, address, startedAt, heartbeat, state, softwareVersion }: Engine): void {
        const record: BackendRecord = server(id, {
            address,
            startedAt,
            heartbeat,
            isDraining: state === "leaving",
            softwareVersion,
        });
        for (const gateway of this.gateways) {
            this.later(this.between(50, 900), () => this.perform(gateway, gateway.register(record)));
        }
    }

    /** Ids increase in steps of two lengths, unless the step is 1. */
    private idOf(piece: number): number {
        const { idStart, idStep } = this.settings;
        return idStart + piece * idStep + (piece * (idStep - 1)) % idStep;
    }

    private pieceOf(id: number): number {
        return Math.floor((id - this.settings.idStart) / this.settings.idStep);
    }

    private stepEngine(engine: Engine): void {
        const { now } = this;
        const { settings } = this;
        const perStep = 0.01;
        engine.heartbeat += now % 1_200 === 0 ? 1 : 0;
        if (engine.state === "up" && this.random() < settings.leavings * perStep) {
            engine.state = "leaving";
            engine.heartbeat++;
            engine.endsAt = now + this.between(1_500, 9_000);
            this.register(engine);
        }
        if (engine.state !== "down" && (now >= engine.endsAt || this.random() < settings.crashes * perStep)) {
            this.end(engine);
        }
        if (this.random() < settings.darkness * perStep) {
            engine.darkUntil = now + this.between(300, 3_000);
        }
        if (engine.state === "down") {
            return;
        }
        for (const run of [...engine.runs.values()]) {
            this.stepRun(run);
        }
        const runs = [...engine.runs.values()].map(({ call, made }) => ({
            callerAttemptId: call.head.callerAttemptId,
            events: made,
        }));
        engine.listed = [...engine.listed.filter(({ at }) => at >= now - 600), { at: now, runs }];
    }

    /** Ends the process of an engine: the kernel closes its channels in order. Another process has its address later. */
    private end(engine: Engine): void {
        engine.state = "down";
        engine.endsAt = Infinity;
        [...engine.runs.values()].forEach(run => this.close(run, "end"));
        engine.runs.clear();
        engine.copies.clear();
        engine.listed = [];
        this.later(this.between(20, 2_500), () => {
            engine.state = "up";
            engine.startedAt += 100;
            if (this.settings.hasNewIds) {
                this.rename(engine);
            }
            if (this.random() < this.settings.releases) {
                engine.softwareVersion = identifier(engine.softwareVersion === firstVersion ? "v2" : "v1");
            }
            engine.heartbeat = 1;
            this.register(engine);
        });
    }

    private rename(engine: Engine): void {
        const { id } = engine;
        engine.id = `${id}0`;
        for (const gateway of this.gateways) {
            this.later(this.between(50, 900), () => this.perform(gateway, gateway.remove(id)));
        }
    }

    private stepRun(run: Run): void {
        const { now } = this;
        if (this.random() < this.settings.cuts * 0.01 && run.isOpen) {
            this.close(run, "reset");
        }
        if (now < run.nextAt) {
            return;
        }
        run.nextAt = now + this.between(eventInterval / 2, 2 * eventInterval);
        const { call, engine, gateway } = run;
        if (run.made === run.total) {
            engine.runs.delete(call.head.callerAttemptId);
            return this.close(run, "complete");
        }
        const piece = ++run.made;
        this.deliver(run, () => {
            const id = this.idOf(piece);
            const bytes = new TextEncoder().encode(`id: ${id}\ndata: ${run.lineage} ${piece}\n\n`);
            const events = [{ id: eventId(id), bytes }];
            this.perform(gateway, gateway.handle({ kind: "streamEvents", attemptId: call.attemptId, events }));
        });
        if (call.replicaAddress !== undefined) {
            this.replicate(run, call.replicaAddress);
        }
    }

    private replicate({ call, engine, lineage }: Run, address: string): void {
        const holder = this.engines.get(address);
        this.later(this.between(100, 400), () => {
            if (holder !== undefined && holder.state !== "down") {
                holder.copies.set(`${engine.address}/${call.head.callerAttemptId}`, lineage);
            }
        });
    }

    /** Delivers what a run sends, in the order of its channel. */
    private deliver({ channel, engine }: Run, run: () => void): void {
        if (channel.isClosed) {
            return;
        }
        const { now } = this;
        channel.readyAt = Math.max(channel.readyAt, now + this.channelDelay(), engine.darkUntil);
        this.at(channel.readyAt, () => {
            if (!channel.isClosed) {
                run();
            }
        });
    }

    /** A packet in a hundred is sent again. */
    private channelDelay(): number {
        return this.random() < 0.01 ? this.between(200, 800) : this.between(1, 40);
    }

    private close(run: Run, how: "complete" | "stopped" | "end" | "reset"): void {
        const { gateway, channel, call: { attemptId } } = run;
        if (!run.isOpen) {
            return;
        }
        run.isOpen = false;
        const looksComplete = how === "complete" || (how !== "reset" && this.settings.framing === "channel");
        this.deliver(run, () => {
            channel.isClosed = true;
            this.perform(
                gateway,
                gateway.handle(
                    looksComplete
                        ? { kind: "streamEnded", attemptId }
                        : { kind: "attemptFailed", attemptId, failure: "channel_lost", wasSent: true },
                ),
            );
        });
    }

    private perform(gateway: TestGateway, effects: readonly GatewayEffect[]): void {
        effects.forEach(effect => this.performOne(gateway, effect));
    }

    private performOne(gateway: TestGateway, effect: GatewayEffect): void {
        switch (effect.kind) {
            case "sendAttempt":
                return this.send(gateway, effect.call);
            case "cancelAttempt":
                return this.cancel(this.channelsOf(gateway).get(effect.attemptId));
            case "migrateRun":
                return this.move(gateway, effect);
            case "callStreamRegister":
                return this.callRegister(gateway, effect.call);
            case "checkAnswerEnd":
                return this.ask(effect.address, report =>
                    this.perform(
                        gateway,
                        gateway.handle({ kind: "answerEndChecked", attemptId: effect.attemptId, report }),
                    ));
            case "probeServer": {
                const { backendServer, startedAt } = effect;
                return this.ask(
                    effect.address,
                    report =>
                        this.perform(
                            gateway,
                            gateway.handle({ kind: "serverProbed", backendServer, startedAt, report }),
                        ),
                );
            }
            case "answerEvents":
                return effect.events.forEach(({ bytes }) =>
                    this.take(effect.requestId, new TextDecoder().decode(bytes))
                );
            case "answerEnd":
                return this.finish(effect.requestId, "whole");
            case "answerCut":
            case "answerFailure":
            case "answerWhole":
                this.finish(effect.requestId, "cut");
                return this.takeUp(effect.requestId, gateway);
            default:
        }
    }

    /** The register of streams, which the gateways share. An append may take effect though its answer is lost. */
    private callRegister(gateway: TestGateway, call: StreamRegisterCall): void {
        const answer = (event: GatewayEvent): void =>
            this.later(this.between(5, 200), () => this.perform(gateway, gateway.handle(event)));
        this.later(this.between(5, 200), () => {
            switch (call.kind) {
                case "read": {
                    const baseVersions = [...this.baseVersions]
                        .map(([service, softwareVersion]) => ({ service, softwareVersion }));
                    const records = this.streamRecords.slice(call.from);
                    const page = { baseVersions, baseEnd: this.baseEnd, records, next: this.streamRecords.length };
                    return answer({ kind: "streamRegisterRead", page });
                }
                case "record":
                    this.streamRecords.push(...call.records);
                    return answer({
                        kind: "streamsRecorded",
                        isRecorded: this.random() >= this.settings.lostAnswers,
                    });
                case "writeBase":
                    if (call.at === this.baseEnd) {
                        this.baseVersions.set(call.baseVersion.service, call.baseVersion.softwareVersion);
                        this.baseEnd++;
                    }
                    return answer({ kind: "baseVersionWritten" });
            }
        });
    }

    private channelsOf(gateway: TestGateway): Map<string, Channel> {
        return this.channels[this.gateways.indexOf(gateway)];
    }

    private send(gateway: TestGateway, call: BackendCall): void {
        const { attemptId, head, address, continuesFrom, lastEvent } = call;
        const { settings } = this;
        const engine = this.engines.get(address)!;
        const channel: Channel = { readyAt: 0, isClosed: false, run: undefined };
        this.channelsOf(gateway).set(attemptId, channel);
        const fail = (wasSent: boolean): void => {
            if (!channel.isClosed) {
                channel.isClosed = true;
                this.perform(
                    gateway,
                    gateway.handle({ kind: "attemptFailed", attemptId, failure: "connect_refused", wasSent }),
                );
            }
        };
        this.at(Math.max(engine.darkUntil, this.now + this.between(1, 60)), () => {
            if (engine.state === "down" || channel.isClosed) {
                return fail(false);
            }
            if (call.backendServer !== engine.id) {
                return this.refuse(gateway, call, channel, 421);
            }
            const name = continuesFrom === undefined ? undefined : `${continuesFrom.source}/${continuesFrom.name}`;
            const copy = name === undefined ? undefined : engine.copies.get(name);
            if (name !== undefined && copy === undefined) {
                return this.refuse(gateway, call, channel, 503);
            }
            if (name !== undefined) {
                engine.copies.delete(name);
                this.continued++;
            }
            // A run that goes on after an event may give it again.
            const isRepeated = lastEvent !== undefined && this.random() < settings.repeats;
            const made = lastEvent === undefined ? 0 : this.pieceOf(Number(lastEvent)) - (isRepeated ? 1 : 0);
            const caller = this.callers.get(head.callerAttemptId)!;
            const run: Run = {
                gateway,
                channel,
                call,
                lineage: copy
                    ?? (caller.route === "note"
                        ? `note/${engine.softwareVersion}`
                        : `${engine.id}/${engine.startedAt}/${attemptId}`),
                engine,
                total: caller.total,
                made,
                nextAt: this.now + this.between(20, 400),
                isOpen: true,
                isBeingCopied: false,
            };
            engine.runs.set(head.callerAttemptId, run);
            channel.run = run;
            this.deliver(run, () => {
                const endsWithChannel = this.settings.framing === "channel";
                this.perform(gateway, gateway.openStream(call, { endsWithChannel }));
            });
        });
    }

    private refuse(gateway: TestGateway, call: BackendCall, channel: Channel, status: number): void {
        this.later(this.between(1, 40), () => {
            if (!channel.isClosed) {
                channel.isClosed = true;
                this.perform(gateway, gateway.answer(call, { status, isNotRun: true, isSealed: false }));
            }
        });
    }

    /** Most servers drop a run when its channel closes. */
    private cancel(channel: Channel | undefined): void {
        if (channel === undefined) {
            return;
        }
        channel.isClosed = true;
        const { run } = channel;
        if (run !== undefined && this.random() < 0.7) {
            this.later(this.between(1, 300), () => {
                run.isOpen = false;
                if (run.engine.runs.get(run.call.head.callerAttemptId) === run) {
                    run.engine.runs.delete(run.call.head.callerAttemptId);
                }
            });
        }
    }

    private move(gateway: TestGateway, effect: Extract<GatewayEffect, { kind: "migrateRun"; }>): void {
        const { attemptId, callerAttemptId, isStopping } = effect;
        const { now } = this;
        const source = this.engines.get(effect.sourceAddress)!;
        const target = this.engines.get(effect.targetAddress)!;
        this.stops += isStopping ? 1 : 0;
        let isAnswered = false;
        const answer = (result: MigrationResult): void => {
            if (!isAnswered) {
                isAnswered = true;
                this.perform(gateway, gateway.handle({ kind: "migrationAnswered", attemptId, isStopping, result }));
            }
        };
        this.at(now + callTimeout, () => answer({ kind: "failed", detail: "no answer" }));
        const isLost = this.random() < this.settings.lostAnswers;
        const delay = this.random() < this.settings.lateCalls ? this.between(500, 3_000) : this.between(1, 60);
        const reply = (result: MigrationResult): void => {
            if (!isLost) {
                this.at(Math.max(source.darkUntil, this.now + this.between(1, 40)), () => answer(result));
            }
        };
        this.at(Math.max(source.darkUntil, now + delay), () => {
            const run = source.runs.get(callerAttemptId);
            if (source.state === "down") {
                return reply({ kind: "failed", detail: "refused" });
            }
            if (run === undefined || run.isBeingCopied) {
                return reply({ kind: "refused", status: run === undefined ? 404 : 409 });
            }
            const handle = `h${++this.handles}`;
            run.isBeingCopied = true;
            if (isStopping) {
                source.runs.delete(callerAttemptId);
                source.copies.set(`${source.address}/${handle}`, run.lineage);
                this.close(run, "stopped");
            }
            this.later(this.between(20, 400), () => {
                run.isBeingCopied = false;
                if (target.state === "down") {
                    return reply({ kind: "refused", status: 503, ...(isStopping ? { handle } : {}) });
                }
                target.copies.set(`${source.address}/${handle}`, run.lineage);
                reply({ kind: "moved", handle });
            });
        });
    }

    /** Asks an engine for its report, which is some hundred milliseconds old. */
    private ask(address: string, handle: (report: ServerReport | undefined) => void): void {
        const engine = this.engines.get(address)!;
        const { now } = this;
        let isAnswered = false;
        const answer = (report: ServerReport | undefined): void => {
            if (!isAnswered) {
                isAnswered = true;
                handle(report);
            }
        };
        this.at(now + callTimeout, () => answer(undefined));
        const isLost = this.random() < this.settings.lostAnswers;
        this.at(Math.max(engine.darkUntil, now + this.between(1, 60)), () => {
            if (isLost) {
                return;
            }
            if (engine.state === "down") {
                return answer(undefined);
            }
            const age = this.between(0, 500);
            const listed = engine.listed.find(({ at }) => at >= this.now - age)?.runs ?? [];
            const report = { runs: listed, isLeaving: engine.state === "leaving", startedAt: engine.startedAt };
            this.later(this.between(1, 40), () => answer(report));
        });
    }

    private take(id: string, text: string): void {
        const caller = this.callers.get(id)!;
        const [, lineage, piece] = /data: (\S+) (\d+)/.exec(text)!;
        if (Number(piece) !== caller.got + 1) {
            this.faults.push(`${id} got piece ${piece} after ${caller.got}`);
        }
        if (caller.lineage !== undefined && caller.lineage !== lineage) {
            this.faults.push(`${id} got pieces of ${caller.lineage} and ${lineage}`);
        }
        if (caller.end !== undefined) {
            this.faults.push(`${id} got piece ${piece} after its end`);
        }
        caller.got = Number(piece);
        caller.lineage = lineage;
    }

    private finish(id: string, end: "whole" | "cut"): void {
        const caller = this.callers.get(id)!;
        if (end === "whole" && caller.got !== caller.total) {
            this.faults.push(`${id} (${caller.route}) was complete with ${caller.got} of ${caller.total} pieces`);
        }
        caller.end = end;
    }

    private between(least: number, most: number): number {
        return Math.floor(least + (most - least) * this.random());
    }

    private later(delay: number, run: () => void): void {
        this.at(this.now + delay, run);
    }

    private at(at: number, run: () => void): void {
        this.jobs.push({ at, order: this.order++, run });
    }

    private runJobs(): void {
        for (;;) {
            const due = this.jobs.filter(({ at }) => at <= this.now);
            if (due.length === 0) {
                return;
            }
            this.jobs = this.jobs.filter(({ at }) => at > this.now);
            due.sort((one, other) => one.at - other.at || one.order - other.order).forEach(job => job.run());
        }
    }
}
