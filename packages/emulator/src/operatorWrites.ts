/**
 * The operator's writes of evacuations. While the store is unavailable, the operator repeats the oldest write until the
 * store accepts it, and makes later writes after it.
 */
import type { Milliseconds } from "@verbenaspring/model";
import type { Clock } from "./clock.js";
import { operatorTopic } from "./fleet.js";
import type { StoreModel } from "./storeModel.js";

interface PendingWrite {
    readonly key: string;
    readonly value: Uint8Array;
    readonly acknowledged: () => void;
}

const retryInterval: Milliseconds = 100;
const evacuationPrefix = "evacuate/";

/**
 * Writes evacuations in order.
 *
 * @example
 * operator.evacuate("north", () => oracle.recordRequested("north"));
 * operator.withdraw("north", () => oracle.recordWithdrawn("north"));
 */
export class OperatorWrites {
    private readonly pending: PendingWrite[] = [];

    /** @param canWrite whether the store accepts writes now */
    constructor(
        private readonly clock: Clock,
        private readonly store: StoreModel,
        private readonly canWrite: () => boolean,
    ) {}

    /** Requests the evacuation of a domain. `acknowledged` is called when the store has the record. */
    evacuate(failureDomain: string, acknowledged: () => void): void {
        this.write({ key: evacuationPrefix + failureDomain, value: Buffer.from("{}"), acknowledged });
    }

    /** Withdraws the evacuation of a domain. `acknowledged` is called when the store has the record. */
    withdraw(failureDomain: string, acknowledged: () => void): void {
        this.write({ key: evacuationPrefix + failureDomain, value: new Uint8Array(), acknowledged });
    }

    private write(write: PendingWrite): void {
        this.pending.push(write);
        if (this.pending.length === 1) {
            this.writePending();
        }
    }

    private writePending(): void {
        while (this.pending.length > 0) {
            if (!this.canWrite()) {
                return this.clock.schedule(retryInterval, () => this.writePending());
            }
            const { key, value, acknowledged } = this.pending[0];
            // Called before the append, whose listeners send the record to gateways at once.
            acknowledged();
            this.store.append(operatorTopic, key, value);
            this.pending.shift();
        }
    }
}
