/**
 * A complete platform in virtual time: gateways, backend servers, the store and the network between them.
 */
import {
    defaultOverlayShape,
    type OverlayShape,
    type Random,
    type RandomSource,
    seededSource,
} from "@verbenaspring/coordination";
import type { BackendCall, Decision, GatewayOptions, RequestHead } from "@verbenaspring/gateway";
import {
    type ContentDigest,
    identifier,
    type Milliseconds,
    type PeerAddress,
    type RequestId,
} from "@verbenaspring/model";
import type { ColdPlan } from "./coldState.js";
import { configurationKey, Fleet, operatorTopic } from "./fleet.js";
import { OperatorWrites } from "./operatorWrites.js";
import type { RunObserver, ServerCall } from "./serverModel.js";
import { StoreModel } from "./storeModel.js";
import { VirtualClock } from "./virtualClock.js";
import {
    type AnswerEffect,
    type GatewayInterceptors,
    passThroughInterceptors,
    VirtualGateway,
} from "./virtualGateway.js";
import { type NetworkLatency, VirtualNetwork } from "./virtualNetwork.js";
import { VirtualStore } from "./virtualStore.js";

/** Callbacks for what happens on a platform. */
export interface PlatformObserver {
    /** A backend server started a run. */
    readonly runStarted: RunObserver;
    /** A gateway sent something to a caller. */
    readonly answered: (gateway: VirtualGateway, effect: AnswerEffect) => void;
    /** A gateway logged a decision. */
    readonly decisionLogged: (gateway: VirtualGateway, decision: Decision) => void;
    /** A call reached a backend server, which may still refuse it. */
    readonly callArrived: (gateway: VirtualGateway, call: BackendCall, sentAt: Milliseconds) => void;
    /** A backend server refused a call and asked the gateway for a pause. */
    readonly pauseRequested: (gateway: VirtualGateway, call: BackendCall, pause: Milliseconds) => void;
    /** A server crashed under a deadly call; absent if none is deadly. */
    readonly crashedUnderCall?: (server: string, call: ServerCall) => void;
    /** A cold server crashed because it got far too many requests; absent if no server is ever cold. */
    readonly crashedWhileCold?: (server: string) => void;
    /** A gateway process exited after a planned stop. */
    readonly exited: (gateway: VirtualGateway) => void;
}

/** Configuration of a platform. */
export interface PlatformOptions {
    readonly seed: number;
    /** Number of gateway processes. */
    readonly gateways: number;
    /** The shape of the links between gateways; the usual one if absent. */
    readonly overlay?: OverlayShape;
    readonly retries: GatewayOptions["retries"];
    readonly stopLimit: Milliseconds;
    readonly interceptors?: GatewayInterceptors;
    /** That of processes on one local network, if absent. */
    readonly latency?: NetworkLatency;
    /** How servers are cold after they start and after evacuations; absent if they are not. */
    readonly cold?: ColdPlan;
}

const heartbeatInterval: Milliseconds = 1_000;
const evacuationLimit: Milliseconds = 5_000;

/**
 * Runs gateways and a fleet of backend servers in virtual time.
 *
 * @example
 * const platform = new VirtualPlatform(options, observer);
 * platform.fleet.add(plan);
 * platform.clock.advanceTo(2_000);
 */
export class VirtualPlatform {
    readonly clock = new VirtualClock();
    readonly network: VirtualNetwork;
    readonly store: VirtualStore;
    readonly fleet: Fleet;
    /** The operator's writes of evacuations. */
    readonly operator: OperatorWrites;
    readonly gateways: VirtualGateway[] = [];
    private readonly source: RandomSource;
    private requests = 0;

    constructor(private readonly options: PlatformOptions, private readonly observer: PlatformObserver) {
        this.source = seededSource(options.seed);
        this.network = new VirtualNetwork(this.clock, this.random, options.latency);
        this.store = new VirtualStore(this.clock, this.network, new StoreModel());
        this.fleet = new Fleet({
            clock: this.clock,
            store: this.store.model,
            observeRun: observer.runStarted,
            heartbeatInterval,
            canRegister: () => this.store.behaviour === "up",
            crashedUnderCall: observer.crashedUnderCall,
            cold: options.cold,
            crashedWhileCold: observer.crashedWhileCold,
        });
        this.operator = new OperatorWrites(this.clock, this.store.model, () => this.store.behaviour === "up");
        for (let slot = 0; slot < options.gateways; slot++) {
            this.startGateway(slot);
        }
    }

    get random(): Random {
        return this.source.random;
    }

    /** Starts the gateway process of a slot, replacing the one that ended there. */
    startGateway(slot: number): VirtualGateway {
        const { overlay, retries, stopLimit, interceptors, cold } = this.options;
        const gatewayOptions: GatewayOptions = {
            failureDomain: identifier(slot % 2 === 0 ? "north" : "south"),
            peerAddress: gatewayAddress(slot),
            seedAddresses: [gatewayAddress(0), gatewayAddress(1)],
            overlay: overlay ?? defaultOverlayShape,
            retries,
            stopLimit,
            coldBound: cold?.rate,
            evacuationLimit,
        };
        const environment = {
            clock: this.clock,
            random: this.random,
            network: this.network,
            fleet: this.fleet,
            store: this.store,
            interceptors: interceptors ?? passThroughInterceptors,
            findGateway: (address: PeerAddress) =>
                this.gateways.find(({ name, isAlive }) => name === address && isAlive),
            ...this.observer,
        };
        const gateway = new VirtualGateway(gatewayOptions, this.source.newIdentifier(), environment, this.source);
        this.gateways[slot] = gateway;
        return gateway;
    }

    /** Writes a configuration as the operator. */
    configure(configuration: object): void {
        this.store.model.append(operatorTopic, configurationKey, Buffer.from(JSON.stringify(configuration)));
    }

    /** Stores a configuration whose writer gets no answer, so that the store may lose it. */
    configureUnanswered(configuration: object): void {
        this.store.model.appendUnacknowledged(
            operatorTopic,
            configurationKey,
            Buffer.from(JSON.stringify(configuration)),
        );
    }

    /** Returns the id of the next request, so that an observer can know it before the answer arrives. */
    nextRequestId(): RequestId {
        return identifier(`request-${++this.requests}`);
    }

    /** Sends a caller's request to a gateway. The requests with one digest count as repeats of each other. */
    ask(
        gateway: VirtualGateway,
        requestId: RequestId,
        head: RequestHead,
        contentDigest: ContentDigest = identifier(requestId),
    ): void {
        const receivedAt = this.clock.now;
        gateway.handleEvent({ kind: "requestReceived", requestId, head, contentDigest, receivedAt, readDelay: 0 });
    }
}

/** Returns the peer address of the gateway process in a slot. */
export function gatewayAddress(slot: number): PeerAddress {
    return identifier(`10.8.0.${slot + 1}:8000`);
}
