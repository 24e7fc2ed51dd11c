package org.masticpaddle.platform;

import java.util.List;

/**
 * Changes of the instance list. Immutable.
 *
 * @param version version of the list after the changes
 * @param complete whether {@code instances} is the whole list in place of changes
 * @param instances changed instances, or all
 */
public record InstanceChanges(long version, boolean complete, List<Instance> instances) {
    /** Copies the instances. */
    public InstanceChanges {
        instances = List.copyOf(instances);
    }
}
