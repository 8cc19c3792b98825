/**
 * Gateways that exchange their reports, which may be delayed, and plain backend servers that answer after a fixed time.
 */
import type {
    BackendAnswer,
    BackendCall,
    BackendRecord,
    GatewayEffect,
    GatewayOptions,
    PeerReport,
    RoutingConfiguration,
} from "@verbenaspring/gateway";
import { type Failure, identifier, type PeerAddress } from "@verbenaspring/model";
import { callsIn, configuration, failuresIn, TestGateway } from "./gatewayBuilders.js";

const stepDuration = 10;
const tickDuration = 50;
const answerTime = 20;

/** A request that reached a server. */
export interface Arrival {
    readonly server: string;
    readonly at: number;
}

interface PendingAnswer {
    readonly gateway: TestGateway;
    readonly call: BackendCall;
    readonly dueAt: number;
}

interface PendingReport {
    readonly sender: TestGateway;
    readonly address: string;
    readonly report: PeerReport;
    readonly dueAt: number;
}

/** A set of gateways on one clock. */
export class GatewayCluster {
    now = 1_000;
    readonly arrivals: Arrival[] = [];
    readonly failures: Failure[] = [];
    readonly gateways: TestGateway[];
    /** The answer of each server. */
    answerOf: (server: string) => Partial<BackendAnswer> = () => ({});
    /** How long a report is under way that is sent now; none arrives before one that was sent earlier. */
    reportDelay: () => number = () => 0;
    /** Only the first ones get requests, tick and send reports; the others have not started, or have stopped. */
    gatewaysInUse: number;
    private readonly isolated = new Set<number>();
    private readonly frozen = new Set<number>();
    private readonly byAddress: ReadonlyMap<string, TestGateway>;
    private pendingAnswers: PendingAnswer[] = [];
    /** In the order of sending. */
    private readonly pendingReports: PendingReport[] = [];
    private requests = 0;

    /**
     * @param overrides of the options of all gateways
     * @param routing the configuration of all gateways
     */
    constructor(
        size: number,
        servers: readonly BackendRecord[],
        overrides: Partial<GatewayOptions> = {},
        routing: RoutingConfiguration = configuration(1),
    ) {
        const addresses = Array.from({ length: size }, (_, index) => `10.1.0.${index + 1}:8748`);
        const seedAddresses = addresses.map(address => identifier<PeerAddress>(address));
        this.gateways = addresses.map(address =>
            new TestGateway({ peerAddress: identifier<PeerAddress>(address), seedAddresses, ...overrides })
        );
        this.byAddress = new Map(this.gateways.map((gateway, index) => [addresses[index], gateway]));
        this.gatewaysInUse = size;
        for (const gateway of this.gateways) {
            gateway.configure(routing);
            gateway.register(...servers);
        }
    }

    /** Loses all reports from and to a gateway. */
    isolate(index: number): void {
        this.isolated.add(index);
    }

    /** Ends {@link isolate}. */
    rejoin(index: number): void {
        this.isolated.delete(index);
    }

    /** Stops a gateway from handling anything, while requests and reports for it are lost. */
    freeze(index: number): void {
        this.frozen.add(index);
    }

    /** Ends {@link freeze}. */
    resume(index: number): void {
        this.frozen.delete(index);
    }

    /** All gateways read new records of servers. */
    register(...servers: readonly BackendRecord[]): void {
        this.gateways.forEach(gateway => this.perform(gateway, gateway.register(...servers)));
    }

    /** Advances the clock while requests of the route arrive at a rate, at the gateways in turn. */
    run(duration: number, routeName: string, requestsPerSecond: number): void {
        const end = this.now + duration;
        while (this.now < end) {
            this.now += stepDuration;
            this.gateways.forEach(gateway => gateway.now = this.now);
            this.answerDueCalls();
            this.deliverDueReports();
            const dueRequests = Math.floor(this.now * requestsPerSecond / 1_000)
                - Math.floor((this.now - stepDuration) * requestsPerSecond / 1_000);
            for (let count = 0; count < dueRequests; count++) {
                const index = this.requests++ % this.gatewaysInUse;
                if (!this.frozen.has(index)) {
                    const gateway = this.gateways[index];
                    this.perform(gateway, gateway.receiveRequest(`r${this.requests}`, routeName));
                }
            }
            if (this.now % tickDuration === 0) {
                this.gateways.slice(0, this.gatewaysInUse).filter((_, index) => !this.frozen.has(index))
                    .forEach(gateway => this.perform(gateway, gateway.handle({ kind: "tick" })));
            }
        }
    }

    /** The most requests that the server got in any span of the given length that begins at `from` or later. */
    mostArrivals(server: string, span: number, from: number): number {
        const times = this.arrivals.filter(arrival => arrival.server === server && arrival.at >= from).map(({ at }) =>
            at
        );
        return Math.max(0, ...times.map(start => times.filter(at => at >= start && at < start + span).length));
    }

    private answerDueCalls(): void {
        const due = this.pendingAnswers.filter(({ dueAt }) => dueAt <= this.now);
        this.pendingAnswers = this.pendingAnswers.filter(({ dueAt }) => dueAt > this.now);
        due.forEach(({ gateway, call }) =>
            this.perform(gateway, gateway.answer(call, this.answerOf(call.backendServer)))
        );
    }

    private perform(gateway: TestGateway, effects: readonly GatewayEffect[]): void {
        this.failures.push(...failuresIn(effects));
        for (const call of callsIn(effects)) {
            this.arrivals.push({ server: call.backendServer, at: this.now });
            this.pendingAnswers.push({ gateway, call, dueAt: this.now + answerTime });
        }
        for (const effect of effects) {
            if (effect.kind === "sendReport" || effect.kind === "openPeerLink") {
                this.deliverAfter(this.reportDelay(), {
                    sender: gateway,
                    address: effect.address,
                    report: effect.report,
                });
            }
        }
    }

    private deliverAfter(delay: number, pending: Omit<PendingReport, "dueAt">): void {
        if (delay === 0 && this.pendingReports.length === 0) {
            return this.deliver(pending.sender, pending.address, pending.report);
        }
        this.pendingReports.push({ ...pending, dueAt: this.now + delay });
    }

    private deliverDueReports(): void {
        while (this.pendingReports.length > 0 && this.pendingReports[0].dueAt <= this.now) {
            const { sender, address, report } = this.pendingReports.shift()!;
            this.deliver(sender, address, report);
        }
    }

    private deliver(sender: TestGateway, address: string, report: PeerReport): void {
        const receiver = this.byAddress.get(address);
        if (receiver !== undefined && this.isReachable(sender) && this.isReachable(receiver)) {
            const items = { configuration: [], backendServers: [] };
            this.perform(receiver, receiver.handle({ kind: "peerReported", report, items }));
        }
    }

    private isReachable(gateway: TestGateway): boolean {
        const index = this.gateways.indexOf(gateway);
        return index < this.gatewaysInUse && !this.isolated.has(index) && !this.frozen.has(index);
    }
}
