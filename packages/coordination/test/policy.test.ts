import {
    admitByForecast,
    chooseLinks,
    chooseNext,
    conditionalSurvival,
    createLengthForecast,
    fairShortFirst,
    forecastLength,
    type GenerationView,
    recordLength,
    type WaitingView,
} from "@verbenaspring/coordination";
import { identifier } from "@verbenaspring/model";
import { test } from "uvu";
import * as assert from "uvu/assert";

const subject = { service: identifier<never>("s"), workKind: "long", organisation: identifier<never>("o") } as const;

function generation(tokensSoFar: number, distribution: GenerationView["distribution"]): GenerationView {
    return { workKind: "long", promptTokens: 100, tokensSoFar, maximumTokens: 10_000, distribution };
}

function learnLength(length: number) {
    const forecast = createLengthForecast(10);
    for (let output = 0; output < 200; output++) {
        recordLength(forecast, subject, length);
    }
    return forecastLength(forecast, subject);
}

test("a forecast learns recorded lengths", () => {
    const distribution = learnLength(400);
    assert.ok(distribution.survival(200) > 0.95);
    assert.ok(distribution.survival(800) < 0.05);
    assert.ok(conditionalSurvival(distribution, 300, 200) < 0.1);
});

test("a forecast keeps a bounded number of pools", () => {
    const forecast = createLengthForecast(4);
    for (let organisation = 0; organisation < 50; organisation++) {
        recordLength(forecast, { ...subject, organisation: identifier(`o${organisation}`) }, 10);
    }
    assert.is(forecast.pools.size, 4);
});

test("admission depends on the memory that will be needed, not on what is in use now", () => {
    const distribution = learnLength(900);
    const running = [generation(10, distribution), generation(10, distribution)];
    const admits = admitByForecast({ deviations: 1, shortReserve: 0.1 });
    assert.ok(admits({ memoryTokens: 4_000, running }, generation(0, distribution)));
    assert.not(admits({ memoryTokens: 2_500, running }, generation(0, distribution)));
});

test("an idle engine admits every candidate", () => {
    assert.ok(
        admitByForecast({ deviations: 3, shortReserve: 0.1 })(
            { memoryTokens: 200, running: [] },
            generation(0, learnLength(900)),
        ),
    );
});

test("short work starts before long work, but long work doesn't starve", () => {
    const waiting = (workKind: "short" | "long", arrivedAt: number) => ({
        organisation: identifier<never>("o"),
        workKind,
        weight: 1,
        arrivedAt,
    });
    const oldest = waiting("long", 0);
    const choose = (queue: WaitingView[], fits: (waiting: WaitingView) => boolean = () => true, shortShare = 0) =>
        chooseNext({ queue, shares: new Map(), order: fairShortFirst, fits, shortShare });
    assert.is(choose([oldest, waiting("short", 9_000)])?.workKind, "short");
    assert.is(choose([oldest, waiting("short", 11_000)]), oldest);
    const fitsShort = ({ workKind }: WaitingView): boolean => workKind === "short";
    assert.is(choose([oldest, waiting("short", 11_000)], fitsShort)?.workKind, "short");
    assert.is(
        choose([oldest, waiting("short", 11_000)], fitsShort, 0.3),
        undefined,
        "the rest stays reserved for long work",
    );
});

test("links are spread evenly over the failure domains", () => {
    const listed = Array.from({ length: 30 }, (_, index) => ({
        backendServer: identifier<never>(`b${index}`),
        service: identifier<never>("s"),
        failureDomain: identifier<never>(`d${index % 3}`),
    }));
    const hash = (text: string): number => [...text].reduce((sum, letter) => sum * 31 + letter.charCodeAt(0) | 0, 7);
    const chosen = chooseLinks(listed, "entry", 9, hash);
    const perDomain = ["d0", "d1", "d2"].map(domain =>
        chosen.filter(each => each.failureDomain === identifier(domain)).length
    );
    assert.equal(perDomain, [3, 3, 3]);
});

test.run();
