package burlarch.standins.model;

/**
 * Draws that depend on nothing but a seed and a name: every party that draws for a request gets the same, in
 * any order and on any thread. The mixing is SplitMix64's finalizer (Steele, Lea and Flood, 2014).
 */
public final class Draw {
    private Draw() {}

    public static long mix(long z) {
        z = (z ^ z >>> 30) * 0xbf58476d1ce4e5b9L;
        z = (z ^ z >>> 27) * 0x94d049bb133111ebL;
        return z ^ z >>> 31;
    }

    public static long hash(long seed, String name) {
        long h = seed;
        for (int i = 0; i < name.length(); i++) {
            h = mix(h + 0x9e3779b97f4a7c15L ^ name.charAt(i));
        }
        return mix(h + 0x9e3779b97f4a7c15L);
    }

    /** @return evenly spread in [0, 1) */
    public static double unit(long hash) {
        return (hash >>> 11) * 0x1.0p-53;
    }

    /** @return with mean 1 and that coefficient of variation; log-normal (Box and Muller's normal) */
    public static double logNormal(long hash, double cv) {
        if (cv <= 0) {
            return 1;
        }
        double sigmaSquared = Math.log1p(cv * cv);
        double u = 1 - unit(mix(hash + 1));
        double v = unit(mix(hash + 2));
        double normal = Math.sqrt(-2 * Math.log(u)) * Math.cos(2 * Math.PI * v);
        return Math.exp(normal * Math.sqrt(sigmaSquared) - sigmaSquared / 2);
    }
}
