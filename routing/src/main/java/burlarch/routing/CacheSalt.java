package burlarch.routing;

import burlarch.configuration.Configuration.Tenant;
import java.nio.charset.StandardCharsets;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Cache salt: the namespace in which engines cache prompt segments. It consists of the model, the weights version and,
 * for an isolated tenant, the tenant. Segments are shared only under equal salts, so no request can use cache entries
 * of other weights or of a tenant from which it is isolated. The characters that separate the parts are escaped within
 * names, so different combinations of parts always have different salts.
 */
public final class CacheSalt {
    private static final char SEPARATOR = '|';
    private static final char UNKNOWN_VERSION = '?';
    private static final char ESCAPE = '%';
    private static final long MIX = 0xC2B2AE3D27D4EB4FL;

    private CacheSalt() {}

    /**
     * Returns the salt of a request at one engine.
     *
     * @param version weights version of the engine; if it is 0 (unknown), the salt is unique to the engine
     * @param tenant null for a request without a tenant
     * @param instance id of the engine
     */
    public static String of(String model, long version, Tenant tenant, String instance) {
        StringBuilder salt = new StringBuilder(48).append(escape(model)).append(SEPARATOR);
        if (version > 0) {
            salt.append(version);
        } else {
            salt.append(UNKNOWN_VERSION).append(escape(instance));
        }
        if (tenant != null && tenant.isolated()) {
            salt.append(SEPARATOR).append(escape(tenant.name()));
        }
        return salt.toString();
    }

    /** Replaces the characters that have a meaning in a salt by percent codes. */
    private static String escape(String name) {
        if (name.indexOf(SEPARATOR) < 0 && name.indexOf(UNKNOWN_VERSION) < 0 && name.indexOf(ESCAPE) < 0) {
            return name;
        }
        return name.replace("%", "%25").replace("|", "%7C").replace("?", "%3F");
    }

    /** Whether the salt is unique to one engine, so that nothing cached under it can be shared. */
    public static boolean isOfUnknownVersion(String salt) {
        return salt.indexOf(UNKNOWN_VERSION) >= 0;
    }

    /** Returns a 64-bit hash of the salt. */
    public static long hash(String salt) {
        byte[] bytes = salt.getBytes(StandardCharsets.UTF_8);
        return MurmurHash3.hash128x64(bytes, 0, bytes.length, 0)[0];
    }

    /** Returns the index key of a segment under the salt with the given {@link #hash}. */
    public static long key(long saltHash, long segment) {
        long mixed = (saltHash ^ segment) * MIX;
        return mixed ^ mixed >>> 29;
    }

    /** Returns a number that is equal for all salts of one model and weights version, whatever the tenant. */
    public static short group(String salt) {
        int end = salt.indexOf(SEPARATOR, salt.indexOf(SEPARATOR) + 1);
        return (short) salt.substring(0, end < 0 ? salt.length() : end).hashCode();
    }
}
