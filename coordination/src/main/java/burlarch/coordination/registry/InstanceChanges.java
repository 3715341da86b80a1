package burlarch.coordination.registry;

import java.util.List;

/**
 * What a registry holds or what changed in it, those that have gone included.
 *
 * @param revision the registry's, up to which this tells
 * @param complete whether this is all that the registry knows, so that what is absent is not known to it
 * @param instances in the order of their last changes
 */
public record InstanceChanges(long revision, boolean complete, List<Instance> instances) {}
