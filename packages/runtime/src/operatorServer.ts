/**
 * Serves the remote procedure calls of operators and of other entries, on a port of its own and with a bearer token.
 */
import { create } from "@bufbuild/protobuf";
import { Code, ConnectError, type ConnectRouter, createClient, type Interceptor } from "@connectrpc/connect";
import { connectNodeAdapter, createConnectTransport } from "@connectrpc/connect-node";
import type { OperatorAnswer, OperatorCall } from "@verbenaspring/entry";
import {
    type ConfigurationSnapshot,
    type DocumentByKind,
    type DocumentKind,
    documentSchemas,
    type Milliseconds,
} from "@verbenaspring/model";
import {
    ChangeResponseSchema,
    DocumentSchema,
    GetConfigurationResponseSchema,
    GetRevisionResponseSchema,
    ListDocumentsResponseSchema,
    ListWaitsResponseSchema,
    OperatorService,
    PeerService,
} from "@verbenaspring/schema";
import { timingSafeEqual } from "node:crypto";
import { createServer } from "node:http2";
import { sha256Hex } from "./callParser.js";
import { boundSessions, type SessionBounds, sessionOptions } from "./sessionBounds.js";
import { listen } from "./socketAddress.js";

/** Operators and the other entries; calls are short. */
const operatorBounds: SessionBounds = { sessions: 128, streams: 16 };
/** The longest call of an operator, which holds one document. */
const maxDocumentBytes = 4 * 1024 * 1024;

/** The token, and the entry's handlers of calls. */
export interface OperatorServerOptions {
    readonly token: string;
    readonly handleCall: (call: OperatorCall) => Promise<OperatorAnswer>;
    readonly snapshot: () => ConfigurationSnapshot;
}

/** The operator server of one entry. */
export interface OperatorServer {
    readonly listen: (address: string) => Promise<void>;
    readonly close: () => void;
}

/**
 * Creates the operator server.
 *
 * @example
 * const server = createOperatorServer({ token, handleCall, snapshot });
 */
export function createOperatorServer(options: OperatorServerOptions): OperatorServer {
    const adapter = connectNodeAdapter({
        readMaxBytes: maxDocumentBytes,
        interceptors: [requireToken(options.token)],
        routes: router => {
            addOperatorService(router, options);
            router.service(PeerService, {
                getConfiguration: () =>
                    create(GetConfigurationResponseSchema, { snapshot: JSON.stringify(options.snapshot()) }),
            });
        },
    });
    const server = createServer(sessionOptions(operatorBounds), adapter);
    boundSessions(server, operatorBounds);
    return { listen: address => listen(server, address), close: () => server.close() };
}

function requireToken(token: string): Interceptor {
    const expectedDigest = Buffer.from(sha256Hex(`Bearer ${token}`));
    return next => async request => {
        const givenDigest = Buffer.from(sha256Hex(request.header.get("authorization") ?? ""));
        if (!timingSafeEqual(givenDigest, expectedDigest)) {
            throw new ConnectError("unknown operator token", Code.Unauthenticated);
        }
        return next(request);
    };
}

function addOperatorService(router: ConnectRouter, { handleCall }: OperatorServerOptions): void {
    router.service(OperatorService, {
        putDocument: async request => {
            const kind = parseKind(request.kind);
            const value = parseDocument(kind, request.document);
            const { expectedRevision } = request;
            return changeResponse(
                await handleCall({ kind: "change", document: kind, name: value.name, value, expectedRevision }),
            );
        },
        deleteDocument: async request => {
            const { name, expectedRevision } = request;
            const document = parseKind(request.kind);
            return changeResponse(
                await handleCall({ kind: "change", document, name, value: undefined, expectedRevision }),
            );
        },
        listDocuments: async request => {
            const document = request.kind === "" ? undefined : parseKind(request.kind);
            return documentsResponse(await handleCall({ kind: "listDocuments", document }));
        },
        getRevision: async () => revisionResponse(await handleCall({ kind: "revision" })),
        listWaits: async request => {
            const organisation = request.organisation === "" ? undefined : request.organisation;
            return waitsResponse(await handleCall({ kind: "waits", organisation }));
        },
    });
}

function parseKind(text: string): DocumentKind {
    if (!(text in documentSchemas)) {
        const kinds = Object.keys(documentSchemas).join(", ");
        throw new ConnectError(`no kind of document is called "${text}"; there are ${kinds}`, Code.InvalidArgument);
    }
    return text as DocumentKind;
}

function parseDocument(kind: DocumentKind, text: string): DocumentByKind[DocumentKind] {
    let value: unknown;
    try {
        value = JSON.parse(text);
    }
    catch (error) {
        throw new ConnectError(`the document is not JSON: ${String(error)}`, Code.InvalidArgument);
    }
    const parsed = documentSchemas[kind].safeParse(value);
    if (!parsed.success) {
        const problems = parsed.error.issues.map(issue => `${issue.path.join(".") || kind}: ${issue.message}`);
        throw new ConnectError(problems.join("; "), Code.InvalidArgument);
    }
    return parsed.data as DocumentByKind[DocumentKind];
}

function changeResponse(answer: OperatorAnswer) {
    if (answer.kind === "conflict") {
        const message = `the document is at revision ${answer.revision}; read it and try again`;
        throw new ConnectError(message, Code.Aborted);
    }
    return create(ChangeResponseSchema, { revision: expectKind(answer, "changed").revision });
}

function documentsResponse(answer: OperatorAnswer) {
    const { configurationOffset, documents } = expectKind(answer, "documents");
    return create(ListDocumentsResponseSchema, {
        configurationOffset,
        documents: documents.map(({ kind, name, revision, document }) =>
            create(DocumentSchema, { kind, name, revision, document: JSON.stringify(document) })
        ),
    });
}

function revisionResponse(answer: OperatorAnswer) {
    const { configurationOffset, sidecars } = expectKind(answer, "revision");
    return create(GetRevisionResponseSchema, { configurationOffset, sidecars: [...sidecars] });
}

function waitsResponse(answer: OperatorAnswer) {
    const { waits } = expectKind(answer, "waits");
    return create(ListWaitsResponseSchema, { waits: waits.map(wait => ({ ...wait, spans: [...wait.spans] })) });
}

function expectKind<Kind extends OperatorAnswer["kind"]>(
    answer: OperatorAnswer,
    kind: Kind,
): Extract<OperatorAnswer, { readonly kind: Kind; }> {
    if (answer.kind === "unavailable") {
        throw new ConnectError(answer.message, Code.Unavailable);
    }
    if (answer.kind !== kind) {
        throw new ConnectError(`unexpected answer ${answer.kind}`, Code.Internal);
    }
    return answer as Extract<OperatorAnswer, { readonly kind: Kind; }>;
}

/**
 * Requests the configuration of peers. Peers that fail or do not answer in time are omitted from the result.
 *
 * @example
 * const snapshots = await requestConfigurationSnapshots(["127.0.0.1:9102"], token, 1_000);
 */
export async function requestConfigurationSnapshots(
    addresses: readonly string[],
    token: string,
    timeout: Milliseconds,
): Promise<ConfigurationSnapshot[]> {
    const answers = await Promise.allSettled(
        addresses.map(address => requestConfigurationSnapshot(address, token, timeout)),
    );
    return answers.flatMap(answer => answer.status === "fulfilled" ? [answer.value] : []);
}

async function requestConfigurationSnapshot(
    address: string,
    token: string,
    timeout: Milliseconds,
): Promise<ConfigurationSnapshot> {
    const transport = createConnectTransport({ baseUrl: `http://${address}`, httpVersion: "2" });
    const client = createClient(PeerService, transport);
    const headers = { authorization: `Bearer ${token}` };
    const answer = await client.getConfiguration({}, { headers, timeoutMs: timeout });
    return JSON.parse(answer.snapshot) as ConfigurationSnapshot;
}
