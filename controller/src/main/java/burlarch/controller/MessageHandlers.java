package burlarch.controller;

import burlarch.controller.distribution.PrefixCacheEventForwarder;
import burlarch.controller.distribution.QuorumReadGate;
import burlarch.controller.distribution.RouterPublisher;
import burlarch.controller.instances.InstanceReplicator;
import burlarch.controller.peers.ControllerPeers;
import burlarch.controller.register.CommittedState;
import burlarch.controller.register.ProposalExecutor;
import burlarch.controller.register.QuorumContactMonitor;

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
