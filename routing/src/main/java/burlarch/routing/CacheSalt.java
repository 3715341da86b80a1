package burlarch.routing;

import burlarch.configuration.Configuration.Tenant;
import java.nio.charset.StandardCharsets;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * The salt under which engines cache prompt segments. It names the model, the weights version and, for an
 * isolated tenant, the tenant. Segments are shared only under equal salts, so no request can run on cache
 * entries of other weights or of a tenant from which it is isolated. The characters that separate the parts are
 * escaped within names, so that no two combinations of parts have one salt.
 */
public final class CacheSalt {
    private static final char SEPARATOR = '|';
    private static final char UNKNOWN_VERSION = '?';
    private static final char ESCAPE = '%';
    private static final long MIX = 0xC2B2AE3D27D4EB4FL;

    private CacheSalt() {}

    /**
     * The salt of a request at one engine.
     *
     * @param version weights version of the engine; if it is unknown (0), the salt is unique to the engine
     * @param tenant null for requests of no tenant
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

    /** The name with percent codes in place of the characters that have a meaning in a salt. */
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

    /** 64 bits of the salt's hash. */
    public static long hash(String salt) {
        byte[] bytes = salt.getBytes(StandardCharsets.UTF_8);
        return MurmurHash3.hash128x64(bytes, 0, bytes.length, 0)[0];
    }

    /** The index key of a segment under the salt with that {@link #hash}. */
    public static long key(long saltHash, long segment) {
        long mixed = (saltHash ^ segment) * MIX;
        return mixed ^ mixed >>> 29;
    }

    /** A number that all salts of one model and weights version have in common, whatever the tenant. */
    public static short group(String salt) {
        int end = salt.indexOf(SEPARATOR, salt.indexOf(SEPARATOR) + 1);
        return (short) salt.substring(0, end < 0 ? salt.length() : end).hashCode();
    }
}
