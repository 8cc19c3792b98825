/**
 * The effects that a sidecar's reducer returns, which the sidecar's process performs.
 */
import type { SidecarMessage, Work } from "@verbenaspring/coordination";
import type {
    AttemptId,
    EntryIncarnation,
    GenerationId,
    InvariantViolation,
    Milliseconds,
    OrganisationId,
} from "@verbenaspring/model";

/** An effect, as data. */
export type SidecarEffect =
    | {
        readonly kind: "sendMessage";
        readonly entry: EntryIncarnation;
        readonly linkNumber: number;
        readonly message: SidecarMessage;
    }
    | { readonly kind: "closeLink"; readonly entry: EntryIncarnation; readonly linkNumber: number; }
    | {
        readonly kind: "startGeneration";
        readonly generationId: GenerationId;
        readonly attemptId: AttemptId;
        readonly work: Work;
        /** A generation of higher priority is kept longer when the engine's memory is full. */
        readonly priority: number;
    }
    | { readonly kind: "resumeGeneration"; readonly generationId: GenerationId; readonly from: number; }
    | { readonly kind: "cancelGeneration"; readonly generationId: GenerationId; }
    | {
        readonly kind: "callService";
        readonly generationId: GenerationId;
        readonly attemptId: AttemptId;
        readonly work: Work;
        readonly timeLeft: Milliseconds;
    }
    | { readonly kind: "observe"; readonly observation: SidecarObservation; }
    | { readonly kind: "violated"; readonly attemptId: AttemptId | undefined; readonly violation: InvariantViolation; }
    /** Everything in progress has ended or the stop timeout has passed: the process exits. */
    | { readonly kind: "exit"; };

/** Something to log or to count in a metric. */
export type SidecarObservation =
    | {
        readonly event: "attempt_started";
        readonly attemptId: AttemptId;
        readonly organisation: OrganisationId;
        readonly waited: Milliseconds;
    }
    | { readonly event: "attempt_refused"; readonly attemptId: AttemptId; readonly reason: string; }
    | { readonly event: "attempt_withdrawn"; readonly attemptId: AttemptId; }
    | { readonly event: "generation_ended"; readonly generationId: GenerationId; readonly tokens: number; }
    | { readonly event: "generation_failed"; readonly generationId: GenerationId; readonly reason: string; }
    | { readonly event: "generation_preempted"; readonly generationId: GenerationId; }
    | { readonly event: "link_opened"; readonly entry: EntryIncarnation; readonly linkNumber: number; }
    | { readonly event: "link_refused"; readonly entry: EntryIncarnation; readonly linkNumber: number; }
    | { readonly event: "link_silent"; readonly entry: EntryIncarnation; readonly linkNumber: number; }
    | { readonly event: "leaving"; readonly leaving: boolean; }
    | { readonly event: "configuration_applied"; readonly through: number; };
