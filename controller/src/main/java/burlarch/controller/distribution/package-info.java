/**
 * Distribution of configurations, instances, the fleet's size and prefix-cache events to routers.
 *
 * <p>Job: bring every connected router to the newest configuration and the newest instances, track what routers have
 * acknowledged, and forward prefix-cache events between routers. Thread: the controller's event loop. Owner of the
 * state: {@link burlarch.controller.distribution.RouterPublisher} owns the connected routers and their
 * acknowledgements, {@link burlarch.controller.distribution.QuorumReadGate} the routers that wait for a quorum read,
 * {@link burlarch.controller.distribution.PrefixCacheEventForwarder} the batched frames that are not sent yet. All of
 * it is in memory and bounded by the number of connections.
 */
package burlarch.controller.distribution;
