package burlarch.controller;

/** The parts of a controller that messages of other nodes reach. */
record ControllerParts(
        ControllerPeers peers,
        DecidedState decided,
        RegisterDriver driver,
        RouterPublisher publisher,
        ConfirmedReads reads,
        InstanceFeed instances,
        KeptForwarder kept,
        QuorumWatch quorum) {}
