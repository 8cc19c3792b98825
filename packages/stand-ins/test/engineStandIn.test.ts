import { defaultEngine, startEngineStandIn } from "@verbenaspring/stand-ins";
import { test } from "uvu";
import * as assert from "uvu/assert";

/** Requests a generation. Resolves to the text of its stream, or to `broken` if the connection breaks. */
async function generate(address: string, id: string, length: number): Promise<string> {
    const body = JSON.stringify({
        request_id: id,
        priority: 0,
        prompt: `tag=${id} length=${length}`,
        max_tokens: 1_000,
    });
    const response = await fetch(`http://${address}/v1/completions`, { method: "POST", body });
    return response.text().catch(() => "broken");
}

// The step in progress still refers to the cancelled generation when it ends.
test("cancelling a generation during a step doesn't stop the engine", async () => {
    const engine = await startEngineStandIn(0, { ...defaultEngine, baseStepTime: 50 });
    const cancelled = generate(engine.address, "cancelled", 500);
    for (let found = false; !found;) {
        const response = await fetch(`http://${engine.address}/v1/completions/cancelled`, { method: "DELETE" });
        found = response.status === 200;
    }
    await cancelled;
    const next = await generate(engine.address, "next", 3);
    assert.match(next, /event: end\ndata: \{"count":3/);
    await engine.close();
});

test.run();
