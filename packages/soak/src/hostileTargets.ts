/**
 * The listeners of a gateway that hostile clients attack.
 */

/** The listeners that speak HTTP/1.1, by what a request there finds. */
export const httpListeners = ["route", "noRoute", "readiness", "metrics"] as const;

/** A listener of a gateway, or a kind of path at one. */
export type ListenerName = typeof httpListeners[number] | "feed" | "peers";

/** The addresses of the gateway under attack. */
export interface AttackedAddresses {
    readonly callers: string;
    readonly readiness: string;
    readonly metrics: string;
    readonly peers: string;
}

/** Where an attack sends its requests. */
export interface AttackTarget {
    readonly host: string;
    readonly port: number;
    /** The request line and the fields of a valid request, without the empty line that ends the head. */
    readonly headFields: (method: string) => string;
}

/** The host of the routes. */
export const hostileRoutesHost = "platform.example";
/** The path of ordinary requests. */
export const ordinaryPath = "/ordinary/1";
/** The path of requests whose answers are large. */
export const largePath = "/ordinary/large";
/** The path of streams without an end. */
export const feedPath = "/feed/1";

const paths: Readonly<Record<ListenerName, string>> = {
    route: ordinaryPath,
    noRoute: "/nothing/1",
    readiness: "/readyz",
    metrics: "/metrics",
    feed: feedPath,
    peers: "/verbenaspring.v1.GatewayPeerService/Follow",
};

/**
 * Returns the target of an attack at a listener.
 *
 * @param path overrides the path of the listener
 * @example
 * const target = attackTarget(addresses, "readiness");
 * socket.write(`${target.headFields("GET")}\r\n`);
 */
export function attackTarget(
    addresses: AttackedAddresses,
    listener: ListenerName,
    path: string = paths[listener],
): AttackTarget {
    const [host, port] = addressOf(addresses, listener).split(":");
    let requests = 0;
    return {
        host,
        port: Number(port),
        headFields: method =>
            `${method} ${path} HTTP/1.1\r\nHost: ${hostileRoutesHost}\r\nAttempt-Id: hostile${++requests}\r\n`,
    };
}

function addressOf(addresses: AttackedAddresses, listener: ListenerName): string {
    switch (listener) {
        case "readiness":
            return addresses.readiness;
        case "metrics":
            return addresses.metrics;
        case "peers":
            return addresses.peers;
        default:
            return addresses.callers;
    }
}
