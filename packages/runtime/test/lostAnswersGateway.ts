/**
 * A gateway in a process of its own, without a store. Each of its services has a route of the same name, whose requests
 * may run once. Its engines keep no replicas. Its argument is a JSON object of the type {@link GatewayArguments}.
 */
import { defaultOverlayShape } from "@verbenaspring/coordination";
import { indexRoutes, type Route, type Service, type TopicRecord } from "@verbenaspring/gateway";
import { identifier } from "@verbenaspring/model";
import { decodeBackendHead, decodeCallerHead, encodeBackendCall } from "@verbenaspring/platform";
import { startGateway, type TopicPage } from "@verbenaspring/runtime";

/** Where the gateway listens, and its services. */
export interface GatewayArguments {
    readonly callers: string;
    readonly readiness: string;
    readonly peers: string;
    readonly services: readonly {
        readonly name: string;
        readonly isEngine: boolean;
        readonly addresses: readonly string[];
    }[];
}

const { callers, readiness, peers, services } = JSON.parse(process.argv[2]) as GatewayArguments;
const engine = {
    memoryTokens: 1_000_000,
    canReplicate: false,
    canMigrate: false,
    tokensPerEvent: 1,
    transferRate: 20,
    replicaLifetime: 5_000,
};

const routes = services.map(({ name, isEngine }): Route => ({
    name: identifier(name),
    host: "clinic.example",
    pathPrefix: `/${name}/`,
    isIdempotent: false,
    isStream: isEngine,
    canResume: false,
    timeout: 2_000,
    targetLatency: 1_000,
    maximumAttempts: 1,
    priority: 2,
    isPublic: true,
    targets: [{ service: identifier(name), weight: 1 }],
}));

const configuration: TopicRecord = {
    kind: "configuration",
    configuration: {
        version: 1,
        routesByHost: indexRoutes(routes),
        services: new Map(services.map(({ name, isEngine }) => {
            const service: Service = { name: identifier(name), engine: isEngine ? engine : undefined };
            return [service.name, service];
        })),
        organisations: undefined,
        limits: { headerBytes: 16_384, bodyBytes: 1_000_000, headerTimeout: 300, idleTimeout: 2_000 },
    },
};

const servers = services.flatMap(({ name, addresses }) =>
    addresses.map((address, index): TopicRecord => ({
        kind: "backendServer",
        record: {
            id: identifier(`${name}-${index}`),
            service: identifier(name),
            address,
            failureDomain: identifier("near"),
            softwareVersion: undefined,
            slots: 16,
            isDraining: false,
            remainingWarmUp: 0,
            startedAt: undefined,
            heartbeat: 1,
        },
    }))
);

const noItems: TopicPage = { items: [], next: 1 };
const pollTime = 500;

process.on("disconnect", () => process.exit());

await startGateway({
    instance: "lost-answers",
    callerAddress: callers,
    readinessAddress: readiness,
    metricsAddress: undefined,
    logLevel: "warn",
    memoryBytes: 178 * 1024 * 1024,
    failureDomain: identifier("near"),
    peerAddress: identifier(peers),
    seedAddresses: [],
    overlay: defaultOverlayShape,
    retries: { ratio: 10, slack: 1_000, window: 1_000 },
    stopLimit: 8_000,
    evacuationLimit: 5_000,
}, {
    decodeCallerHead,
    decodeBackendHead,
    encodeBackendCall,
    topics: {
        read: () => new Promise(resolve => setTimeout(() => resolve(noItems), pollTime)),
        readNewest: topic =>
            Promise.resolve({ items: [{ key: topic, offset: 0, value: Buffer.from("known") }], next: 1 }),
        decode: topic => topic === "configuration" ? [configuration] : servers,
        close: () => undefined,
    },
    streamRegister: {
        read: () =>
            Promise.resolve({
                baseVersions: services.map(({ name }) => ({ service: identifier(name), softwareVersion: undefined })),
                baseEnd: 1,
                records: [],
                next: 0,
            }),
        record: () => Promise.resolve(),
        writeBase: () => Promise.resolve(),
    },
    migrateRun: () => Promise.resolve({ kind: "refused", status: 404 }),
    readReport: () => Promise.resolve({ isLeaving: false, startedAt: undefined, runs: [] }),
    checkHealth: () => Promise.resolve(true),
});
