package burlarch.proxy.hotlist;

/**
 * Counted unit of the hot list: a request key and the tenant that requested it. Clients choose both texts, so both are
 * truncated to a maximum length; if one was truncated, the digest of the whole text distinguishes equal prefixes.
 */
record HotKey(String tenant, String key, boolean truncated, long digest) {
    private static final int MAX_TEXT_LENGTH = 128;

    /**
     * Returns the hot-list key, with texts truncated as needed.
     *
     * @param keyDigest digest of the whole key
     */
    static HotKey of(String tenant, String key, long keyDigest) {
        if (tenant.length() <= MAX_TEXT_LENGTH && key.length() <= MAX_TEXT_LENGTH) {
            return new HotKey(tenant, key, false, 0);
        }
        return new HotKey(truncate(tenant), truncate(key), true, keyDigest * 31 + tenant.hashCode());
    }

    /**
     * Written by hand, because the generated methods of a record are linked at run time, which would delay the first
     * requests.
     */
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

    /** Truncates by characters; each of them was one byte of the request head. */
    private static String truncate(String text) {
        return text.length() <= MAX_TEXT_LENGTH ? text : text.substring(0, MAX_TEXT_LENGTH);
    }
}
