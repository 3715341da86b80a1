package burlarch.controller;

import burlarch.controller.distribution.ConfigurationConfirmationService;
import burlarch.controller.distribution.PrefixCacheEventForwarder;
import burlarch.controller.distribution.QuorumReadGate;
import burlarch.controller.distribution.RouterPublisher;
import burlarch.controller.instances.InstanceReplicator;
import burlarch.controller.peers.ControllerPeers;
import burlarch.controller.register.RegisterReplica;

/** The components of a controller to which {@link NodeMessageDispatcher} dispatches connections and messages. */
record MessageHandlers(
        ControllerPeers peers,
        RegisterReplica register,
        RouterPublisher publisher,
        QuorumReadGate quorumReadGate,
        ConfigurationConfirmationService confirmationService,
        InstanceReplicator instances,
        PrefixCacheEventForwarder prefixCacheForwarder) {}
