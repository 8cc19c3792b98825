/**
 * Network paths between processes in virtual time. A channel delivers each direction in order, as TCP does. While a
 * path is cut, data is held and delivered after the cut. One direction of a path can fall behind, so that data arrives
 * later and later. A channel can also stop delivering for good while new ones work.
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

/** A delay of what one process sends another, which grows from 0 to a limit while it lasts. */
export interface GrowingDelay {
    /** The delay that is added in each millisecond. */
    readonly growth: number;
    readonly limit: Milliseconds;
    /** For how long data that is sent is delayed. Later data arrives after it, so the path recovers up to `limit` later. */
    readonly duration: Milliseconds;
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
        const [opener, accepter] = this.ends;
        const arrival = direction === "upstream"
            ? this.network.computeArrival(opener, accepter)
            : this.network.computeArrival(accepter, opener);
        const at = Math.max(this.lastDelivery[direction], arrival);
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
    /** The last delay of each direction between two processes. */
    private readonly delays = new Map<string, GrowingDelay & { readonly startedAt: Milliseconds; }>();

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

    /** Delays what one process sends another from now on. Replaces an earlier delay in that direction. */
    fallBehind(sender: string, receiver: string, delay: GrowingDelay): void {
        this.delays.set(directionName(sender, receiver), { ...delay, startedAt: this.clock.now });
    }

    /** Makes the open channels between two processes drop everything for good; new channels work. */
    silence(one: string, other: string): void {
        this.findOrCreatePath(one, other).channels.forEach(channel => channel.silence());
    }

    /** Returns when something sent now arrives. */
    computeArrival(sender: string, receiver: string): Milliseconds {
        const { cutUntil } = this.findOrCreatePath(sender, receiver);
        const departure = cutUntil > this.clock.now ? cutUntil + retransmissionDelay : this.clock.now;
        return departure + this.latency.minimum + this.latency.spread * this.random()
            + this.computeDelay(sender, receiver);
    }

    private computeDelay(sender: string, receiver: string): Milliseconds {
        const delay = this.delays.get(directionName(sender, receiver));
        const elapsed = delay === undefined ? Infinity : this.clock.now - delay.startedAt;
        return delay === undefined || elapsed >= delay.duration ? 0 : Math.min(delay.limit, delay.growth * elapsed);
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

function directionName(sender: string, receiver: string): string {
    return `${sender} to ${receiver}`;
}
