/**
 * Configurations that one gateway has and another one lacks, though both know the log up to the same offset. The higher version
 * is the newer one wherever it is stored, so gateways compare versions as well as offsets.
 */
import type { Milliseconds } from "@verbenaspring/model";
import { applyRecords } from "./followers.js";
import type { PeerItems, PeerReport } from "./peerReport.js";
import { canReportRecords } from "./peerTopics.js";
import type { GatewayState, Peer } from "./state.js";
import { logDecision, type Transaction } from "./transaction.js";

/** The shortest time between two reports of the same configuration to a peer that lacks it; one may be under way. */
const resendInterval: Milliseconds = 500;

/** Handles the version of a peer's configuration, and the configuration that this gateway lacks. Returns whether it changed. */
export function handlePeerConfiguration(
    transaction: Transaction,
    peer: Peer,
    { configurationVersion: version }: PeerReport,
    { lackingConfiguration }: PeerItems,
): boolean {
    const { state, now } = transaction;
    if (version === undefined) {
        return false;
    }
    peer.configurationVersion = version;
    const hasChanged = lackingConfiguration !== undefined && applyRecords(transaction, "configuration", {
        items: [lackingConfiguration],
        source: peer.address,
    });
    if (lacksConfiguration(state, peer, version) && now - peer.configurationSentAt >= resendInterval) {
        peer.isConfigurationDue = true;
        logDecision(transaction, "info", "peer_configuration_outdated", {
            peer: peer.address,
            version,
            through: peer.through.configuration,
            newer: state.configuration?.version,
            offset: state.configurationItem?.offset,
        });
    }
    return hasChanged;
}

/** Whether a peer has an older configuration, and gets the newer one by no report of the topic. */
function lacksConfiguration(state: GatewayState, { through }: Peer, version: number): boolean {
    const { configuration, configurationItem, followers } = state;
    if (configuration === undefined || configurationItem === undefined || version >= configuration.version) {
        return false;
    }
    if (!canReportRecords(followers.configuration)) {
        return true;
    }
    // Beyond the record, or as far as this gateway, nothing is left to report.
    const end = Math.min(configurationItem.offset + 1, followers.configuration.next ?? Infinity);
    return through.configuration !== undefined && through.configuration >= end;
}

/** Creates the part of a report to a peer that is about the configuration in force. */
export function createConfigurationReport(
    { configuration, configurationItem }: GatewayState,
    peer: Peer,
    now: Milliseconds,
): Pick<PeerReport, "configurationVersion" | "configurationItem"> {
    const isDue = peer.isConfigurationDue;
    peer.isConfigurationDue = false;
    if (isDue) {
        peer.configurationSentAt = now;
    }
    return {
        ...configuration !== undefined && { configurationVersion: configuration.version },
        ...isDue && { configurationItem },
    };
}

/** Whether a peer with an open link has a newer configuration than the one in force. */
export function isOutdatedByPeers({ configuration, peers }: GatewayState): boolean {
    const version = configuration?.version ?? -Infinity;
    return [...peers.values()].some(peer => peer.link === "open" && (peer.configurationVersion ?? -Infinity) > version);
}
