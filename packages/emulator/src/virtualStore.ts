/**
 * The store as gateways access it in virtual time: with latency, long polling and faults.
 */
import type { ReadFailure, TopicName } from "@verbenaspring/gateway";
import type { LogOffset, Milliseconds } from "@verbenaspring/model";
import {
    type NewestPage,
    type SnapshotAnswer,
    type SnapshotCall,
    type SnapshotCalls,
    StoreReadError,
    type TopicPage,
} from "@verbenaspring/platform";
import type { Clock } from "./clock.js";
import { operatorTopic, serverTopic } from "./fleet.js";
import type { StoreModel } from "./storeModel.js";
import type { VirtualNetwork } from "./virtualNetwork.js";

/** A call that failed. */
interface FailedCall {
    readonly kind: "failed";
    readonly failure: ReadFailure;
}

/** Result of a read. */
export type StoreAnswer = { readonly kind: "page"; } & TopicPage | FailedCall;

/** Result of a request for a page of the newest records. */
type NewestAnswer = { readonly kind: "newest"; } & NewestPage | FailedCall;

/** A read by a gateway process. */
export interface StoreRead {
    readonly reader: string;
    readonly topic: TopicName;
    /** First offset to read. */
    readonly from: LogOffset;
    /** How long the read waits for a record. */
    readonly wait: Milliseconds;
}

/** A read of the newest record of each key by a gateway process, by calls that it makes one after the other. */
export interface SnapshotRead {
    readonly reader: string;
    readonly topic: TopicName;
    readonly calls: SnapshotCalls;
}

/** Which half of a page of the newest records the store takes first, and how long before the other one. */
export interface PageTiming {
    readonly first: "records" | "end";
    readonly gap: Milliseconds;
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
/** Maximum number of entries on a page of the newest records. */
const defaultPageSize = 500;
const timedOut: FailedCall = { kind: "failed", failure: "timeout" };

/** The store, accessed over the network. */
export class VirtualStore {
    behaviour: StoreBehaviour = "up";
    /** Delay added to each answer. */
    slowness: Milliseconds = 0;
    beyondEndAnswer: BeyondEndAnswer = "end";
    pageTiming: PageTiming = { first: "records", gap: 0 };
    pageSize = defaultPageSize;
    /** Names of processes whose reads the store refuses. */
    readonly rejectedReaders = new Set<string>();

    constructor(
        private readonly clock: Clock,
        private readonly network: VirtualNetwork,
        readonly model: StoreModel,
    ) {}

    read(read: StoreRead, done: (answer: StoreAnswer) => void): void {
        this.call<StoreAnswer>(read.reader, read.wait, answer => this.serve(read, answer), done);
    }

    /** Performs the calls of a snapshot until one of them fails. */
    readSnapshot({ reader, topic, calls }: SnapshotRead, done: (answer: StoreAnswer) => void): void {
        const perform = (step: IteratorResult<SnapshotCall, TopicPage>): void => {
            if (step.done === true) {
                return done({ kind: "page", ...step.value });
            }
            const call = step.value;
            if (call.kind === "records") {
                return this.read({ reader, topic, from: call.from, wait: 0 }, goOn);
            }
            this.call<NewestAnswer>(reader, 0, answer => this.serveNewest(reader, topic, call.after, answer), goOn);
        };
        const goOn = (answer: StoreAnswer | NewestAnswer): void => {
            if (answer.kind === "failed" && answer.failure !== "records_deleted") {
                return done(answer);
            }
            const step = nextStep(calls, answer.kind === "failed" ? undefined : answer);
            return "failure" in step ? done(step) : perform(step);
        };
        perform(calls.next());
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
            const result = this.isRefused(caller) ? undefined : operation(this.model);
            this.clock.schedule(
                serviceTime + this.slowness,
                () => channel.send("downstream", () => finish(result)),
            );
        });
    }

    /** Sends a call and returns its answer, or a failure if there is none in time. */
    private call<Answer>(
        caller: string,
        wait: Milliseconds,
        serve: (answer: (answer: Answer | FailedCall) => void) => void,
        done: (answer: Answer | FailedCall) => void,
    ): void {
        let isOver = false;
        const finish = (answer: Answer | FailedCall): void => {
            if (!isOver) {
                isOver = true;
                channel.close();
                done(answer);
            }
        };
        const channel = this.network.open(caller, storeName);
        this.clock.schedule(wait + responseTimeoutMargin, () => finish(timedOut));
        channel.send(
            "upstream",
            () =>
                serve(answer =>
                    this.clock.schedule(
                        serviceTime + this.slowness,
                        () => channel.send("downstream", () => finish(answer)),
                    )
                ),
        );
    }

    private serve(read: StoreRead, answer: (answer: StoreAnswer) => void): void {
        if (this.behaviour === "silent") {
            return;
        }
        if (this.isRefused(read.reader)) {
            return answer({ kind: "failed", failure: "refused" });
        }
        const topic = topicNames[read.topic];
        const end = this.model.endOffset(topic);
        const isGone = read.from > end && this.beyondEndAnswer === "gone";
        if (end > read.from || read.wait === 0 || isGone) {
            return answer(this.readPage(topic, read.from));
        }
        this.waitForRecord(topic, read.from, read.wait, answer);
    }

    private serveNewest(
        reader: string,
        topicName: TopicName,
        after: string | undefined,
        answer: (answer: NewestAnswer) => void,
    ): void {
        if (this.behaviour === "silent") {
            return;
        }
        if (this.isRefused(reader)) {
            return answer({ kind: "failed", failure: "refused" });
        }
        const topic = topicNames[topicName];
        const takeRecords = () => this.takeNewest(topic, after);
        const takeEnd = () => this.model.endOffset(topic);
        const { first, gap } = this.pageTiming;
        if (gap === 0) {
            return answer({ kind: "newest", ...takeRecords(), end: takeEnd() });
        }
        if (first === "records") {
            const records = takeRecords();
            this.clock.schedule(gap, () => answer({ kind: "newest", ...records, end: takeEnd() }));
        }
        else {
            const end = takeEnd();
            this.clock.schedule(gap, () => answer({ kind: "newest", ...takeRecords(), end }));
        }
    }

    private takeNewest(topic: string, after: string | undefined): Pick<NewestPage, "items" | "hasMore"> {
        const remaining = this.model.newestRecords(topic)
            .filter(({ key }) => after === undefined || key > after)
            .sort((one, other) => one.key < other.key ? -1 : 1);
        return { items: remaining.slice(0, this.pageSize), hasMore: remaining.length > this.pageSize };
    }

    private isRefused(caller: string): boolean {
        return this.behaviour === "busy" || this.rejectedReaders.has(caller);
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

function nextStep(
    calls: SnapshotCalls,
    answer: SnapshotAnswer,
): IteratorResult<SnapshotCall, TopicPage> | FailedCall {
    try {
        return calls.next(answer);
    }
    catch (error) {
        if (error instanceof StoreReadError) {
            return { kind: "failed", failure: error.failure };
        }
        throw error;
    }
}
