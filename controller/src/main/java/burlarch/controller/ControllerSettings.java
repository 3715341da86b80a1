package burlarch.controller;

import java.util.List;

/**
 * Settings of a {@link ControllerRuntime}.
 *
 * @param ownAddress IP:PORT at which other nodes connect to this one
 * @param zone zone in which this process runs
 * @param seeds IP:PORT of other controllers at which this one connects to them
 * @param processName unique for this start of this process
 * @param heartbeatNanos period of an instance's announcements
 * @param rolloutDeadlineMillis time within which all engines must serve a newly set target version of weights
 * @param leaseNanos duration of a singleton role's lease after its last confirmation
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
