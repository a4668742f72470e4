import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Source of random numbers; injected so that a run can be reproduced from its seed. */
export interface RandomSource {
    /** Returns a number in [0, 1). */
    pickFraction(): number;
    /** Returns an integer in [0, bound). */
    pickIndex(bound: number): number;
}

/** Pseudorandom source whose sequence is determined by its seed. */
export class SeededRandom implements RandomSource {
    private constructor(private readonly generator: ReturnType<typeof xoroshiro128plus>) {}

    static create(seed: number): SeededRandom {
        return new SeededRandom(xoroshiro128plus(seed));
    }

    pickFraction(): number {
        return uniformFloat64(this.generator);
    }

    pickIndex(bound: number): number {
        return uniformInt(this.generator, 0, bound - 1);
    }
}
