/**
 * Checks the system's promises against what callers received and what backend servers ran.
 */
import type { ColdPeriod, RunEvent, ServerCall, ServerRun } from "@verbenaspring/emulator";
import {
    ColdServerOracle,
    ContactRecord,
    EvacuationOracle,
    FaultRecord,
    isEarlyInStop,
    isEventBeginning,
    isStreamed,
    mayGoOn,
    mustRunAtMostOnce,
    mustSurviveStop,
    platformLimits,
    type PlatformRequestEnd,
    type RequestOrProbeKind,
    ServerLimitOracle,
    ServerNoticeOracle,
    ServerPauseOracle,
    serviceOf,
    splitPieces,
} from "@verbenaspring/fuzz";
import type { SoakGateway } from "./soakWorld.js";

/** A request of a caller. */
export interface SoakRequest {
    readonly id: string;
    readonly kind: RequestOrProbeKind;
    readonly gateway: SoakGateway;
    readonly sentAt: number;
    /** When the last byte of its body was sent. */
    bodySentAt: number;
    /** When the caller opened the connection that it used. */
    connectionOpenedAt: number;
    /** The deadline of the request. */
    readonly deadlineAt: number;
    readonly promptTokens: number;
    /** Events of a complete answer; 0 for plain calls. */
    readonly events: number;
    /** The request whose broken stream this one takes up. */
    readonly takesUp: SoakRequest | undefined;
    /** The attempt that got the stream's first event: its own id, or that of an earlier request. */
    readonly firstAttemptId: string;
    /** The number of the last event that the caller has. */
    lastEvent: number;
    /** The software of the server that made the stream's first event; undefined before it. */
    softwareVersion: string | undefined;
    /** Undefined while the request is open. */
    end: PlatformRequestEnd | undefined;
}

/** The head of a response. */
export interface SoakResponseHead {
    readonly status: number;
    /** The backend server that gave its head; undefined if it is the gateway's own. */
    readonly server: string | undefined;
    /** Whether it declares a limit of that server. */
    readonly declaresLimit: boolean;
    /** Whether that server says in it that it leaves. */
    readonly isServerLeaving: boolean;
    /** Whether it carries the seal of a backend server. */
    readonly isSealed: boolean;
}

/** The part of a response that arrived. */
export interface SoakResponse extends SoakResponseHead {
    readonly body: string;
    /** False where the connection broke before the end of the body. */
    readonly isComplete: boolean;
}

/** A promise that was broken. */
export interface Violation {
    readonly promise: string;
    readonly detail: string;
    /** Milliseconds since the soak's process started. */
    readonly at: number;
}

/** A request that ends with one of these must not have run. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const successStatus = 200;
/** With these a gateway says that the configuration doesn't allow a request. */
const denialStatuses: ReadonlySet<string> = new Set(["401", "404"]);
/** The platform's rules allow a final answer up to 500 ms after the deadline. */
const answerSlack = 500;
/** The characters of an unexpected text that a violation shows. */
const maximumShownText = 80;
/** The rules allow a connection to close on a request whose last byte was sent up to 200 ms before. */
const closeCrossingTime = 200;

/** Records one run and checks it. */
export class SoakOracle {
    readonly violations: Violation[] = [];
    readonly endCounts = new Map<string, number>();
    /** The requests that were cut when their backend server ended. */
    readonly endedWithServer: string[] = [];
    private readonly requests = new Map<string, SoakRequest>();
    private readonly runs = new Map<string, ServerRun[]>();
    /** For each request that reached backend servers, when it last reached each of them. */
    private readonly arrivedAt = new Map<string, Map<string, number>>();
    /** When the newest incarnation of a backend server replaced the one before it. */
    private readonly restartedAt = new Map<string, number>();
    readonly faultRecord = new FaultRecord(() => performance.now());
    /** The faults that keep a gateway from reaching backend servers: of gateways by name, and of servers' links by id. */
    private readonly reachRecord = new FaultRecord(() => performance.now());
    private readonly serverLimits: ServerLimitOracle<SoakGateway>;
    readonly serverNotices = new ServerNoticeOracle<SoakGateway>((promise, detail) => this.fail(promise, detail));
    readonly serverPauses = new ServerPauseOracle<SoakGateway>(
        (promise, detail) => this.fail(promise, detail),
        (gateway, since) =>
            !this.checksTimeLimits || this.lagSince(since) > 0
            || this.faultRecord.hadFaultSince(gateway.name, since - platformLimits.serverPauseReaction),
    );
    readonly contact: ContactRecord<SoakGateway>;
    readonly evacuations: EvacuationOracle<SoakGateway>;
    readonly coldServers: ColdServerOracle<SoakGateway>;
    private readonly lags: { readonly at: number; readonly lag: number; }[] = [];

    /**
     * @param checksTimeLimits whether time limits are checked; other load on the machine breaks them
     * @param drainPublishedAt when the store got a backend server's notice that it leaves
     * @param requestLimitOf the limit that a backend server declares now
     * @param gateways the gateway processes that are up now
     * @param isServerRunning whether a backend server runs now
     */
    constructor(
        private readonly checksTimeLimits: boolean,
        private readonly drainPublishedAt: (server: string) => number | undefined,
        requestLimitOf: (server: string) => number | undefined,
        gateways: () => readonly SoakGateway[],
        private readonly isServerRunning: (server: string) => boolean,
    ) {
        const fail = (promise: string, detail: string): void => this.fail(promise, detail);
        this.contact = new ContactRecord(() => performance.now(), gateways);
        this.evacuations = new EvacuationOracle(this.contact, gateways, fail);
        this.coldServers = new ColdServerOracle(platformLimits.coldRate, this.contact, gateways, fail);
        this.serverLimits = new ServerLimitOracle(
            requestLimitOf,
            (promise, detail) => this.fail(promise, detail),
            gateway => this.isExcusedFromLimits(gateway),
        );
    }

    fail(promise: string, detail: string): void {
        this.violations.push({ promise, detail, at: Math.round(performance.now()) });
    }

    /** Records that the soak's own event loop was late, which makes its times inexact by as much. */
    recordLag(lag: number): void {
        this.lags.push({ at: performance.now(), lag });
    }

    /** Records a fault of a gateway's process, or of its link to the store. */
    recordGatewayFault({ name }: SoakGateway, duration: number): void {
        this.faultRecord.recordProcessFault(name, duration);
        this.reachRecord.recordProcessFault(name, duration);
    }

    /** Records a fault of the link between all gateways and a backend server. */
    recordServerLinkFault(server: string, duration: number): void {
        this.reachRecord.recordProcessFault(server, duration);
    }

    /** Whether time limits hold for a gateway at a time: no recent fault, and no recent lag of the soak itself. */
    mustMeetTimeLimits({ name }: SoakGateway, at: number): boolean {
        return this.checksTimeLimits && this.faultRecord.isFaultFree(name, at)
            && this.lagSince(at - platformLimits.faultRecovery) === 0;
    }

    /** Whether a gateway must know what the store says, from the store or from another gateway. */
    mustKnowStore(gateway: SoakGateway, at: number): boolean {
        const isInContact = this.checksTimeLimits && this.contact.isInContact(gateway)
            && this.lagSince(at - platformLimits.faultRecovery) === 0;
        return isInContact || this.mustMeetTimeLimits(gateway, at);
    }

    /** Whether two gateways have had a link for long enough to know what the other one knows. */
    areLinked(one: SoakGateway, other: SoakGateway): boolean {
        const since = performance.now() - platformLimits.faultRecovery;
        return this.checksTimeLimits && this.lagSince(since) === 0 && this.contact.areLinked(one, other);
    }

    private isExcusedFromLimits({ name }: SoakGateway): boolean {
        const since = performance.now() - platformLimits.faultRecovery;
        return !this.checksTimeLimits || this.faultRecord.hadFaultSince(name, since) || this.lagSince(since) > 0;
    }

    private lagSince(since: number): number {
        return this.lags.filter(({ at }) => at >= since).reduce((sum, { lag }) => sum + lag, 0);
    }

    recordRequest(request: SoakRequest): void {
        this.requests.set(request.id, request);
    }

    /** Forgets what an incarnation of a backend server told gateways: another one replaces it. */
    forgetServer(server: string): void {
        this.restartedAt.set(server, performance.now());
        this.serverNotices.forgetServer(server);
        this.serverPauses.forgetServer(server);
    }

    /**
     * Records what the head of a response says of its backend server. A notice of an incarnation that another one has
     * replaced in the meantime does not bind the gateway.
     */
    recordHead({ id, gateway }: SoakRequest, { server, declaresLimit, isServerLeaving }: SoakResponseHead): void {
        const now = performance.now();
        if (server === undefined) {
            return;
        }
        if (declaresLimit) {
            this.serverLimits.recordInformed(gateway, server, now);
        }
        const reachedAt = this.arrivedAt.get(id)?.get(server) ?? now;
        if (isServerLeaving && reachedAt >= (this.restartedAt.get(server) ?? -Infinity)) {
            this.serverNotices.recordInformed(gateway, server, now);
        }
    }

    /** Records and checks the end of a request; undefined where no response arrived. */
    recordResponse(request: SoakRequest, response: SoakResponse | undefined): void {
        if (request.end === "left") {
            return;
        }
        request.end = this.classifyResponse(request, response);
        if (request.end === "cut" && this.hasServerBrokenOff(request)) {
            this.endedWithServer.push(request.id);
        }
        const endName = typeof request.end === "object" ? request.end.failure : request.end;
        this.endCounts.set(endName, (this.endCounts.get(endName) ?? 0) + 1);
        this.checkNotRun(request);
        this.checkDenial(request);
        this.checkAnswered(request, response !== undefined);
        this.checkTimeLimits(request);
    }

    /** Checks that a request is not denied if every configuration allows it, as they all do but for probes. */
    private checkDenial({ id, kind, end }: SoakRequest): void {
        if (kind !== "probe" && isDenial(end)) {
            this.fail("allowed_requests_are_not_denied", `${id} got ${end.failure}`);
        }
    }

    /**
     * Checks that a request that was sent on to sound backend servers gets an answer: a whole one if a server completed
     * it or a planned stop had to leave it its answer, and otherwise at least its beginning or a failure.
     */
    private checkAnswered(request: SoakRequest, hasBegun: boolean): void {
        const { id, end, deadlineAt } = request;
        const servers = [...this.arrivedAt.get(id)?.keys() ?? []];
        const isReady = this.runs.get(id)?.at(-1)?.isComplete === true;
        const isOwed = isReady || !hasBegun || this.mustSurviveStop(request);
        if (
            end === "cut" && servers.length > 0 && isOwed && performance.now() < deadlineAt
            && !this.mayBeCut(request, servers)
        ) {
            this.fail(
                "read_requests_are_answered",
                `${id} reached ${servers.join(" and ")}, and got ${hasBegun ? "a part of its answer" : "no answer"}${
                    describeStop(request)
                }`,
            );
        }
    }

    /** Whether a fault, the end of a planned stop, or a server that ended may have cut a request. */
    private mayBeCut(request: SoakRequest, servers: readonly string[]): boolean {
        const { gateway, sentAt, connectionOpenedAt } = request;
        const { name, killedAt, stopRequestedAt, callersSilencedAt } = gateway;
        const mayStopCut = stopRequestedAt !== undefined && !this.mustSurviveStop(request);
        const lastServer = this.runs.get(request.id)?.at(-1)?.server;
        const isServerGone = (lastServer === undefined ? servers : [lastServer])
            .some(server => !this.isServerRunning(server));
        return killedAt !== undefined || mayStopCut || connectionOpenedAt <= callersSilencedAt
            || [name, "workers"].some(each => this.faultRecord.hadFaultSince(each, sentAt)) || isServerGone;
    }

    /** Whether the planned stop of its gateway has to leave a request its answer. */
    private mustSurviveStop({ id, sentAt, gateway: { stopRequestedAt } }: SoakRequest): boolean {
        const now = performance.now();
        const lastRun = this.runs.get(id)?.at(-1);
        const workedUntil = lastRun && (lastRun.endedAt ?? now);
        return mustSurviveStop({ sentAt, stopRequestedAt, workedUntil }, now);
    }

    /** Whether the server of a request's last run has ended with it. */
    private hasServerBrokenOff({ id }: SoakRequest): boolean {
        const lastRun = this.runs.get(id)?.at(-1);
        return lastRun !== undefined && !lastRun.isComplete && !this.isServerRunning(lastRun.server);
    }

    private classifyResponse(request: SoakRequest, response: SoakResponse | undefined): PlatformRequestEnd {
        if (response === undefined) {
            return "cut";
        }
        const { status, isSealed, isComplete, body } = response;
        if (status !== successStatus) {
            return { failure: String(status), isNotRun: notRunStatuses.has(status) };
        }
        if (!isSealed) {
            this.fail("whole_and_own_answer", `${request.id} got a success without the seal of a backend server`);
        }
        if (isStreamed(request.kind)) {
            this.checkStream(request, body, isComplete);
        }
        else if (isComplete && body !== `answer to ${request.id}`) {
            this.fail("whole_and_own_answer", `${request.id} got "${body}"`);
        }
        return isComplete ? "whole" : "cut";
    }

    private checkStream(request: SoakRequest, body: string, isComplete: boolean): void {
        const { events, rest } = splitPieces(body);
        const lineages = new Set(events.map(({ lineage }) => lineage));
        const before = request.takesUp?.lastEvent ?? 0;
        const isInOrder = events.every(({ id }, index) => id === before + index + 1);
        this.checkVersions(request, events.map(({ softwareVersion }) => softwareVersion));
        this.checkRuns(request, events, before);
        if (isComplete ? rest !== "" : !isEventBeginning(rest)) {
            this.fail(
                "events_once_in_order_one_run",
                `${request.id} got ${JSON.stringify(rest.slice(0, maximumShownText))} after event ${
                    events.at(-1)?.id ?? before
                }`,
            );
        }
        request.lastEvent = before + events.length;
        if (!isInOrder || (request.kind === "plan" && lineages.size > 1)) {
            this.fail(
                "events_once_in_order_one_run",
                `${request.id} got ${events.map(({ id }) => id).join(",")} of ${[...lineages].join(" ")}`,
            );
        }
        if ([...lineages].some(lineage => !lineage.includes(`/${request.id}/`))) {
            this.fail("whole_and_own_answer", `${request.id} got events of ${[...lineages].join(" ")}`);
        }
        if (isComplete && request.lastEvent !== request.events) {
            this.fail(
                "whole_and_own_answer",
                `${request.id} ended with ${request.lastEvent} of ${request.events} events`,
            );
        }
    }

    /** Checks that each event is of a run of the request, and that a run goes on where the one before it ended. */
    private checkRuns({ id: requestId }: SoakRequest, events: readonly RunEvent[], before: number): void {
        const lineages = this.runs.get(requestId)?.map(({ lineage }) => lineage) ?? [];
        let previous: { readonly lineage: string | undefined; readonly id: number; } = {
            lineage: undefined,
            id: before,
        };
        for (const event of events) {
            if (!mayGoOn(previous, event) || !lineages.includes(event.lineage)) {
                this.fail(
                    "events_once_in_order_one_run",
                    `${requestId} got event ${event.id} of ${event.lineage} after ${previous.id} of ${previous.lineage}`,
                );
            }
            previous = event;
        }
    }

    /** Checks that all events of a stream are of one software version, also over the requests that take it up. */
    private checkVersions(request: SoakRequest, versions: readonly string[]): void {
        request.softwareVersion ??= request.takesUp?.softwareVersion ?? versions.at(0);
        const { softwareVersion } = request;
        if (versions.some(version => version !== softwareVersion)) {
            this.fail("one_software_version", `${request.id} got ${versions.join(" and ")} after ${softwareVersion}`);
        }
    }

    private checkNotRun({ id, end }: SoakRequest): void {
        if (typeof end === "object" && end.isNotRun && (this.runs.get(id) ?? []).length > 0) {
            this.fail("not_run_is_true", `${id} has run, and its caller got ${end.failure}`);
        }
    }

    private checkTimeLimits(request: SoakRequest): void {
        const now = performance.now();
        const hadFault = this.faultRecord.hadFaultSince(request.gateway.name, request.sentAt)
            || request.connectionOpenedAt <= request.gateway.callersSilencedAt;
        const limit = request.deadlineAt + answerSlack + this.lagSince(request.sentAt);
        if (this.checksTimeLimits && !hadFault && now > limit) {
            const late = Math.round(now - request.deadlineAt);
            const took = Math.round(now - request.sentAt);
            this.fail("final_answer_in_time", `${request.id} ended ${late} ms late, ${took} ms after it was sent`);
        }
        this.checkStop(request);
    }

    /**
     * Checks that no planned stop ended a request before its deadline although it may not, without faults of the system
     * since the request. Until the last part of the stop a failure counts as well, unless the request has not run.
     */
    private checkStop(request: SoakRequest): void {
        const { id, kind, end, sentAt, bodySentAt, deadlineAt, gateway: { stopRequestedAt } } = request;
        const now = performance.now();
        // A request that crosses the close of its connection, and reached no backend server, may be
        // sent again by its caller.
        const crossedClose = !this.arrivedAt.has(id) && now - bodySentAt <= closeCrossingTime;
        // The version oracle judges whether the configuration denied a probe.
        const isDeniedProbe = kind === "probe" && isDenial(end);
        if (now >= deadlineAt || crossedClose || isDeniedProbe || !this.faultRecord.isSystemFaultFree(sentAt)) {
            return;
        }
        const isLost = isEarlyInStop(stopRequestedAt, now)
            ? end === "cut" || (typeof end === "object" && !end.isNotRun)
            : end === "cut" && !this.hasServerBrokenOff(request) && this.mustSurviveStop(request);
        if (isLost) {
            const cause = this.hasServerBrokenOff(request) ? ", with its server" : "";
            this.fail("planned_stop_cuts_nothing", `${id} was lost in a planned stop${cause}${describeStop(request)}`);
        }
    }

    /** Records that a call reached a backend server. */
    recordArrival({ callerAttemptId }: ServerCall, server: string): void {
        const now = performance.now();
        const arrivedAt = this.arrivedAt.get(callerAttemptId) ?? new Map<string, number>();
        this.arrivedAt.set(callerAttemptId, arrivedAt.set(server, now));
        const drainPublished = this.drainPublishedAt(server);
        const request = this.requests.get(callerAttemptId);
        if (request !== undefined) {
            this.serverLimits.recordArrival(request.gateway, server, now);
            this.serverPauses.recordArrival(request.gateway, server, now);
            this.serverNotices.checkArrival(request.gateway, server, request.sentAt);
        }
        if (drainPublished === undefined || request === undefined || now <= drainPublished + platformLimits.drain) {
            return;
        }
        // The call may have been delayed by the relay before the backend server, or by the soak itself.
        const isLinkSound = !this.reachRecord.hadFaultSince(server, now - platformLimits.faultRecovery);
        if (isLinkSound && this.mustKnowStore(request.gateway, now)) {
            this.fail(
                "leaving_gets_no_new_work",
                `${callerAttemptId} reached ${server} ${
                    Math.round(now - drainPublished)
                } ms after its notice or removal`,
            );
        }
    }

    /** Records what gateways know by now. Is called several times a second. */
    observeGateways(): void {
        this.contact.observe();
        this.evacuations.observe();
        this.coldServers.observe(performance.now());
    }

    /**
     * Checks a call to a server whose failure domain may be evacuated, and counts it if the server is cold. Calls that
     * the relay before the server or the soak itself may have delayed are not checked.
     */
    checkDomain(
        { callerAttemptId, target }: ServerCall,
        server: string,
        failureDomain: string | undefined,
        coldPeriod: ColdPeriod | undefined,
    ): void {
        const now = performance.now();
        const since = now - platformLimits.faultRecovery;
        const request = this.requests.get(callerAttemptId);
        if (
            !this.checksTimeLimits || request === undefined || failureDomain === undefined || target !== server
            || this.lagSince(since) > 0 || this.reachRecord.hadFaultSince(server, since)
        ) {
            return;
        }
        this.evacuations.checkArrival(request.gateway, server, failureDomain, now);
        if (coldPeriod !== undefined) {
            this.coldServers.recordArrival(request.gateway, server, coldPeriod, now, now);
        }
    }

    /** Records that a backend server refused a call and asked its gateway for a pause in milliseconds. */
    recordPause({ callerAttemptId }: ServerCall, server: string, pause: number): void {
        const request = this.requests.get(callerAttemptId);
        if (request !== undefined) {
            this.serverPauses.recordRefusal(request.gateway, server, pause, performance.now());
        }
    }

    /** Records that a backend server started a run. */
    recordRun(run: ServerRun): void {
        const { callerAttemptId } = run;
        const request = this.requests.get(callerAttemptId);
        const runs = [...this.runs.get(callerAttemptId) ?? [], run];
        this.runs.set(callerAttemptId, runs);
        if (request === undefined) {
            return this.fail("whole_and_own_answer", `${run.server} runs ${callerAttemptId}, which no caller sent`);
        }
        if (run.service !== serviceOf(request.kind)) {
            this.fail("only_the_routes_service_runs", `${callerAttemptId} is run by ${run.service}`);
        }
        const freshRuns = runs.filter(({ continuesFromReplica }) => !continuesFromReplica);
        if (mustRunAtMostOnce(request.kind) && freshRuns.length > 1) {
            this.fail("non_idempotent_at_most_once", `${callerAttemptId} has run ${freshRuns.length} times`);
        }
        this.checkNotRun(request);
        if (this.checksTimeLimits && runs.length > 1) {
            this.scheduleRunCheck(request, runs);
        }
    }

    /** Checks the earlier ones of some runs after the time in which they must end, or later if the soak itself lags. */
    private scheduleRunCheck(request: SoakRequest, runs: readonly ServerRun[]): void {
        const begunAt = performance.now();
        const checkAfter = (delay: number, allowedLag: number): void => {
            setTimeout(() => {
                const lag = this.lagSince(begunAt);
                return lag > allowedLag
                    ? checkAfter(lag - allowedLag, lag)
                    : this.checkEarlierRunsEnded(request, runs);
            }, delay);
        };
        checkAfter(platformLimits.supersededRunEnd, 0);
    }

    /**
     * Checks that all runs of a request but the newest have ended, unless a fault since the request kept its gateway
     * from ending them.
     */
    private checkEarlierRunsEnded({ id, gateway, sentAt }: SoakRequest, runs: readonly ServerRun[]): void {
        const newest = runs[runs.length - 1];
        const activeRun = runs.slice(0, -1).find(({ endedAt, server }) =>
            endedAt === undefined && !this.reachRecord.hadFaultSince(server, sentAt)
        );
        // An engine reports a run with its first token, so one that did not continue may have been sent before the others.
        const isSuperseded = newest.continuesFromReplica || newest.endedAt === undefined;
        if (activeRun !== undefined && isSuperseded && !this.reachRecord.hadFaultSince(gateway.name, sentAt)) {
            this.fail("one_run_at_a_time", `${id} is still running at ${activeRun.server}`);
        }
    }

    /** Checks, once all faults are over, that every request has ended and that no backend server still runs one. */
    checkFinalState(): void {
        for (const request of this.requests.values()) {
            if (request.end === undefined) {
                this.fail("final_answer_in_time", `${request.id} never ended`);
            }
            const activeRun = this.runs.get(request.id)?.find(({ endedAt }) => endedAt === undefined);
            if (activeRun !== undefined) {
                this.fail("left_caller_ends_work", `${request.id} is still running at ${activeRun.server}`);
            }
        }
    }
}

function isDenial(end: PlatformRequestEnd | undefined): end is Extract<PlatformRequestEnd, object> {
    return typeof end === "object" && denialStatuses.has(end.failure);
}

/** When in the planned stop of its gateway a request was sent and ended, in milliseconds since the request to stop. */
function describeStop({ kind, sentAt, gateway: { process, stopRequestedAt } }: SoakRequest): string {
    if (stopRequestedAt === undefined) {
        return "";
    }
    const [sent, ended] = [sentAt, performance.now()].map(at => Math.round(at - stopRequestedAt));
    return `: ${kind} at ${process.options.name}, sent ${sent} and ended ${ended} ms after the request to stop`;
}
