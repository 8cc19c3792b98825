/**
 * The store as gateways access it in virtual time: with latency, long polling and faults.
 */
import type { ReadFailure, TopicItem, TopicName } from "@verbenaspring/gateway";
import type { LogOffset, Milliseconds } from "@verbenaspring/model";
import type { Clock } from "./clock.js";
import { operatorTopic, serverTopic } from "./fleet.js";
import type { StoreModel } from "./storeModel.js";
import type { VirtualNetwork } from "./virtualNetwork.js";

/** Result of a read. */
export type StoreAnswer =
    | {
        readonly kind: "page";
        readonly items: readonly TopicItem[];
        readonly next: LogOffset;
        /** Whether the topic ended there. */
        readonly isAtEnd: boolean;
    }
    | { readonly kind: "failed"; readonly failure: ReadFailure; };

/** A read by a gateway process. */
export interface StoreRead {
    readonly reader: string;
    readonly topic: TopicName;
    /** First offset to read; undefined reads the newest record of each key. */
    readonly from: LogOffset | undefined;
    /** How long the read waits for a record. */
    readonly wait: Milliseconds;
}

/** How the store treats its callers: `busy` refuses each read, `silent` never answers. */
export type StoreBehaviour = "up" | "busy" | "silent";

/**
 * How the store answers a read from beyond the end of a topic, which has lost records then: as one of deleted records, or with
 * the end of the topic once the read has waited.
 */
export type BeyondEndAnswer = "gone" | "end";

/** The name of the store on the network. */
export const storeName = "store";

const topicNames: Readonly<Record<TopicName, string>> = { configuration: operatorTopic, backendServers: serverTopic };
/** Added to a read's own waiting time to get the client's timeout. */
const responseTimeoutMargin: Milliseconds = 800;
const serviceTime: Milliseconds = 4;

/** The store, accessed over the network. */
export class VirtualStore {
    behaviour: StoreBehaviour = "up";
    /** Delay added to each answer. */
    slowness: Milliseconds = 0;
    beyondEndAnswer: BeyondEndAnswer = "end";
    /** Names of processes whose reads the store refuses. */
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
        this.clock.schedule(read.wait + responseTimeoutMargin, () => finish({ kind: "failed", failure: "timeout" }));
        channel.send(
            "upstream",
            () =>
                this.serve(
                    read,
                    answer =>
                        this.clock.schedule(
                            serviceTime + this.slowness,
                            () => channel.send("downstream", () => finish(answer)),
                        ),
                ),
        );
    }

    /**
     * Performs an operation on the model over the network.
     *
     * @param done called with its result, or with undefined if it failed or its answer was lost
     */
    perform<Result>(
        caller: string,
        operation: (model: StoreModel) => Result,
        done: (result: Result | undefined) => void,
    ): void {
        let isOver = false;
        const channel = this.network.open(caller, storeName);
        const finish = (result: Result | undefined): void => {
            if (!isOver) {
                isOver = true;
                channel.close();
                done(result);
            }
        };
        this.clock.schedule(responseTimeoutMargin, () => finish(undefined));
        channel.send("upstream", () => {
            if (this.behaviour === "silent") {
                return;
            }
            const isRefused = this.behaviour === "busy" || this.rejectedReaders.has(caller);
            const result = isRefused ? undefined : operation(this.model);
            this.clock.schedule(
                serviceTime + this.slowness,
                () => channel.send("downstream", () => finish(result)),
            );
        });
    }

    private serve(read: StoreRead, answer: (answer: StoreAnswer) => void): void {
        if (this.behaviour === "silent") {
            return;
        }
        if (this.behaviour === "busy" || this.rejectedReaders.has(read.reader)) {
            return answer({ kind: "failed", failure: "refused" });
        }
        const topic = topicNames[read.topic];
        if (read.from === undefined) {
            const items = this.model.newestRecords(topic);
            return answer({ kind: "page", items, next: this.model.endOffset(topic), isAtEnd: true });
        }
        const end = this.model.endOffset(topic);
        const isGone = read.from > end && this.beyondEndAnswer === "gone";
        if (end > read.from || read.wait === 0 || isGone) {
            return answer(this.readPage(topic, read.from));
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
        const end = (): void => {
            if (isWaiting) {
                isWaiting = false;
                stop();
                answer(this.readPage(topic, from));
            }
        };
        const stop = this.model.onAppend(topic, () => {
            // Records that are stored in the place of lost ones may be before the offset of the read.
            if (this.model.endOffset(topic) > from) {
                end();
            }
        });
        this.clock.schedule(wait, end);
    }

    private readPage(topic: string, from: LogOffset): StoreAnswer {
        const page = this.model.read(topic, from);
        if (page.kind === "deleted") {
            return { kind: "failed", failure: "records_deleted" };
        }
        if (page.end < from) {
            return { kind: "failed", failure: this.beyondEndAnswer === "gone" ? "records_deleted" : "beyond_end" };
        }
        const items = page.records.map((record, index) => ({ ...record, offset: from + index }));
        const next = from + items.length;
        return { kind: "page", items, next, isAtEnd: next >= page.end };
    }
}
