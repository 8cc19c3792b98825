import {
    chooseReplicaHost,
    chooseServer,
    createRetryBudget,
    createServerHealth,
    hasMemoryForReplicas,
    migrationPlacement,
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

function view(overrides: Partial<PlacementView> = {}): PlacementView {
    return {
        load: 0.2,
        memoryLoad: 0,
        waitingTokens: 0,
        failureShare: 0,
        responseTime: 20,
        isWarmingUp: false,
        isSameFailureDomain: true,
        ...overrides,
    };
}

test("a server with less load, fewer waiting tokens, fewer failures or a shorter response time is preferred", () => {
    const drawbacks: Partial<PlacementView>[] = [
        { load: 0.6 },
        { memoryLoad: 0.5 },
        { waitingTokens: 6_000 },
        { failureShare: 0.4 },
        { responseTime: 90 },
        { isWarmingUp: true },
    ];
    for (const overrides of drawbacks) {
        const views = [view(overrides), view()];
        assert.is(chooseServer(views, each => each, random), views[1], JSON.stringify(overrides));
    }
    assert.is(chooseServer([], each => each, random), undefined);
});

test("replicas of instances with the same information are spread over engines of nearly equal load", () => {
    const hosts = Array.from({ length: 6 }, (_, index) => ({ load: 0.3 + index / 100, isSameFailureDomain: false }));
    const counts = hosts.map(() => 0);
    for (let choice = 0; choice < 600; choice++) {
        counts[hosts.indexOf(chooseReplicaHost(hosts, each => each, 0.1, random)!)]++;
    }
    assert.ok(Math.max(...counts) < 300, `${counts.join(" ")}: one engine got half of the replicas`);
});

test("equal servers are chosen at random, so that requests are spread over them", () => {
    const views = [view(), view(), view()];
    const counts = views.map(() => 0);
    for (let choice = 0; choice < 300; choice++) {
        counts[views.indexOf(chooseServer(views, each => each, random)!)]++;
    }
    assert.ok(counts.every(count => count > 50), counts.join(" "));
});

test("a burst that fills the memory of one engine goes to other engines before runs are preempted", () => {
    const engines = [{ memory: 0.8 }, { memory: 0.1 }, { memory: 0.2 }];
    for (let request = 0; request < 12; request++) {
        chooseServer(engines, ({ memory }) => view({ memoryLoad: memory }), random)!.memory += 0.12;
    }
    assert.ok(engines.every(({ memory }) => memory < 1), JSON.stringify(engines));
});

test("a replica goes to an engine with free memory, preferably in the same domain, or to none if all are full", () => {
    const hosts = [
        { load: 0.5, isSameFailureDomain: false },
        { load: 0.45, isSameFailureDomain: true },
        { load: 0.9, isSameFailureDomain: true },
    ];
    const counts = hosts.map(() => 0);
    for (let choice = 0; choice < 300; choice++) {
        counts[hosts.indexOf(chooseReplicaHost(hosts, each => each, 0.1, random)!)]++;
    }
    assert.ok(counts[1] > counts[0] && counts[0] > 0, counts.join(" "));
    assert.is(counts[2], 0, "a full engine gets none");
    assert.is(chooseReplicaHost(hosts, each => each, 0.5, random), undefined);
    assert.is(
        chooseReplicaHost([{ load: replicaPlacement.maxLoad, isSameFailureDomain: true }], each => each, 0.01, random),
        undefined,
    );
});

test("migrations that start at the same moment fill the engines in proportion to their free memory", () => {
    const hosts = [0, ...Array.from({ length: 9 }, () => 0.6)].map(load => ({ load, isSameFailureDomain: true }));
    const share = 0.17;
    const choices = 5_000;
    const counts = hosts.map(() => 0);
    for (let choice = 0; choice < choices; choice++) {
        counts[hosts.indexOf(chooseReplicaHost(hosts, each => each, share, random, migrationPlacement)!)]++;
    }
    const free = hosts.map(({ load }) => migrationPlacement.maxLoad - load - share);
    const freeInAll = free.reduce((sum, each) => sum + each, 0);
    counts.forEach((count, index) => {
        const expected = free[index] / freeInAll;
        assert.ok(Math.abs(count / choices - expected) < 0.03, `engine ${index}: ${count}, expected ${expected}`);
    });
});

test("replicas are kept only where each run and its replica fit into memory together", () => {
    assert.ok(hasMemoryForReplicas(0.45));
    assert.not.ok(hasMemoryForReplicas(0.75));
});

test("the retries of all instances together stay within the budget when all requests are retried", () => {
    const options = { ratio: 0.2, slack: 50, window: 10_000 };
    const instances = 5;
    const budgets = Array.from({ length: instances }, () => createRetryBudget(options));
    const retries: number[] = [];
    const requests: number[] = [];
    for (let now = 0; now < 60_000; now += 10) {
        // During a retry storm, each instance receives a request every 10 ms and tries to retry it.
        const isStorm = now % 20_000 > 8_000;
        for (const budget of isStorm ? budgets : []) {
            recordRequest(budget, service, now);
            requests.push(now);
            if (remainingRetries(budget, service, { instances, uptime: options.window }, now) >= 1) {
                recordRetry(budget, service, now);
                retries.push(now);
            }
        }
    }
    const within = (times: readonly number[], start: number): number =>
        times.filter(time => time >= start && time < start + options.window).length;
    for (let start = 0; start <= 50_000; start += 250) {
        const requestCount = Math.max(
            within(requests, start),
            within(requests, start - 5_000),
            within(requests, start - 10_000),
        );
        const limit = options.ratio * requestCount + options.slack;
        assert.ok(within(retries, start) <= limit, `${within(retries, start)} of ${limit} at ${start}`);
    }
});

test("a server is ejected after three consecutive failures, longer each time until it succeeds", () => {
    const health = createServerHealth();
    assert.equal([1, 2, 3].map(() => recordFailure(health, 0)), [false, false, true]);
    const first = health.ejectedUntil;
    [1, 2, 3].forEach(() => recordFailure(health, first));
    assert.ok(health.ejectedUntil - first > first);
    recordSuccess(health, 10);
    assert.is(health.ejections, 0);
});

test("error responses don't eject a server, but one with more of them than the others is avoided", () => {
    const health = createServerHealth();
    for (let failure = 0; failure < 10; failure++) {
        recordErrorResponse(health, 20);
    }
    assert.is(health.ejectedUntil, 0);
    const even = [view({ failureShare: 0.2 }), view({ failureShare: 0.2, load: 0.1 }), view({ failureShare: 0.2 })];
    assert.is(chooseServer(even, each => each, random), even[1]);
    const uneven = [view({ failureShare: 0.2 }), view({ failureShare: 0.6, load: 0.1 }), view({ failureShare: 0.2 })];
    assert.is.not(chooseServer(uneven, each => each, random), uneven[1]);
});

test("half of the servers stay in use, those with the earliest end of their ejection", () => {
    const servers = [9_000, 8_000, 7_000, 0].map(ejectedUntil => ({ ...createServerHealth(), ejectedUntil }));
    assert.equal(withoutEjected(servers, each => each, 1_000), [servers[3], servers[2]]);
    assert.is(withoutEjected(servers, each => each, 8_500).length, 3);
});

test("one instance performs a task, and the others take over after a timeout that grows with their rank", () => {
    const names = ["a", "b", "c", "d"];
    const ranks = names.map(name => taskRank(name, names.filter(other => other !== name), "task"));
    assert.equal([...ranks].sort(), [0, 1, 2, 3]);
    const timeouts = { base: 900, step: 150, max: 1_500 };
    assert.equal([0, 1, 3, 800].map(rank => takeoverTimeout(rank, timeouts)), [0, 900, 1_200, 1_500]);
});

test.run();
