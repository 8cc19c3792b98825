/**
 * A source of chance that is exact for its seed, for tests, experiments and replays.
 */
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomSource } from "./source.js";

/**
 * A source that gives the same values for the same seed.
 *
 * @param discarded values to pass over; the generator's first ones are much alike for small seeds
 * @example
 * const source = seededSource(42);
 */
export function seededSource(seed: number, discarded = 0): RandomSource {
    const generator = xoroshiro128plus(seed);
    const word = (): number => generator.next() >>> 0;
    Array.from({ length: discarded }, word);
    const hexadecimalWord = (): string => word().toString(16).padStart(8, "0");
    return {
        random: () => word() / 2 ** 32,
        newIdentifier: () => hexadecimalWord() + hexadecimalWord() + hexadecimalWord() + hexadecimalWord(),
    };
}
