import { defaultEngine, startEngineStandIn } from "@verbenaspring/stand-ins";
import { test } from "uvu";
import * as assert from "uvu/assert";

/** Asks for a generation; resolves to its stream's text, or to what was had when it broke. */
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

test("a generation that is cancelled in the middle of a step does not end the engine", async () => {
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
