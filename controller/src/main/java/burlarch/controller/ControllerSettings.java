package burlarch.controller;

import java.util.List;

/**
 * The settings that a controller's decisions depend on.
 *
 * @param ownAddress IP:PORT at which other nodes connect to this one
 * @param zone where this process runs
 * @param seeds such addresses of other controllers
 * @param processName unique for this start of this process
 * @param heartbeatNanos time between the announcements of an instance
 * @param rolloutDeadlineMillis how long after a version of weights is named all engines have to serve it
 * @param leaseNanos how long the lease of a singleton role lasts after its last confirmation
 * @param toleratedLosses the number of acceptors that may be lost at the same time
 */
public record ControllerSettings(
        String ownAddress,
        String zone,
        List<String> seeds,
        String processName,
        long heartbeatNanos,
        long rolloutDeadlineMillis,
        long leaseNanos,
        int toleratedLosses) {}
