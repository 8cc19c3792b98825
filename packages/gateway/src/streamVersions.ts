/**
 * The software version that began a stream. What servers of different versions write does not fit together, so a stream
 * is only continued at the version that produced its first event, whichever way it is continued.
 */
import type { SoftwareVersion } from "@verbenaspring/model";
import type { BackendRecord } from "./backendServers.js";

/** Where a stream began. */
export interface StreamOrigin {
    /** The version of the server that produced the first event; undefined if that server reports none. */
    readonly softwareVersion: SoftwareVersion | undefined;
}

/** Whether a server can continue streams of an origin. A stream that has not begun has no origin and can start anywhere. */
export function canContinue({ softwareVersion }: BackendRecord, origin: StreamOrigin | undefined): boolean {
    return origin === undefined || origin.softwareVersion === softwareVersion;
}

/** Whether streams of one server can be continued at the other. */
export function hasSameVersion(one: BackendRecord, other: BackendRecord): boolean {
    return one.softwareVersion === other.softwareVersion;
}
