/**
 * Small fakes of an engine and of a plain service. They tell the oracle of every run, and lose, stall and break as they
 * are told.
 */
import type { Random, Work } from "@verbenaspring/coordination";
import type { VirtualClock } from "@verbenaspring/emulator";
import type { BackendServerId, GenerationId, Milliseconds } from "@verbenaspring/model";
import type { SidecarEffect, SidecarEvent } from "@verbenaspring/sidecar";
import type { Oracle } from "./oracle.js";

/** Hands an event to the sidecar life that started the work, where it still lives. */
export type BackendReply = (event: SidecarEvent) => void;

interface FakeGeneration {
    readonly id: GenerationId;
    readonly askId: string;
    readonly length: number;
    reply: BackendReply;
    produced: number;
    isStreaming: boolean;
}

/** What a request's body tells the fakes. */
export interface RequestBody {
    readonly askId: string;
    readonly length: number;
}

const callLatency: Milliseconds = 2;
const minStepInterval: Milliseconds = 5;
const maxStepInterval: Milliseconds = 120;
const maxTokensPerStep = 4;

/** The text of a token: whose it is, which generation made it, and its index. */
export function fakeToken(askId: string, generationId: GenerationId, index: number): string {
    return `${askId}/${generationId}/${index}`;
}

/** One backend server. */
export class FakeBackend {
    isDead = false;
    isStalled = false;
    failsServiceCalls = false;
    serviceDelay: Milliseconds = 30;
    private incarnation = 0;
    /** Changes when the sidecar is replaced. */
    private sidecarIncarnation = 0;
    private readonly generations = new Map<GenerationId, FakeGeneration>();
    private readonly cancelled = new Set<GenerationId>();

    constructor(
        readonly backendServer: BackendServerId,
        private readonly clock: VirtualClock,
        private readonly random: Random,
        private readonly oracle: Oracle,
    ) {}

    /** Generations that have not run to their end. */
    get unfinishedCount(): number {
        return this.generations.size;
    }

    /** Starts a generation. */
    start(effect: Extract<SidecarEffect, { readonly kind: "startGeneration"; }>, reply: BackendReply): void {
        const { generationId, work } = effect;
        const { sidecarIncarnation: sidecarLife } = this;
        this.clock.schedule(callLatency, () => {
            if (this.isDead) {
                reply({ kind: "backendRefused", generationId });
                return;
            }
            if (this.cancelled.has(generationId)) {
                return;
            }
            const { askId, length } = parseBody(work);
            this.oracle.recordRun(askId, this.backendServer, work);
            if (sidecarLife !== this.sidecarIncarnation) {
                return;
            }
            const generation: FakeGeneration = {
                id: generationId,
                askId,
                length,
                reply,
                produced: 0,
                isStreaming: true,
            };
            this.generations.set(generationId, generation);
            this.scheduleStep(generation);
        });
    }

    private scheduleStep(generation: FakeGeneration): void {
        const life = this.incarnation;
        const delay = minStepInterval + this.random() * (maxStepInterval - minStepInterval);
        this.clock.schedule(delay, () => {
            if (life !== this.incarnation || this.generations.get(generation.id) !== generation) {
                return;
            }
            if (!this.isStalled) {
                this.produceTokens(generation);
            }
            if (generation.produced < generation.length || this.isStalled) {
                this.scheduleStep(generation);
            }
        });
    }

    private produceTokens(generation: FakeGeneration): void {
        const from = generation.produced;
        const step = 1 + Math.floor(this.random() * maxTokensPerStep);
        generation.produced = Math.min(generation.length, from + step);
        this.emitTokens(generation, from);
    }

    private emitTokens(generation: FakeGeneration, from: number): void {
        const { id: generationId, askId, produced, length, reply, isStreaming } = generation;
        if (!isStreaming) {
            return;
        }
        const texts = Array.from(
            { length: produced - from },
            (_, index) => fakeToken(askId, generationId, from + index),
        );
        if (texts.length > 0) {
            reply({ kind: "generationTokens", generationId, from, texts });
        }
        if (produced === length) {
            reply({ kind: "generationEnded", generationId, count: length, finishReason: "stop" });
            this.generations.delete(generationId);
        }
    }

    /** Goes on with a generation from a token; the engine repeats a few that the sidecar may have. */
    resume(generationId: GenerationId, from: number, reply: BackendReply): void {
        this.clock.schedule(callLatency, () => {
            const generation = this.generations.get(generationId);
            if (this.isDead) {
                reply({ kind: "generationBroken", generationId });
                return;
            }
            if (generation === undefined) {
                reply({ kind: "generationLost", generationId });
                return;
            }
            generation.reply = reply;
            generation.isStreaming = true;
            this.emitTokens(generation, Math.max(0, from - 2));
        });
    }

    /** Stops a generation. */
    cancel(generationId: GenerationId): void {
        this.cancelled.add(generationId);
        this.generations.delete(generationId);
    }

    /** Calls a plain service; what has been received runs, whatever becomes of the connection. */
    call(effect: Extract<SidecarEffect, { readonly kind: "callService"; }>, reply: BackendReply): void {
        const { generationId, work } = effect;
        this.clock.schedule(callLatency, () => {
            if (this.isDead) {
                reply({ kind: "backendRefused", generationId });
                return;
            }
            const { askId } = parseBody(work);
            const life = this.incarnation;
            this.oracle.recordRun(askId, this.backendServer, work);
            this.clock.schedule(this.serviceDelay * (0.5 + this.random()), () => {
                const isLost = this.failsServiceCalls || life !== this.incarnation;
                reply(
                    isLost
                        ? { kind: "serviceFailed", generationId }
                        : {
                            kind: "serviceResponded",
                            generationId,
                            status: 200,
                            contentType: "text/plain",
                            body: askId,
                        },
                );
            });
        });
    }

    /** Dies with all that it was doing, and refuses connections until it returns. */
    crash(): void {
        this.isDead = true;
        this.incarnation++;
        const lost = [...this.generations.values()];
        this.generations.clear();
        lost.forEach(({ reply, id }) => reply({ kind: "generationBroken", generationId: id }));
    }

    /** Breaks every stream, while the generations go on. */
    breakStreams(): void {
        for (const generation of this.generations.values()) {
            if (generation.isStreaming) {
                generation.isStreaming = false;
                generation.reply({ kind: "generationBroken", generationId: generation.id });
            }
        }
    }

    /** The sidecar life that started the work has gone: its streams are closed, and the engine drops them. */
    dropGenerations(): void {
        this.sidecarIncarnation++;
        this.generations.clear();
    }
}

function parseBody(work: Work): RequestBody {
    return JSON.parse(work.body) as RequestBody;
}
