/**
 * Injects the faults of a soak, drawn from its seed: signals to the gateways, faults of the relays, a store and
 * backend servers that misbehave, and planned operations. Faults overlap.
 */
import type { FaultRelay } from "@verbenaspring/bench";
import type { Random } from "@verbenaspring/coordination";
import { failureDomains, operatorTopic, type ServerBehaviour, serverTopic } from "@verbenaspring/emulator";
import { pause } from "@verbenaspring/stand-ins";
import { attacks } from "./hostileAttacks.js";
import { startAttacks, trialsAlone } from "./hostileCallers.js";
import type { SoakBackendServer, SoakGateway, SoakWorld } from "./soakWorld.js";

/** A kind of fault, or a planned operation. */
export interface Fault {
    /** Its name in the counts of a run. */
    readonly name: string;
    readonly perform: (faults: SoakFaults, duration: number) => void;
}

/** Faults that are drawn one after the other, with a pause in milliseconds after each. */
export interface FaultSeries {
    readonly kinds: readonly Fault[];
    readonly minPause: number;
    readonly maxPause: number;
    /** The number of the random numbers that it draws from, which no other series has. */
    readonly source: number;
}

const maxFaultDuration = 4_000;
const restartDelay = 300;
/** How long a backend server keeps serving after its notice that it leaves. */
const drainDuration = 4_000;
const behaviours: readonly ServerBehaviour[] = ["shed", "error", "break", "silent", "foreign", "slow"];
const maxStoreDelay = 1_500;
const maxRelayDelay = 400;
/** In requests a second. */
const maxRequestLimit = 1;
/** How many times as long as other faults a limit is in force. */
const limitDurationFactor = 5;

/** Draws faults and injects them. */
export class SoakFaults {
    readonly faultCounts = new Map<string, number>();
    /** The functions that end the faults in force. */
    private readonly pendingEnds = new Set<() => void>();
    private readonly restarts = new Set<Promise<void>>();

    constructor(readonly world: SoakWorld, readonly random: Random) {}

    /** Injects the faults of a series for a duration in milliseconds. */
    async run(duration: number, { kinds, minPause, maxPause }: FaultSeries): Promise<void> {
        const end = performance.now() + duration;
        while (performance.now() < end) {
            const fault = this.choose(kinds);
            this.faultCounts.set(fault.name, (this.faultCounts.get(fault.name) ?? 0) + 1);
            fault.perform(this, this.random() * maxFaultDuration);
            await pause(minPause + this.random() * (maxPause - minPause));
        }
    }

    /** Ends all faults, and waits for the gateways that are being restarted. */
    async endFaults(): Promise<void> {
        this.pendingEnds.forEach(end => end());
        await Promise.all(this.restarts);
    }

    choose<Item>(items: readonly Item[]): Item {
        return items[Math.floor(this.random() * items.length)];
    }

    /** The gateways that are up and have not been killed or stopped. */
    availableGateways(): readonly SoakGateway[] {
        return this.world.gateways.filter(({ hasStarted, hasExited, killedAt, stopRequestedAt }) =>
            hasStarted && !hasExited && killedAt === undefined && stopRequestedAt === undefined
        );
    }

    /** Draws a gateway that is up and has not been killed or stopped; undefined where there is none. */
    chooseGateway(): SoakGateway | undefined {
        const available = this.availableGateways();
        return available.length === 0 ? undefined : this.choose(available);
    }

    /** Draws a backend server. */
    chooseServer(): SoakBackendServer {
        return this.choose(this.world.backendServers);
    }

    /** Ends a fault after its duration, or earlier in `endFaults`. */
    endAfter(duration: number, end: () => void): void {
        const once = (): void => {
            if (this.pendingEnds.delete(once)) {
                end();
            }
        };
        this.pendingEnds.add(once);
        setTimeout(once, duration);
    }

    /** Starts a new process in a gateway's slot once the old one has exited. */
    restartGateway(gateway: SoakGateway): void {
        const slot = this.world.gateways.indexOf(gateway);
        const restart = gateway.process.exited
            .then(() => pause(restartDelay))
            .then(() => {
                const { faultRecord } = this.world.oracle;
                if (gateway.killedAt === undefined) {
                    faultRecord.recordPlannedRestart(gateway.name, restartDelay);
                }
                else {
                    faultRecord.recordProcessFault(gateway.name, restartDelay);
                }
                return this.world.startGateway(slot);
            });
        this.restarts.add(restart);
    }

    /**
     * Injects a fault into a relay.
     *
     * @param onSilence called when the fault silences the connections that are open, which lasts beyond the duration
     */
    disturbRelay(relay: FaultRelay, duration: number, onSilence: () => void = () => undefined): void {
        switch (this.choose(["silence", "reset", "delay", "holdUpstream", "holdDownstream"] as const)) {
            case "silence":
                onSilence();
                return relay.silence();
            case "reset":
                return relay.reset();
            case "delay":
                relay.delay(this.random() * maxRelayDelay);
                return this.endAfter(duration, () => relay.delay(0));
            case "holdUpstream":
                relay.hold("upstream");
                return this.endAfter(duration, () => relay.release());
            case "holdDownstream":
                relay.hold("downstream");
                return this.endAfter(duration, () => relay.release());
        }
    }
}

function withGateway(
    perform: (faults: SoakFaults, gateway: SoakGateway, duration: number) => void,
): Fault["perform"] {
    return (faults, duration) => {
        const gateway = faults.chooseGateway();
        if (gateway !== undefined) {
            perform(faults, gateway, duration);
        }
    };
}

function killGateway(faults: SoakFaults, gateway: SoakGateway): void {
    faults.world.oracle.recordGatewayFault(gateway, restartDelay);
    gateway.killedAt = performance.now();
    gateway.process.child.kill("SIGKILL");
    faults.restartGateway(gateway);
}

function pauseGateway(faults: SoakFaults, gateway: SoakGateway, duration: number): void {
    faults.world.oracle.recordGatewayFault(gateway, duration);
    faults.world.oracle.serverNotices.excuse(gateway);
    faults.world.oracle.contact.recordFreeze(gateway, duration);
    gateway.process.child.kill("SIGSTOP");
    faults.endAfter(duration, () => gateway.process.child.kill("SIGCONT"));
}

function stopGateway(faults: SoakFaults, gateway: SoakGateway): void {
    gateway.stopRequestedAt = performance.now();
    gateway.process.child.kill("SIGTERM");
    faults.restartGateway(gateway);
}

function crashServer(faults: SoakFaults, duration: number, keepsId: boolean): void {
    const { world } = faults;
    const crashed = faults.chooseServer();
    const { kind, id } = crashed.standIn.plan;
    world.oracle.faultRecord.recordProcessFault("workers", duration);
    world.removeServer(crashed);
    void crashed.standIn.crash();
    crashed.relay.close();
    world.forgetServer(id);
    faults.endAfter(keepsId ? 0 : duration, () => void world.addServer(kind, keepsId ? id : undefined));
}

/** Replaces a server, which leaves in the given way and serves on for a while. */
function replaceServer(
    faults: SoakFaults,
    leave: "drain" | "withdraw",
    leaving = faults.chooseServer(),
    duration = drainDuration,
): void {
    const { world } = faults;
    world.removeServer(leaving);
    void world.addServer(leaving.standIn.plan.kind);
    leaving.standIn[leave](duration);
    setTimeout(() => leaving.relay.close(), duration);
}

function drainServer(faults: SoakFaults): void {
    replaceServer(faults, "drain");
}

/** One server is replaced by one of the other software version, as are those that end later. */
function release(faults: SoakFaults): void {
    faults.world.release();
    drainServer(faults);
}

function killAllGateways(faults: SoakFaults): void {
    faults.availableGateways().forEach(gateway => killGateway(faults, gateway));
}

function misbehave(faults: SoakFaults, duration: number): void {
    const { standIn } = faults.chooseServer();
    faults.world.oracle.faultRecord.recordProcessFault("workers", duration);
    standIn.setBehaviour(faults.choose(behaviours));
    faults.endAfter(duration, () => standIn.setBehaviour("well"));
}

/** Servers run calls and lose the answers of every second one. */
function loseAnswers(faults: SoakFaults, servers: readonly SoakBackendServer[], duration: number): void {
    faults.world.oracle.faultRecord.recordProcessFault("workers", duration);
    servers.forEach(({ standIn }) => standIn.setBehaviour("lose"));
    faults.endAfter(duration, () => servers.forEach(({ standIn }) => standIn.setBehaviour("well")));
}

/** Engines break the connections of streams, work on, and refuse the first request to stop. */
function detachRuns(faults: SoakFaults, duration: number): void {
    const { backendServers } = faults.world;
    backendServers.forEach(({ standIn }) => standIn.setBehaviour("detach"));
    faults.endAfter(duration, () => backendServers.forEach(({ standIn }) => standIn.setBehaviour("well")));
}

/** A server answers with bytes that are no answer, some of them without end. */
function floodCalls(faults: SoakFaults, duration: number): void {
    const { standIn } = faults.chooseServer();
    faults.world.oracle.faultRecord.recordProcessFault("workers", duration);
    standIn.setFlooding(true);
    faults.endAfter(duration, () => standIn.setFlooding(false));
}

/** A server refuses everything and asks for pauses of about as long. */
function pauseServer(faults: SoakFaults, duration: number): void {
    const { standIn } = faults.chooseServer();
    faults.world.oracle.faultRecord.recordProcessFault("workers", duration);
    standIn.setPause(duration);
    standIn.setBehaviour("shed");
    faults.endAfter(duration, () => {
        standIn.setPause(undefined);
        standIn.setBehaviour("well");
    });
}

function disturbStore(faults: SoakFaults, duration: number, behaviour: "busy" | "silent"): void {
    const { oracle, store } = faults.world;
    oracle.faultRecord.recordStoreFault(duration);
    oracle.contact.recordStoreFault(duration);
    store.setBehaviour(behaviour);
    faults.endAfter(duration, () => store.setBehaviour("up"));
}

function slowStore(faults: SoakFaults, duration: number): void {
    const { oracle, store } = faults.world;
    oracle.faultRecord.recordStoreFault(duration + maxStoreDelay);
    oracle.contact.recordStoreFault(duration + maxStoreDelay);
    store.setDelay(faults.random() * maxStoreDelay);
    faults.endAfter(duration, () => store.setDelay(0));
}

function disturbGatewayLink(faults: SoakFaults, gateway: SoakGateway, relay: FaultRelay, duration: number): void {
    const { oracle } = faults.world;
    if (relay === gateway.callerRelay) {
        oracle.faultRecord.recordProcessFault(gateway.name, duration + maxRelayDelay);
    }
    else {
        oracle.recordGatewayFault(gateway, duration + maxRelayDelay);
        oracle.contact.recordStorePathFault(gateway, duration + maxRelayDelay);
    }
    faults.disturbRelay(relay, duration, () => {
        if (relay === gateway.callerRelay) {
            gateway.callersSilencedAt = performance.now();
        }
    });
}

function disturbServerLink(faults: SoakFaults, duration: number): void {
    const { gateways, oracle } = faults.world;
    gateways.forEach(({ name }) => oracle.faultRecord.recordProcessFault(name, duration + maxRelayDelay));
    const { relay, standIn } = faults.chooseServer();
    oracle.recordServerLinkFault(standIn.id, duration + maxRelayDelay);
    faults.disturbRelay(relay, duration);
}

function loseHeartbeats(faults: SoakFaults, duration: number): void {
    const { id } = faults.chooseServer().standIn;
    faults.world.suppressHeartbeats(id, true);
    faults.endAfter(duration, () => faults.world.suppressHeartbeats(id, false));
}

function jumpClock(faults: SoakFaults, gateway: SoakGateway, duration: number): void {
    gateway.process.child.kill("SIGUSR2");
    faults.endAfter(duration, () => gateway.process.child.kill("SIGUSR2"));
}

function limitServer(faults: SoakFaults, duration: number): void {
    const { standIn } = faults.chooseServer();
    standIn.setRequestLimit(faults.random() * maxRequestLimit);
    faults.endAfter(limitDurationFactor * duration, () => standIn.setRequestLimit(undefined));
}

/** A server says in its answers that it leaves, and registers as draining only some seconds later. */
function giveNotice(faults: SoakFaults, duration: number): void {
    const { world } = faults;
    const leaving = faults.chooseServer();
    void world.addServer(leaving.standIn.plan.kind);
    leaving.standIn.giveNotice();
    faults.endAfter(duration + drainDuration, () => {
        world.removeServer(leaving);
        leaving.standIn.drain(drainDuration);
        setTimeout(() => leaving.relay.close(), drainDuration);
    });
}

/** A server's registration is deleted without a notice. */
function withdrawServer(faults: SoakFaults): void {
    replaceServer(faults, "withdraw");
}

/** Faults that affect no promise and no time limit. */
export const harmlessFaultKinds: readonly Fault[] = [
    { name: "clockJump", perform: withGateway(jumpClock) },
    { name: "limitWorker", perform: limitServer },
    { name: "giveNotice", perform: giveNotice },
];

const noFault: Fault = { name: "none", perform: () => undefined };
/** How many of twelve draws change nothing, so that gateways are up for most of the time. */
const drawsWithoutFault = 9;

/** Changes of the servers' software, and the loss of all gateways at once. They are drawn apart from other faults. */
export const releaseFaultKinds: readonly Fault[] = [
    { name: "release", perform: release },
    { name: "release", perform: release },
    { name: "killAll", perform: killAllGateways },
    ...Array.from({ length: drawsWithoutFault }, () => noFault),
];

/** The failure domains that are evacuated: those of the servers, and one without a server. */
const evacuatedDomains = [...failureDomains, "nowhere"];
/** How many times as long as other faults an evacuation lasts, so that most are in force for a while. */
const evacuationDurationFactor = 4;
/** How many times as long as other faults a server is cold. */
const coldDurationFactor = 2;
/** How many of twelve draws of this series change nothing. */
const drawsWithoutEvacuation = 9;

function evacuate(faults: SoakFaults, duration: number): void {
    const failureDomain = faults.choose(evacuatedDomains);
    faults.world.evacuate(failureDomain);
    faults.endAfter(evacuationDurationFactor * duration, () => faults.world.withdraw(failureDomain));
}

function restartInPlace(faults: SoakFaults): void {
    faults.world.oracle.faultRecord.recordProcessFault("workers", 0);
    void faults.world.restartInPlace(faults.chooseServer());
}

/** Evacuations, servers that become cold, and restarts at the same address. They are drawn apart from other faults. */
export const evacuationFaultKinds: readonly Fault[] = [
    { name: "evacuate", perform: evacuate },
    {
        name: "coolWorker",
        perform: (faults, duration) =>
            faults.world.makeCold(faults.chooseServer().standIn.id, coldDurationFactor * duration),
    },
    { name: "restartInPlace", perform: restartInPlace },
    ...Array.from({ length: drawsWithoutEvacuation }, () => noFault),
];

/** The share of an attack's connections that the soak opens: its gateways share one machine with everything else. */
const hostileScale = 0.1;
const maxAttackSeed = 2 ** 31;
/** The attacks of the soak. None of them is at a route, since the runs of complete requests would be of no caller. */
const hostileTrials = trialsAlone(attacks, ["noRoute", "readiness", "peers"], false);

/** Hostile clients attack a gateway, which has to keep its promises beside that. */
function attackGateway(faults: SoakFaults, gateway: SoakGateway, duration: number): void {
    const { callerAddress, readinessAddress, peerAddress } = gateway.process.options;
    const thread = startAttacks({
        addresses: { callers: callerAddress, readiness: readinessAddress, metrics: "", peers: peerAddress },
        played: faults.choose(hostileTrials).played,
        scale: hostileScale,
        seed: Math.floor(faults.random() * maxAttackSeed),
    });
    faults.endAfter(duration, () => void thread.terminate());
}

/** How many of three draws start no attack. */
const drawsWithoutAttack = 2;

/** Hostile clients. They are drawn apart from other faults. */
export const hostileFaultKinds: readonly Fault[] = [
    { name: "hostileClients", perform: withGateway(attackGateway) },
    ...Array.from({ length: drawsWithoutAttack }, () => noFault),
];

const configure: Fault = { name: "configure", perform: ({ world }) => world.configure() };
const compact: Fault = {
    name: "compact",
    perform: ({ world }) => [operatorTopic, serverTopic].forEach(world.store.compact),
};

/** Changes of the configuration and of the servers, every half a second. They are drawn apart from other faults. */
export const changeKinds: readonly Fault[] = [
    configure,
    configure,
    compact,
    { name: "withdrawWorker", perform: withdrawServer },
];

/** How many of four draws lose no answers. */
const drawsWithoutLoss = 2;

/** Lost answers. They are drawn apart from other faults. */
export const answerLossKinds: readonly Fault[] = [
    { name: "loseAnswers", perform: (faults, duration) => loseAnswers(faults, [faults.chooseServer()], duration) },
    {
        name: "loseAllAnswers",
        perform: (faults, duration) => loseAnswers(faults, [...faults.world.backendServers], duration),
    },
    ...Array.from({ length: drawsWithoutLoss }, () => noFault),
];

/** Streams whose connection is broken while their engine works on. */
export const detachedRunKinds: readonly Fault[] = [{ name: "detachRuns", perform: detachRuns }, noFault];

/** All other faults. */
export const faultKinds: readonly Fault[] = [
    { name: "kill", perform: withGateway(killGateway) },
    { name: "pause", perform: withGateway(pauseGateway) },
    { name: "stop", perform: withGateway(stopGateway) },
    { name: "hangUp", perform: withGateway((_, gateway) => void gateway.process.child.kill("SIGHUP")) },
    {
        name: "callerLink",
        perform: withGateway((faults, gateway, duration) =>
            disturbGatewayLink(faults, gateway, gateway.callerRelay, duration)
        ),
    },
    {
        name: "storeLink",
        perform: withGateway((faults, gateway, duration) =>
            disturbGatewayLink(faults, gateway, gateway.storeRelay, duration)
        ),
    },
    { name: "workerLink", perform: disturbServerLink },
    { name: "storeBusy", perform: (faults, duration) => disturbStore(faults, duration, "busy") },
    { name: "storeSilent", perform: (faults, duration) => disturbStore(faults, duration, "silent") },
    { name: "storeSlow", perform: slowStore },
    compact,
    configure,
    { name: "crashWorker", perform: (faults, duration) => crashServer(faults, duration, false) },
    { name: "restartWorker", perform: (faults, duration) => crashServer(faults, duration, true) },
    { name: "drainWorker", perform: drainServer },
    { name: "misbehave", perform: misbehave },
    { name: "pauseWorker", perform: pauseServer },
    { name: "flood", perform: floodCalls },
    { name: "garble", perform: faults => faults.world.corruptRegistration(faults.chooseServer().standIn.id) },
    { name: "loseHeartbeats", perform: loseHeartbeats },
];

const [minDelayDuration, maxDelayDuration] = [4_000, 10_000];
/** What is added to a growing delay in each millisecond. */
const [minDelayGrowth, maxDelayGrowth] = [0.2, 0.6];
/** The longest delays in milliseconds between gateways, and of the store's answers. */
const [maxPeerDelay, maxAnswerDelay] = [5_000, 1_500];

function between(faults: SoakFaults, min: number, max: number): number {
    return min + faults.random() * (max - min);
}

/** The links of a gateway to all others fall behind: what it sends, what it receives, or both. The others stay in touch. */
function delayLinks(faults: SoakFaults, gateway: SoakGateway): void {
    const { world, world: { oracle } } = faults;
    const duration = between(faults, minDelayDuration, maxDelayDuration);
    const delay = { growth: between(faults, minDelayGrowth, maxDelayGrowth), limit: maxPeerDelay * faults.random() };
    const directions = faults.choose([["from"], ["to"], ["from", "to"]] as const);
    const peerRelays = world.peerRelaysOf(gateway);
    oracle.faultRecord.recordProcessFault(gateway.name, duration + delay.limit);
    world.gateways
        .filter(other => other !== gateway)
        .forEach(other => oracle.contact.recordPeerPathFault(gateway, other, duration + delay.limit));
    peerRelays.forEach(peerRelay =>
        directions.forEach(direction => peerRelay.relay.fallBehind(peerRelay[direction], delay))
    );
    faults.endAfter(duration, () => peerRelays.forEach(({ relay }) => relay.delay(0)));
}

/** The store's answers reach a gateway later and later. */
function delayAnswers(faults: SoakFaults, gateway: SoakGateway): void {
    const { oracle } = faults.world;
    const duration = between(faults, minDelayDuration, maxDelayDuration);
    const delay = { growth: between(faults, minDelayGrowth, maxDelayGrowth), limit: maxAnswerDelay * faults.random() };
    oracle.recordGatewayFault(gateway, duration + delay.limit);
    oracle.contact.recordStorePathFault(gateway, duration + delay.limit);
    gateway.storeRelay.fallBehind("downstream", delay);
    faults.endAfter(duration, () => gateway.storeRelay.delay(0));
}

/** Links between gateways, and answers of the store, that fall behind. */
export const growingDelayKinds: readonly Fault[] = [
    { name: "delayLinks", perform: withGateway(delayLinks) },
    { name: "delayLinks", perform: withGateway(delayLinks) },
    { name: "delayAnswers", perform: withGateway(delayAnswers) },
];

/** The shortest and the longest time in milliseconds in which a replaced engine serves on. */
const [minLeavingDuration, maxLeavingDuration] = [2_300, 5_300];

function engines({ backendServers }: SoakWorld): readonly SoakBackendServer[] {
    return backendServers.filter(({ standIn }) => standIn.plan.kind === "engine");
}

function replaceEngine(faults: SoakFaults, leave: "drain" | "withdraw"): void {
    const duration = minLeavingDuration + faults.random() * (maxLeavingDuration - minLeavingDuration);
    replaceServer(faults, leave, faults.choose(engines(faults.world)), duration);
}

/** Sends a signal to one of the gateways that already stop. */
function signalStoppingGateway(faults: SoakFaults, signal: "SIGTERM" | "SIGHUP"): void {
    const stopping = faults.world.gateways.filter(({ stopRequestedAt, hasExited }) =>
        stopRequestedAt !== undefined && !hasExited
    );
    if (stopping.length > 0) {
        faults.choose(stopping).process.child.kill(signal);
    }
}

/** Milliseconds for which a gateway with half a core runs and then doesn't. */
const coreInterval = 50;

/** A gateway gets half of a core. It is slower then, and has to keep its promises. */
function halveCore(faults: SoakFaults, gateway: SoakGateway, duration: number): void {
    const { child } = gateway.process;
    let runs = true;
    const timer = setInterval(() => {
        runs = !runs;
        child.kill(runs ? "SIGCONT" : "SIGSTOP");
    }, coreInterval);
    faults.endAfter(duration, () => {
        clearInterval(timer);
        child.kill("SIGCONT");
    });
}

/** Planned stops of gateways. */
export const stopKinds: readonly Fault[] = [{ name: "stop", perform: withGateway(stopGateway) }];

/** Stops the gateway that has run longest. */
function stopNextGateway(faults: SoakFaults): void {
    longestRunning(faults).slice(0, 1).forEach(gateway => stopGateway(faults, gateway));
}

/** Stops the gateway that has run longest, and all others of its failure domain. */
function stopNextDomain(faults: SoakFaults): void {
    const gateways = longestRunning(faults);
    gateways
        .filter(({ failureDomain }) => failureDomain === gateways[0].failureDomain)
        .forEach(gateway => stopGateway(faults, gateway));
}

function longestRunning(faults: SoakFaults): readonly SoakGateway[] {
    return [...faults.availableGateways()].sort((one, other) => one.startedAt - other.startedAt);
}

/** Planned stops of one gateway after the other, in most rounds together with the others of its failure domain. */
export const rollingStopKinds: readonly Fault[] = [
    { name: "stopNext", perform: stopNextGateway },
    ...Array.from({ length: 3 }, () => ({ name: "stopNextDomain", perform: stopNextDomain })),
];

/** Signals to gateways that already stop, and SIGHUPs to others. */
export const repeatedSignalKinds: readonly Fault[] = [
    { name: "stopAgain", perform: faults => signalStoppingGateway(faults, "SIGTERM") },
    { name: "hangUpStopping", perform: faults => signalStoppingGateway(faults, "SIGHUP") },
    { name: "hangUp", perform: withGateway((_, gateway) => void gateway.process.child.kill("SIGHUP")) },
];

/** Versions of the configuration. */
export const configurationKinds: readonly Fault[] = [configure];

/** The longest time in milliseconds until the store executes a call that it doesn't answer. */
const maxExecutionDelay = 4_000;

/** The longest time in milliseconds until the store loses a record. */
const maxRetention = 700;

/** The store loses a configuration that it has handed out, and then acknowledges another one, which gets its offset. */
function replaceUnacknowledged({ world, random }: SoakFaults): void {
    world.configureUnanswered(0);
    setTimeout(() => {
        world.store.loseUnacknowledged(operatorTopic);
        world.configure();
    }, maxRetention * random());
}

/** The store executes a call that it didn't answer after newer ones. */
function configureLate({ world, random }: SoakFaults): void {
    world.configureUnanswered(maxExecutionDelay * random());
    world.configure();
}

/** Versions of the configuration, of which some are not acknowledged, and are lost or stored late. */
export const unacknowledgedKinds: readonly Fault[] = [
    { name: "replaceUnacknowledged", perform: replaceUnacknowledged },
    { name: "replaceUnacknowledged", perform: replaceUnacknowledged },
    { name: "configureLate", perform: configureLate },
];

/** What makes gateways read the newest records, or keeps them from reading. */
export const readInterruptionKinds: readonly Fault[] = [
    { name: "kill", perform: withGateway(killGateway) },
    {
        name: "storeLink",
        perform: withGateway((faults, gateway, duration) =>
            disturbGatewayLink(faults, gateway, gateway.storeRelay, duration)
        ),
    },
    { name: "storeBusy", perform: (faults, duration) => disturbStore(faults, duration, "busy") },
    compact,
    {
        name: "answerBeyondEnd",
        perform: faults => faults.world.store.setBeyondEndAnswer(faults.choose(["gone", "end"] as const)),
    },
];

/** Changes of the configuration, and the milliseconds between them. */
interface Succession {
    readonly versions: number;
    readonly interval: number;
}

const successions: readonly Succession[] = [
    { versions: 8, interval: 330 },
    { versions: 4, interval: 800 },
    { versions: 4, interval: 1_000 },
];

/** Milliseconds from the first to the last of successive changes at most. */
export const maxSuccessionDuration = Math.max(
    ...successions.map(({ versions, interval }) => (versions - 1) * interval),
);

async function configureInTurn({ world }: SoakFaults, { versions, interval }: Succession): Promise<void> {
    world.configure();
    for (let remaining = versions - 1; remaining > 0; remaining--) {
        await pause(interval);
        world.configure();
    }
}

/** Several versions of the configuration one after the other. */
export const successiveChangeKinds: readonly Fault[] = successions.map(succession => ({
    name: `configureInTurn${succession.interval}`,
    perform: faults => void configureInTurn(faults, succession),
}));

/** Stops and starts of gateways. */
export const gatewayRestartKinds: readonly Fault[] = [
    { name: "kill", perform: withGateway(killGateway) },
    { name: "stop", perform: withGateway(stopGateway) },
];

/** The longest time in milliseconds for which a crashed engine's address still accepts connections. */
const maxListeningDuration = 800;

/** An engine crashes, and its address accepts connections for a while. Another one replaces it. */
function crashEngine(faults: SoakFaults): void {
    const { world, random } = faults;
    const crashed = faults.choose(engines(world));
    world.oracle.faultRecord.recordProcessFault("workers", maxListeningDuration);
    world.removeServer(crashed);
    world.forgetServer(crashed.standIn.id);
    void crashed.standIn.crash();
    setTimeout(() => crashed.relay.close(), maxListeningDuration * random());
    void world.addServer("engine");
}

function restartEngine(faults: SoakFaults): void {
    faults.world.oracle.faultRecord.recordProcessFault("workers", 0);
    void faults.world.restartInPlace(faults.choose(engines(faults.world)));
}

/** Engines that crash. Connections to their addresses are accepted all the while, as where a supervisor keeps the listeners. */
export const engineCrashKinds: readonly Fault[] = [
    { name: "crashEngine", perform: crashEngine },
    { name: "restartEngine", perform: restartEngine },
];

/** Engines that leave, with and without a notice, and are replaced. */
export const engineReplacementKinds: readonly Fault[] = [
    { name: "drainEngine", perform: faults => replaceEngine(faults, "drain") },
    { name: "withdrawEngine", perform: faults => replaceEngine(faults, "withdraw") },
];

/** Gateways with half a core for a while. */
export const slowGatewayKinds: readonly Fault[] = [
    { name: "halfCore", perform: withGateway(halveCore) },
    noFault,
];
