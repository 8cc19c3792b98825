/**
 * Loaded into a gateway process before its program: the query of this module's URL names addresses and relays, and
 * connections to such an address are opened to its relay instead.
 */
import { Socket } from "node:net";

interface Target {
    host?: string;
    port?: number | string;
}

const relays = new URL(import.meta.url).searchParams;
const connect = Socket.prototype.connect as (this: Socket, ...words: readonly unknown[]) => Socket;

Socket.prototype.connect = function(this: Socket, ...words: readonly unknown[]): Socket {
    // Node's own modules pass their arguments on as a list.
    const target = words.flat()[0] as Target;
    const relay = relays.get(`${target.host}:${target.port}`);
    if (relay !== null) {
        [target.host, target.port] = relay.split(":");
    }
    return connect.apply(this, [...words]);
};
