/**
 * Linked gateways of which it is known when the log gave the answer that each view stems from.
 */
import { configuration, server, type TestGateway } from "./gatewayBuilders.js";
import { LinkedGateways } from "./linkedGateways.js";

const topics = ["configuration", "backendServers"] as const;

export interface Read {
    readonly gateway: TestGateway;
    readonly topic: typeof topics[number];
}

/** Linked gateways that note when the log answered each read. */
export class ObservedGateways {
    readonly linked: LinkedGateways;
    readonly reads: Read[] = [];
    private readonly answeredAt = new Map<string, number[]>();

    constructor(size = 5) {
        this.linked = new LinkedGateways(size, { configurationLimit: 2_000 });
        this.linked.configure(configuration(1));
        this.linked.register(server("plain-1"));
        this.linked.answered = (gateway, topic) => {
            this.answersOf(gateway, topic).push(this.linked.now);
            this.reads.push({ gateway, topic });
        };
        this.linked.advance(5_000);
    }

    get reader(): TestGateway {
        const { reader } = this.linked.gateways[0].state.followers.configuration.lastRead!;
        return this.linked.gateways.find(({ state }) => state.incarnation === reader)!;
    }

    private answersOf({ state }: TestGateway, topic: string): number[] {
        const key = `${state.incarnation} ${topic}`;
        const times = this.answeredAt.get(key) ?? [];
        this.answeredAt.set(key, times);
        return times;
    }

    /** By how much gateways took their views for younger at most than the answers of the log that they stem from. */
    longestExcess(gateways: readonly TestGateway[], duration: number): number {
        let longest = 0;
        for (let elapsed = 0; elapsed < duration; elapsed += 50) {
            this.linked.advance(50);
            for (const { state, now } of gateways) {
                for (const topic of topics) {
                    const { lastRead, freshAsOf } = state.followers[topic];
                    const source = this.linked.gateways.find(other => other.state.incarnation === lastRead!.reader)!;
                    const answeredAt = this.answersOf(source, topic)[lastRead!.count - 1];
                    longest = Math.max(longest, this.linked.now - answeredAt - (now - freshAsOf!));
                }
            }
        }
        return longest;
    }
}
