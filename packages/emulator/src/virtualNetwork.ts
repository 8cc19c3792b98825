/**
 * Paths between processes in virtual time. A channel keeps the order of each direction, as TCP does; over a path that is
 * cut its bytes come when the cut is over. A channel can also go silent for good while new ones work.
 */
import type { Random } from "@verbenaspring/coordination";
import type { Milliseconds } from "@verbenaspring/model";
import type { Clock } from "./clock.js";

/** From the end that opened the channel, or to it. */
export type Direction = "there" | "back";

const shortestLatency: Milliseconds = 0.3;
const latencySpread: Milliseconds = 1.5;
/** What is sent again after a cut comes so much later. */
const resendDelay: Milliseconds = 60;

interface Path {
    cutUntil: Milliseconds;
    readonly channels: Set<VirtualChannel>;
}

/** A connection between two processes. */
export class VirtualChannel {
    private readonly lastDelivery: Record<Direction, Milliseconds> = { there: 0, back: 0 };
    private isSilent = false;

    constructor(private readonly network: VirtualNetwork, private readonly ends: readonly [string, string]) {}

    /** Runs a callback at the other end, after all that was sent before in the same direction. */
    send(direction: Direction, run: () => void): void {
        if (this.isSilent) {
            return;
        }
        const at = Math.max(this.lastDelivery[direction], this.network.arrivalOver(...this.ends));
        this.lastDelivery[direction] = at;
        this.network.clock.schedule(at - this.network.clock.now, () => {
            if (!this.isSilent) {
                run();
            }
        });
    }

    /** Nothing comes through any more, and neither end is told. */
    silence(): void {
        this.isSilent = true;
    }

    close(): void {
        this.network.forget(this, this.ends);
    }
}

/** All paths. */
export class VirtualNetwork {
    private readonly paths = new Map<string, Path>();

    constructor(readonly clock: Clock, private readonly random: Random) {}

    open(one: string, other: string): VirtualChannel {
        const channel = new VirtualChannel(this, [one, other]);
        this.pathOf(one, other).channels.add(channel);
        return channel;
    }

    /** Holds all that is sent between two processes for some time. */
    cut(one: string, other: string, duration: Milliseconds): void {
        const path = this.pathOf(one, other);
        path.cutUntil = Math.max(path.cutUntil, this.clock.now + duration);
    }

    isCut(one: string, other: string): boolean {
        return this.pathOf(one, other).cutUntil > this.clock.now;
    }

    /** The open channels between two processes go silent for good; new ones work. */
    silence(one: string, other: string): void {
        this.pathOf(one, other).channels.forEach(channel => channel.silence());
    }

    /** When something sent now arrives. */
    arrivalOver(one: string, other: string): Milliseconds {
        const { cutUntil } = this.pathOf(one, other);
        const departure = cutUntil > this.clock.now ? cutUntil + resendDelay : this.clock.now;
        return departure + shortestLatency + latencySpread * this.random();
    }

    forget(channel: VirtualChannel, [one, other]: readonly [string, string]): void {
        this.pathOf(one, other).channels.delete(channel);
    }

    private pathOf(one: string, other: string): Path {
        const name = one < other ? `${one} ${other}` : `${other} ${one}`;
        const path = this.paths.get(name) ?? { cutUntil: 0, channels: new Set<VirtualChannel>() };
        this.paths.set(name, path);
        return path;
    }
}
