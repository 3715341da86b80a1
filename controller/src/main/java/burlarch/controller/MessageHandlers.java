package burlarch.controller;

/** The parts of a controller that messages of other nodes reach. */
record MessageHandlers(
        ControllerPeers peers,
        CommittedState committed,
        ProposalExecutor proposals,
        RouterPublisher publisher,
        QuorumReadGate reads,
        InstanceReplicator instances,
        PrefixCacheEventForwarder prefixCacheEvents,
        QuorumContactMonitor quorum) {}
