package burlarch.proxy.hotlist;

import burlarch.settings.SettingsException;
import burlarch.settings.SettingsSection;

/** The hot list's figures: counters a class, the half-life of its rates, and the entries that are shown. */
public record HotListSettings(int capacity, long halfLifeNanos, int show) {
    /** Some 500 bytes each at the longest: 2 MB a class, of a heap that has room for a few of these. */
    private static final int CAPACITY_MOST = 4096;

    private static final double SECOND_NANOS = 1e9;
    private static final int DAY_S = 86_400;

    public static HotListSettings read(SettingsSection section) throws SettingsException {
        return new HotListSettings(
                section.integer("capacity", 256, 1, CAPACITY_MOST),
                (long) (section.number("half_life_s", 60, 0.1, DAY_S) * SECOND_NANOS),
                section.integer("show", 20, 1, CAPACITY_MOST));
    }
}
