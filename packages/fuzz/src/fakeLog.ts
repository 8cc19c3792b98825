/**
 * A small fake of the platform's log. It can be unavailable or slow, it can report the failure of an append that was
 * stored, and its records expire.
 */
import type { OffsetRecord, Random } from "@verbenaspring/coordination";
import type { VirtualClock } from "@verbenaspring/emulator";
import type { LogOffset, Milliseconds } from "@verbenaspring/model";

/** The result of a read. */
export interface FakePage {
    readonly records: readonly OffsetRecord<unknown>[];
    readonly earliest: LogOffset;
    readonly end: LogOffset;
}

interface FakeStream {
    readonly records: { readonly offset: LogOffset; readonly value: unknown; readonly at: Milliseconds; }[];
    end: LogOffset;
    readonly waitingReaders: Set<() => void>;
}

const latency: Milliseconds = 3;
/** How long a read waits for a record at most. */
const maxPollWait: Milliseconds = 600;
/** After this time a client gives up a call. */
const clientTimeout: Milliseconds = 1_500;

/** A log with named streams of records. */
export class FakeLog {
    isUnavailable = false;
    /** The maximum time that is added to the latency of each call. */
    slowness: Milliseconds = 0;
    /** Whether appends report a failure although their record was stored. */
    failsCompletedAppends = false;
    private readonly streams = new Map<string, FakeStream>();

    /** Called with every record that is stored. */
    onStored: (stream: string, offset: LogOffset, value: unknown) => void = () => undefined;

    constructor(private readonly clock: VirtualClock, private readonly random: Random) {}

    /** Appends a record. A slow append may be stored after its client has timed out. */
    append(name: string, value: unknown, done: () => void, failed: () => void): void {
        if (this.isUnavailable) {
            this.clock.schedule(latency, failed);
            return;
        }
        const failsWhenStored = this.failsCompletedAppends;
        const delay = latency + this.slowness * this.random();
        const isLate = delay > clientTimeout;
        this.clock.schedule(delay, () => {
            this.storeRecord(name, value);
            if (!isLate) {
                this.clock.schedule(latency, failsWhenStored ? failed : done);
            }
        });
        if (isLate) {
            this.clock.schedule(clientTimeout, failed);
        }
    }

    private storeRecord(name: string, value: unknown): void {
        const stream = this.getOrCreateStream(name);
        stream.records.push({ offset: stream.end, value: structuredClone(value), at: this.clock.now });
        this.onStored(name, stream.end, value);
        stream.end++;
        stream.waitingReaders.forEach(wake => wake());
        stream.waitingReaders.clear();
    }

    /** Reads from an offset. If there are no records yet, waits for one for a limited time. */
    read(name: string, from: LogOffset, done: (page: FakePage) => void, failed: () => void): void {
        const stream = this.getOrCreateStream(name);
        const delay = latency + this.slowness * this.random();
        this.clock.schedule(delay, () => {
            if (this.isUnavailable || delay > clientTimeout) {
                failed();
                return;
            }
            if (from < stream.end) {
                done(this.createPage(stream, from));
                return;
            }
            this.readAfterWait(stream, from, done, failed);
        });
    }

    private readAfterWait(
        stream: FakeStream,
        from: LogOffset,
        done: (page: FakePage) => void,
        failed: () => void,
    ): void {
        let isAnswered = false;
        const answer = (): void => {
            if (isAnswered) {
                return;
            }
            isAnswered = true;
            stream.waitingReaders.delete(answer);
            if (this.isUnavailable) {
                failed();
                return;
            }
            done(this.createPage(stream, from));
        };
        stream.waitingReaders.add(answer);
        this.clock.schedule(maxPollWait, answer);
    }

    private createPage(stream: FakeStream, from: LogOffset): FakePage {
        const earliest = stream.end - stream.records.length;
        const records = stream.records.slice(Math.max(0, from - earliest));
        return { records: records.map(({ offset, value }) => ({ offset, value })), earliest, end: stream.end };
    }

    /** Removes the records of a stream that are older than an age, except for the last one. */
    expire(name: string, age: Milliseconds): void {
        const { records } = this.getOrCreateStream(name);
        while (records.length > 1 && this.clock.now - records[0].at > age) {
            records.shift();
        }
    }

    /** All records that the stream still holds. */
    recordsOf(name: string): readonly OffsetRecord<unknown>[] {
        return this.getOrCreateStream(name).records;
    }

    /** The offset that the stream's next record will have. */
    endOf(name: string): LogOffset {
        return this.getOrCreateStream(name).end;
    }

    private getOrCreateStream(name: string): FakeStream {
        const stream = this.streams.get(name) ?? { records: [], end: 0, waitingReaders: new Set() };
        this.streams.set(name, stream);
        return stream;
    }
}
