/**
 * Links of the virtual world. Each direction keeps its order, as TCP does; a direction can be held, so that its frames
 * come late or never while newer links work.
 */
import type { EntryMessage, Random, SidecarMessage } from "@verbenaspring/coordination";
import type { VirtualClock } from "@verbenaspring/emulator";
import type { BackendServerId, Milliseconds } from "@verbenaspring/model";

/** Frames of a held direction come this late, or never. */
export type Hold = Milliseconds | "lost" | undefined;

interface Direction {
    lastDelivery: Milliseconds;
    hold: Hold;
}

/** One link. */
export interface VirtualLink {
    readonly entryIncarnation: string;
    readonly entrySlot: number;
    readonly backendServer: BackendServerId;
    readonly linkNumber: number;
    readonly up: Direction;
    readonly down: Direction;
    /** The sidecar life that took the opening. */
    sidecarIncarnation: string | undefined;
}

/** Where the network delivers. */
export interface NetworkHandlers {
    readonly opened: (link: VirtualLink) => void;
    readonly toSidecar: (link: VirtualLink, message: EntryMessage) => void;
    readonly toEntry: (link: VirtualLink, message: SidecarMessage) => void;
    readonly closedAtEntry: (link: VirtualLink) => void;
    readonly closedAtSidecar: (link: VirtualLink) => void;
}

const minLatency: Milliseconds = 0.5;
const latencyRange: Milliseconds = 2.5;

/** All links. */
export class Network {
    private readonly links = new Map<string, VirtualLink>();
    private readonly nextHolds = new Map<string, Milliseconds>();

    constructor(
        private readonly clock: VirtualClock,
        private readonly random: Random,
        private readonly handlers: NetworkHandlers,
    ) {}

    /** Opens a link; the other end hears of it in order with its frames. */
    open(entryIncarnation: string, entrySlot: number, backendServer: BackendServerId, number: number): void {
        const path = pathOf(entrySlot, backendServer);
        const hold = this.nextHolds.get(path);
        this.nextHolds.delete(path);
        const link: VirtualLink = {
            entryIncarnation,
            entrySlot,
            backendServer,
            linkNumber: number,
            up: { lastDelivery: 0, hold },
            down: { lastDelivery: 0, hold: undefined },
            sidecarIncarnation: undefined,
        };
        this.links.set(keyOf(entryIncarnation, backendServer, number), link);
        this.deliverInOrder(link.up, () => this.handlers.opened(link));
    }

    /** Sends a message to the sidecar. */
    sendUp(entryIncarnation: string, backendServer: BackendServerId, number: number, message: EntryMessage): void {
        const link = this.links.get(keyOf(entryIncarnation, backendServer, number));
        if (link !== undefined) {
            this.deliverInOrder(link.up, () => this.handlers.toSidecar(link, message));
        }
    }

    /** Sends a message to the entry. */
    sendDown(entryIncarnation: string, backendServer: BackendServerId, number: number, message: SidecarMessage): void {
        const link = this.links.get(keyOf(entryIncarnation, backendServer, number));
        if (link !== undefined) {
            this.deliverInOrder(link.down, () => this.handlers.toEntry(link, message));
        }
    }

    /** One end closes; the other hears of it unless the direction is held. What is under way may still come. */
    close(entryIncarnation: string, backendServer: BackendServerId, number: number, by: "entry" | "sidecar"): void {
        const link = this.links.get(keyOf(entryIncarnation, backendServer, number));
        if (link === undefined) {
            return;
        }
        if (by === "entry") {
            this.deliverInOrder(link.up, () => this.handlers.closedAtSidecar(link));
            return;
        }
        this.deliverInOrder(link.down, () => this.handlers.closedAtEntry(link));
    }

    /** Breaks a link: both ends hear of it. */
    drop(link: VirtualLink): void {
        this.deliverInOrder(link.up, () => this.handlers.closedAtSidecar(link));
        this.deliverInOrder(link.down, () => this.handlers.closedAtEntry(link));
    }

    /** Holds directions of a path's newest link. */
    hold(entrySlot: number, backendServer: BackendServerId, direction: "up" | "down" | "both", hold: Hold): void {
        const link = this.newestLink(entrySlot, backendServer);
        if (link === undefined) {
            return;
        }
        if (direction !== "down") {
            link.up.hold = hold;
        }
        if (direction !== "up") {
            link.down.hold = hold;
        }
    }

    /** Holds the frames of the next link that is opened on a path. */
    holdNext(entrySlot: number, backendServer: BackendServerId, lateBy: Milliseconds): void {
        this.nextHolds.set(pathOf(entrySlot, backendServer), lateBy);
    }

    /** The newest link of a path. */
    newestLink(entrySlot: number, backendServer: BackendServerId): VirtualLink | undefined {
        return [...this.links.values()].reverse().find(link =>
            link.entrySlot === entrySlot && link.backendServer === backendServer
        );
    }

    /** Every link to a backend server. */
    linksTo(backendServer: BackendServerId): VirtualLink[] {
        return [...this.links.values()].filter(link => link.backendServer === backendServer);
    }

    /** Every link of an entry life. */
    linksOf(entryIncarnation: string): VirtualLink[] {
        return [...this.links.values()].filter(link => link.entryIncarnation === entryIncarnation);
    }

    /** Ends all holds; frames that were lost stay lost. */
    endHolds(): void {
        this.nextHolds.clear();
        for (const { up, down } of this.links.values()) {
            up.hold = up.hold === "lost" ? "lost" : undefined;
            down.hold = down.hold === "lost" ? "lost" : undefined;
        }
    }

    private deliverInOrder(direction: Direction, arrive: () => void): void {
        if (direction.hold === "lost") {
            return;
        }
        const latency = minLatency + this.random() * latencyRange + (direction.hold ?? 0);
        const at = Math.max(direction.lastDelivery, this.clock.now + latency);
        direction.lastDelivery = at;
        this.clock.schedule(at - this.clock.now, arrive);
    }
}

function keyOf(entryIncarnation: string, backendServer: BackendServerId, number: number): string {
    return `${entryIncarnation}/${backendServer}/${number}`;
}

function pathOf(entrySlot: number, backendServer: BackendServerId): string {
    return `${entrySlot}/${backendServer}`;
}
