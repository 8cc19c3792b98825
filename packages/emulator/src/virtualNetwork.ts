/**
 * Network paths between processes in virtual time. A channel delivers each direction in order, as TCP does. While a
 * path is cut, data is held and delivered after the cut. A channel can also stop delivering for good while new ones
 * work.
 */
import type { Random } from "@verbenaspring/coordination";
import type { Milliseconds } from "@verbenaspring/model";
import type { Clock } from "./clock.js";

/** Direction over a channel: `upstream` is from the end that opened it, `downstream` is to that end. */
export type Direction = "upstream" | "downstream";

/** How long data is under way: at least `minimum`, and up to `spread` longer. */
export interface NetworkLatency {
    readonly minimum: Milliseconds;
    readonly spread: Milliseconds;
}

const defaultLatency: NetworkLatency = { minimum: 0.3, spread: 1.5 };
/** Added to the latency of data that is retransmitted after a cut. */
const retransmissionDelay: Milliseconds = 60;

interface Path {
    cutUntil: Milliseconds;
    readonly channels: Set<VirtualChannel>;
}

/** A connection between two processes. */
export class VirtualChannel {
    private readonly lastDelivery: Record<Direction, Milliseconds> = { upstream: 0, downstream: 0 };
    private isSilent = false;

    constructor(private readonly network: VirtualNetwork, private readonly ends: readonly [string, string]) {}

    /** Runs a callback at the receiving end, after everything sent earlier in the same direction. */
    send(direction: Direction, run: () => void): void {
        if (this.isSilent) {
            return;
        }
        const at = Math.max(this.lastDelivery[direction], this.network.computeArrival(...this.ends));
        this.lastDelivery[direction] = at;
        this.network.clock.schedule(at - this.network.clock.now, () => {
            if (!this.isSilent) {
                run();
            }
        });
    }

    /** Drops everything from now on without notifying either end. */
    silence(): void {
        this.isSilent = true;
    }

    close(): void {
        this.network.removeChannel(this, this.ends);
    }
}

/** The paths between all processes. */
export class VirtualNetwork {
    private readonly paths = new Map<string, Path>();

    constructor(
        readonly clock: Clock,
        private readonly random: Random,
        private readonly latency: NetworkLatency = defaultLatency,
    ) {}

    open(one: string, other: string): VirtualChannel {
        const channel = new VirtualChannel(this, [one, other]);
        this.findOrCreatePath(one, other).channels.add(channel);
        return channel;
    }

    /** Holds back everything sent between two processes for a duration. */
    cut(one: string, other: string, duration: Milliseconds): void {
        const path = this.findOrCreatePath(one, other);
        path.cutUntil = Math.max(path.cutUntil, this.clock.now + duration);
    }

    isCut(one: string, other: string): boolean {
        return this.findOrCreatePath(one, other).cutUntil > this.clock.now;
    }

    /** Makes the open channels between two processes drop everything for good; new channels work. */
    silence(one: string, other: string): void {
        this.findOrCreatePath(one, other).channels.forEach(channel => channel.silence());
    }

    /** Returns when something sent now arrives. */
    computeArrival(one: string, other: string): Milliseconds {
        const { cutUntil } = this.findOrCreatePath(one, other);
        const departure = cutUntil > this.clock.now ? cutUntil + retransmissionDelay : this.clock.now;
        return departure + this.latency.minimum + this.latency.spread * this.random();
    }

    removeChannel(channel: VirtualChannel, [one, other]: readonly [string, string]): void {
        this.findOrCreatePath(one, other).channels.delete(channel);
    }

    private findOrCreatePath(one: string, other: string): Path {
        const name = one < other ? `${one} ${other}` : `${other} ${one}`;
        const path = this.paths.get(name) ?? { cutUntil: 0, channels: new Set<VirtualChannel>() };
        this.paths.set(name, path);
        return path;
    }
}
