/**
 * Socket addresses: parsing them, and listening at them.
 */
import type { Server } from "node:net";

/** An IP address and a port. */
export interface SocketAddress {
    readonly host: string;
    readonly port: number;
}

/**
 * Splits an address of the settings into IP address and port.
 *
 * @example
 * parseAddress("127.0.0.1:8080"); // { host: "127.0.0.1", port: 8080 }
 */
export function parseAddress(address: string): SocketAddress {
    const separator = address.lastIndexOf(":");
    const host = address.slice(0, separator).replace(/^\[|\]$/g, "");
    return { host, port: Number(address.slice(separator + 1)) };
}

/** Listens at an address; rejects if that fails, for example because the address is in use. */
export function listen(server: Pick<Server, "listen" | "once" | "off">, address: string): Promise<void> {
    const { host, port } = parseAddress(address);
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, host, () => {
            server.off("error", reject);
            resolve();
        });
    });
}
