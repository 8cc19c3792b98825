/**
 * Checks that the versions of the configuration reach every gateway, from the store or from another gateway.
 */
import type { Milliseconds } from "@verbenaspring/model";
import type { PromiseName } from "../oracle.js";
import type { ContactRecord } from "./contactRecord.js";
import { platformLimits } from "./limits.js";

/** A gateway process, with the version of the configuration that is in force there. */
export interface VersionedGateway {
    readonly name: string;
    readonly configurationVersion: number | undefined;
    /** When a planned stop of it began; undefined before. */
    readonly stopRequestedAt: Milliseconds | undefined;
}

/** From when on a version was in force at a gateway. */
interface AppliedVersion {
    readonly version: number;
    readonly since: Milliseconds;
}

/** Records when which version was in force at the gateways of one schedule or run. */
export class VersionSpreadOracle<Gateway extends VersionedGateway> {
    /** The versions that were in force at each gateway, in that order. */
    private readonly applied = new Map<Gateway, AppliedVersion[]>();

    /** @param gateways the gateway processes that are alive now */
    constructor(
        private readonly contact: ContactRecord<Gateway>,
        private readonly gateways: () => readonly Gateway[],
        private readonly fail: (promise: PromiseName, detail: string) => void,
    ) {}

    /**
     * Checks the versions in force now. Is called several times a second.
     *
     * @param versionDue the version that every gateway in contact must have applied by now; undefined if none can be told
     */
    observe(now: Milliseconds, versionDue = -Infinity): void {
        const gateways = this.gateways().filter(({ stopRequestedAt }) => stopRequestedAt === undefined);
        gateways.forEach(gateway => this.record(gateway, now));
        for (const gateway of gateways) {
            const { name, configurationVersion = -Infinity } = gateway;
            if (configurationVersion < versionDue && this.contact.isInContact(gateway)) {
                this.fail(
                    "configuration_in_force",
                    `${name} uses ${configurationVersion}, though ${versionDue} is due`,
                );
            }
            const holder = gateways.find(other => this.mustHaveTold(other, gateway, now));
            if (holder !== undefined) {
                const { name: holderName, configurationVersion: newer } = holder;
                this.fail(
                    "configuration_in_force",
                    `${name} uses ${configurationVersion}, though ${holderName}, to which it has a link, uses ${newer}`,
                );
            }
        }
    }

    private record(gateway: Gateway, now: Milliseconds): void {
        const versions = this.applied.get(gateway) ?? [];
        const { configurationVersion: version } = gateway;
        if (version !== undefined && version !== versions.at(-1)?.version) {
            versions.push({ version, since: now });
        }
        this.applied.set(gateway, versions);
    }

    /** Whether a gateway has used a newer version than another one for longer than the other may lack it. */
    private mustHaveTold(holder: Gateway, other: Gateway, now: Milliseconds): boolean {
        const { configurationVersion = -Infinity } = other;
        const newer = this.applied.get(holder)?.find(({ version }) => version > configurationVersion);
        return newer !== undefined && now - newer.since > platformLimits.configurationApply
            && this.contact.areLinked(holder, other);
    }
}
