/**
 * More gateways than a gateway has links, in virtual time: what each sends, who knows whom, how news spread, and how the
 * overlay recovers.
 */
import { defaultOverlayShape, seededSource } from "@verbenaspring/coordination";
import { passThroughInterceptors, type VirtualGateway, VirtualPlatform } from "@verbenaspring/emulator";
import { buildConfiguration, serverPlan } from "@verbenaspring/fuzz";
import { countLiveInstances, memberLoad, type RequestHead } from "@verbenaspring/gateway";
import { identifier } from "@verbenaspring/model";
import { test } from "uvu";
import * as assert from "uvu/assert";

const size = 40;
const mostLinks = 8;
const engineId = identifier<never>("engine1");
const noteHead: RequestHead = {
    callerAttemptId: identifier("caller"),
    method: "POST",
    target: "/note/1?length=400",
    host: "platform.example",
    timeLimit: 20_000,
    apiKey: undefined,
    lastEvent: undefined,
    resumedAttemptId: undefined,
    promptTokens: 200,
    maximumTokens: 400,
    estimatedTokens: undefined,
    sharedParts: [],
    headers: [],
};

/** A platform with one engine and its gateways, long enough after their start to know each other. */
class SettledPlatform {
    readonly platform: VirtualPlatform;
    reports = 0;

    constructor(seed: number) {
        this.platform = new VirtualPlatform({
            seed,
            gateways: size,
            overlay: { ...defaultOverlayShape, meshSize: 8 },
            retries: { ratio: 0.2, slack: 50, window: 10_000 },
            stopLimit: 8_000,
            interceptors: {
                ...passThroughInterceptors,
                mapEffect: effect => {
                    this.reports += effect.kind === "sendReport" ? 1 : 0;
                    return effect;
                },
            },
        }, {
            runStarted: () => undefined,
            answered: () => undefined,
            decisionLogged: () => undefined,
            callArrived: () => undefined,
            pauseRequested: () => undefined,
            exited: () => undefined,
        });
        this.platform.configure(buildConfiguration(0));
        this.platform.fleet.add(serverPlan("engine", engineId));
        this.advance(8_000);
    }

    get live(): VirtualGateway[] {
        return this.platform.gateways.filter(({ isAlive }) => isAlive);
    }

    advance(duration: number): void {
        const { clock } = this.platform;
        clock.advanceTo(clock.now + duration);
    }

    /** Advances until a condition holds for all live gateways, and returns how long that took. */
    timeUntil(limit: number, holds: (gateway: VirtualGateway) => boolean): number {
        for (let elapsed = 0; elapsed <= limit; elapsed += 50) {
            if (this.live.every(holds)) {
                return elapsed;
            }
            this.advance(50);
        }
        return Infinity;
    }

    knowsAll({ state }: VirtualGateway): boolean {
        return countLiveInstances(state, this.platform.clock.now) === this.live.length;
    }
}

const openLinks = ({ state: { peers } }: VirtualGateway): number =>
    [...peers.values()].filter(({ link }) => link === "open").length;

test("each gateway knows all others over a bounded number of links and reports", () => {
    const settled = new SettledPlatform(1);
    assert.ok(settled.live.every(gateway => settled.knowsAll(gateway)));
    const links = settled.live.map(openLinks);
    // One more while a gateway is tried that this one has no news of.
    assert.ok(Math.max(...links) <= mostLinks + 1, `${Math.max(...links)} links`);
    settled.reports = 0;
    settled.advance(5_000);
    const perGateway = settled.reports / 5 / size;
    assert.ok(perGateway <= 5 * mostLinks, `${perGateway} reports a second`);
});

test("a placed run is known to all others before the next 50 requests come", () => {
    const settled = new SettledPlatform(2);
    const { platform } = settled;
    const [gateway] = platform.gateways;
    platform.ask(gateway, platform.nextRequestId(), noteHead);
    const knows = (other: VirtualGateway): boolean =>
        other === gateway || memberLoad(other.state, engineId, platform.clock.now).inProgress === 1;
    const took = settled.timeUntil(2_000, knows);
    // 68 gateways of the users' largest site get 110 requests a second.
    const timeOfRequests = 1_000 * 50 / (110 * size / 68);
    assert.ok(took <= timeOfRequests, `${took} of ${timeOfRequests} ms`);
});

test("a configuration is in force everywhere within two seconds, also after half of the gateways are gone", () => {
    const settled = new SettledPlatform(3);
    const { platform } = settled;
    const applied = (index: number) => ({ state }: VirtualGateway): boolean =>
        state.configuration?.version === (buildConfiguration(index) as { readonly version: number; }).version;
    platform.configure(buildConfiguration(1));
    assert.ok(settled.timeUntil(2_000, applied(1)) <= 2_000);
    const { random } = seededSource(3);
    platform.gateways.filter(() => random() < 0.5).forEach(gateway => gateway.kill("power"));
    platform.configure(buildConfiguration(2));
    const took = settled.timeUntil(4_000, applied(2));
    assert.ok(took <= 2_000, `${took} ms`);
    const knownAfter = settled.timeUntil(10_000, gateway => settled.knowsAll(gateway));
    assert.ok(knownAfter <= 6_000, `${knownAfter} ms`);
});

test("gateways that start later, and those that restart, are known to all within three seconds", () => {
    const settled = new SettledPlatform(4);
    const { platform } = settled;
    const restarted = [3, 17, 25];
    restarted.forEach(slot => platform.gateways[slot].kill("reset"));
    settled.advance(300);
    const started = [...restarted, size, size + 1].map(slot => platform.startGateway(slot));
    const knowsStarted = ({ state }: VirtualGateway): boolean =>
        started.every(({ name, incarnation }) =>
            state.options.peerAddress === name || String(state.members.get(name)?.record.incarnation) === incarnation
        );
    const took = settled.timeUntil(5_000, gateway => knowsStarted(gateway) && settled.knowsAll(gateway));
    assert.ok(took <= 3_000, `${took} ms`);
});

test("links that fail one by one leave the others connected", () => {
    const settled = new SettledPlatform(5);
    const { network } = settled.platform;
    const { random } = seededSource(5);
    for (let count = 0; count < 20; count++) {
        const gateway = settled.live[Math.floor(random() * size)];
        const peers = [...gateway.state.peers.keys()];
        network.cut(gateway.name, peers[Math.floor(random() * peers.length)], 6_000);
        settled.advance(200);
        assert.ok(settled.live.every(each => settled.knowsAll(each)), `after ${count + 1} cuts`);
    }
});

test("a notice in an answer is known to all gateways within 500 ms", () => {
    const settled = new SettledPlatform(6);
    const { platform } = settled;
    const [engine] = platform.fleet.liveServers();
    platform.ask(platform.gateways[7], platform.nextRequestId(), noteHead);
    engine.isLeaving = true;
    const took = settled.timeUntil(2_000, ({ state }) => state.servers.get(engineId)?.leavingSince !== undefined);
    assert.ok(took <= 500, `${took} ms`);
});

test.run();
