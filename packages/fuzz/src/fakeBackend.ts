/**
 * A small fake of a backend server: an engine or a plain service. It reports every run to the oracle, and it can crash,
 * stall, break its streams and fail its calls.
 */
import type { Random, Work } from "@verbenaspring/coordination";
import type { VirtualClock } from "@verbenaspring/emulator";
import type { BackendServerId, GenerationId, Milliseconds } from "@verbenaspring/model";
import type { SidecarEffect, SidecarEvent } from "@verbenaspring/sidecar";
import type { Oracle } from "./oracle.js";

/** Delivers an event to the sidecar incarnation that started the work, if it is still alive. */
export type BackendReply = (event: SidecarEvent) => void;

interface FakeGeneration {
    readonly id: GenerationId;
    readonly askId: string;
    readonly length: number;
    reply: BackendReply;
    producedTokens: number;
    isStreaming: boolean;
}

/** The body of a request: which caller's request it is, and how many tokens its answer has. */
export interface RequestBody {
    readonly askId: string;
    readonly length: number;
}

const callLatency: Milliseconds = 2;
const minStepInterval: Milliseconds = 5;
const maxStepInterval: Milliseconds = 120;
const maxTokensPerStep = 4;

/** The text of a token: the caller's request that it belongs to, the generation that produced it, and its index. */
export function fakeToken(askId: string, generationId: GenerationId, index: number): string {
    return `${askId}/${generationId}/${index}`;
}

/** A backend server. */
export class FakeBackend {
    isDown = false;
    isStalled = false;
    /** Whether calls of a plain service fail after they have run. */
    failsServiceCalls = false;
    /** The mean time that a call of a plain service takes. */
    serviceDelay: Milliseconds = 30;
    /** Incremented by each crash. */
    private incarnation = 0;
    /** Incremented when the sidecar is replaced. */
    private sidecarIncarnation = 0;
    private readonly generations = new Map<GenerationId, FakeGeneration>();
    private readonly cancelledIds = new Set<GenerationId>();

    constructor(
        readonly backendServer: BackendServerId,
        private readonly clock: VirtualClock,
        private readonly random: Random,
        private readonly oracle: Oracle,
    ) {}

    /** The number of generations that have not ended. */
    get unfinishedCount(): number {
        return this.generations.size;
    }

    /** Starts a generation. */
    start(effect: Extract<SidecarEffect, { readonly kind: "startGeneration"; }>, reply: BackendReply): void {
        const { generationId, work } = effect;
        const { sidecarIncarnation } = this;
        this.clock.schedule(callLatency, () => {
            if (this.isDown) {
                reply({ kind: "backendRefused", generationId });
                return;
            }
            if (this.cancelledIds.has(generationId)) {
                return;
            }
            const { askId, length } = parseBody(work);
            this.oracle.recordRun(askId, this.backendServer, work);
            if (sidecarIncarnation !== this.sidecarIncarnation) {
                return;
            }
            const generation: FakeGeneration = {
                id: generationId,
                askId,
                length,
                reply,
                producedTokens: 0,
                isStreaming: true,
            };
            this.generations.set(generationId, generation);
            this.scheduleStep(generation);
        });
    }

    private scheduleStep(generation: FakeGeneration): void {
        const incarnation = this.incarnation;
        const delay = minStepInterval + this.random() * (maxStepInterval - minStepInterval);
        this.clock.schedule(delay, () => {
            if (incarnation !== this.incarnation || this.generations.get(generation.id) !== generation) {
                return;
            }
            if (!this.isStalled) {
                this.produceTokens(generation);
            }
            if (generation.producedTokens < generation.length || this.isStalled) {
                this.scheduleStep(generation);
            }
        });
    }

    private produceTokens(generation: FakeGeneration): void {
        const from = generation.producedTokens;
        const count = 1 + Math.floor(this.random() * maxTokensPerStep);
        generation.producedTokens = Math.min(generation.length, from + count);
        this.emitTokens(generation, from);
    }

    private emitTokens(generation: FakeGeneration, from: number): void {
        const { id: generationId, askId, producedTokens, length, reply, isStreaming } = generation;
        if (!isStreaming) {
            return;
        }
        const texts = Array.from(
            { length: producedTokens - from },
            (_, index) => fakeToken(askId, generationId, from + index),
        );
        if (texts.length > 0) {
            reply({ kind: "generationTokens", generationId, from, texts });
        }
        if (producedTokens === length) {
            reply({ kind: "generationEnded", generationId, count: length, finishReason: "stop" });
            this.generations.delete(generationId);
        }
    }

    /** Resumes the stream of a generation at a token. The engine repeats a few tokens that the sidecar may have. */
    resume(generationId: GenerationId, from: number, reply: BackendReply): void {
        this.clock.schedule(callLatency, () => {
            const generation = this.generations.get(generationId);
            if (this.isDown) {
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
        this.cancelledIds.add(generationId);
        this.generations.delete(generationId);
    }

    /** Calls a plain service. A call that was received runs, even if its connection is lost. */
    call(effect: Extract<SidecarEffect, { readonly kind: "callService"; }>, reply: BackendReply): void {
        const { generationId, work } = effect;
        this.clock.schedule(callLatency, () => {
            if (this.isDown) {
                reply({ kind: "backendRefused", generationId });
                return;
            }
            const { askId } = parseBody(work);
            const incarnation = this.incarnation;
            this.oracle.recordRun(askId, this.backendServer, work);
            this.clock.schedule(this.serviceDelay * (0.5 + this.random()), () => {
                const isLost = this.failsServiceCalls || incarnation !== this.incarnation;
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

    /** Crashes. All generations are lost, and connections are refused until the backend server is up again. */
    crash(): void {
        this.isDown = true;
        this.incarnation++;
        const lostGenerations = [...this.generations.values()];
        this.generations.clear();
        lostGenerations.forEach(({ reply, id }) => reply({ kind: "generationBroken", generationId: id }));
    }

    /** Breaks every stream. The generations go on. */
    breakStreams(): void {
        for (const generation of this.generations.values()) {
            if (generation.isStreaming) {
                generation.isStreaming = false;
                generation.reply({ kind: "generationBroken", generationId: generation.id });
            }
        }
    }

    /**
     * Drops all generations, because the sidecar incarnation that started them is gone and their streams are closed.
     */
    dropGenerations(): void {
        this.sidecarIncarnation++;
        this.generations.clear();
    }
}

function parseBody(work: Work): RequestBody {
    return JSON.parse(work.body) as RequestBody;
}
