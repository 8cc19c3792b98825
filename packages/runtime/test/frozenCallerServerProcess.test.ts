/**
 * Callers of a process that is suspended and wakes up, and a caller whose request arrives late.
 */
import { type ChildProcess, fork } from "node:child_process";
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { fileURLToPath } from "node:url";
import { test } from "uvu";
import * as assert from "uvu/assert";

const headerTimeout = 300;
const request = "POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 0\r\n\r\n";
const notRunStatus = /^HTTP\/1\.1 (408|421|429|503) /;

interface ChildMessage {
    readonly port?: number;
    readonly received?: string;
}

/** A caller server in its own process, and one channel to it. */
class ServerProcess {
    private readonly received: string[] = [];
    private answer = "";

    private constructor(private readonly child: ChildProcess, readonly socket: Socket) {
        child.on("message", ({ received }: ChildMessage) => {
            if (received !== undefined) {
                this.received.push(received);
            }
        });
        socket.on("data", chunk => this.answer += chunk.toString("latin1"));
        socket.on("error", () => undefined);
    }

    static async start(): Promise<ServerProcess> {
        const script = fileURLToPath(new URL("callerServerChild.ts", import.meta.url));
        const child = fork(script, { execArgv: ["--import", "tsx"] });
        const [{ port }] = await once(child, "message") as [ChildMessage];
        const socket = connect({ port: port!, host: "127.0.0.1", allowHalfOpen: true });
        await once(socket, "connect");
        await pause(headerTimeout / 2);
        return new ServerProcess(child, socket);
    }

    signal(name: "SIGSTOP" | "SIGCONT"): void {
        this.child.kill(name);
    }

    /** Waits until everything that was sent has been handled, and ends the process. */
    async finish(): Promise<{ readonly received: readonly string[]; readonly answer: string; }> {
        await pause(4 * headerTimeout);
        this.socket.destroy();
        this.child.kill();
        return { received: this.received, answer: this.answer };
    }
}

function pause(duration: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, duration));
}

// A request was refused as not run and ran (REFUSED), and so ran twice when its caller sent it again (TWICE).
test("a request that arrived while the process was suspended is served, and not refused as overdue", async () => {
    const server = await ServerProcess.start();
    server.signal("SIGSTOP");
    server.socket.write(request);
    await pause(4 * headerTimeout);
    server.signal("SIGCONT");
    const { received, answer } = await server.finish();
    assert.equal([received, notRunStatus.test(answer)], [["/a"], false]);
});

test("a request is not received on a channel that was refused as overdue", async () => {
    const server = await ServerProcess.start();
    server.socket.write(request.slice(0, 20));
    await pause(6 * headerTimeout);
    server.socket.write(request.slice(20));
    const { received, answer } = await server.finish();
    assert.equal([received, notRunStatus.test(answer)], [[], true]);
});

test.run();
