/**
 * A relay on loopback that can lose track of its open connections: they stay open and go silent for good, while new
 * ones work.
 */
import { connect, createServer, type Socket } from "node:net";

/** A running relay. */
export interface SilentRelay {
    readonly address: string;
    /** Every connection that is open now goes silent, both ways, without closing. */
    readonly silence: () => void;
    /** Connections opened so far. */
    readonly opened: () => number;
    readonly close: () => void;
}

/**
 * Starts a relay to an address.
 *
 * @example
 * const relay = await startSilentRelay("127.0.0.1:7100");
 */
export function startSilentRelay(target: string): Promise<SilentRelay> {
    const [host, port] = target.split(":");
    const pairs = new Set<readonly [Socket, Socket]>();
    let opened = 0;
    const server = createServer(inner => {
        opened++;
        const outer = connect(Number(port), host);
        const pair = [inner, outer] as const;
        pairs.add(pair);
        inner.pipe(outer);
        outer.pipe(inner);
        pair.forEach(socket => {
            socket.on("error", () => undefined);
            socket.on("close", () => pair.forEach(each => pairs.has(pair) && each.destroy()));
        });
    });
    const silence = (): void => {
        for (const pair of pairs) {
            pairs.delete(pair);
            pair.forEach(socket => {
                socket.unpipe();
                socket.pause();
            });
        }
    };
    return new Promise(resolve => {
        server.listen(0, "127.0.0.1", () => {
            const bound = server.address() as { port: number; };
            const close = (): void => {
                server.close();
                pairs.forEach(pair => pair.forEach(socket => socket.destroy()));
            };
            resolve({ address: `127.0.0.1:${bound.port}`, silence, opened: () => opened, close });
        });
    });
}
