/**
 * A text hash that gives the same value in every process.
 */

/**
 * Returns the 32-bit FNV-1a hash of a text. A final mixing step spreads texts that differ only in their last character.
 *
 * @example
 * const rank = hashText("10.1.0.19:8748");
 */
export function hashText(text: string): number {
    const prime = 0x01000193;
    let hash = 0x811c9dc5;
    for (let index = 0; index < text.length; index++) {
        hash = Math.imul(hash ^ text.charCodeAt(index), prime);
    }
    hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
    hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
    return (hash ^ (hash >>> 16)) >>> 0;
}
