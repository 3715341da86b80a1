package burlarch.routing;

import burlarch.configuration.Configuration.Tenant;
import java.nio.charset.StandardCharsets;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * The text under which engines keep parts. It names the model, the weights version and, where a tenant is
 * walled off, the tenant, so that no request can run on memory of other weights or of behind a wall.
 */
public final class CacheSalt {
    private static final char SEPARATOR = '|';
    private static final long MIX = 0xC2B2AE3D27D4EB4FL;

    private CacheSalt() {}

    /**
     * The salt of a request at one engine.
     *
     * @param version weights of the engine; where unknown, 0, the salt is the engine's own
     */
    public static String of(String model, long version, Tenant tenant, String instance) {
        StringBuilder salt = new StringBuilder(48).append(model).append(SEPARATOR);
        if (version > 0) {
            salt.append(version);
        } else {
            salt.append('?').append(instance);
        }
        if (tenant != null && tenant.isolated()) {
            salt.append(SEPARATOR).append(tenant.name());
        }
        return salt.toString();
    }

    /** One number for a salt. */
    public static long hash(String salt) {
        byte[] bytes = salt.getBytes(StandardCharsets.UTF_8);
        return MurmurHash3.hash128x64(bytes, 0, bytes.length, 0)[0];
    }

    /** The key of a part under a salt's {@link #hash}. */
    public static long key(long saltHash, long part) {
        long mixed = (saltHash ^ part) * MIX;
        return mixed ^ mixed >>> 29;
    }

    /** Alike for all salts of one model and weights version, whoever the tenant. */
    public static short group(String salt) {
        int end = salt.indexOf(SEPARATOR, salt.indexOf(SEPARATOR) + 1);
        return (short) salt.substring(0, end < 0 ? salt.length() : end).hashCode();
    }
}
