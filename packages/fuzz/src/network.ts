/**
 * The links between entries and sidecars. Each direction of a link delivers in order, as TCP does. A direction can be
 * held, so that its frames arrive late or never while newer links work.
 */
import type { EntryMessage, Random, SidecarMessage } from "@verbenaspring/coordination";
import type { VirtualClock } from "@verbenaspring/emulator";
import type { BackendServerId, Milliseconds } from "@verbenaspring/model";

/** The time by which a held direction delays its frames, or that it loses them; undefined if it is not held. */
export type Hold = Milliseconds | "lost" | undefined;

interface Direction {
    lastDelivery: Milliseconds;
    hold: Hold;
}

/** A link between an entry and a sidecar. `up` leads to the sidecar, `down` to the entry. */
export interface VirtualLink {
    readonly entryIncarnation: string;
    readonly entrySlot: number;
    readonly backendServer: BackendServerId;
    readonly linkNumber: number;
    readonly up: Direction;
    readonly down: Direction;
    /** The sidecar incarnation that accepted the link. */
    sidecarIncarnation: string | undefined;
}

/** Called by the network when something arrives at either end of a link. */
export interface NetworkHandlers {
    readonly opened: (link: VirtualLink) => void;
    readonly toSidecar: (link: VirtualLink, message: EntryMessage) => void;
    readonly toEntry: (link: VirtualLink, message: SidecarMessage) => void;
    readonly closedAtEntry: (link: VirtualLink) => void;
    readonly closedAtSidecar: (link: VirtualLink) => void;
}

const minLatency: Milliseconds = 0.5;
const latencyRange: Milliseconds = 2.5;

/** All links, also those that are closed. */
export class Network {
    private readonly links = new Map<string, VirtualLink>();
    private readonly nextHolds = new Map<string, Milliseconds>();

    constructor(
        private readonly clock: VirtualClock,
        private readonly random: Random,
        private readonly handlers: NetworkHandlers,
    ) {}

    /** Opens a link. The opening arrives at the sidecar in order with the frames that follow. */
    open(entryIncarnation: string, entrySlot: number, backendServer: BackendServerId, linkNumber: number): void {
        const path = pathKey(entrySlot, backendServer);
        const hold = this.nextHolds.get(path);
        this.nextHolds.delete(path);
        const link: VirtualLink = {
            entryIncarnation,
            entrySlot,
            backendServer,
            linkNumber,
            up: { lastDelivery: 0, hold },
            down: { lastDelivery: 0, hold: undefined },
            sidecarIncarnation: undefined,
        };
        this.links.set(linkKey(entryIncarnation, backendServer, linkNumber), link);
        this.deliverInOrder(link.up, () => this.handlers.opened(link));
    }

    /** Sends a message to the sidecar. */
    sendUp(entryIncarnation: string, backendServer: BackendServerId, linkNumber: number, message: EntryMessage): void {
        const link = this.links.get(linkKey(entryIncarnation, backendServer, linkNumber));
        if (link !== undefined) {
            this.deliverInOrder(link.up, () => this.handlers.toSidecar(link, message));
        }
    }

    /** Sends a message to the entry. */
    sendDown(
        entryIncarnation: string,
        backendServer: BackendServerId,
        linkNumber: number,
        message: SidecarMessage,
    ): void {
        const link = this.links.get(linkKey(entryIncarnation, backendServer, linkNumber));
        if (link !== undefined) {
            this.deliverInOrder(link.down, () => this.handlers.toEntry(link, message));
        }
    }

    /**
     * Closes a link at one end. Frames in transit may still arrive. The close reaches the other end unless it is lost.
     */
    close(entryIncarnation: string, backendServer: BackendServerId, linkNumber: number, by: "entry" | "sidecar"): void {
        const link = this.links.get(linkKey(entryIncarnation, backendServer, linkNumber));
        if (link === undefined) {
            return;
        }
        if (by === "entry") {
            this.deliverInOrder(link.up, () => this.handlers.closedAtSidecar(link));
            return;
        }
        this.deliverInOrder(link.down, () => this.handlers.closedAtEntry(link));
    }

    /** Breaks a link. The close reaches both ends, unless a direction loses it. */
    drop(link: VirtualLink): void {
        this.deliverInOrder(link.up, () => this.handlers.closedAtSidecar(link));
        this.deliverInOrder(link.down, () => this.handlers.closedAtEntry(link));
    }

    /** Holds one direction, or both, of the newest link between an entry and a backend server. */
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

    /** Delays the frames to the sidecar on the next link that is opened between an entry and a backend server. */
    holdNext(entrySlot: number, backendServer: BackendServerId, lateBy: Milliseconds): void {
        this.nextHolds.set(pathKey(entrySlot, backendServer), lateBy);
    }

    /** The newest link between an entry and a backend server. */
    newestLink(entrySlot: number, backendServer: BackendServerId): VirtualLink | undefined {
        return [...this.links.values()].reverse().find(link =>
            link.entrySlot === entrySlot && link.backendServer === backendServer
        );
    }

    /** All links to a backend server. */
    linksTo(backendServer: BackendServerId): VirtualLink[] {
        return [...this.links.values()].filter(link => link.backendServer === backendServer);
    }

    /** All links of an entry incarnation. */
    linksOf(entryIncarnation: string): VirtualLink[] {
        return [...this.links.values()].filter(link => link.entryIncarnation === entryIncarnation);
    }

    /** Ends all delays. Directions that lose their frames keep losing them. */
    endHolds(): void {
        this.nextHolds.clear();
        for (const { up, down } of this.links.values()) {
            up.hold = up.hold === "lost" ? "lost" : undefined;
            down.hold = down.hold === "lost" ? "lost" : undefined;
        }
    }

    /** Schedules a delivery after those before it in the same direction, unless the direction loses it. */
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

function linkKey(entryIncarnation: string, backendServer: BackendServerId, linkNumber: number): string {
    return `${entryIncarnation}/${backendServer}/${linkNumber}`;
}

function pathKey(entrySlot: number, backendServer: BackendServerId): string {
    return `${entrySlot}/${backendServer}`;
}
