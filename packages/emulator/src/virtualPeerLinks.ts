/**
 * The links of one gateway process to its peers in virtual time. If both processes of a pair have opened a link, either
 * is used.
 */
import type { PeerReport } from "@verbenaspring/gateway";
import type { PeerAddress } from "@verbenaspring/model";
import type { VirtualChannel, VirtualNetwork } from "./virtualNetwork.js";

/** The process that the links belong to. */
export interface LinkOwner {
    readonly name: PeerAddress;
    readonly isAlive: boolean;
    readonly handleReport: (report: PeerReport) => void;
    /** Is called when a peer has closed its last link to this process, or when a link can't be opened. */
    readonly handleLinkClosed: (address: PeerAddress) => void;
    /** Is called when a peer has closed one of several links to this process. */
    readonly handleReportsLost: (address: PeerAddress) => void;
}

/** A link between two processes. What the opener sends goes upstream over the channel. */
interface PeerLink {
    readonly opener: VirtualPeerLinks;
    readonly accepter: VirtualPeerLinks;
    readonly channel: VirtualChannel;
}

/** The links of a gateway process. */
export class VirtualPeerLinks {
    private readonly links = new Map<PeerAddress, Set<PeerLink>>();

    constructor(
        private readonly owner: LinkOwner,
        private readonly network: VirtualNetwork,
        private readonly findPeerLinks: (address: PeerAddress) => VirtualPeerLinks | undefined,
    ) {}

    open(address: PeerAddress, report: PeerReport): void {
        const { network, owner } = this;
        const channel = network.open(owner.name, address);
        const accepter = this.findPeerLinks(address);
        if (accepter === undefined) {
            channel.send("downstream", () => owner.handleLinkClosed(address));
            channel.close();
            return;
        }
        const link: PeerLink = { opener: this, accepter, channel };
        this.add(address, link);
        channel.send("upstream", () => accepter.accept(link, report));
    }

    send(address: PeerAddress, report: PeerReport): void {
        const [link] = this.links.get(address) ?? [];
        if (link === undefined) {
            return;
        }
        const isOpener = link.opener === this;
        const other = isOpener ? link.accepter : link.opener;
        link.channel.send(isOpener ? "upstream" : "downstream", () => other.owner.handleReport(report));
    }

    close(address: PeerAddress): void {
        for (const link of this.links.get(address) ?? []) {
            const isOpener = link.opener === this;
            const other = isOpener ? link.accepter : link.opener;
            link.channel.send(isOpener ? "upstream" : "downstream", () => other.handleClose(this.owner.name, link));
            link.channel.close();
        }
        this.links.delete(address);
    }

    closeAll(): void {
        [...this.links.keys()].forEach(address => this.close(address));
    }

    private accept(link: PeerLink, report: PeerReport): void {
        if (!this.owner.isAlive) {
            link.channel.send("downstream", () => link.opener.handleClose(this.owner.name, link));
            return;
        }
        this.add(link.opener.owner.name, link);
        this.owner.handleReport(report);
    }

    private add(address: PeerAddress, link: PeerLink): void {
        const links = this.links.get(address) ?? new Set();
        this.links.set(address, links.add(link));
    }

    private handleClose(address: PeerAddress, link: PeerLink): void {
        const links = this.links.get(address);
        if (links?.delete(link) !== true) {
            return;
        }
        if (links.size > 0) {
            return this.owner.handleReportsLost(address);
        }
        this.links.delete(address);
        this.owner.handleLinkClosed(address);
    }
}
