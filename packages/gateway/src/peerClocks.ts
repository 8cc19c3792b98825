/**
 * When something that a peer dates by its own clock happened here. A steady clock stands still while its machine is suspended, so
 * the difference of two clocks at one moment need not be that at another.
 */
import type { Milliseconds } from "@verbenaspring/model";
import type { PeerReport } from "./peerReport.js";
import type { Peer } from "./state.js";
import { longestTransmission } from "./transmissions.js";

/** A report of this gateway that a peer has handled. */
export interface ClockSample {
    /** When it was created, by this gateway's clock. */
    readonly sentAt: Milliseconds;
    /** When the peer handled it, by the peer's clock. */
    readonly handledAt: Milliseconds;
}

/** How long samples are kept, by the peer's clock. Two clocks that run 200 ppm apart drift by 1 ms in this time. */
const clockSampleRetention: Milliseconds = 5_000;
/** Samples are kept at least this far apart, but for the newest. */
const clockSampleInterval: Milliseconds = 200;

/** Records what a report tells of the clock of its sender. */
export function recordClockSample(peer: Peer, report: PeerReport, now: Milliseconds): void {
    const { sentAt, echo } = report;
    const { clockSamples } = peer;
    const [newest, previous] = [clockSamples.at(-1), clockSamples.at(-2)];
    const isUsable = sentAt !== undefined && echo !== undefined && longestTransmission(report, now) !== undefined;
    if (!isUsable || echo.sentAt <= (newest?.sentAt ?? -Infinity)) {
        return;
    }
    if (newest !== undefined && previous !== undefined && newest.handledAt - previous.handledAt < clockSampleInterval) {
        clockSamples.pop();
    }
    const handledAt = sentAt - echo.heldFor;
    clockSamples.push({ sentAt: echo.sentAt, handledAt });
    while (handledAt - clockSamples[0].handledAt > clockSampleRetention) {
        clockSamples.shift();
    }
}

/**
 * The earliest time by this gateway's clock at which the clock of a peer can have told `time`. Undefined without a sample from
 * before `since`: a suspension of the peer between `since` and the first sample would not show.
 *
 * A sample bounds the difference of the clocks from one side, however long the report was under way. If the peer was suspended
 * since, the samples from before tell the lower difference; if this gateway was, the newest one does.
 *
 * @param since when what `time` is the end of began, by the peer's clock; its clock may stand still from then on
 *
 * @example
 * const readAt = earliestTime(peer, report.sentAt - topic.age, report.sentAt - topic.age - readWait);
 */
export function earliestTime(
    { clockSamples }: Peer,
    time: Milliseconds,
    since: Milliseconds,
): Milliseconds | undefined {
    const newest = clockSamples.at(-1);
    const earlier = clockSamples.filter(({ handledAt }) => handledAt < since);
    if (newest === undefined || earlier.length === 0) {
        return undefined;
    }
    return time + Math.min(differenceOf(newest), Math.max(...earlier.map(differenceOf)));
}

function differenceOf({ sentAt, handledAt }: ClockSample): Milliseconds {
    return sentAt - handledAt;
}
