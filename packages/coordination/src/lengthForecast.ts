/**
 * Forecasts the length of an output from the lengths of earlier outputs. Lengths are counted in geometric buckets with
 * exponential decay. An organisation with too few outputs of its own gets the distribution of all organisations.
 */
import type { OrganisationId, ServiceName } from "@verbenaspring/model";

const bucketsPerDoubling = 4;
const bucketCount = 72;
/** The weight of a recorded length halves after this many later ones in its pool. */
const halfLife = 512;
/** Outputs after which the forecast for an organisation is based on its own outputs only. */
const minOwnOutputs = 30;
/** The prior spreads lengths evenly over the buckets up to this length, in tokens. */
const priorMaxLength = 4_096;
/** Weight of the prior, in quarters of the weight of the next output. */
const priorWeight = 4;

/** The kind of output to forecast. */
export interface ForecastSubject {
    readonly service: ServiceName;
    readonly workKind: "short" | "long";
    readonly organisation: OrganisationId;
}

/** The distribution of output lengths in one pool. */
export interface LengthDistribution {
    /** Returns the share of outputs longer than `length` tokens, in [0, 1]. */
    readonly survival: (length: number) => number;
    /** Mean length in tokens. */
    readonly mean: number;
}

interface LengthPool {
    readonly weights: Float64Array;
    /** Outputs recorded, without decay. */
    outputCount: number;
    /**
     * Weight of the next output. Decay is applied by raising it, instead of lowering the weights of all earlier
     * outputs.
     */
    nextWeight: number;
    /** Cached distribution; undefined after a change of the weights. */
    distribution: LengthDistribution | undefined;
}

/**
 * The length pools of one sidecar, least recently updated first. Owned by the event loop, which changes it in place.
 */
export interface LengthForecast {
    readonly pools: Map<string, LengthPool>;
    readonly maxPools: number;
}

/**
 * Creates a forecast without recorded outputs.
 *
 * @param maxPools bounds the number of pools, and so the memory; the least recently updated pool is evicted first
 * @example
 * const forecast = createLengthForecast(2_048);
 */
export function createLengthForecast(maxPools: number): LengthForecast {
    return { pools: new Map(), maxPools };
}

/**
 * Records the length of a complete output in tokens. Truncated outputs must not be recorded.
 *
 * @example
 * recordLength(forecast, subject, 431);
 */
export function recordLength(forecast: LengthForecast, subject: ForecastSubject, length: number): void {
    for (const key of poolKeys(subject)) {
        const pool = forecast.pools.get(key) ?? createPool();
        // Reinserting the key keeps the map in order of last update.
        forecast.pools.delete(key);
        forecast.pools.set(key, pool);
        pool.weights[bucketOf(length)] += pool.nextWeight;
        pool.nextWeight *= 2 ** (1 / halfLife);
        pool.outputCount++;
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
 * Returns the distribution of output lengths for a subject: that of the organisation if it has enough outputs,
 * otherwise that of the service and kind of work, or a broad prior if there is none.
 *
 * @example
 * const shareOfLonger = forecastLength(forecast, subject).survival(1_000);
 */
export function forecastLength(forecast: LengthForecast, subject: ForecastSubject): LengthDistribution {
    const [own, pooled] = poolKeys(subject).map(key => forecast.pools.get(key));
    if (own !== undefined && own.outputCount >= minOwnOutputs) {
        return distributionOf(own);
    }
    return pooled === undefined ? priorDistribution : distributionOf(pooled);
}

/**
 * Returns the share of outputs that reach `length + further` tokens among those that reached `length`. Returns 1 beyond
 * all recorded lengths, where nothing indicates when the output will end.
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
    return { weights: new Float64Array(bucketCount), outputCount: 0, nextWeight: 1, distribution: undefined };
}

function bucketOf(length: number): number {
    return Math.min(bucketCount - 1, Math.max(0, Math.ceil(Math.log2(Math.max(1, length)) * bucketsPerDoubling)));
}

/** Divides all weights before the growing weight of the next output can overflow. */
function rescale(pool: LengthPool): void {
    const maxWeight = 1e100;
    if (pool.nextWeight > maxWeight) {
        pool.weights.forEach((weight, index) => pool.weights[index] = weight / maxWeight);
        pool.nextWeight /= maxWeight;
    }
}

function distributionOf(pool: LengthPool): LengthDistribution {
    pool.distribution ??= distributionFromWeights(pool.weights, pool.nextWeight * priorWeight / 4);
    return pool.distribution;
}

const priorDistribution = distributionFromWeights(new Float64Array(bucketCount), 1);

/**
 * Builds a distribution from bucket weights and a prior. Between the bounds of a bucket, survival is interpolated
 * linearly in the logarithm of the length.
 *
 * @param priorTotal total weight of the prior
 */
function distributionFromWeights(weights: Float64Array, priorTotal: number): LengthDistribution {
    const priorBuckets = bucketOf(priorMaxLength) + 1;
    const mixed = weights.map((weight, index) => weight + (index < priorBuckets ? priorTotal / priorBuckets : 0));
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
