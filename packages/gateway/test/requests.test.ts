import { indexRoutes, type Organisation } from "@verbenaspring/gateway";
import { type ApiKey, identifier } from "@verbenaspring/model";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
    callsIn,
    configuration,
    failuresIn,
    kindsIn,
    linesIn,
    requestId,
    route,
    server,
    TestGateway,
} from "./gatewayBuilders.js";

test("a gateway without a configuration refuses requests as not run, with a time to retry", () => {
    const [failure] = failuresIn(new TestGateway().receiveRequest("r", "confirm"));
    assert.equal([failure.type, failure.outcome], ["configuration_unavailable", "not_run"]);
    assert.ok(failure.retryAfter! > 0);
});

test("the route of the host with the longest matching prefix is chosen", () => {
    const gateway = TestGateway.serving(server("plain-1"));
    const other = identifier<never>("other");
    const routesByHost = indexRoutes([
        route("a", { pathPrefix: "/" }),
        route("b", { pathPrefix: "/x/y/", targets: [{ service: other, weight: 1 }] }),
        route("c", { pathPrefix: "/x/" }),
    ]);
    gateway.configure(configuration(2, { routesByHost }));
    gateway.register(server("plain-2", { service: other }));
    assert.is(gateway.sendRequest("r", "", { target: "/x/y/z?q=/" }).backendServer, "plain-2");
    assert.is(gateway.sendRequest("s", "", { target: "/x/q" }).backendServer, "plain-1");
    assert.is(failuresIn(gateway.receiveRequest("t", "", { host: "none.example" }))[0].type, "route_not_found");
});

// A record of refusals could not show whether a route was missing from the configuration or from its view of a path.
test("the log line of a refused request names its path, and how old the view of the configuration is", () => {
    const gateway = TestGateway.serving(server("plain-1"));
    gateway.now += 30;
    const [line] = linesIn(gateway.receiveRequest("r", "", { target: "/none/1?q=2" }), "request_refused");
    assert.equal([line.path, line.hostRoutes, line.age], ["/none/1", 4, 30]);
    const { configuration, configurationItem, followers } = gateway.state;
    const { next, lastRead } = followers.configuration;
    const view = [configuration?.version, configurationItem?.offset, next, lastRead?.reader];
    assert.equal([line.version, line.offset, line.next, line.reader], view);
});

test("an unknown API key is refused; a known one determines the organisation and its priority", () => {
    const gateway = TestGateway.serving(server("engine-1"));
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
    gateway.configure(configuration(2, { organisations, routesByHost }));
    assert.is(failuresIn(gateway.receiveRequest("r", "plan"))[0].type, "unauthenticated");
    assert.is(
        failuresIn(gateway.receiveRequest("s", "plan", { apiKey: identifier<ApiKey>("wrong") }))[0].type,
        "unauthenticated",
    );
    const call = gateway.sendRequest("t", "plan", { apiKey: identifier<ApiKey>("key") });
    assert.equal([call.organisation, call.priority], ["clinic", 3]);
});

// Guards against a revocation of the last key that opens the protected routes to everyone.
test("once the last API key is revoked, every key and none are refused on routes that are not public", () => {
    const gateway = TestGateway.serving(server("plain-1"));
    const routesByHost = indexRoutes([route("book", { isPublic: false }), route("open", { isPublic: true })]);
    gateway.configure(configuration(2, { organisations: new Map(), routesByHost }));
    for (const apiKey of [undefined, identifier<ApiKey>("revoked"), identifier<ApiKey>("forged")]) {
        const id = `r-${apiKey}`;
        assert.is(failuresIn(gateway.receiveRequest(id, "book", { apiKey }))[0]?.type, "unauthenticated");
    }
    assert.is(callsIn(gateway.receiveRequest("s", "open")).length, 1, "public routes need no key");
});

test("a configuration that is older than the one in force is ignored", () => {
    const gateway = TestGateway.serving(server("plain-1"));
    gateway.configure(configuration(7));
    gateway.configure(configuration(3, { routesByHost: new Map() }));
    assert.is(gateway.state.configuration?.version, 7);
    assert.is(callsIn(gateway.receiveRequest("r", "confirm")).length, 1);
});

test("a call carries the remaining time: the caller's or the route's limit, whichever is shorter", () => {
    const gateway = TestGateway.serving(server("plain-1"));
    assert.is(gateway.sendRequest("r", "confirm", { timeLimit: 300 }).timeLeft, 300);
    assert.is(gateway.sendRequest("s", "confirm").timeLeft, 800);
});

test("at the route's timeout the request fails and its call is cancelled", () => {
    const gateway = TestGateway.serving(server("plain-1"));
    gateway.sendRequest("r", "confirm");
    assert.equal(kindsIn(gateway.advance(750)).filter(kind => kind.startsWith("answer")), []);
    const effects = gateway.advance(100);
    assert.is(failuresIn(effects)[0].outcome, "outcome_unknown");
    assert.ok(kindsIn(effects).includes("cancelAttempt"));
});

test("the call of a caller that left is cancelled at once", () => {
    const gateway = TestGateway.serving(server("plain-1"));
    gateway.sendRequest("r", "confirm");
    assert.equal(kindsIn(gateway.handle({ kind: "callerLeft", requestId: requestId("r") })), ["cancelAttempt"]);
    assert.is(gateway.state.requests.size, 0);
    assert.is(gateway.state.loads.size, 0);
});

test("a request for a service without a server is refused at once, with a time to retry", () => {
    const [failure] = failuresIn(TestGateway.serving().receiveRequest("r", "confirm"));
    assert.equal([failure.type, failure.outcome], ["no_backend_server", "not_run"]);
    assert.ok(failure.retryAfter! > 0);
});

// Gateways that could not read a new configuration answered that its routes and keys did not exist, after which no caller repeats.
test("a gateway whose configuration may be outdated refuses an unknown route or key as one that may repeat elsewhere", () => {
    const gateway = new TestGateway({ configurationLimit: 2_000 });
    const organisations = new Map();
    const routesByHost = indexRoutes([route("confirm"), route("order", { isPublic: false })]);
    gateway.configure(configuration(1, { organisations, routesByHost }));
    gateway.register(server("plain-1"));
    const statusesOf = () =>
        [gateway.receiveRequest(`a${gateway.now}`, "unknown"), gateway.receiveRequest(`b${gateway.now}`, "order")]
            .flatMap(failuresIn).map(({ type, outcome, retryAfter }) => [type, outcome, retryAfter !== undefined]);
    gateway.now += 1_900;
    assert.equal(statusesOf(), [["route_not_found", "not_run", false], ["unauthenticated", "not_run", false]]);
    gateway.now += 200;
    assert.equal(statusesOf(), [
        ["configuration_unavailable", "not_run", true],
        ["configuration_unavailable", "not_run", true],
    ]);
    assert.is(callsIn(gateway.receiveRequest("known", "confirm")).length, 1, "known routes are served");
    gateway.read("configuration", []);
    assert.equal(statusesOf()[0], ["route_not_found", "not_run", false]);
});

test.run();
