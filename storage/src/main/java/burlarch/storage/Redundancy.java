package burlarch.storage;

/** How often a log writes each record. */
enum Redundancy {
    /** Once. Damage to the newest record can't be told from a write that a power failure cut off. */
    SINGLE,
    /**
     * Twice, with one sync. Damage to one of the two is repaired by the other, also where they are the newest record,
     * behind which nothing shows that it had been synced.
     */
    MIRRORED
}
