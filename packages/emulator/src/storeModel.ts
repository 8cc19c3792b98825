/**
 * The platform's store as far as the system uses it: keyed topics that can be read from an offset or by their newest
 * records.
 */

/** One record of a topic. */
export interface StoredRecord {
    readonly key: string;
    /** Empty where the key was dropped. */
    readonly value: Uint8Array;
}

/** The newest record of a key. */
export interface NewestRecord extends StoredRecord {
    readonly offset: number;
}

/** What a read from an offset finds. */
export type ReadPage =
    | {
        readonly kind: "records";
        readonly records: readonly StoredRecord[];
        /** The oldest offset that is kept. */
        readonly first: number;
        /** The offset after the last record. */
        readonly end: number;
    }
    /** The records were deleted; `first` is the oldest offset that is kept. */
    | { readonly kind: "deleted"; readonly first: number; };

interface StoredTopic {
    readonly records: StoredRecord[];
    first: number;
    readonly waiting: Set<() => void>;
}

/**
 * The records of all topics.
 *
 * @example
 * const store = new StoreModel();
 * store.append("keyed.op", "config", encode({ version: 1 }));
 */
export class StoreModel {
    private readonly topics = new Map<string, StoredTopic>();

    /** Appends a record and wakes the reads that wait for one. */
    append(topic: string, key: string, value: Uint8Array): void {
        const { records, waiting } = this.topicOf(topic);
        records.push({ key, value });
        [...waiting].forEach(wake => wake());
    }

    /** Deletes the history; the newest record of each key stays. */
    compact(topic: string): void {
        const stored = this.topicOf(topic);
        stored.first = stored.records.length;
    }

    /** The offset after the last record. */
    endOffset(topic: string): number {
        return this.topicOf(topic).records.length;
    }

    /** The newest record of each key that was not dropped. */
    newestRecords(topic: string): NewestRecord[] {
        const { records } = this.topicOf(topic);
        const offsets = new Map(records.map(({ key }, offset) => [key, offset]));
        return [...offsets]
            .map(([, offset]) => ({ ...records[offset], offset }))
            .filter(({ value }) => value.length > 0);
    }

    /** The records from an offset on. */
    read(topic: string, from: number): ReadPage {
        const { records, first } = this.topicOf(topic);
        return from < first
            ? { kind: "deleted", first }
            : { kind: "records", records: records.slice(from), first, end: records.length };
    }

    /** Calls `wake` with the next record of a topic. Returns how to stop waiting. */
    onAppend(topic: string, wake: () => void): () => void {
        const { waiting } = this.topicOf(topic);
        waiting.add(wake);
        return () => waiting.delete(wake);
    }

    private topicOf(name: string): StoredTopic {
        const topic = this.topics.get(name) ?? { records: [], first: 0, waiting: new Set<() => void>() };
        this.topics.set(name, topic);
        return topic;
    }
}
