/**
 * The source of random numbers and identifiers in production.
 */
import type { RandomSource } from "@verbenaspring/coordination";
import { randomBytes } from "node:crypto";

const identifierBytes = 16;

/** The daemons' source. Its identifiers come from a secure random generator, so that no caller can guess them. */
export const systemSource: RandomSource = {
    random: Math.random,
    newIdentifier: () => randomBytes(identifierBytes).toString("hex"),
};
