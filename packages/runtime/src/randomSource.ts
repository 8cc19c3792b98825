/**
 * The daemons' source of chance and identifiers.
 */
import type { RandomSource } from "@verbenaspring/coordination";
import { randomBytes } from "node:crypto";

const identifierBytes = 16;

/** The daemons' source: identifiers no caller can guess. */
export const systemSource: RandomSource = {
    random: Math.random,
    newIdentifier: () => randomBytes(identifierBytes).toString("hex"),
};
