import {
    chooseReplicaHost,
    chooseServer,
    createRetryBudget,
    createServerHealth,
    type PlacementView,
    recordErrorResponse,
    recordFailure,
    recordRequest,
    recordRetry,
    recordSuccess,
    remainingRetries,
    replicaPlacement,
    seededSource,
    takeoverTimeout,
    taskRank,
    withoutEjected,
} from "@verbenaspring/coordination";
import { identifier } from "@verbenaspring/model";
import { test } from "uvu";
import * as assert from "uvu/assert";

const service = identifier<never>("service");
const { random } = seededSource(3);

function view(differences: Partial<PlacementView> = {}): PlacementView {
    return {
        load: 0.2,
        memoryLoad: 0,
        waitingTokens: 0,
        failureShare: 0,
        responseTime: 20,
        isWarmingUp: false,
        isSameFailureDomain: true,
        ...differences,
    };
}

test("the less loaded, the sooner read, the healthier and the faster server is chosen", () => {
    const worse: Partial<PlacementView>[] = [
        { load: 0.6 },
        { memoryLoad: 0.5 },
        { waitingTokens: 6_000 },
        { failureShare: 0.4 },
        { responseTime: 90 },
        { isWarmingUp: true },
    ];
    for (const differences of worse) {
        const views = [view(differences), view()];
        assert.is(chooseServer(views, each => each, random), views[1], JSON.stringify(differences));
    }
    assert.is(chooseServer([], each => each, random), undefined);
});

test("copies from instances that know the same spread over engines that are nearly equal", () => {
    const holders = Array.from({ length: 6 }, (_, index) => ({ load: 0.3 + index / 100, isNear: false }));
    const counts = holders.map(() => 0);
    for (let choice = 0; choice < 600; choice++) {
        counts[holders.indexOf(chooseReplicaHost(holders, each => each, 0.1, random)!)]++;
    }
    assert.ok(Math.max(...counts) < 300, `${counts.join(" ")}: no engine gets half of all`);
});

test("servers that are equal are chosen by turns, so that no herd forms", () => {
    const views = [view(), view(), view()];
    const counts = views.map(() => 0);
    for (let choice = 0; choice < 300; choice++) {
        counts[views.indexOf(chooseServer(views, each => each, random)!)]++;
    }
    assert.ok(counts.every(count => count > 50), counts.join(" "));
});

test("a burst that fills one engine's memory goes to the others before runs push each other aside", () => {
    const engines = [{ memory: 0.8 }, { memory: 0.1 }, { memory: 0.2 }];
    for (let request = 0; request < 12; request++) {
        chooseServer(engines, ({ memory }) => view({ memoryLoad: memory }), random)!.memory += 0.12;
    }
    assert.ok(engines.every(({ memory }) => memory < 1), JSON.stringify(engines));
});

test("a copy goes where memory is free, near rather than far, and nowhere on crowded engines", () => {
    const holders = [{ load: 0.5, isNear: false }, { load: 0.45, isNear: true }, { load: 0.9, isNear: true }];
    assert.is(chooseReplicaHost(holders, each => each, 0.1, random), holders[1]);
    assert.is(chooseReplicaHost(holders, each => each, 0.5, random), undefined);
    assert.is(
        chooseReplicaHost([{ load: replicaPlacement.maxLoad, isNear: true }], each => each, 0.01, random),
        undefined,
    );
});

test("repeats of all instances together stay under the budget when clients repeat at once", () => {
    const options = { ratio: 0.2, slack: 50, window: 10_000 };
    const instances = 5;
    const budgets = Array.from({ length: instances }, () => createRetryBudget(options));
    const repeats: number[] = [];
    const requests: number[] = [];
    for (let now = 0; now < 60_000; now += 10) {
        // A storm: each instance sees a request each 10 ms for a part of the time, and would repeat each.
        const isStorm = now % 20_000 > 8_000;
        for (const budget of isStorm ? budgets : []) {
            recordRequest(budget, service, now);
            requests.push(now);
            if (remainingRetries(budget, service, { instances, uptime: options.window }, now) >= 1) {
                recordRetry(budget, service, now);
                repeats.push(now);
            }
        }
    }
    const within = (times: readonly number[], start: number): number =>
        times.filter(time => time >= start && time < start + options.window).length;
    for (let start = 0; start <= 50_000; start += 250) {
        const asked = Math.max(
            within(requests, start),
            within(requests, start - 5_000),
            within(requests, start - 10_000),
        );
        const limit = options.ratio * asked + options.slack;
        assert.ok(within(repeats, start) <= limit, `${within(repeats, start)} of ${limit} at ${start}`);
    }
});

test("a server that fails three times in a row is left out, longer each time, and back after a success", () => {
    const health = createServerHealth();
    assert.equal([1, 2, 3].map(() => recordFailure(health, 0)), [false, false, true]);
    const first = health.ejectedUntil;
    [1, 2, 3].forEach(() => recordFailure(health, first));
    assert.ok(health.ejectedUntil - first > first);
    recordSuccess(health, 10);
    assert.is(health.ejections, 0);
});

test("failures that a server answers do not leave it out; a server with more of them than the others gets less", () => {
    const health = createServerHealth();
    for (let failure = 0; failure < 10; failure++) {
        recordErrorResponse(health, 20);
    }
    assert.is(health.ejectedUntil, 0);
    const alike = [view({ failureShare: 0.2 }), view({ failureShare: 0.2, load: 0.1 }), view({ failureShare: 0.2 })];
    assert.is(chooseServer(alike, each => each, random), alike[1]);
    const grey = [view({ failureShare: 0.2 }), view({ failureShare: 0.6, load: 0.1 }), view({ failureShare: 0.2 })];
    assert.is.not(chooseServer(grey, each => each, random), grey[1]);
});

test("a flapping service keeps half of its servers in use: those that come back first", () => {
    const servers = [9_000, 8_000, 7_000, 0].map(ejectedUntil => ({ ...createServerHealth(), ejectedUntil }));
    assert.equal(withoutEjected(servers, each => each, 1_000), [servers[3], servers[2]]);
    assert.is(withoutEjected(servers, each => each, 8_500).length, 3);
});

test("one instance has a duty, and the next takes over after a time that grows with its rank", () => {
    const names = ["a", "b", "c", "d"];
    const ranks = names.map(name => taskRank(name, names.filter(other => other !== name), "duty"));
    assert.equal([...ranks].sort(), [0, 1, 2, 3]);
    const patience = { base: 900, step: 150, longest: 1_500 };
    assert.equal([0, 1, 3, 800].map(rank => takeoverTimeout(rank, patience)), [0, 900, 1_200, 1_500]);
});

test.run();
