/**
 * A whole platform in virtual time: gateways, workers, the store and the paths between them.
 */
import { type Random, type RandomSource, seededSource } from "@verbenaspring/coordination";
import type { BackendCall, Decision, GatewayOptions, RequestHead } from "@verbenaspring/gateway";
import { identifier, type Milliseconds, type PeerAddress, type RequestId } from "@verbenaspring/model";
import { configurationKey, Fleet, operatorTopic } from "./fleet.js";
import type { RunObserver } from "./serverModel.js";
import { StoreModel } from "./storeModel.js";
import { VirtualClock } from "./virtualClock.js";
import {
    type AnswerEffect,
    type GatewayInterceptors,
    passThroughInterceptors,
    VirtualGateway,
} from "./virtualGateway.js";
import { VirtualNetwork } from "./virtualNetwork.js";
import { VirtualStore } from "./virtualStore.js";

/** Who watches a platform. */
export interface PlatformObserver {
    readonly runStarted: RunObserver;
    readonly answered: (gateway: VirtualGateway, effect: AnswerEffect) => void;
    readonly decisionLogged: (gateway: VirtualGateway, decision: Decision) => void;
    readonly callArrived: (gateway: VirtualGateway, call: BackendCall) => void;
    readonly exited: (gateway: VirtualGateway) => void;
}

/** What a platform is made of. */
export interface PlatformOptions {
    readonly seed: number;
    readonly gateways: number;
    readonly retries: GatewayOptions["retries"];
    readonly stopLimit: Milliseconds;
    readonly interceptors?: GatewayInterceptors;
}

const heartbeatInterval: Milliseconds = 1_000;

/**
 * Gateways before a fleet, in virtual time.
 *
 * @example
 * const platform = new VirtualPlatform(plan, watcher);
 * platform.fleet.add(serverPlan);
 * platform.clock.advanceTo(2_000);
 */
export class VirtualPlatform {
    readonly clock = new VirtualClock();
    readonly network: VirtualNetwork;
    readonly store: VirtualStore;
    readonly fleet: Fleet;
    readonly gateways: VirtualGateway[] = [];
    private readonly source: RandomSource;
    private requests = 0;

    constructor(private readonly plan: PlatformOptions, private readonly watcher: PlatformObserver) {
        this.source = seededSource(plan.seed);
        this.network = new VirtualNetwork(this.clock, this.random);
        this.store = new VirtualStore(this.clock, this.network, new StoreModel());
        this.fleet = new Fleet({
            clock: this.clock,
            store: this.store.model,
            observeRun: watcher.runStarted,
            heartbeatInterval,
            canRegister: () => this.store.behaviour === "up",
        });
        for (let slot = 0; slot < plan.gateways; slot++) {
            this.startGateway(slot);
        }
    }

    get random(): Random {
        return this.source.random;
    }

    /** Starts the process of a slot, also in place of one that is gone. */
    startGateway(slot: number): VirtualGateway {
        const { retries, stopLimit, interceptors: parts } = this.plan;
        const options: GatewayOptions = {
            failureDomain: identifier(slot % 2 === 0 ? "north" : "south"),
            peerAddress: gatewayAddress(slot),
            seedAddresses: [gatewayAddress(0), gatewayAddress(1)],
            retries,
            stopLimit,
        };
        const host = {
            clock: this.clock,
            random: this.random,
            network: this.network,
            fleet: this.fleet,
            store: this.store,
            parts: parts ?? passThroughInterceptors,
            gatewayAt: (address: PeerAddress) => this.gateways.find(({ name, isAlive }) => name === address && isAlive),
            ...this.watcher,
        };
        const gateway = new VirtualGateway(options, this.source.newIdentifier(), host, this.source);
        this.gateways[slot] = gateway;
        return gateway;
    }

    /** The operator writes a configuration. */
    configure(configuration: object): void {
        this.store.model.append(operatorTopic, configurationKey, Buffer.from(JSON.stringify(configuration)));
    }

    /** An id for the next request; whoever watches may have to know it before the answer. */
    nextRequestId(): RequestId {
        return identifier(`request-${++this.requests}`);
    }

    /** A caller asks a gateway. */
    ask(gateway: VirtualGateway, requestId: RequestId, head: RequestHead): void {
        gateway.handleEvent({ kind: "requestReceived", requestId, head, receivedAt: this.clock.now });
    }
}

/** The address of a slot's process. */
export function gatewayAddress(slot: number): PeerAddress {
    return identifier(`10.8.0.${slot + 1}:8000`);
}
