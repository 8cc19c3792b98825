/**
 * Faults of a soak, drawn from its seed: signals to the processes, harm to the relays, a store and workers that
 * misbehave, and planned work. They overlap.
 */
import type { FaultRelay } from "@verbenaspring/bench";
import type { Random } from "@verbenaspring/coordination";
import { operatorTopic, type ServerBehaviour, serverTopic } from "@verbenaspring/emulator";
import { pause } from "@verbenaspring/stand-ins";
import type { SoakGateway, SoakWorker, SoakWorld } from "./soakWorld.js";

/** One kind of fault. */
interface Fault {
    readonly name: string;
    readonly perform: (faults: SoakFaults, duration: number) => void;
}

const longestFault = 4_000;
const longestPause = 900;
const restartDelay = 300;
/** How long a worker that gave notice serves on. */
const drainTime = 4_000;
const behaviours: readonly ServerBehaviour[] = ["shed", "error", "break", "silent", "foreign", "slow"];
const slowestStore = 1_500;
const longestDelay = 400;

/** Draws and performs faults. */
export class SoakFaults {
    readonly faultCounts = new Map<string, number>();
    private readonly undo = new Set<() => void>();
    private readonly restarts = new Set<Promise<void>>();

    constructor(readonly world: SoakWorld, readonly random: Random) {}

    /** Performs faults for so many milliseconds. */
    async run(duration: number): Promise<void> {
        const end = performance.now() + duration;
        while (performance.now() < end) {
            const fault = this.choose(faultKinds);
            this.faultCounts.set(fault.name, (this.faultCounts.get(fault.name) ?? 0) + 1);
            fault.perform(this, this.random() * longestFault);
            await pause(this.random() * longestPause);
        }
    }

    /** Ends all faults, and waits for processes that are being replaced. */
    async endFaults(): Promise<void> {
        this.undo.forEach(end => end());
        await Promise.all(this.restarts);
    }

    choose<Item>(items: readonly Item[]): Item {
        return items[Math.floor(this.random() * items.length)];
    }

    /** A gateway that is neither gone nor asked to go. */
    gateway(): SoakGateway | undefined {
        const { gateways } = this.world;
        const steady = gateways.filter(({ hasStarted, hasExited: isGone, killedAt: endRequestedAt, stopRequestedAt }) =>
            hasStarted && !isGone && endRequestedAt === undefined && stopRequestedAt === undefined
        );
        return steady.length === 0 ? undefined : this.choose(steady);
    }

    worker(): SoakWorker {
        return this.choose(this.world.workers);
    }

    /** Ends a fault after its duration, or when the soak calms down. */
    endAfter(duration: number, end: () => void): void {
        const once = (): void => {
            if (this.undo.delete(once)) {
                end();
            }
        };
        this.undo.add(once);
        setTimeout(once, duration);
    }

    /** Starts a gateway's slot anew once its process is gone. */
    restartGateway(gateway: SoakGateway): void {
        const slot = this.world.gateways.indexOf(gateway);
        const restart = gateway.process.exited
            .then(() => pause(restartDelay))
            .then(() => {
                this.world.oracle.faultRecord.note(gateway.name, restartDelay);
                return this.world.startGateway(slot);
            });
        this.restarts.add(restart);
    }

    disturbRelay(relay: FaultRelay, duration: number, silenced: () => void = () => undefined): void {
        switch (this.choose(["silence", "reset", "delay", "holdUpstream", "holdDownstream"] as const)) {
            case "silence":
                silenced();
                return relay.silence();
            case "reset":
                return relay.reset();
            case "delay":
                relay.delay(this.random() * longestDelay);
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
        const gateway = faults.gateway();
        if (gateway !== undefined) {
            perform(faults, gateway, duration);
        }
    };
}

function endGateway(faults: SoakFaults, gateway: SoakGateway): void {
    faults.world.oracle.faultRecord.note(gateway.name, restartDelay);
    gateway.killedAt = performance.now();
    gateway.process.child.kill("SIGKILL");
    faults.restartGateway(gateway);
}

function pauseGateway(faults: SoakFaults, gateway: SoakGateway, duration: number): void {
    faults.world.oracle.faultRecord.note(gateway.name, duration);
    gateway.process.child.kill("SIGSTOP");
    faults.endAfter(duration, () => gateway.process.child.kill("SIGCONT"));
}

function stopGateway(faults: SoakFaults, gateway: SoakGateway): void {
    gateway.stopRequestedAt = performance.now();
    gateway.process.child.kill("SIGTERM");
    faults.restartGateway(gateway);
}

function crashWorker(faults: SoakFaults, duration: number, keepsId: boolean): void {
    const { world } = faults;
    const gone = faults.worker();
    const { kind, id } = gone.worker.plan;
    world.oracle.faultRecord.note("workers", duration);
    world.removeWorker(gone);
    void gone.worker.crash();
    gone.relay.close();
    faults.endAfter(keepsId ? 0 : duration, () => void world.addWorker(kind, keepsId ? id : undefined));
}

function drainWorker(faults: SoakFaults): void {
    const { world } = faults;
    const leaving = faults.worker();
    world.removeWorker(leaving);
    void world.addWorker(leaving.worker.plan.kind);
    leaving.worker.drain(drainTime);
    setTimeout(() => leaving.relay.close(), drainTime);
}

function misbehave(faults: SoakFaults, duration: number): void {
    const { worker } = faults.worker();
    faults.world.oracle.faultRecord.note("workers", duration);
    worker.behave(faults.choose(behaviours));
    faults.endAfter(duration, () => worker.behave("well"));
}

function harmStore(faults: SoakFaults, duration: number, behaviour: "busy" | "silent"): void {
    const { oracle, store } = faults.world;
    oracle.faultRecord.noteStore(duration);
    store.behave(behaviour);
    faults.endAfter(duration, () => store.behave("up"));
}

function slowStore(faults: SoakFaults, duration: number): void {
    const { oracle, store } = faults.world;
    oracle.faultRecord.noteStore(duration + slowestStore);
    store.slowDown(faults.random() * slowestStore);
    faults.endAfter(duration, () => store.slowDown(0));
}

function harmLink(faults: SoakFaults, gateway: SoakGateway, relay: FaultRelay, duration: number): void {
    faults.world.oracle.faultRecord.note(gateway.name, duration + longestDelay);
    faults.disturbRelay(relay, duration, () => {
        if (relay === gateway.callers) {
            gateway.callersSilencedAt = performance.now();
        }
    });
}

function harmWorkerLink(faults: SoakFaults, duration: number): void {
    const { gateways, oracle } = faults.world;
    gateways.forEach(({ name }) => oracle.faultRecord.note(name, duration + longestDelay));
    faults.disturbRelay(faults.worker().relay, duration);
}

function loseHeartbeats(faults: SoakFaults, duration: number): void {
    const { id } = faults.worker().worker;
    faults.world.silenceHeartbeats(id, true);
    faults.endAfter(duration, () => faults.world.silenceHeartbeats(id, false));
}

const faultKinds: readonly Fault[] = [
    { name: "kill", perform: withGateway(endGateway) },
    { name: "pause", perform: withGateway(pauseGateway) },
    { name: "stop", perform: withGateway(stopGateway) },
    { name: "hangUp", perform: withGateway((_, gateway) => void gateway.process.child.kill("SIGHUP")) },
    {
        name: "callerLink",
        perform: withGateway((faults, gateway, duration) => harmLink(faults, gateway, gateway.callers, duration)),
    },
    {
        name: "storeLink",
        perform: withGateway((faults, gateway, duration) => harmLink(faults, gateway, gateway.store, duration)),
    },
    { name: "workerLink", perform: harmWorkerLink },
    { name: "storeBusy", perform: (faults, duration) => harmStore(faults, duration, "busy") },
    { name: "storeSilent", perform: (faults, duration) => harmStore(faults, duration, "silent") },
    { name: "storeSlow", perform: slowStore },
    { name: "compact", perform: ({ world }) => [operatorTopic, serverTopic].forEach(world.store.compact) },
    { name: "configure", perform: ({ world }) => world.configure() },
    { name: "crashWorker", perform: (faults, duration) => crashWorker(faults, duration, false) },
    { name: "restartWorker", perform: (faults, duration) => crashWorker(faults, duration, true) },
    { name: "drainWorker", perform: drainWorker },
    { name: "misbehave", perform: misbehave },
    { name: "garble", perform: faults => faults.world.garble(faults.worker().worker.id) },
    { name: "loseHeartbeats", perform: loseHeartbeats },
];
