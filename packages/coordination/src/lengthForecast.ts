/**
 * Forecasts how long an output will be from the lengths of earlier outputs. Lengths are kept in geometric buckets with
 * exponential forgetting, pooled over organisations where one alone has given too few.
 */
import type { OrganisationId, ServiceName } from "@verbenaspring/model";

const bucketsPerDoubling = 4;
const bucketCount = 72;
/** Lengths of a pool count half as much after this many later ones. */
const halfLife = 512;
/** An organisation is forecast from its own outputs once it has given this many. */
const enoughOutputs = 30;
/** Before any output is known, lengths are taken as spread evenly over the buckets up to this length in tokens. */
const priorLongest = 4_096;
const priorWeight = 4;

/** What a forecast is made for. */
export interface ForecastSubject {
    readonly service: ServiceName;
    readonly workKind: "short" | "long";
    readonly organisation: OrganisationId;
}

/** The distribution of the lengths of one pool. */
export interface LengthDistribution {
    /** The share of outputs longer than `length` tokens, in [0, 1]. */
    readonly survival: (length: number) => number;
    readonly mean: number;
}

interface LengthPool {
    readonly weights: Float64Array;
    /** Outputs recorded, without forgetting. */
    outputs: number;
    /** The weight that the next output gets; it grows instead of all the others shrinking. */
    nextWeight: number;
    distribution: LengthDistribution | undefined;
}

/** All pools of one sidecar. Owned and changed by the loop. */
export interface LengthForecast {
    readonly pools: Map<string, LengthPool>;
    readonly maxPools: number;
}

/**
 * Creates a forecast that knows no output.
 *
 * @param mostPools bounds the pools, and so the memory; the pool used longest ago is forgotten first
 * @example
 * const forecast = createLengthForecast(2_048);
 */
export function createLengthForecast(mostPools: number): LengthForecast {
    return { pools: new Map(), maxPools: mostPools };
}

/**
 * Records the length of a whole output. Outputs that were cut off are not recorded.
 *
 * @example
 * recordLength(forecast, subject, 431);
 */
export function recordLength(forecast: LengthForecast, subject: ForecastSubject, length: number): void {
    for (const key of poolKeys(subject)) {
        const pool = forecast.pools.get(key) ?? createPool();
        // Re-inserting keeps the map in order of last use.
        forecast.pools.delete(key);
        forecast.pools.set(key, pool);
        pool.weights[bucketOf(length)] += pool.nextWeight;
        pool.nextWeight *= 2 ** (1 / halfLife);
        pool.outputs++;
        pool.distribution = undefined;
        rescale(pool);
    }
    for (const key of forecast.pools.keys()) {
        if (forecast.pools.size <= forecast.maxPools) {
            break;
        }
        forecast.pools.delete(key);
    }
}

/**
 * The distribution of lengths for a subject: the organisation's own where it has given enough outputs, else that of
 * its kind of work, else a broad prior.
 *
 * @example
 * const stillRunning = forecastLength(forecast, subject).survival(1_000);
 */
export function forecastLength(forecast: LengthForecast, subject: ForecastSubject): LengthDistribution {
    const [own, pooled] = poolKeys(subject).map(key => forecast.pools.get(key));
    if (own !== undefined && own.outputs >= enoughOutputs) {
        return distributionOf(own);
    }
    return pooled === undefined ? priorDistribution : distributionOf(pooled);
}

/**
 * The share of outputs that reach `length + further` tokens among those that reached `length`. Past all recorded
 * lengths the answer is 1: such an output gives no sign of ending.
 */
export function conditionalSurvival(distribution: LengthDistribution, length: number, further: number): number {
    const reached = distribution.survival(length);
    return reached <= 0 ? 1 : distribution.survival(length + further) / reached;
}

function poolKeys(subject: ForecastSubject): readonly string[] {
    const pooled = `${subject.service}/${subject.workKind}`;
    return [`${pooled}/${subject.organisation}`, pooled];
}

function createPool(): LengthPool {
    return { weights: new Float64Array(bucketCount), outputs: 0, nextWeight: 1, distribution: undefined };
}

function bucketOf(length: number): number {
    return Math.min(bucketCount - 1, Math.max(0, Math.ceil(Math.log2(Math.max(1, length)) * bucketsPerDoubling)));
}

function rescale(pool: LengthPool): void {
    const largest = 1e100;
    if (pool.nextWeight > largest) {
        pool.weights.forEach((weight, index) => pool.weights[index] = weight / largest);
        pool.nextWeight /= largest;
    }
}

function distributionOf(pool: LengthPool): LengthDistribution {
    pool.distribution ??= fromWeights(pool.weights, pool.nextWeight * priorWeight / 4);
    return pool.distribution;
}

const priorDistribution = fromWeights(new Float64Array(bucketCount), 1);

/** Survival at bucket bounds, with a little of the prior mixed in, and linear in the logarithm between bounds. */
function fromWeights(weights: Float64Array, priorUnit: number): LengthDistribution {
    const priorBuckets = bucketOf(priorLongest) + 1;
    const mixed = weights.map((weight, index) => weight + (index < priorBuckets ? priorUnit / priorBuckets : 0));
    const total = mixed.reduce((sum, weight) => sum + weight, 0);
    const above = new Float64Array(bucketCount + 1);
    let mean = 0;
    for (let index = bucketCount - 1; index >= 0; index--) {
        above[index] = above[index + 1] + mixed[index] / total;
        mean += mixed[index] / total * 2 ** (index / bucketsPerDoubling);
    }
    const survival = (length: number): number => {
        if (length < 1) {
            return 1;
        }
        const position = Math.min(bucketCount - 1, Math.log2(length) * bucketsPerDoubling);
        const index = Math.floor(position);
        const upper = above[index + 1];
        const lower = above[Math.min(bucketCount, index + 2)];
        return upper + (lower - upper) * (position - index);
    };
    return { survival, mean };
}
