/**
 * Whether a gateway has all records before the offset up to which it knows the log, while a log that loses nothing changes
 * quickly, and gateways, links and reads fail in each way.
 */
import { seededSource } from "@verbenaspring/coordination";
import { indexRoutes } from "@verbenaspring/gateway";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { configuration, route, server, type TestGateway } from "./gatewayBuilders.js";
import { LinkedGateways } from "./linkedGateways.js";

const serverNames = ["plain-1", "plain-2", "plain-3", "plain-4", "plain-5"];
const domains = ["near", "far"];

interface Play {
    readonly linked: LinkedGateways;
    readonly random: () => number;
    version: number;
}

const chance = ({ random }: Play, probability: number): boolean => random() < probability;
const oneOf = <Item>({ random }: Play, items: readonly Item[]): Item => items[Math.floor(random() * items.length)];

function configure(play: Play): void {
    play.version += 1 + Math.floor(play.random() * 4);
    play.linked.configure(configuration(play.version, { routesByHost: indexRoutes([route(`r-${play.version}`)]) }));
}

function changeServer(play: Play, heartbeat: number): void {
    const name = oneOf(play, serverNames);
    if (chance(play, 0.2)) {
        return play.linked.remove(name);
    }
    play.linked.register(server(name, { startedAt: 7, heartbeat, isDraining: chance(play, 0.1) }));
}

/** What may happen in each interval of 50 ms, and how probable it is. */
const faults: readonly (readonly [number, (play: Play) => void])[] = [
    [0.12, configure],
    [0.02, play => play.linked.evacuate(oneOf(play, domains), chance(play, 0.5))],
    [0.01, ({ linked }) => linked.deleteHistory("configuration")],
    [0.01, ({ linked }) => linked.deleteHistory("backendServers")],
    [0.01, play => play.linked.restart(oneOf(play, play.linked.gateways))],
    [0.02, play => play.linked.turnedAway.add(oneOf(play, play.linked.gateways))],
    [0.04, ({ linked }) => linked.turnedAway.clear()],
    [0.02, play => play.linked.isolate(oneOf(play, play.linked.gateways))],
    [0.02, play => cutLink(play)],
    [0.04, ({ linked }) => linked.restoreLinks()],
    [0.03, play => loseReports(play)],
    [0.02, play => setDelays(play)],
];

function cutLink(play: Play): void {
    const [one, other] = [oneOf(play, play.linked.gateways), oneOf(play, play.linked.gateways)];
    play.linked.cutLinks.push([one, other]);
}

function loseReports(play: Play): void {
    const [one, other] = [oneOf(play, play.linked.gateways), oneOf(play, play.linked.gateways)];
    one.handle({ kind: "peerReportsLost", address: other.state.options.peerAddress });
}

function setDelays(play: Play): void {
    const { linked, random } = play;
    const [longestReport, longestRead] = [oneOf(play, [0, 100, 1_500]), oneOf(play, [0, 200, 1_500])];
    linked.reportDelay = () => random() * longestReport;
    linked.readDelay = () => random() * longestRead;
    linked.pageDelay = oneOf(play, [0, 50, 300]);
}

/** Plays 30 s, and returns what gateways lacked of a topic's keys, though they knew the log beyond it. */
function lackedIn(seed: number, isConcerned: (key: string) => boolean): string[] {
    const linked = new LinkedGateways(5, { configurationLimit: 2_000 });
    const play: Play = { linked, random: seededSource(seed).random, version: 0 };
    linked.linkOf = () => Math.floor(play.random() * 3);
    configure(play);
    const lacked: string[] = [];
    for (let interval = 0; interval < 600; interval++) {
        changeServer(play, interval);
        faults.filter(([probability]) => chance(play, probability)).forEach(([, act]) => act(play));
        linked.advance(50);
        lacked.push(...linked.gateways.flatMap(gateway => describeLacked(linked, gateway, isConcerned)));
    }
    return lacked;
}

function describeLacked(
    linked: LinkedGateways,
    gateway: TestGateway,
    isConcerned: (key: string) => boolean,
): string[] {
    const { options: { peerAddress }, followers, configuration: known } = gateway.state;
    const { configuration: { next }, backendServers } = followers;
    return linked.recordsLackedBy(gateway).filter(({ item }) => isConcerned(item.key)).map(({ item }) =>
        `at ${linked.now}, ${peerAddress} lacks ${item.key} at ${item.offset}; `
        + `has version ${known?.version}, ends at ${next} and ${backendServers.next}`
    );
}

const seeds = Array.from({ length: 20 }, (_, index) => index + 1);
const isServer = (key: string): boolean => serverNames.includes(key);

test("a gateway lacks no configuration or evacuation before the offset up to which it knows a log that loses nothing", () => {
    seeds.forEach(seed => assert.equal(lackedIn(seed, key => !isServer(key)).slice(0, 3), [], `seed ${seed}`));
});

test("a gateway lacks no change of a server before the offset up to which it knows a log that loses nothing", () => {
    seeds.forEach(seed => assert.equal(lackedIn(seed, isServer).slice(0, 3), [], `seed ${seed}`));
});

// Snapshots whose pages are of different moments, and a peer's records that are older than a known removal.
test("a gateway lacks no change of a server in plays with snapshots that are late or inconsistent", () => {
    [70, 81, 119, 149].forEach(seed => assert.equal(lackedIn(seed, isServer).slice(0, 3), [], `seed ${seed}`));
});

test.run();
