package burlarch.coordination.registry;

import java.util.List;

/**
 * A part or all of what a registry knows, as others are to see it. Removed instances are included as
 * {@link InstanceState#GONE}.
 *
 * @param revision the registry's revision that a receiver knows after it has applied this
 * @param complete whether this is all that the registry knows; a receiver then forgets what is absent
 * @param instances in the order of their last changes
 */
public record InstanceChanges(long revision, boolean complete, List<Instance> instances) {}
