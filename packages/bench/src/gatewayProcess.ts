/**
 * A gateway as a real process, for tests and the soak.
 */
import { type ChildProcess, spawn } from "node:child_process";
import { writeFileSync } from "node:fs";
import { join } from "node:path";
import { request } from "undici";
import { findFreeAddress } from "./processCluster.js";

/** Where a gateway listens. */
export interface GatewayAddresses {
    readonly callerAddress: string;
    readonly readinessAddress: string;
    readonly peerAddress: string;
}

/** Where a gateway listens, and what it is told. */
export interface GatewayProcessOptions extends GatewayAddresses {
    readonly name: string;
    /** Where its settings are written. */
    readonly folder: string;
    readonly seedAddress: string;
    readonly storeAddress: string;
}

/** A gateway process. */
export interface GatewayProcess {
    readonly options: GatewayProcessOptions;
    readonly child: ChildProcess;
    readonly callerAddress: string;
    readonly settingsFile: string;
    /** Its exit code, or undefined where a signal ended it. */
    readonly exited: Promise<number | null>;
    readonly output: () => string;
}

/** An answer's body, as far as it came. */
export interface ResponseBody {
    readonly body: string;
    /** Whether it ended as complete. */
    readonly isComplete: boolean;
}

/** Limits of the platform's rules, as its settings state them. */
export const gatewayLimits = { retryBudgetRatio: 0.2, retrySlack: 50, retryWindowS: 10, graceS: 8 } as const;

/** Addresses at which a gateway can listen. */
export async function findFreeGatewayAddresses(): Promise<GatewayAddresses> {
    const [callerAddress, readinessAddress, peerAddress] = await Promise.all([
        findFreeAddress(),
        findFreeAddress(),
        findFreeAddress(),
    ]);
    return { callerAddress, readinessAddress, peerAddress };
}

/** Reads an answer's body to its end, or to where its channel broke off. */
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

/** Starts a gateway. It ends by itself only when it is asked to. */
export function startGatewayProcess(place: GatewayProcessOptions): GatewayProcess {
    const settingsFile = join(place.folder, `${place.name}.json`);
    writeFileSync(
        settingsFile,
        JSON.stringify({
            nodeName: place.name,
            zone: "near",
            listen: {
                frontend: place.callerAddress,
                ready: place.readinessAddress,
                controlPlane: place.peerAddress,
            },
            seedNodes: [place.seedAddress],
            bounds: gatewayLimits,
            platform: { address: place.storeAddress },
        }),
    );
    const program = "packages/cli/dist/verbenaspring.js";
    const child = spawn(process.execPath, [program, "gateway", settingsFile], { stdio: ["ignore", "pipe", "inherit"] });
    let output = "";
    child.stdout.on("data", chunk => output += String(chunk));
    const exited = new Promise<number | null>(resolve => child.once("exit", resolve));
    return { options: place, child, callerAddress: place.callerAddress, settingsFile, exited, output: () => output };
}

/** Whether a gateway tells the balancer that it takes channels. */
export async function isGatewayProcessReady({ options: place }: GatewayProcess): Promise<boolean> {
    try {
        const { statusCode, body } = await request(`http://${place.readinessAddress}/readyz`, { reset: true });
        await body.dump();
        return statusCode === 200;
    }
    catch {
        return false;
    }
}
