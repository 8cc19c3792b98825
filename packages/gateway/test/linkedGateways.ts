/**
 * Gateways that follow one log and exchange their reports. The log can turn gateways away, delete its history and lose its
 * newest record, links between gateways can be cut or delay reports, and gateways can handle the answers of the log late.
 */
import {
    type BackendRecord,
    type DecodedItem,
    decodePeerItems,
    type GatewayEffect,
    type GatewayOptions,
    type PeerReport,
    type RoutingConfiguration,
    type TopicItem,
} from "@verbenaspring/gateway";
import { identifier, type PeerAddress } from "@verbenaspring/model";
import { callsIn, TestGateway } from "./gatewayBuilders.js";

type TopicName = "configuration" | "backendServers";

interface PendingRead {
    readonly gateway: TestGateway;
    readonly topic: TopicName;
    /** Undefined for a snapshot. */
    readonly from: number | undefined;
    readonly dueAt: number;
}

/** What reaches a gateway later than it was sent. */
interface Delivery {
    readonly dueAt: number;
    readonly deliver: () => void;
}

const stepDuration = 10;
const tickDuration = 50;
/** Between the clocks of one gateway and the next. */
const clockOffset = 100_000;

/** The records of a topic; the index of a record is its offset. */
class TestLog {
    readonly records: DecodedItem[] = [];
    private firstRetained = 0;

    get end(): number {
        return this.records.length;
    }

    append(key: string, records: DecodedItem["records"], isTombstone = false): void {
        this.records.push({ item: { key, offset: this.end, value: new Uint8Array(isTombstone ? 0 : 1) }, records });
    }

    /** Loses the newest record, as if it had never been acknowledged. Its offset is given out again. */
    loseNewest(): void {
        this.records.pop();
    }

    /** Deletes all but the newest record of each key. */
    deleteHistory(): void {
        this.firstRetained = this.end;
    }

    hasDeleted(from: number): boolean {
        return from < this.firstRetained;
    }

    newest(): DecodedItem[] {
        const newest = new Map(this.records.map(record => [record.item.key, record]));
        return [...newest.values()].filter(({ item }) => item.value.length > 0);
    }
}

/** A set of gateways with links to each other, each with a clock that started at another time. */
export class LinkedGateways {
    now = 1_000;
    readonly gateways: TestGateway[];
    /** The gateways whose reads the log refuses. */
    readonly turnedAway = new Set<TestGateway>();
    /** Pairs of gateways whose reports to each other are lost. */
    readonly cutLinks: (readonly [TestGateway, TestGateway])[] = [];
    /** How long a report is under way that is sent now; reports on a link keep their order. */
    reportDelay: (sender: TestGateway, receiver: TestGateway) => number = () => 0;
    /** How long an answer of the log that is sent now waits until the gateway handles it. */
    readDelay: (gateway: TestGateway) => number = () => 0;
    /** Is called when the log answers a read with records or at its end, before the gateway gets the answer. */
    answered: (gateway: TestGateway, topic: TopicName) => void = () => undefined;
    /** The items of all reports that were delivered. */
    deliveredItems = 0;
    /** By link, or by gateway and topic. Each list is in the order of sending. */
    private readonly deliveries = new Map<string, Delivery[]>();
    private readonly logs: Readonly<Record<TopicName, TestLog>> = {
        configuration: new TestLog(),
        backendServers: new TestLog(),
    };
    private pendingReads: PendingRead[] = [];
    /** What each item was decoded to; an offset may be given out again. */
    private readonly recordsOf = new WeakMap<TopicItem, DecodedItem["records"]>();

    constructor(size: number, options: Partial<GatewayOptions> = {}) {
        const seedAddresses = Array.from(
            { length: size },
            (_, index) => identifier<PeerAddress>(`10.1.0.${index + 1}:8748`),
        );
        this.gateways = seedAddresses.map(peerAddress => {
            const gateway = new TestGateway({ ...options, peerAddress, seedAddresses });
            Object.assign(gateway.state, { incarnation: identifier<never>(peerAddress) });
            return gateway;
        });
    }

    configure(configuration: RoutingConfiguration): void {
        this.logs.configuration.append("config", [{ kind: "configuration", configuration }]);
    }

    configureUndecodable(): void {
        this.logs.configuration.append("config", [{ kind: "configurationUndecodable" }]);
    }

    register(...servers: readonly BackendRecord[]): void {
        servers.forEach(record => this.logs.backendServers.append(record.id, [{ kind: "backendServer", record }]));
    }

    remove(id: string): void {
        this.logs.backendServers.append(id, [{ kind: "backendServerRemoved", id: identifier(id) }], true);
    }

    loseNewest(topic: TopicName): void {
        this.logs[topic].loseNewest();
    }

    deleteHistory(topic: TopicName): void {
        this.logs[topic].deleteHistory();
    }

    /** Replaces a gateway by a new process at its address. What is under way to the earlier one is lost. */
    restart(gateway: TestGateway): void {
        const { options, incarnation } = gateway.state;
        const restarted = new TestGateway(options, gateway.now);
        Object.assign(restarted.state, { incarnation: identifier<never>(`${incarnation}+`) });
        restarted.now = gateway.now;
        this.gateways[this.gateways.indexOf(gateway)] = restarted;
        this.turnedAway.delete(gateway);
        gateway.handle = () => [];
    }

    /** Cuts all links of a gateway. */
    isolate(gateway: TestGateway): void {
        this.gateways.forEach(other => this.cutLinks.push([gateway, other]));
    }

    restoreLinks(): void {
        this.cutLinks.length = 0;
    }

    advance(duration: number): void {
        const end = this.now + duration;
        while (this.now < end) {
            this.now += stepDuration;
            this.gateways.forEach((gateway, index) => gateway.now = this.now + index * clockOffset);
            this.endReads();
            this.deliverDue();
            if (this.now % tickDuration === 0) {
                this.gateways.forEach(gateway => this.perform(gateway, gateway.handle({ kind: "tick" })));
            }
        }
    }

    /** Advances the clock until a condition holds, and returns how long that took; a second more than the limit if never. */
    advanceUntil(holds: () => boolean, limit: number): number {
        const start = this.now;
        while (!holds() && this.now - start <= limit) {
            this.advance(stepDuration);
        }
        return holds() ? this.now - start : limit + 1_000;
    }

    /** Whether the gateway sends a request of the route to a server. */
    serves(gateway: TestGateway, routeName: string): boolean {
        return callsIn(gateway.receiveRequest(`${routeName}-${this.now}`, routeName)).length > 0;
    }

    private endReads(): void {
        const pending = this.pendingReads;
        this.pendingReads = [];
        pending.forEach(read => {
            if (!this.endRead(read)) {
                this.pendingReads.push(read);
            }
        });
    }

    private endRead({ gateway, topic, from, dueAt }: PendingRead): boolean {
        const log = this.logs[topic];
        if (this.turnedAway.has(gateway)) {
            this.perform(gateway, gateway.handle({ kind: "topicReadFailed", topic, failure: "refused" }));
            return true;
        }
        if (from !== undefined && log.hasDeleted(from)) {
            this.perform(gateway, gateway.handle({ kind: "topicReadFailed", topic, failure: "records_deleted" }));
            return true;
        }
        if (from !== undefined && from > log.end && this.now >= dueAt) {
            this.perform(gateway, gateway.handle({ kind: "topicReadFailed", topic, failure: "beyond_end" }));
            return true;
        }
        const items = from === undefined ? log.newest() : log.records.slice(from);
        if (items.length === 0 && this.now < dueAt) {
            return false;
        }
        items.forEach(({ item, records }) => this.recordsOf.set(item, records));
        this.answered(gateway, topic);
        const event = { kind: "topicRead", topic, isSnapshot: from === undefined, items, next: log.end } as const;
        const key = `${gateway.state.options.peerAddress} ${topic}`;
        this.deliverAfter(this.readDelay(gateway), key, () => this.perform(gateway, gateway.handle(event)));
        return true;
    }

    private deliverAfter(delay: number, key: string, deliver: () => void): void {
        const queue = this.deliveries.get(key) ?? [];
        if (delay === 0 && queue.length === 0) {
            return deliver();
        }
        this.deliveries.set(key, queue);
        queue.push({ dueAt: Math.max(this.now + delay, queue.at(-1)?.dueAt ?? 0), deliver });
    }

    private deliverDue(): void {
        for (const queue of this.deliveries.values()) {
            while (queue.length > 0 && queue[0].dueAt <= this.now) {
                queue.shift()?.deliver();
            }
        }
    }

    private perform(gateway: TestGateway, effects: readonly GatewayEffect[]): void {
        for (const effect of effects) {
            switch (effect.kind) {
                case "readSnapshot":
                    this.pendingReads.push({ gateway, topic: effect.topic, from: undefined, dueAt: this.now });
                    break;
                case "readTopic": {
                    const { topic, from, wait } = effect;
                    this.pendingReads.push({ gateway, topic, from, dueAt: this.now + wait });
                    break;
                }
                case "openPeerLink":
                case "sendReport":
                    this.deliver(gateway, effect.address, effect.report);
                    break;
                default:
            }
        }
    }

    private deliver(sender: TestGateway, address: PeerAddress, report: PeerReport): void {
        const receiver = this.gateways.find(({ state }) => state.options.peerAddress === address);
        const isCut = this.cutLinks.some(pair =>
            pair.includes(sender) && receiver !== undefined && pair.includes(receiver)
        );
        if (receiver === undefined || isCut) {
            return;
        }
        const key = `${sender.state.options.peerAddress} ${address}`;
        this.deliverAfter(this.reportDelay(sender, receiver), key, () => this.receive(receiver, report));
    }

    private receive(receiver: TestGateway, report: PeerReport): void {
        const items = decodePeerItems(receiver.state, report, (_, item) => this.decode(item).records);
        this.deliveredItems += items.configuration.length + items.backendServers.length;
        this.perform(receiver, receiver.handle({ kind: "peerReported", report, items }));
    }

    private decode(item: DecodedItem["item"]): DecodedItem {
        const id = identifier<never>(item.key);
        return item.value.length > 0
            ? { item, records: this.recordsOf.get(item)! }
            : { item, records: [{ kind: "backendServerRemoved", id }] };
    }
}
