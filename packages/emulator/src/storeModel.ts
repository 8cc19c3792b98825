/**
 * Model of the platform's store, limited to what the system uses: topics of keyed records, read from an offset or as
 * the newest record of each key.
 */

/** A record of a topic. */
export interface StoredRecord {
    readonly key: string;
    /** Empty if the key was deleted. */
    readonly value: Uint8Array;
}

/** The newest record of a key. */
export interface NewestRecord extends StoredRecord {
    readonly offset: number;
}

/** Result of a read from an offset. */
export type ReadPage =
    | {
        readonly kind: "records";
        readonly records: readonly StoredRecord[];
        /** The oldest retained offset. */
        readonly first: number;
        /** The offset after the last record. */
        readonly end: number;
    }
    /** The requested records were deleted; `first` is the oldest retained offset. */
    | { readonly kind: "deleted"; readonly first: number; };

interface StoredTopic {
    readonly records: StoredRecord[];
    first: number;
    /** The offset after the last record that was acknowledged. */
    acknowledgedEnd: number;
    readonly listeners: Set<() => void>;
}

/**
 * The records of all topics. Reads get a record as soon as it is stored. Those that nobody acknowledged may be lost later, and
 * their offsets are given out again.
 *
 * @example
 * const store = new StoreModel();
 * store.append("keyed.op", "config", encode({ version: 1 }));
 */
export class StoreModel {
    /** Decides for each record that is stored whether its topic's history is deleted before any read gets the record. */
    deletesHistory: (topic: string) => boolean = () => false;
    private readonly topics = new Map<string, StoredTopic>();

    /** Appends a record, acknowledges it and all before it, and calls the topic's listeners. */
    append(topic: string, key: string, value: Uint8Array): void {
        const stored = this.findOrCreateTopic(topic);
        stored.acknowledgedEnd = stored.records.length + 1;
        this.appendUnacknowledged(topic, key, value);
    }

    /** Appends a record, as a call without an answer does, and calls the topic's listeners. */
    appendUnacknowledged(topic: string, key: string, value: Uint8Array): void {
        const { records, listeners } = this.findOrCreateTopic(topic);
        records.push({ key, value });
        if (this.deletesHistory(topic)) {
            this.compact(topic);
        }
        [...listeners].forEach(listener => listener());
    }

    /** Loses the records after the last acknowledged one. Returns how many were lost. */
    loseUnacknowledged(topic: string): number {
        const stored = this.findOrCreateTopic(topic);
        stored.first = Math.min(stored.first, stored.acknowledgedEnd);
        return stored.records.splice(stored.acknowledgedEnd).length;
    }

    /** Deletes the history up to the end; the newest record of each key stays readable. */
    compact(topic: string): void {
        const stored = this.findOrCreateTopic(topic);
        stored.first = stored.records.length;
    }

    /** Returns the offset after the last record. */
    endOffset(topic: string): number {
        return this.findOrCreateTopic(topic).records.length;
    }

    /** Returns the newest record of each key that was not deleted. */
    newestRecords(topic: string): NewestRecord[] {
        const { records } = this.findOrCreateTopic(topic);
        const offsets = new Map(records.map(({ key }, offset) => [key, offset]));
        return [...offsets]
            .map(([, offset]) => ({ ...records[offset], offset }))
            .filter(({ value }) => value.length > 0);
    }

    /** Returns the records from an offset on; none, with the end of the topic, from beyond it. */
    read(topic: string, from: number): ReadPage {
        const { records, first } = this.findOrCreateTopic(topic);
        return from < first
            ? { kind: "deleted", first }
            : { kind: "records", records: records.slice(from), first, end: records.length };
    }

    /** Calls the listener at each append to a topic. Returns a function that removes the listener. */
    onAppend(topic: string, listener: () => void): () => void {
        const { listeners } = this.findOrCreateTopic(topic);
        listeners.add(listener);
        return () => listeners.delete(listener);
    }

    private findOrCreateTopic(name: string): StoredTopic {
        const topic: StoredTopic = this.topics.get(name)
            ?? { records: [], first: 0, acknowledgedEnd: 0, listeners: new Set() };
        this.topics.set(name, topic);
        return topic;
    }
}
