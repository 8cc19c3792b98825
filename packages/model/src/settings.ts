/**
 * Settings of the two daemon roles: JSON with comments, checked whole at start. Durations are in milliseconds.
 */
import { findNodeAtLocation, type Node, type ParseError, parseTree, printParseErrorCode } from "jsonc-parser";
import { z } from "zod";
import { SettingsError, type SettingsProblem } from "./errors.js";

const address = z.string().regex(
    /^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}$/i,
    "an IP number and a port, such as \"127.0.0.1:8080\"",
);
const milliseconds = (fallback: number) => z.number().int().min(1).max(86_400_000).default(fallback);
const bytes = (fallback: number) => z.number().int().min(1_024).max(1_073_741_824).default(fallback);
const count = (fallback: number) => z.number().int().min(1).max(10_000_000).default(fallback);

const platform = z.strictObject({
    logAddress: address,
    instanceListAddress: address,
    pollInterval: milliseconds(500),
    requestTimeout: milliseconds(3_000),
});
const observation = z.strictObject({
    logLevel: z.enum(["debug", "info", "warn", "error"]).default("info"),
    traceAddress: address.optional(),
});
const linkTimings = z.strictObject({
    heartbeatInterval: milliseconds(500),
    silenceTimeout: milliseconds(2_000),
    reconnectDelay: milliseconds(200),
    batchInterval: z.number().int().min(0).max(1_000).default(0),
});

const entrySettings = z.strictObject({
    role: z.literal("entry"),
    failureDomain: z.string().min(1),
    callerAddress: address,
    operatorAddress: address,
    operatorToken: z.string().min(16, "a token of at least 16 characters"),
    peerAddresses: z.array(address).default([]),
    platform,
    link: linkTimings.prefault({}),
    limits: z.strictObject({
        maximumBodyBytes: bytes(1_048_576),
        maximumHeaderBytes: bytes(16_384),
        maximumRequests: count(4_096),
        linksPerService: count(64),
    }).prefault({}),
    commentInterval: milliseconds(900),
    serviceDeadline: milliseconds(30_000),
    keyRetention: milliseconds(3_600_000),
    snapshotInterval: milliseconds(600_000),
    stopGrace: milliseconds(2_000),
    stopTimeout: z.number().int().min(0).default(0),
    observation: observation.prefault({}),
});

const sidecarSettings = z.strictObject({
    role: z.literal("sidecar"),
    failureDomain: z.string().min(1),
    backendServer: z.string().regex(/^[a-zA-Z0-9][a-zA-Z0-9_-]{0,62}$/, "a name of letters, digits, '_' and '-'"),
    service: z.string().min(1),
    linkAddress: address,
    metricsAddress: address,
    backendAddress: address,
    platform,
    link: linkTimings.prefault({}),
    engine: z.strictObject({
        memoryTokens: count(16_384),
        maximumOutputTokens: count(32_768),
    }).prefault({}),
    limits: z.strictObject({
        maximumQueue: count(256),
        keptTokens: count(1_000_000),
        unacknowledgedTokens: count(512),
    }).prefault({}),
    detachedWindow: milliseconds(15_000),
    resumeWindow: milliseconds(60_000),
    stopTimeout: z.number().int().min(0).default(0),
    observation: observation.prefault({}),
});

const settingsSchema = z.discriminatedUnion("role", [entrySettings, sidecarSettings]);

/** Checked settings of an entry, with all defaults filled in. */
export type EntrySettings = z.infer<typeof entrySettings>;
/** Checked settings of a sidecar, with all defaults filled in. */
export type SidecarSettings = z.infer<typeof sidecarSettings>;
/** Checked settings of either role. */
export type Settings = z.infer<typeof settingsSchema>;
/** Timings of the links between entries and sidecars. */
export type LinkTimings = z.infer<typeof linkTimings>;

/**
 * Parses and checks a settings file.
 *
 * @param file the file's name, for messages only
 * @throws SettingsError with every fault: its line, its key and what was expected
 * @example
 * const settings = parseSettings("entry.jsonc", await readFile("entry.jsonc", "utf8"));
 */
export function parseSettings(file: string, text: string): Settings {
    const syntaxErrors: ParseError[] = [];
    const tree = parseTree(text, syntaxErrors, { allowTrailingComma: true });
    if (syntaxErrors.length > 0 || tree === undefined) {
        throw new SettingsError(file, syntaxFaults(text, syntaxErrors));
    }
    const result = settingsSchema.safeParse(toValue(tree));
    if (!result.success) {
        throw new SettingsError(file, result.error.issues.flatMap(issue => issueFaults(text, tree, issue)));
    }
    return result.data;
}

function syntaxFaults(text: string, errors: readonly ParseError[]): SettingsProblem[] {
    if (errors.length === 0) {
        return [{ line: 1, key: "(file)", expected: "a JSON object" }];
    }
    return errors.map(error => ({
        line: lineAt(text, error.offset),
        key: "(syntax)",
        expected: `JSON with comments; found ${printParseErrorCode(error.error)}`,
    }));
}

function toValue(node: Node): unknown {
    if (node.type === "object") {
        const properties = (node.children ?? []).filter(property => property.children?.length === 2);
        return Object.fromEntries(
            properties.map(property => [property.children![0].value, toValue(property.children![1])]),
        );
    }
    return node.type === "array" ? (node.children ?? []).map(toValue) : node.value as unknown;
}

function issueFaults(text: string, tree: Node, issue: z.core.$ZodIssue): SettingsProblem[] {
    const path = issue.path.filter(part => typeof part !== "symbol");
    if (issue.code === "unrecognized_keys") {
        return issue.keys.map(key => ({
            line: nearestLine(text, tree, [...path, key]),
            key: [...path, key].join("."),
            expected: "no such setting",
        }));
    }
    return [{ line: nearestLine(text, tree, path), key: path.join(".") || "(file)", expected: issue.message }];
}

function nearestLine(text: string, tree: Node, path: readonly (string | number)[]): number {
    for (let length = path.length; length > 0; length--) {
        const node = findNodeAtLocation(tree, path.slice(0, length));
        if (node !== undefined) {
            return lineAt(text, node.offset);
        }
    }
    return lineAt(text, tree.offset);
}

function lineAt(text: string, offset: number): number {
    return text.slice(0, offset).split("\n").length;
}
