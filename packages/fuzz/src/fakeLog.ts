/**
 * A small fake of the platform's log, with outages, slowness, answers lost after the effect, and records that expire.
 */
import type { OffsetRecord, Random } from "@verbenaspring/coordination";
import type { VirtualClock } from "@verbenaspring/emulator";
import type { LogOffset, Milliseconds } from "@verbenaspring/model";

/** A page of a stream. */
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
const maxPollWait: Milliseconds = 600;
const clientTimeout: Milliseconds = 1_500;

/** The log. */
export class FakeLog {
    isUnavailable = false;
    slowness: Milliseconds = 0;
    losesAppendAnswers = false;
    private readonly streams = new Map<string, FakeStream>();

    /** Told of every record that takes effect. */
    onStored: (stream: string, offset: LogOffset, value: unknown) => void = () => undefined;

    constructor(private readonly clock: VirtualClock, private readonly random: Random) {}

    /** Appends; a slow append may take effect after its client has given up. */
    append(name: string, value: unknown, done: () => void, failed: () => void): void {
        if (this.isUnavailable) {
            this.clock.schedule(latency, failed);
            return;
        }
        const losesAnswer = this.losesAppendAnswers;
        const delay = latency + this.slowness * this.random();
        const isLate = delay > clientTimeout;
        this.clock.schedule(delay, () => {
            this.store(name, value);
            if (!isLate) {
                this.clock.schedule(latency, losesAnswer ? failed : done);
            }
        });
        if (isLate) {
            this.clock.schedule(clientTimeout, failed);
        }
    }

    private store(name: string, value: unknown): void {
        const stream = this.streamOf(name);
        stream.records.push({ offset: stream.end, value: structuredClone(value), at: this.clock.now });
        this.onStored(name, stream.end, value);
        stream.end++;
        stream.waitingReaders.forEach(wake => wake());
        stream.waitingReaders.clear();
    }

    /** Reads from an offset; waits a while where there is nothing yet. */
    read(name: string, from: LogOffset, done: (page: FakePage) => void, failed: () => void): void {
        const stream = this.streamOf(name);
        const delay = latency + this.slowness * this.random();
        this.clock.schedule(delay, () => {
            if (this.isUnavailable || delay > clientTimeout) {
                failed();
                return;
            }
            if (from < stream.end) {
                done(this.page(stream, from));
                return;
            }
            this.waitThenRead(stream, from, done, failed);
        });
    }

    private waitThenRead(
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
            done(this.page(stream, from));
        };
        stream.waitingReaders.add(answer);
        this.clock.schedule(maxPollWait, answer);
    }

    private page(stream: FakeStream, from: LogOffset): FakePage {
        const earliest = stream.end - stream.records.length;
        const records = stream.records.slice(Math.max(0, from - earliest));
        return { records: records.map(({ offset, value }) => ({ offset, value })), earliest, end: stream.end };
    }

    /** Forgets records of a stream older than an age, but for the last. */
    expire(name: string, age: Milliseconds): void {
        const { records } = this.streamOf(name);
        while (records.length > 1 && this.clock.now - records[0].at > age) {
            records.shift();
        }
    }

    /** Every record that the stream still holds. */
    recordsOf(name: string): readonly OffsetRecord<unknown>[] {
        return this.streamOf(name).records;
    }

    /** The offset that the stream's next record will have. */
    endOf(name: string): LogOffset {
        return this.streamOf(name).end;
    }

    private streamOf(name: string): FakeStream {
        const stream = this.streams.get(name) ?? { records: [], end: 0, waitingReaders: new Set() };
        this.streams.set(name, stream);
        return stream;
    }
}
