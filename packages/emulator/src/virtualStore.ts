/**
 * The store as gateways reach it in virtual time: with latency, waiting reads, and its faults.
 */
import type { ReadFailure, TopicItem, TopicName } from "@verbenaspring/gateway";
import type { LogOffset, Milliseconds } from "@verbenaspring/model";
import type { Clock } from "./clock.js";
import { operatorTopic, serverTopic } from "./fleet.js";
import type { StoreModel } from "./storeModel.js";
import type { VirtualNetwork } from "./virtualNetwork.js";

/** What a read gives. */
export type StoreAnswer =
    | { readonly kind: "page"; readonly items: readonly TopicItem[]; readonly next: LogOffset; }
    | { readonly kind: "failed"; readonly failure: ReadFailure; };

/** One read. */
export interface StoreRead {
    readonly reader: string;
    readonly topic: TopicName;
    /** Undefined for the newest record of each key. */
    readonly from: LogOffset | undefined;
    readonly wait: Milliseconds;
}

/** How the store treats its callers. */
export type StoreBehaviour = "up" | "busy" | "silent";

/** The name of the store on the network. */
export const storeName = "store";

const topics: Readonly<Record<TopicName, string>> = { configuration: operatorTopic, backendServers: serverTopic };
/** What a client waits beyond the time that a read may wait. */
const answerTimeout: Milliseconds = 800;
const serviceTime: Milliseconds = 4;

/** The store before the network. */
export class VirtualStore {
    behaviour: StoreBehaviour = "up";
    /** Added to each answer. */
    slowness: Milliseconds = 0;
    /** Processes that the store turns away. */
    readonly rejectedReaders = new Set<string>();

    constructor(
        private readonly clock: Clock,
        private readonly network: VirtualNetwork,
        readonly model: StoreModel,
    ) {}

    read(read: StoreRead, done: (answer: StoreAnswer) => void): void {
        let isOver = false;
        const finish = (answer: StoreAnswer): void => {
            if (!isOver) {
                isOver = true;
                channel.close();
                done(answer);
            }
        };
        const channel = this.network.open(read.reader, storeName);
        this.clock.schedule(read.wait + answerTimeout, () => finish({ kind: "failed", failure: "timeout" }));
        channel.send(
            "there",
            () =>
                this.serve(
                    read,
                    answer =>
                        this.clock.schedule(
                            serviceTime + this.slowness,
                            () => channel.send("back", () => finish(answer)),
                        ),
                ),
        );
    }

    private serve(read: StoreRead, answer: (answer: StoreAnswer) => void): void {
        if (this.behaviour === "silent") {
            return;
        }
        if (this.behaviour === "busy" || this.rejectedReaders.has(read.reader)) {
            return answer({ kind: "failed", failure: "refused" });
        }
        const topic = topics[read.topic];
        if (read.from === undefined) {
            const items = this.model.newestRecords(topic);
            return answer({ kind: "page", items, next: this.model.endOffset(topic) });
        }
        if (this.model.endOffset(topic) > read.from || read.wait === 0) {
            return answer(this.page(topic, read.from));
        }
        this.waitForRecord(topic, read.from, read.wait, answer);
    }

    private waitForRecord(
        topic: string,
        from: LogOffset,
        wait: Milliseconds,
        answer: (answer: StoreAnswer) => void,
    ): void {
        let isWaiting = true;
        const wake = (): void => {
            if (isWaiting) {
                isWaiting = false;
                stop();
                answer(this.page(topic, from));
            }
        };
        const stop = this.model.onAppend(topic, wake);
        this.clock.schedule(wait, wake);
    }

    private page(topic: string, from: LogOffset): StoreAnswer {
        const page = this.model.read(topic, from);
        if (page.kind === "deleted") {
            return { kind: "failed", failure: "records_deleted" };
        }
        const items = page.records.map((record, index) => ({ ...record, offset: from + index }));
        return { kind: "page", items, next: page.end };
    }
}
