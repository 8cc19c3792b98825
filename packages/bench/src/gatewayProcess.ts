/**
 * Starts a gateway as a separate process, for the tests with real processes and the soak.
 */
import { type ChildProcess, spawn } from "node:child_process";
import { writeFileSync } from "node:fs";
import { join } from "node:path";
import { request } from "undici";
import { findFreeAddress } from "./processCluster.js";

/** The addresses at which a gateway listens. */
export interface GatewayAddresses {
    readonly callerAddress: string;
    readonly readinessAddress: string;
    readonly peerAddress: string;
}

/** The limits of a machine, in the form of a gateway's settings. */
export interface MachineLimits {
    readonly memoryMb: number;
    /** File descriptors of the process. */
    readonly maxFds: number;
}

/** The settings of a gateway process. */
export interface GatewayProcessOptions extends GatewayAddresses {
    readonly name: string;
    /** Its failure domain; by default one in which no server is. */
    readonly failureDomain?: string;
    /** The directory for its settings file. */
    readonly folder: string;
    /** The peer address at which it first contacts the other gateways; its own for the first gateway. */
    readonly seedAddress: string;
    readonly storeAddress: string;
    /** The URL of a module that is loaded before its program. */
    readonly preload?: string;
    /** What its machine has; by default what the gateway assumes where the settings state nothing. */
    readonly machine?: MachineLimits | undefined;
    /** The arguments of Node that start a gateway whose settings file is named in the environment. */
    readonly command?: readonly string[];
    /** The port on which it serves metrics; by default none. */
    readonly metricsPort?: number;
}

/** A running gateway process. */
export interface GatewayProcess {
    readonly options: GatewayProcessOptions;
    readonly child: ChildProcess;
    readonly callerAddress: string;
    readonly settingsFile: string;
    /** Resolves to the exit code once the process has ended; null where a signal ended it. */
    readonly exited: Promise<number | null>;
    /** Everything that it has written to its standard output. */
    readonly output: () => string;
}

/** The part of a response's body that arrived. */
export interface ResponseBody {
    readonly body: string;
    /** False where the connection broke before the end of the body. */
    readonly isComplete: boolean;
}

/** The limits of the platform's rules, in the form of a gateway's settings. */
export const gatewayLimits = {
    retryBudgetRatio: 0.2,
    retrySlack: 50,
    retryWindowS: 10,
    graceS: 8,
    evacuateMs: 5_000,
    coldOvershoot: 1.5,
    coldTolerance: 5,
} as const;

/** Finds free addresses for a gateway. */
export async function findFreeGatewayAddresses(): Promise<GatewayAddresses> {
    const [callerAddress, readinessAddress, peerAddress] = await Promise.all([
        findFreeAddress(),
        findFreeAddress(),
        findFreeAddress(),
    ]);
    return { callerAddress, readinessAddress, peerAddress };
}

/** Reads a response's body to its end, or to the point where its connection broke. */
export async function readResponseBody(chunks: AsyncIterable<unknown>): Promise<ResponseBody> {
    let body = "";
    try {
        for await (const chunk of chunks) {
            body += String(chunk);
        }
        return { body, isComplete: true };
    }
    catch {
        return { body, isComplete: false };
    }
}

/** Starts a gateway process. It runs until a signal ends it. */
export function startGatewayProcess(options: GatewayProcessOptions): GatewayProcess {
    const settingsFile = join(options.folder, `${options.name}.json`);
    writeFileSync(
        settingsFile,
        JSON.stringify({
            nodeName: options.name,
            zone: options.failureDomain ?? "near",
            listen: {
                frontend: options.callerAddress,
                ready: options.readinessAddress,
                controlPlane: options.peerAddress,
            },
            seedNodes: [options.seedAddress],
            bounds: gatewayLimits,
            limits: options.machine ?? {},
            platform: { address: options.storeAddress },
        }),
    );
    const program = "packages/cli/dist/verbenaspring.js";
    const preload = options.preload === undefined ? [] : ["--import", options.preload];
    const words = options.command ?? [...preload, program, "gateway", settingsFile];
    const metricsPort = options.metricsPort === undefined
        ? {}
        : { VERBENASPRING_METRICS_PORT: `${options.metricsPort}` };
    const child = spawn(process.execPath, words, {
        stdio: ["ignore", "pipe", "inherit"],
        env: { ...process.env, VERBENASPRING_SETTINGS: settingsFile, ...metricsPort },
    });
    let output = "";
    child.stdout.on("data", chunk => output += String(chunk));
    const exited = new Promise<number | null>(resolve => child.once("exit", resolve));
    return { options, child, callerAddress: options.callerAddress, settingsFile, exited, output: () => output };
}

/** Whether a gateway reports to the load balancer that it accepts connections. */
export async function isGatewayProcessReady({ options }: GatewayProcess): Promise<boolean> {
    try {
        const { statusCode, body } = await request(`http://${options.readinessAddress}/readyz`, { reset: true });
        await body.dump();
        return statusCode === 200;
    }
    catch {
        return false;
    }
}
