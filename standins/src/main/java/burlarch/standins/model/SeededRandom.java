package burlarch.standins.model;

/**
 * Random draws that depend only on a seed and a name: every party that draws for a request gets the same value, in
 * any order and on any thread. The mixing function is SplitMix64's finalizer (Steele, Lea and Flood, 2014).
 */
public final class SeededRandom {
    private SeededRandom() {}

    /** Mixes the bits of a value with SplitMix64's finalizer. */
    public static long mix(long value) {
        value = (value ^ value >>> 30) * 0xbf58476d1ce4e5b9L;
        value = (value ^ value >>> 27) * 0x94d049bb133111ebL;
        return value ^ value >>> 31;
    }

    /** Returns a hash of a seed and a name. */
    public static long hash(long seed, String name) {
        long hash = seed;
        for (int i = 0; i < name.length(); i++) {
            hash = mix(hash + 0x9e3779b97f4a7c15L ^ name.charAt(i));
        }
        return mix(hash + 0x9e3779b97f4a7c15L);
    }

    /** Maps a hash to a uniformly distributed number in [0, 1). */
    public static double unit(long hash) {
        return (hash >>> 11) * 0x1.0p-53;
    }

    /**
     * Maps a hash to a log-normal number with mean 1 and the given coefficient of variation; 1 if {@code cv <= 0}.
     * The underlying normal number comes from the Box-Muller transform.
     */
    public static double logNormal(long hash, double cv) {
        if (cv <= 0) {
            return 1;
        }
        double sigmaSquared = Math.log1p(cv * cv);
        double uniform1 = 1 - unit(mix(hash + 1));
        double uniform2 = unit(mix(hash + 2));
        double normal = Math.sqrt(-2 * Math.log(uniform1)) * Math.cos(2 * Math.PI * uniform2);
        return Math.exp(normal * Math.sqrt(sigmaSquared) - sigmaSquared / 2);
    }
}
