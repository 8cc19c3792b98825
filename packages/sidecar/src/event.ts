/**
 * Everything that can happen to a sidecar.
 */
import type { EntryMessage } from "@verbenaspring/coordination";
import type { BackendServerId, EntryIncarnation, GenerationId } from "@verbenaspring/model";

/** One event. Backend events name the generation; plain service calls have a generation of one response. */
export type SidecarEvent =
    | {
        readonly kind: "linkOpened";
        readonly entry: EntryIncarnation;
        readonly linkNumber: number;
        readonly backendServer: BackendServerId;
    }
    | {
        readonly kind: "linkMessage";
        readonly entry: EntryIncarnation;
        readonly linkNumber: number;
        readonly message: EntryMessage;
    }
    | { readonly kind: "linkClosed"; readonly entry: EntryIncarnation; readonly linkNumber: number; }
    | {
        readonly kind: "generationTokens";
        readonly generationId: GenerationId;
        readonly from: number;
        readonly texts: readonly string[];
    }
    | {
        readonly kind: "generationEnded";
        readonly generationId: GenerationId;
        readonly count: number;
        readonly finishReason: string;
    }
    | { readonly kind: "generationPreempted"; readonly generationId: GenerationId; }
    /** The stream from the engine broke; the engine may still have the generation. */
    | { readonly kind: "generationBroken"; readonly generationId: GenerationId; }
    /** The engine no longer has the generation. */
    | { readonly kind: "generationLost"; readonly generationId: GenerationId; }
    /** The backend server refused the connection, so the work has certainly not started. */
    | { readonly kind: "backendRefused"; readonly generationId: GenerationId; }
    | {
        readonly kind: "serviceResponded";
        readonly generationId: GenerationId;
        readonly status: number;
        readonly contentType: string;
        readonly body: string;
    }
    /** The call broke after it may have started. */
    | { readonly kind: "serviceFailed"; readonly generationId: GenerationId; }
    | { readonly kind: "backendStatus"; readonly reachable: boolean; }
    /** What the platform's instance list says of this backend server. */
    | { readonly kind: "listed"; readonly leaving: boolean; }
    | { readonly kind: "stopRequested"; }
    | { readonly kind: "tick"; };
