import { indexRoutes, type Organisation } from "@verbenaspring/gateway";
import { type ApiKey, identifier } from "@verbenaspring/model";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
    callsIn,
    configuration,
    failuresIn,
    GatewayBench,
    kindsIn,
    requestId,
    route,
    server,
} from "./gatewayBuilders.js";

test("a gateway without a configuration refuses for the time being, and denies nothing", () => {
    const [failure] = failuresIn(new GatewayBench().ask("r", "confirm"));
    assert.equal([failure.type, failure.outcome], ["configuration_unavailable", "not_run"]);
    assert.ok(failure.retryAfter! > 0);
});

test("the longest prefix of the host's routes decides", () => {
    const bench = GatewayBench.serving(server("plain-1"));
    const other = identifier<never>("other");
    const routesByHost = indexRoutes([
        route("a", { pathPrefix: "/" }),
        route("b", { pathPrefix: "/x/y/", targets: [{ service: other, weight: 1 }] }),
        route("c", { pathPrefix: "/x/" }),
    ]);
    bench.configure(configuration(2, { routesByHost }));
    bench.register(server("plain-2", { service: other }));
    assert.is(bench.send("r", "", { target: "/x/y/z?q=/" }).backendServer, "plain-2");
    assert.is(bench.send("s", "", { target: "/x/q" }).backendServer, "plain-1");
    assert.is(failuresIn(bench.ask("t", "", { host: "none.example" }))[0].type, "route_not_found");
});

test("an unknown key is refused; a known one gives the organisation and its priority", () => {
    const bench = GatewayBench.serving(server("engine-1"));
    const organisations = new Map<ApiKey, Organisation>([[identifier("key"), {
        id: identifier("clinic"),
        priority: 3,
    }]]);
    const routesByHost = indexRoutes([
        route("plan", {
            isStream: true,
            isPublic: false,
            targets: [{ service: server("engine-1").service, weight: 1 }],
        }),
    ]);
    bench.configure(configuration(2, { organisations, routesByHost }));
    assert.is(failuresIn(bench.ask("r", "plan"))[0].type, "unauthenticated");
    assert.is(failuresIn(bench.ask("s", "plan", { apiKey: identifier<ApiKey>("wrong") }))[0].type, "unauthenticated");
    const call = bench.send("t", "plan", { apiKey: identifier<ApiKey>("key") });
    assert.equal([call.organisation, call.priority], ["clinic", 3]);
});

test("a configuration that is older than the one in force changes nothing", () => {
    const bench = GatewayBench.serving(server("plain-1"));
    bench.configure(configuration(7));
    bench.configure(configuration(3, { routesByHost: new Map() }));
    assert.is(bench.state.configuration?.version, 7);
    assert.is(callsIn(bench.ask("r", "confirm")).length, 1);
});

test("a server is told the time that is left: the caller's or the route's, whichever ends first", () => {
    const bench = GatewayBench.serving(server("plain-1"));
    assert.is(bench.send("r", "confirm", { timeLimit: 300 }).timeLeft, 300);
    assert.is(bench.send("s", "confirm").timeLeft, 800);
});

test("the final answer comes when the route's time is over, and the call is ended", () => {
    const bench = GatewayBench.serving(server("plain-1"));
    bench.send("r", "confirm");
    assert.equal(kindsIn(bench.pass(750)).filter(kind => kind.startsWith("answer")), []);
    const effects = bench.pass(100);
    assert.is(failuresIn(effects)[0].outcome, "outcome_unknown");
    assert.ok(kindsIn(effects).includes("cancelAttempt"));
});

test("a caller that left has its call ended at once", () => {
    const bench = GatewayBench.serving(server("plain-1"));
    bench.send("r", "confirm");
    assert.equal(kindsIn(bench.take({ kind: "callerLeft", requestId: requestId("r") })), ["cancelAttempt"]);
    assert.is(bench.state.requests.size, 0);
    assert.is(bench.state.loads.size, 0);
});

test("a service without a server is refused at once, with a time to return", () => {
    const [failure] = failuresIn(GatewayBench.serving().ask("r", "confirm"));
    assert.equal([failure.type, failure.outcome], ["no_backend_server", "not_run"]);
    assert.ok(failure.retryAfter! > 0);
});

test.run();
