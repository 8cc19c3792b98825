/**
 * Which software version began a stream that a caller takes up, also when the gateway that served it is gone. The answer
 * is in the platform's store: a base version of each service, which began every stream without a record, and a record of
 * each stream that began at another version. A stream's first event is passed on once its record is stored, so that no
 * caller can take up a stream that is missing there. While one version alone serves, nothing is recorded.
 */
import type {
    CallerAttemptId,
    LogOffset,
    Milliseconds,
    RequestId,
    ServiceName,
    SoftwareVersion,
} from "@verbenaspring/model";
import {
    endBaseWrite,
    followVersions,
    registeredVersions,
    replaceBases,
    resumableServices,
    streamLifetime,
} from "./baseVersions.js";
import { isStart } from "./eventIds.js";
import { mayHaveBegunElsewhere } from "./formerConfigurations.js";
import { failRequest, requestFields } from "./requests.js";
import { dispatch } from "./sending.js";
import type { GatewayRequest, GatewayState } from "./state.js";
import { writeHeldEvents } from "./streams.js";
import type { StreamOrigin } from "./streamVersions.js";
import { logDecision, type Transaction } from "./transaction.js";

/** The version that began streams of one service, as recorded in the store. */
export interface StreamRecord {
    readonly service: ServiceName;
    readonly softwareVersion: SoftwareVersion | undefined;
    /** The attempts that got the first events. */
    readonly attempts: readonly CallerAttemptId[];
}

/** The base version of a service. */
export interface BaseVersion {
    readonly service: ServiceName;
    readonly softwareVersion: SoftwareVersion | undefined;
}

/** What a read of the register found. */
export interface StreamRegisterPage {
    readonly baseVersions: readonly BaseVersion[];
    /** The offset after the last base version; a base version is only written if none has been since. */
    readonly baseEnd: LogOffset;
    readonly records: readonly StreamRecord[];
    /** The offset from which the next read of records continues. */
    readonly next: LogOffset;
}

interface KnownOrigin {
    readonly service: ServiceName;
    readonly origin: StreamOrigin;
    readonly knownAt: Milliseconds;
}

/** What a gateway knows of the register, and what it waits for. Owned and changed by the event loop. */
export interface StreamRegister {
    /** Undefined until they are read, and when they may have changed without notice. */
    baseVersions: ReadonlyMap<ServiceName, StreamOrigin> | undefined;
    baseEnd: LogOffset;
    next: LogOffset;
    /** Streams that began here, and those in records, oldest first. */
    readonly origins: Map<CallerAttemptId, KnownOrigin>;
    /** When servers of each version were last registered. */
    readonly versionsSeenAt: Map<ServiceName, Map<SoftwareVersion | undefined, Milliseconds>>;
    /** When a record of each service was last read; its streams may be taken up for their lifetime. */
    readonly recordsReadAt: Map<ServiceName, Milliseconds>;
    isReading: boolean;
    isWritingBase: boolean;
    nextReadAt: Milliseconds;
    nextWriteAt: Milliseconds;
    nextAppendAt: Milliseconds;
    /** Requests that take up streams, and wait for a read that starts after they arrived. */
    takeUps: RequestId[];
    /** The same, for the read in progress. */
    takeUpsInRead: RequestId[];
    /** Requests whose streams wait for the next append of records. */
    unrecorded: RequestId[];
    /** The same, for the append in progress. */
    unrecordedInAppend: RequestId[];
}

/** The shortest time between two reads for a base version that is not known. */
const readInterval: Milliseconds = 500;
/** The time from a failed append to the next one. */
const appendRetryInterval: Milliseconds = 200;
/** The `retryAfter` of a take-up while the store does not answer. */
const unreadableRetryAfter: Milliseconds = 500;
/** The `retryAfter` of a take-up on a route that does not allow it: another gateway may know a newer configuration. */
const unresumableRetryAfter: Milliseconds = 500;
/** More streams than begin at one gateway in their lifetime; beyond that the oldest are evicted. */
const maximumOrigins = 65_536;

/** Creates a register that has not been read. */
export function createStreamRegister(): StreamRegister {
    return {
        baseVersions: undefined,
        baseEnd: 0,
        next: 0,
        origins: new Map(),
        versionsSeenAt: new Map(),
        recordsReadAt: new Map(),
        isReading: false,
        isWritingBase: false,
        nextReadAt: -Infinity,
        nextWriteAt: -Infinity,
        nextAppendAt: -Infinity,
        takeUps: [],
        takeUpsInRead: [],
        unrecorded: [],
        unrecordedInAppend: [],
    };
}

/** Whether a request takes up a stream that an earlier request began. */
export function isTakeUp({ route, head }: GatewayRequest): boolean {
    return route.isStream && (!isStart(head.lastEvent) || (route.canResume && head.resumedAttemptId !== undefined));
}

/**
 * Finds out where the stream began that a request takes up, and sends the request on, now or after a read. It is refused
 * where its route does not allow that, as by another version of the configuration: from the beginning, the caller would get
 * events that it has.
 */
export function handleTakeUp(transaction: Transaction, request: GatewayRequest): void {
    const { state } = transaction;
    if (!request.route.canResume) {
        const message = "the route does not allow its streams to be resumed";
        return failRequest(transaction, request, "no_backend_server", message, unresumableRetryAfter);
    }
    const { origins, takeUps } = state.streamRegister;
    const { resumedAttemptId } = request.head;
    const known = resumedAttemptId === undefined ? undefined : origins.get(resumedAttemptId);
    if (known !== undefined) {
        return sendTakeUp(transaction, request, known);
    }
    takeUps.push(request.id);
    startRead(transaction);
}

/** Sends a take-up to the service and the version that began its stream, if its route still leads there. */
function sendTakeUp(transaction: Transaction, request: GatewayRequest, { service, origin }: KnownOrigin): void {
    if (!request.route.targets.some(target => target.service === service)) {
        return failRequest(
            transaction,
            request,
            "no_backend_server",
            "the route no longer leads to the service that began the stream",
        );
    }
    request.service = service;
    request.origin = origin;
    dispatch(transaction, request);
}

/**
 * Keeps a new stream's first events until its record is stored, where it needs one. Returns whether they are kept.
 *
 * @param isBeginning whether the stream's first event has just come
 */
export function holdUntilRecorded(transaction: Transaction, request: GatewayRequest, isBeginning: boolean): boolean {
    const { streamRegister } = transaction.state;
    if (request.held !== undefined) {
        return true;
    }
    if (!isBeginning || !request.route.canResume || request.origin === undefined) {
        return false;
    }
    const { head: { callerAttemptId }, service, origin, route } = request;
    rememberOrigin(transaction, callerAttemptId, service, origin);
    const base = streamRegister.baseVersions?.get(service);
    // Of a route to several services, the base version alone does not tell which began the stream.
    if (route.targets.length === 1 && base !== undefined && base.softwareVersion === origin.softwareVersion) {
        return false;
    }
    streamRegister.unrecorded.push(request.id);
    startAppend(transaction);
    return true;
}

function startAppend({ state, now, effects }: Transaction): void {
    const { streamRegister } = state;
    if (streamRegister.unrecordedInAppend.length > 0 || now < streamRegister.nextAppendAt) {
        return;
    }
    const requests = streamRegister.unrecorded.flatMap(id => state.requests.get(id) ?? []);
    streamRegister.unrecorded = [];
    if (requests.length === 0) {
        return;
    }
    streamRegister.unrecordedInAppend = requests.map(({ id }) => id);
    const records = requests.map(({ service, origin, head: { callerAttemptId } }) => ({
        service,
        softwareVersion: origin?.softwareVersion,
        attempts: [callerAttemptId],
    }));
    effects.push({ kind: "callStreamRegister", call: { kind: "record", records } });
}

/**
 * Handles the end of an append: passes on the events that waited for it. If it failed, the streams wait for another one.
 * Their events are not passed on without a record: if this gateway were lost, the rest would come from another version.
 * Nor do they begin again at the base version, since the append may have taken effect. Only a whole answer is passed on,
 * which no caller takes up.
 */
export function handleStreamsRecorded(transaction: Transaction, isRecorded: boolean): void {
    const { state, now } = transaction;
    const { streamRegister, requests } = state;
    const waiting = streamRegister.unrecordedInAppend.flatMap(id => requests.get(id) ?? []);
    streamRegister.unrecordedInAppend = [];
    if (!isRecorded) {
        streamRegister.nextAppendAt = now + appendRetryInterval;
    }
    for (const request of waiting) {
        if (isRecorded || request.held?.hasEnded) {
            writeHeldEvents(transaction, request);
        }
        else if (request.held !== undefined) {
            logDecision(transaction, "warn", "stream_unrecorded", requestFields(transaction, request));
            request.held.hasFailed = true;
            streamRegister.unrecorded.push(request.id);
        }
    }
    startAppend(transaction);
}

function startRead({ state, now, effects }: Transaction): void {
    const { streamRegister } = state;
    if (streamRegister.isReading) {
        return;
    }
    streamRegister.isReading = true;
    streamRegister.nextReadAt = now + readInterval;
    streamRegister.takeUpsInRead = streamRegister.takeUps;
    streamRegister.takeUps = [];
    effects.push({ kind: "callStreamRegister", call: { kind: "read", from: streamRegister.next } });
}

/** Handles a read of the register, and sends on the take-ups that waited for it. */
export function handleStreamRegisterRead(transaction: Transaction, page: StreamRegisterPage): void {
    const { streamRegister } = transaction.state;
    streamRegister.baseVersions = new Map(
        page.baseVersions.map(({ service, softwareVersion }) => [service, { softwareVersion }]),
    );
    streamRegister.baseEnd = page.baseEnd;
    streamRegister.next = page.next;
    for (const { attempts, service, softwareVersion } of page.records) {
        attempts.forEach(id => rememberOrigin(transaction, id, service, { softwareVersion }));
        streamRegister.recordsReadAt.set(service, transaction.now);
    }
    endRead(transaction, request => {
        const known = registeredOrigin(transaction, request);
        if (known === undefined) {
            return failRequest(
                transaction,
                request,
                "no_backend_server",
                "what began the stream is not known",
            );
        }
        sendTakeUp(transaction, request, known);
    });
}

/**
 * Where the stream began that a request takes up, by the register as it was read after the request arrived. A caller that
 * does not name the attempt can only be served while no stream that may be taken up has begun at another version. Without a
 * record, its request must have led to one service alone while the stream may have begun.
 */
function registeredOrigin(
    { state, now }: Transaction,
    { head, service }: GatewayRequest,
): KnownOrigin | undefined {
    const { streamRegister, configuration } = state;
    const { resumedAttemptId } = head;
    const { origins, baseVersions, recordsReadAt } = streamRegister;
    const base = baseVersions?.get(service);
    const isAmbiguous = mayHaveBegunElsewhere(state, head, service, now);
    const unrecorded = base === undefined || isAmbiguous ? undefined : { service, origin: base, knownAt: now };
    if (resumedAttemptId === undefined) {
        const recordsAge = now - (recordsReadAt.get(service) ?? -Infinity);
        return recordsAge <= streamLifetime(configuration, service) ? undefined : unrecorded;
    }
    return origins.get(resumedAttemptId) ?? unrecorded;
}

/** Handles a failed read: refuses the take-ups that waited for it. */
export function handleStreamRegisterReadFailed(transaction: Transaction): void {
    endRead(transaction, request =>
        failRequest(
            transaction,
            request,
            "no_backend_server",
            "the software version that began the stream can't be read",
            unreadableRetryAfter,
        ));
}

function endRead(transaction: Transaction, settle: (request: GatewayRequest) => void): void {
    const { streamRegister, requests } = transaction.state;
    const waiting = streamRegister.takeUpsInRead;
    streamRegister.takeUpsInRead = [];
    streamRegister.isReading = false;
    waiting.forEach(id => {
        const request = requests.get(id);
        if (request !== undefined) {
            settle(request);
        }
    });
    if (streamRegister.takeUps.length > 0) {
        startRead(transaction);
    }
}

/** Handles the end of a write of a base version, whatever its outcome: the register is read again. */
export function handleBaseVersionWritten(transaction: Transaction): void {
    endBaseWrite(transaction);
    startRead(transaction);
}

/** Follows the versions in service, reads the register where it is unknown, and replaces base versions out of service. */
export function checkStreamRegister(transaction: Transaction): void {
    const { state, now } = transaction;
    const { streamRegister, configuration } = state;
    const services = resumableServices(configuration);
    followVersions(transaction, services);
    forgetOrigins(state, now);
    startAppend(transaction);
    if (services.length === 0) {
        return;
    }
    const isIncomplete = services.some(service =>
        !streamRegister.baseVersions?.has(service) && registeredVersions(state, service).length > 0
    );
    if (isIncomplete && now >= streamRegister.nextReadAt) {
        startRead(transaction);
    }
    if (streamRegister.baseVersions === undefined) {
        return;
    }
    replaceBases(transaction, services);
}

function forgetOrigins({ streamRegister: { origins }, configuration }: GatewayState, now: Milliseconds): void {
    const lifetime = Math.max(0, ...resumableServices(configuration).map(name => streamLifetime(configuration, name)));
    for (const [id, { knownAt }] of origins) {
        if (now - knownAt <= lifetime && origins.size <= maximumOrigins) {
            return;
        }
        origins.delete(id);
    }
}

function rememberOrigin(
    { state, now }: Transaction,
    id: CallerAttemptId,
    service: ServiceName,
    origin: StreamOrigin,
): void {
    state.streamRegister.origins.set(id, { service, origin, knownAt: now });
}
