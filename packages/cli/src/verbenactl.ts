#!/usr/bin/env node
/**
 * `verbenactl`, the operators' command line.
 */
import { Code, ConnectError, createClient } from "@connectrpc/connect";
import { createConnectTransport } from "@connectrpc/connect-node";
import { OperatorService } from "@verbenaspring/schema";
import { readFileSync } from "node:fs";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { exitCode } from "./exitCodes.js";
import { formatTable } from "./table.js";

const documentKinds = ["service", "route", "organisation", "drain", "evacuation"] as const;
const callTimeoutMs = 15_000;
const currentRevision = "current";

interface ConnectionArguments {
    readonly entry: string;
    readonly token?: string;
    readonly json: boolean;
}

function connect({ entry, token }: ConnectionArguments) {
    const bearer = token ?? process.env.VERBENASPRING_TOKEN ?? "";
    const transport = createConnectTransport({
        baseUrl: `http://${entry}`,
        httpVersion: "2",
        defaultTimeoutMs: callTimeoutMs,
        interceptors: [next => request => {
            request.header.set("authorization", `Bearer ${bearer}`);
            return next(request);
        }],
    });
    return createClient(OperatorService, transport);
}

type OperatorClient = ReturnType<typeof connect>;

function printResult(
    json: boolean,
    value: object,
    rows: readonly Readonly<Record<string, string | number | boolean>>[],
): void {
    process.stdout.write(json ? `${JSON.stringify(value)}\n` : formatTable(rows));
}

async function resolveRevision(
    client: OperatorClient,
    kind: string,
    name: string,
    expected: string,
): Promise<number> {
    if (expected !== currentRevision) {
        return Number(expected);
    }
    const { documents } = await client.listDocuments({ kind });
    return documents.find(document => document.name === name)?.revision ?? -1;
}

async function putDocument(
    arguments_: ConnectionArguments,
    kind: string,
    text: string,
    expected: string,
): Promise<void> {
    const client = connect(arguments_);
    const { name } = JSON.parse(text) as { name: string; };
    const expectedRevision = await resolveRevision(client, kind, name, expected);
    const { revision } = await client.putDocument({ kind, document: text, expectedRevision });
    printResult(arguments_.json, { kind, name, revision }, [{ kind, name, revision }]);
}

async function deleteDocument(
    arguments_: ConnectionArguments,
    kind: string,
    name: string,
    expected: string,
): Promise<void> {
    const client = connect(arguments_);
    const expectedRevision = await resolveRevision(client, kind, name, expected);
    const { revision } = await client.deleteDocument({ kind, name, expectedRevision });
    printResult(arguments_.json, { kind, name, revision }, [{ kind, name, revision }]);
}

async function listDocuments(arguments_: ConnectionArguments, kind: string | undefined): Promise<void> {
    const { configurationOffset, documents } = await connect(arguments_).listDocuments({ kind: kind ?? "" });
    const parsed = documents.map(({ kind, name, revision, document }) => ({
        kind,
        name,
        revision,
        document: JSON.parse(document) as object,
    }));
    const rows = documents.map(({ kind, name, revision, document }) => ({ kind, name, revision, document }));
    printResult(arguments_.json, { configurationOffset, documents: parsed }, rows);
}

async function showRevisions(arguments_: ConnectionArguments): Promise<void> {
    const { configurationOffset, sidecars } = await connect(arguments_).getRevision({});
    const rows = sidecars.map(({ backendServer, configurationOffset, current, leaving, connected }) => ({
        backendServer,
        configurationOffset,
        current,
        leaving,
        connected,
    }));
    printResult(arguments_.json, { configurationOffset, sidecars: rows }, [
        { backendServer: "(this entry)", configurationOffset, current: true, leaving: false, connected: true },
        ...rows,
    ]);
}

async function showWaits(arguments_: ConnectionArguments, organisation: string | undefined): Promise<void> {
    const response = await connect(arguments_).listWaits({ organisation: organisation ?? "" });
    const requests = response.waits.map(({ requestId, organisation, route, finished, spans }) => ({
        requestId,
        organisation,
        route,
        finished,
        spans: spans.map(({ reason, duration }) => ({ reason, milliseconds: Math.round(duration) })),
    }));
    const rows = requests.map(({ spans, ...request }) => ({
        ...request,
        waited: spans.map(({ reason, milliseconds }) => `${reason} ${milliseconds} ms`).join(", "),
    }));
    printResult(arguments_.json, { waits: requests }, rows);
}

/** Reads a file, or standard input for `-`, which yargs passes as an empty string. */
function readDocument(file: string): string {
    const isStandardInput = file === "-" || file === "";
    return readFileSync(isStandardInput ? 0 : file, "utf8");
}

/** Runs a command; if it fails, prints the error message and sets the exit code. */
async function runCommand(command: () => Promise<void>): Promise<void> {
    try {
        await command();
    }
    catch (error) {
        const failure = ConnectError.from(error);
        process.stderr.write(`${failure.rawMessage}\n`);
        process.exitCode = toExitCode(failure.code);
    }
}

function toExitCode(code: Code): number {
    switch (code) {
        case Code.Aborted:
            return exitCode.conflict;
        case Code.Unavailable:
        case Code.DeadlineExceeded:
            return exitCode.unavailable;
        case Code.InvalidArgument:
            return exitCode.usage;
        default:
            return exitCode.failure;
    }
}

const kindArgument = { choices: documentKinds, demandOption: true, describe: "kind of document" } as const;
const nameArgument = { type: "string", demandOption: true, describe: "the document's name" } as const;
const expectOption = {
    type: "string",
    default: currentRevision,
    describe: "expected revision of the document; -1 if it must not exist",
} as const;

await yargs(hideBin(process.argv))
    .scriptName("verbenactl")
    .usage("$0 COMMAND\n\nManages documents and drains backend servers through the operators' interface of any entry.")
    .options({
        entry: { type: "string", default: "127.0.0.1:9090", describe: "operators' address of an entry, IP:port" },
        token: { type: "string", describe: "operators' token; by default $VERBENASPRING_TOKEN" },
        json: { type: "boolean", default: false, describe: "print JSON for scripts" },
    })
    .command(
        "put <kind> <file>",
        "create or replace a document from a JSON file (- for standard input)",
        builder =>
            builder.positional("kind", kindArgument)
                .positional("file", { type: "string", demandOption: true, describe: "JSON file" })
                .option("expect", expectOption),
        args => runCommand(() => putDocument(args, args.kind, readDocument(args.file), args.expect)),
    )
    .command(
        "delete <kind> <name>",
        "delete a document",
        builder =>
            builder.positional("kind", kindArgument).positional("name", nameArgument).option("expect", expectOption),
        args => runCommand(() => deleteDocument(args, args.kind, args.name, args.expect)),
    )
    .command(
        "list [kind]",
        "list documents",
        builder => builder.positional("kind", { ...kindArgument, demandOption: false }),
        args => runCommand(() => listDocuments(args, args.kind)),
    )
    .command(
        "drain <backend>",
        "stop sending new requests to a backend server",
        builder => builder.positional("backend", { ...nameArgument, describe: "the backend server's name" }),
        args => runCommand(() => putDocument(args, "drain", JSON.stringify({ name: args.backend }), currentRevision)),
    )
    .command(
        "restore <backend>",
        "send requests to a drained backend server again",
        builder => builder.positional("backend", { ...nameArgument, describe: "the backend server's name" }),
        args => runCommand(() => deleteDocument(args, "drain", args.backend, currentRevision)),
    )
    .command(
        "revision",
        "show the configuration in force at the entry and at each sidecar",
        {},
        args => runCommand(() => showRevisions(args as unknown as ConnectionArguments)),
    )
    .command(
        "waits",
        "show which requests waited, why and for how long",
        builder => builder.option("organisation", { type: "string", describe: "only requests of this organisation" }),
        args => runCommand(() => showWaits(args, args.organisation)),
    )
    .demandCommand(1, "no command given")
    .strict()
    .fail((message, error) => {
        process.stderr.write(`${message ?? String(error)}\nSee verbenactl --help\n`);
        process.exit(exitCode.usage);
    })
    .epilogue("Exit codes: 0 success, 1 failure, 3 revision conflict, 4 unavailable, 64 invalid usage")
    .parseAsync();
