package burlarch.proxy.hotlist;

import burlarch.settings.SettingsException;
import burlarch.settings.SettingsSection;

/**
 * Settings of the hot list.
 *
 * @param capacity number of counters per request class
 * @param halfLifeNanos half-life of the request rates
 * @param maxRows maximum number of rows in a written list
 */
public record HotListSettings(int capacity, long halfLifeNanos, int maxRows) {
    /** A counter takes up to about 500 bytes, so this is 2 MB per class; the heap has room for a few such classes. */
    private static final int MAX_CAPACITY = 4096;

    private static final double NANOS_PER_SECOND = 1e9;
    private static final int SECONDS_PER_DAY = 86_400;

    /**
     * Reads the {@code hotlist} section.
     *
     * @throws SettingsException if a value is invalid
     */
    public static HotListSettings read(SettingsSection section) throws SettingsException {
        return new HotListSettings(
                section.integer("capacity", 256, 1, MAX_CAPACITY),
                (long) (section.number("half_life_s", 60, 0.1, SECONDS_PER_DAY) * NANOS_PER_SECOND),
                section.integer("show", 20, 1, MAX_CAPACITY));
    }
}
