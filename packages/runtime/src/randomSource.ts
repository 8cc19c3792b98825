/**
 * Sources of chance and identifiers.
 */
import type { Source } from "@verbenaspring/coordination";
import { randomBytes } from "node:crypto";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

const identifierBytes = 16;

/** The daemons' source: identifiers no caller can guess. */
export const systemSource: Source = {
    random: Math.random,
    newIdentifier: () => randomBytes(identifierBytes).toString("hex"),
};

/**
 * A source that gives the same values for the same seed.
 *
 * @example
 * const source = seededSource(42);
 */
export function seededSource(seed: number): Source {
    const generator = xoroshiro128plus(seed);
    const word = (): number => generator.next() >>> 0;
    const hexadecimalWord = (): string => word().toString(16).padStart(8, "0");
    return {
        random: () => word() / 2 ** 32,
        newIdentifier: () => hexadecimalWord() + hexadecimalWord() + hexadecimalWord() + hexadecimalWord(),
    };
}
