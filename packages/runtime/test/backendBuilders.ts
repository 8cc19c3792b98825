/**
 * Builders of calls to backend servers and of the heads of their answers.
 */
import type { BackendCall, RequestHead, ResponseHead } from "@verbenaspring/gateway";
import { identifier } from "@verbenaspring/model";

/** A call to a server at an address. */
export function createCall(address: string, attemptId = "a"): BackendCall {
    const head: RequestHead = {
        callerAttemptId: identifier("c"),
        method: "POST",
        target: "/x/",
        host: "h",
        timeLimit: undefined,
        apiKey: undefined,
        lastEvent: undefined,
        resumedAttemptId: undefined,
        promptTokens: 0,
        maximumTokens: 0,
        estimatedTokens: undefined,
        sharedParts: [],
        headers: ["host", "h"],
    };
    return {
        attemptId: identifier(attemptId),
        backendServer: identifier("s"),
        address,
        head,
        timeLeft: 1_000,
        organisation: undefined,
        priority: undefined,
        replicaAddress: undefined,
        lastEvent: undefined,
        continuesFrom: undefined,
        needsFreshChannel: false,
    };
}

/** The head of an answer that is not a stream and ends with its channel. */
export function createResponseHead(status: number): ResponseHead {
    return {
        status,
        callerAttemptId: undefined,
        isSealed: true,
        isNotRun: false,
        isEncoded: false,
        requestLimit: undefined,
        isLeaving: false,
        retryAfter: undefined,
        isEventStream: false,
        endsWithChannel: true,
        isFirstOnChannel: true,
        headers: [],
    };
}
