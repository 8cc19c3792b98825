/**
 * Decides which answers of backend servers are read on while the room for large answers is taken. An answer that has to
 * wait is left at its server, instead of being given up after the request has run. It has no input or output.
 */
import type { Milliseconds } from "@verbenaspring/model";

/** An answer that needs room. */
export interface RoomHolder {
    /** Bytes of the answer that the process keeps at present. */
    readonly keptBytes: () => number;
    /** Stops reading the answer, until `resume` is called. */
    readonly pause: () => void;
    readonly resume: () => void;
}

/** The room that one answer has or waits for. */
interface Reservation {
    reservedBytes: number;
    wantedBytes: number;
    isWaiting: boolean;
    lastReadAt: Milliseconds;
}

/** An answer of which nothing arrived for this long keeps room only for what has arrived. */
const stallTime: Milliseconds = 1_000;

/** The room of one process for large answers: those that are read from servers, and those that callers have not taken. */
export class AnswerRoom {
    private readonly reservations = new Map<RoomHolder, Reservation>();
    private readonly queue: RoomHolder[] = [];

    /**
     * @param limitBytes at least the size of the largest answer
     * @param unreadBytes what whole answers take that callers have not read
     */
    constructor(private readonly limitBytes: number, private readonly unreadBytes: () => number) {}

    /** Reserves room for an answer up to a number of bytes. Pauses the answer if there is none. */
    reserve(holder: RoomHolder, bytes: number, now: Milliseconds): void {
        const reservation = this.reservations.get(holder)
            ?? { reservedBytes: 0, wantedBytes: 0, isWaiting: false, lastReadAt: now };
        this.reservations.set(holder, reservation);
        reservation.lastReadAt = now;
        if (reservation.isWaiting || bytes <= reservation.reservedBytes) {
            return;
        }
        reservation.wantedBytes = bytes;
        const isTurn = reservation.reservedBytes > 0 || this.queue.every(other => this.waitsForCallers(other));
        if (isTurn && this.fits(holder, reservation, now)) {
            reservation.reservedBytes = bytes;
            return;
        }
        reservation.isWaiting = true;
        // An answer that has room for a part goes first: the part takes memory until the rest has arrived.
        if (reservation.reservedBytes > 0) {
            this.queue.unshift(holder);
        }
        else {
            this.queue.push(holder);
        }
        holder.pause();
    }

    /** Frees the room of an answer. The caller then calls {@link resumeNext}. */
    release(holder: RoomHolder): void {
        if (this.reservations.get(holder)?.isWaiting === true) {
            this.queue.splice(this.queue.indexOf(holder), 1);
        }
        this.reservations.delete(holder);
    }

    /**
     * Resumes the answers that have waited longest, as far as there is room. One that does not fit holds back those after
     * it, unless it waits for callers: they may not read at all. To be called when room may be free.
     */
    resumeNext(now: Milliseconds): void {
        for (const holder of [...this.queue]) {
            const reservation = this.reservations.get(holder)!;
            if (!this.fits(holder, reservation, now)) {
                if (this.waitsForCallers(holder)) {
                    continue;
                }
                return;
            }
            this.queue.splice(this.queue.indexOf(holder), 1);
            reservation.isWaiting = false;
            reservation.reservedBytes = reservation.wantedBytes;
            reservation.lastReadAt = now;
            holder.resume();
        }
    }

    /** Whether there is no room for an answer even if no other were read, since callers leave theirs unread. */
    private waitsForCallers(holder: RoomHolder): boolean {
        const wantedBytes = this.reservations.get(holder)?.wantedBytes ?? 0;
        return this.unreadBytes() + wantedBytes > this.limitBytes;
    }

    /** Whether an answer may be read; one always may if nothing else is read and callers have left enough room. */
    private fits(holder: RoomHolder, { wantedBytes }: Reservation, now: Milliseconds): boolean {
        let otherBytes = 0;
        let isRead = false;
        for (const [other, { reservedBytes, isWaiting, lastReadAt }] of this.reservations) {
            if (other !== holder) {
                const isIdle = isWaiting || now - lastReadAt > stallTime;
                otherBytes += isIdle ? other.keptBytes() : reservedBytes;
                isRead ||= !isIdle;
            }
        }
        const freeBytes = this.limitBytes - this.unreadBytes() - wantedBytes;
        return otherBytes <= freeBytes || !isRead && freeBytes >= 0;
    }
}
