package burlarch.simulation.coordination.fault;

/** Which losses a schedule of faults may bring about. */
enum LossPolicy {
    /**
     * Any fault at any time, but in all no more disks are lost than the deployment tolerates. Finds what breaks safety.
     */
    UNBOUNDED,
    /**
     * Controllers and disks may be lost again and again, but never more at once than the deployment tolerates; all
     * controllers may restart at any time. Every rule has to hold to the end of the run.
     */
    WITHIN_BUDGET
}
