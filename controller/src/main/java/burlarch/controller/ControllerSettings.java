package burlarch.controller;

import java.util.List;

/**
 * What the decisions of a controller hang on.
 *
 * @param ownAddress where it takes connections of other nodes, IP:PORT
 * @param zone where it runs
 * @param seeds such addresses of other controllers
 * @param processName unique for this start of this process
 * @param heartbeatNanos between the announcements of an instance
 * @param rolloutDeadlineMillis until when engines have to be at newly named weights
 * @param leaseNanos how long a duty's owner may act after its last sign
 * @param toleratedLosses how many acceptors may be lost at once
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
