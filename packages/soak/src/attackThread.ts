/**
 * The worker thread that plays attacks, so that their work does not delay the measurements. It ends with its parent's
 * call of `terminate`.
 */
import { seededSource } from "@verbenaspring/coordination";
import { workerData } from "node:worker_threads";
import { AttackRun } from "./attackRun.js";
import { attacks } from "./hostileAttacks.js";
import { type AttackedAddresses, attackTarget, type ListenerName } from "./hostileTargets.js";

/** An attack at a listener, by its name. */
export interface PlayedAttack {
    readonly attack: string;
    readonly listener: ListenerName;
}

/** What the load tool passes to the worker thread of the attacks. */
export interface AttackThreadData {
    readonly addresses: AttackedAddresses;
    readonly played: readonly PlayedAttack[];
    /** The share of its connections that each attack opens. */
    readonly scale: number;
    readonly seed: number;
}

const { addresses, played, scale, seed } = workerData as AttackThreadData;
played.forEach(({ attack: name, listener }, index) => {
    const attack = attacks.find(each => each.name === name);
    if (attack === undefined) {
        throw new Error(`unknown attack ${name}`);
    }
    attack.start(
        new AttackRun(attackTarget(addresses, listener, attack.path), seededSource(seed, index).random, scale),
    );
});
