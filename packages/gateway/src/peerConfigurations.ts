/**
 * Configurations that one gateway has and another one lacks, though both know the log up to the same offset. The higher version
 * is the newer one wherever it is stored, so gateways compare versions as well as offsets.
 */
import { takeoverTimeout, taskRank } from "@verbenaspring/coordination";
import type { Milliseconds } from "@verbenaspring/model";
import { applyRecords } from "./followers.js";
import type { PeerItems, PeerReport } from "./peerReport.js";
import { canReportRecords } from "./peerTopics.js";
import type { GatewayState, Peer } from "./state.js";
import { logDecision, type Transaction } from "./transaction.js";

/** The configuration in force that a peer lacks, and how often it was sent to it on its link. */
export interface ConfigurationDelivery {
    readonly version: number;
    readonly lackingSince: Milliseconds;
    sends: number;
}

/** The shortest time between two reports of a configuration to a peer that lacks it; one may be under way. */
const resendInterval: Milliseconds = 500;
/** A link loses no report, so a peer that still lacks a configuration after so many can't use it. */
const maximumSends = 2;
/** For how long a peer lacks a configuration before one of those that have it sends it, by rank among them. */
const sendTimeouts = { base: 300, step: 100, max: 800 };

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
    peer.configurationDelivery = lacksConfiguration(state, peer, version)
        ? continueDelivery(state, peer, now)
        : undefined;
    if (isSendDue(state, peer, now)) {
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

/** The delivery of the configuration in force to a peer: the one that is under way, or a new one of another version. */
function continueDelivery(
    { configuration }: GatewayState,
    { configurationDelivery }: Peer,
    now: Milliseconds,
): ConfigurationDelivery | undefined {
    if (configuration === undefined || configurationDelivery?.version === configuration.version) {
        return configurationDelivery;
    }
    return { version: configuration.version, lackingSince: now, sends: 0 };
}

/** Whether this gateway is to send the configuration in force now: all that have it may see at once that the peer lacks it. */
function isSendDue(
    { peers, options }: GatewayState,
    { address, configurationDelivery: delivery, configurationSentAt }: Peer,
    now: Milliseconds,
): boolean {
    if (delivery === undefined || delivery.sends >= maximumSends || now - configurationSentAt < resendInterval) {
        return false;
    }
    const others = [...peers.values()].filter(({ link, configurationVersion = -Infinity }) =>
        link === "open" && configurationVersion >= delivery.version
    );
    const rank = taskRank(options.peerAddress, others.map(other => other.address), `configuration/${address}`);
    return now - delivery.lackingSince >= takeoverTimeout(rank, sendTimeouts);
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
    if (isDue && peer.configurationDelivery !== undefined) {
        peer.configurationDelivery.sends++;
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
