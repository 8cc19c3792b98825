/**
 * Starts the processes of `unframedEngine.ts`, with listeners of their own or behind a supervisor.
 */
import { type ChildProcess, fork, spawn } from "node:child_process";
import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { fileURLToPath } from "node:url";

const program = fileURLToPath(new URL("unframedEngine.ts", import.meta.url));
const execArgv = ["--import", "tsx"];

/** What the processes of these tests state as the start of the first one. */
export const firstStart = 1_000;

/** Starts a process with a listener of its own. */
export async function spawnEngine(
    id: string,
    born: number,
): Promise<{ readonly child: ChildProcess; readonly port: number; }> {
    const child = spawn(process.execPath, [...execArgv, program, id, String(born)], {
        stdio: ["ignore", "pipe", "inherit"],
    });
    const [line] = await once(child.stdout, "data") as [Buffer];
    return { child, port: Number(String(line)) };
}

/** Starts a process that serves the connections of a supervisor. */
export async function forkEngine(id: string, born: number | undefined): Promise<ChildProcess> {
    const child = fork(program, born === undefined ? [id] : [id, String(born)], { execArgv });
    await once(child, "message");
    return child;
}

/** Keeps a listener, and passes its connections to a process. */
export interface Supervisor {
    readonly port: number;
    readonly connections: () => number;
    /** Passes connections to a process from now on, and those that wait. Without one they wait. */
    readonly passTo: (child: ChildProcess | undefined) => void;
    readonly close: () => void;
}

export async function startSupervisor(first: ChildProcess): Promise<Supervisor> {
    let child: ChildProcess | undefined = first;
    const accepted: Socket[] = [];
    const waiting: Socket[] = [];
    const listener = createServer({ pauseOnConnect: true }, socket => {
        accepted.push(socket);
        waiting.push(socket);
        passOn();
    });
    const passOn = (): void => {
        const receiver = child;
        if (receiver !== undefined) {
            waiting.splice(0).forEach(socket => receiver.send("connection", socket));
        }
    };
    await new Promise<void>(resolve => listener.listen(0, "127.0.0.1", resolve));
    return {
        port: (listener.address() as AddressInfo).port,
        connections: () => accepted.length,
        passTo: next => {
            child = next;
            passOn();
        },
        close: () => {
            accepted.forEach(socket => socket.destroy());
            listener.close();
        },
    };
}

/** The record of an engine in the store. */
export function engineRecord(port: number, born: number | undefined, state: "ready" | "draining"): object {
    const sequence = state === "ready" ? 1 : 2;
    return { service: "engine", address: `127.0.0.1:${port}`, zone: "near", slots: 64, state, born, sequence };
}
