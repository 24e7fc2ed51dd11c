package org.masticpaddle.platform;

import java.util.List;

/**
 * Changes of the instance list, or a full copy of it. Immutable.
 *
 * @param version version of the list after the changes
 * @param complete whether {@code instances} is the whole list rather than a difference
 * @param instances changed instances, or all instances if {@code complete}
 */
public record InstanceChanges(long version, boolean complete, List<Instance> instances) {
    /** Makes a defensive copy of the instances. */
    public InstanceChanges {
        instances = List.copyOf(instances);
    }
}
