/**
 * The events that a sidecar handles.
 */
import type { EntryMessage } from "@verbenaspring/coordination";
import type { BackendServerId, EntryIncarnation, GenerationId } from "@verbenaspring/model";

/**
 * An event. Those of the backend server name a generation; a call of a plain service is a generation with one response.
 */
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
    /** The stream from the engine broke. The engine may still have the generation. */
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
    /** The connection of the call broke after the call may have started. */
    | { readonly kind: "serviceFailed"; readonly generationId: GenerationId; }
    | { readonly kind: "backendStatus"; readonly reachable: boolean; }
    /** Whether the platform's instance list shows this backend server as leaving. */
    | { readonly kind: "listed"; readonly leaving: boolean; }
    | { readonly kind: "stopRequested"; }
    | { readonly kind: "tick"; };
