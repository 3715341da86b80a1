package burlarch.controller;

import burlarch.controller.distribution.ConfigurationConfirmationService;
import burlarch.controller.distribution.PrefixCacheEventForwarder;
import burlarch.controller.distribution.QuorumReadGate;
import burlarch.controller.distribution.RouterPublisher;
import burlarch.controller.instances.InstanceReplicator;
import burlarch.controller.peers.ControllerPeers;
import burlarch.controller.register.RegisterReplica;

/** The components of a controller that connections and messages of other nodes are dispatched to. */
record MessageHandlers(
        ControllerPeers peers,
        RegisterReplica register,
        RouterPublisher publisher,
        QuorumReadGate reads,
        ConfigurationConfirmationService confirmations,
        InstanceReplicator instances,
        PrefixCacheEventForwarder prefixCacheEvents) {}
