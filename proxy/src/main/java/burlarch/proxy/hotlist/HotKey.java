package burlarch.proxy.hotlist;

/**
 * What is counted: a key with the tenant that asked for it. Bounded, as both are a client's to choose; where
 * one was cut, the digest of the whole keeps apart what looks alike.
 */
record HotKey(String tenant, String key, boolean truncated, long digest) {
    private static final int LONGEST = 128;

    /** @param keyDigest of the whole key */
    static HotKey of(String tenant, String key, long keyDigest) {
        if (tenant.length() <= LONGEST && key.length() <= LONGEST) {
            return new HotKey(tenant, key, false, 0);
        }
        return new HotKey(cut(tenant), cut(key), true, keyDigest * 31 + tenant.hashCode());
    }

    /** Written out, as those of a record are linked at run time: the first requests would wait for it. */
    @Override
    public boolean equals(Object other) {
        return other instanceof HotKey that
                && digest == that.digest
                && truncated == that.truncated
                && key.equals(that.key)
                && tenant.equals(that.tenant);
    }

    @Override
    public int hashCode() {
        return 31 * (31 * tenant.hashCode() + key.hashCode()) + Long.hashCode(digest);
    }

    /** In characters, each of which was one byte of the request's head. */
    private static String cut(String text) {
        return text.length() <= LONGEST ? text : text.substring(0, LONGEST);
    }
}
