/**
 * The order of the ids of a stream's events. They are decimal numbers of any size, which need only increase. Their text is what
 * servers and callers know them by, with zeros in front where there are any. Callers may name ids of another form, which
 * have no order.
 */
import type { EventId } from "@verbenaspring/model";

/** Far more digits than times or counters have. */
const maximumDigits = 100;
const decimal = new RegExp(`^\\d{1,${maximumDigits}}$`);

/** Whether an id has a place among others. */
export function hasOrder(id: EventId): boolean {
    return decimal.test(id);
}

/**
 * The distance from one id to a later one; negative if it is an earlier one.
 *
 * @param from undefined for the start of a stream, before any id
 * @example
 * stepBetween(identifier("009"), identifier("0010")); // 1n
 */
export function stepBetween(from: EventId | undefined, to: EventId): bigint {
    return BigInt(to) - BigInt(from ?? 0);
}

/** Whether an id, or none, stands for the start of a stream. */
export function isStart(id: EventId | undefined): boolean {
    return id === undefined || /^0+$/.test(id);
}

/**
 * The number of events up to an id that counts them: of a stream that may have so many. Other ids tell no number.
 *
 * @param most undefined if it is not known
 */
export function countedEvents(id: EventId | undefined, most: number | undefined): number {
    const count = id === undefined || !hasOrder(id) ? 0 : Number(id);
    return count <= (most ?? Number.MAX_SAFE_INTEGER) ? count : 0;
}
