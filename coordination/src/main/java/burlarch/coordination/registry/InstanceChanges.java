package burlarch.coordination.registry;

import java.util.List;

/**
 * A delta or complete snapshot of a registry, as published to others. Removed instances are included as
 * {@link InstanceState#GONE}.
 *
 * @param revision the registry's revision that a receiver has after applying this
 * @param complete whether this is a snapshot; a receiver then forgets instances that are absent from it
 * @param instances in the order of their last changes
 */
public record InstanceChanges(long revision, boolean complete, List<Instance> instances) {}
