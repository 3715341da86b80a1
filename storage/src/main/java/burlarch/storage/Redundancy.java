package burlarch.storage;

/** The number of times that a log writes each record. */
enum Redundancy {
    /** Once. Damage to the newest record cannot be distinguished from a write that a power failure interrupted. */
    SINGLE,
    /**
     * Twice, with one sync. Damage to one copy is repaired from the other. This includes the newest record, which no
     * later record proves to have been synced.
     */
    MIRRORED
}
