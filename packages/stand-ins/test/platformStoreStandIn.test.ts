/**
 * Tests of the stand-in of the platform's store, by the store's client: records that are lost, reads from beyond the end, and pages.
 */
import { operatorTopic } from "@verbenaspring/emulator";
import { createStoreClient, type StoreReadError } from "@verbenaspring/platform";
import { pause, type PlatformStore, startPlatformStore } from "@verbenaspring/stand-ins";
import { suite } from "uvu";
import * as assert from "uvu/assert";

interface Context {
    store: PlatformStore;
    client: ReturnType<typeof createStoreClient>;
}

const test = suite<Context>("platform store stand-in");

test.before.each(async context => {
    context.store = await startPlatformStore();
    context.client = createStoreClient(context.store.address);
});
test.after.each(async ({ client, store }) => {
    client.close();
    await store.close();
});

test("a read from beyond the end, where a record was lost, is refused with 410 or gets the end", async ({ store, client }) => {
    for (const [answer, failure] of [["gone", "records_deleted"], ["end", "beyond_end"]] as const) {
        store.setBeyondEndAnswer(answer);
        store.putUnacknowledged(operatorTopic, "config", { version: 1 });
        const { items, next } = await client.read("configuration", 0, 0);
        assert.equal([items.length, next], [1, 1]);
        assert.is(store.loseUnacknowledged(operatorTopic), 1);
        try {
            await client.read("configuration", next, 50);
            assert.unreachable();
        }
        catch (error) {
            assert.is((error as StoreReadError).failure, failure);
        }
    }
});

test("a read that waits behind a lost record doesn't get the one that is stored in its place", async ({ store, client }) => {
    store.putUnacknowledged(operatorTopic, "config", { version: 1 });
    const read = client.read("configuration", 1, 300);
    await new Promise(resolve => setTimeout(resolve, 100));
    store.loseUnacknowledged(operatorTopic);
    store.put(operatorTopic, "config", { version: 2 });
    assert.equal(await read, { items: [], next: 1, isAtEnd: true });
});

test("a read that waits gets 410 where its record is deleted with the history", async ({ store, client }) => {
    store.setHistoryDeletion(() => true);
    const read = client.read("configuration", 0, 300).catch((error: unknown) => (error as StoreReadError).failure);
    await pause(100);
    store.put(operatorTopic, "config", { version: 1 });
    assert.is(await read, "records_deleted");
});

test("a page has its records and its end of different moments, in either order", async ({ store }) => {
    for (const first of ["records", "end"] as const) {
        store.setPageTiming(() => ({ first, gap: 100 }));
        const end = store.model.endOffset(operatorTopic);
        const answer = fetch(`http://${store.address}/log-newest?topic=${operatorTopic}&part=0`);
        await pause(50);
        store.put(operatorTopic, "config", { version: end + 1 });
        const { entries, endOffset } = await (await answer).json() as { entries: object[]; endOffset: number; };
        assert.equal([entries.length, endOffset], first === "records" ? [end, end + 1] : [1, end], first);
    }
});

test.run();
