/**
 * Gateways that follow one log and exchange their reports. The log can turn gateways away, delete its history and lose its
 * newest record, links between gateways can be cut or delay reports, and gateways can handle the answers of the log late.
 */
import {
    type BackendRecord,
    type DecodedItem,
    decodePeerItems,
    type EvacuationRecord,
    type GatewayEffect,
    type GatewayOptions,
    type PeerReport,
    type ReadFailure,
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
    /** The first page of a snapshot of which the second one is still to be read. */
    readonly firstPage?: { readonly items: readonly DecodedItem[]; readonly next: number; };
}

/** What reaches a gateway later than it was sent. */
interface Delivery {
    readonly dueAt: number;
    readonly deliver: () => void;
}

const topicNames: readonly TopicName[] = ["configuration", "backendServers"];
const stepDuration = 10;
const tickDuration = 50;
/** Between the clocks of one gateway and the next. */
const clockOffset = 100_000;

const evacuationKeyPrefix = "evacuate/";

function evacuationRecords(failureDomain: string, isRequested: boolean): EvacuationRecord[] {
    const key = `${evacuationKeyPrefix}${failureDomain}`;
    return [{ kind: "evacuation", key, failureDomain: identifier(failureDomain), isRequested }];
}

/** Whether a record is on the first of two pages of a snapshot. Pages are ordered by key. */
function isOnFirstPage({ item }: DecodedItem): boolean {
    return item.key < "evacuate/" || (item.key > "plain" && item.key < "plain-3");
}

/** The records of a topic; the index of a record is its offset. */
class TestLog {
    readonly records: DecodedItem[] = [];
    private firstRetained = 0;
    private appended = 0;

    get end(): number {
        return this.records.length;
    }

    append(key: string, records: DecodedItem["records"], isTombstone = false): void {
        const value = isTombstone ? new Uint8Array() : Buffer.from(`${++this.appended}`);
        this.records.push({ item: { key, offset: this.end, value }, records });
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

/** The newest records, of which a first page may have been read before. */
function snapshotAfter(log: TestLog, firstPage: PendingRead["firstPage"]): readonly DecodedItem[] {
    const newest = log.newest();
    return firstPage === undefined
        ? newest
        : [...firstPage.items, ...newest.filter(record => !isOnFirstPage(record))];
}

/** A set of gateways with links to each other, each with a clock that started at another time. */
export class LinkedGateways {
    now = 1_000;
    readonly gateways: TestGateway[];
    /** The gateways whose reads the log refuses. */
    readonly turnedAway = new Set<TestGateway>();
    /** Pairs of gateways whose reports to each other are lost. */
    readonly cutLinks: (readonly [TestGateway, TestGateway])[] = [];
    /** Whether the log refuses all reads of snapshots. */
    refusesSnapshots = false;
    /** How long a report is under way that is sent now; reports on a link keep their order. */
    reportDelay: (sender: TestGateway, receiver: TestGateway) => number = () => 0;
    /** Which of several links a report takes that is sent now; reports on different links may overtake each other. */
    linkOf: (sender: TestGateway, receiver: TestGateway) => number = () => 0;
    /** How long after the first half of a snapshot the second one is read: pages are not consistent. */
    pageDelay = 0;
    /** How long an answer of the log that is sent now waits until the gateway handles it. */
    readDelay: (gateway: TestGateway) => number = () => 0;
    /** Is called when the log answers a read with records or at its end, before the gateway gets the answer. */
    answered: (gateway: TestGateway, topic: TopicName) => void = () => undefined;
    /** The items of all reports that were delivered. */
    deliveredItems = 0;
    /** The snapshots that gateways have asked for. */
    snapshots = 0;
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

    /** Requests the evacuation of a failure domain, or withdraws it. */
    evacuate(failureDomain: string, isRequested = true): void {
        const [record] = evacuationRecords(failureDomain, isRequested);
        this.logs.configuration.append(record.key, [record], !isRequested);
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

    /**
     * The records that a gateway lacks, though it knows the log beyond them: configurations that are newer than its own, and
     * the newest records of servers and evacuations.
     */
    recordsLackedBy({ state }: TestGateway): DecodedItem[] {
        const { followers, configuration, evacuations, servers } = state;
        const isUsed = (id: BackendRecord["id"]): boolean =>
            servers.has(id) && servers.get(id)?.leavingSince === undefined;
        const isLacking = ({ item, records }: DecodedItem): boolean =>
            records.some(record => {
                switch (record.kind) {
                    case "configuration":
                        return record.configuration.version > (configuration?.version ?? -Infinity);
                    case "evacuation":
                        return record.isRequested !== evacuations.has(record.failureDomain);
                    case "backendServer":
                        return isUsed(record.record.id) === record.record.isDraining;
                    case "backendServerRemoved":
                        return isUsed(record.id);
                    default:
                        return item.value.length === 0;
                }
            });
        return topicNames.flatMap(topic => {
            const newest = new Map(this.logs[topic].records.map(record => [record.item.key, record]));
            const next = followers[topic].next ?? 0;
            return [...newest.values()].filter(record => record.item.offset < next && isLacking(record));
        });
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

    private endRead(read: PendingRead): boolean {
        const { gateway, topic, from, dueAt, firstPage } = read;
        const log = this.logs[topic];
        const failure = this.failureOf(read);
        if (failure !== undefined) {
            this.perform(gateway, gateway.handle({ kind: "topicReadFailed", topic, failure }));
            return true;
        }
        if (from === undefined && this.pageDelay > 0 && firstPage === undefined) {
            const page = { items: log.newest().filter(isOnFirstPage), next: log.end };
            this.pendingReads.push({ ...read, dueAt: this.now + this.pageDelay, firstPage: page });
            return true;
        }
        const items = from === undefined ? snapshotAfter(log, firstPage) : log.records.slice(from);
        if (this.now < dueAt && (items.length === 0 || firstPage !== undefined)) {
            return false;
        }
        items.forEach(({ item, records }) => this.recordsOf.set(item, records));
        this.answered(gateway, topic);
        const next = firstPage?.next ?? log.end;
        const event = { kind: "topicRead", topic, isSnapshot: from === undefined, items, next } as const;
        const key = `${gateway.state.options.peerAddress} ${topic}`;
        this.deliverAfter(this.readDelay(gateway), key, () => this.perform(gateway, gateway.handle(event)));
        return true;
    }

    private failureOf({ gateway, topic, from, dueAt }: PendingRead): ReadFailure | undefined {
        const log = this.logs[topic];
        if (this.turnedAway.has(gateway) || (this.refusesSnapshots && from === undefined)) {
            return "refused";
        }
        if (from !== undefined && log.hasDeleted(from)) {
            return "records_deleted";
        }
        return from !== undefined && from > log.end && this.now >= dueAt ? "beyond_end" : undefined;
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
                    this.snapshots++;
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
        const key = `${sender.state.options.peerAddress} ${address} ${this.linkOf(sender, receiver)}`;
        this.deliverAfter(this.reportDelay(sender, receiver), key, () => this.receive(receiver, report));
    }

    private receive(receiver: TestGateway, report: PeerReport): void {
        const items = decodePeerItems(receiver.state, report, (_, item) => this.decode(item).records);
        this.deliveredItems += items.configuration.length + items.backendServers.length;
        this.perform(receiver, receiver.handle({ kind: "peerReported", report, items }));
    }

    private decode(item: DecodedItem["item"]): DecodedItem {
        const { key, value } = item;
        if (value.length > 0) {
            return { item, records: this.recordsOf.get(item)! };
        }
        return key.startsWith(evacuationKeyPrefix)
            ? { item, records: evacuationRecords(key.slice(evacuationKeyPrefix.length), false) }
            : { item, records: [{ kind: "backendServerRemoved", id: identifier(key) }] };
    }
}
