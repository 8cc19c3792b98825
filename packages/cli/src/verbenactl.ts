#!/usr/bin/env node
/**
 * The operators' command line.
 */
import { Code, ConnectError, createClient } from "@connectrpc/connect";
import { createConnectTransport } from "@connectrpc/connect-node";
import { OperatorService } from "@verbenaspring/schema";
import { readFileSync } from "node:fs";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { exitCode } from "./exitCodes.js";
import { formatTable } from "./table.js";

const documentKinds = ["service", "route", "organisation", "drain"] as const;
const callTimeout = 15_000;
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
        defaultTimeoutMs: callTimeout,
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

async function put(arguments_: ConnectionArguments, kind: string, text: string, expected: string): Promise<void> {
    const client = connect(arguments_);
    const { name } = JSON.parse(text) as { name: string; };
    const expectedRevision = await resolveRevision(client, kind, name, expected);
    const { revision } = await client.putDocument({ kind, document: text, expectedRevision });
    printResult(arguments_.json, { kind, name, revision }, [{ kind, name, revision }]);
}

async function remove(arguments_: ConnectionArguments, kind: string, name: string, expected: string): Promise<void> {
    const client = connect(arguments_);
    const expectedRevision = await resolveRevision(client, kind, name, expected);
    const { revision } = await client.deleteDocument({ kind, name, expectedRevision });
    printResult(arguments_.json, { kind, name, revision }, [{ kind, name, revision }]);
}

async function list(arguments_: ConnectionArguments, kind: string | undefined): Promise<void> {
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

async function revision(arguments_: ConnectionArguments): Promise<void> {
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

async function waits(arguments_: ConnectionArguments, organisation: string | undefined): Promise<void> {
    const answer = await connect(arguments_).listWaits({ organisation: organisation ?? "" });
    const requests = answer.waits.map(({ requestId, organisation, route, finished, spans }) => ({
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

/** Reads a document; yargs hands a lone dash on as an empty name. */
function readDocument(file: string): string {
    const isStandardInput = file === "-" || file === "";
    return readFileSync(isStandardInput ? 0 : file, "utf8");
}

/** Runs a command; its failure becomes a message and an exit code. */
async function run(command: () => Promise<void>): Promise<void> {
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

const kind = { choices: documentKinds, demandOption: true, describe: "kind of document" } as const;
const name = { type: "string", demandOption: true, describe: "the document's name" } as const;
const expect = {
    type: "string",
    default: currentRevision,
    describe: "revision that the document must have; -1 for none",
} as const;

await yargs(hideBin(process.argv))
    .scriptName("verbenactl")
    .usage("$0 COMMAND\n\nCreates, changes and drains services over the operators' interface of any entry.")
    .options({
        entry: { type: "string", default: "127.0.0.1:9090", describe: "operators' address of an entry, IP:port" },
        token: { type: "string", describe: "operators' token; by default $VERBENASPRING_TOKEN" },
        json: { type: "boolean", default: false, describe: "print JSON for scripts" },
    })
    .command(
        "put <kind> <file>",
        "create or replace a document from a JSON file (- for standard input)",
        builder =>
            builder.positional("kind", kind)
                .positional("file", { type: "string", demandOption: true, describe: "JSON file" })
                .option("expect", expect),
        args => run(() => put(args, args.kind, readDocument(args.file), args.expect)),
    )
    .command(
        "delete <kind> <name>",
        "delete a document",
        builder => builder.positional("kind", kind).positional("name", name).option("expect", expect),
        args => run(() => remove(args, args.kind, args.name, args.expect)),
    )
    .command(
        "list [kind]",
        "list documents",
        builder => builder.positional("kind", { ...kind, demandOption: false }),
        args => run(() => list(args, args.kind)),
    )
    .command(
        "drain <backend>",
        "let a backend server take no new work",
        builder => builder.positional("backend", { ...name, describe: "the backend server's name" }),
        args => run(() => put(args, "drain", JSON.stringify({ name: args.backend }), currentRevision)),
    )
    .command(
        "restore <backend>",
        "let a drained backend server take work again",
        builder => builder.positional("backend", { ...name, describe: "the backend server's name" }),
        args => run(() => remove(args, "drain", args.backend, currentRevision)),
    )
    .command(
        "revision",
        "show which configuration is in force where",
        {},
        args => run(() => revision(args as unknown as ConnectionArguments)),
    )
    .command(
        "waits",
        "show which requests waited and why",
        builder => builder.option("organisation", { type: "string", describe: "only this organisation's" }),
        args => run(() => waits(args, args.organisation)),
    )
    .demandCommand(1, "name a command")
    .strict()
    .fail((message, error) => {
        process.stderr.write(`${message ?? String(error)}\nSee verbenactl --help\n`);
        process.exit(exitCode.usage);
    })
    .epilogue("Exit codes: 0 success, 1 failure, 3 another revision, 4 unavailable, 64 wrong usage")
    .parseAsync();
