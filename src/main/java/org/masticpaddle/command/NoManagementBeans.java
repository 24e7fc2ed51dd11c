package org.masticpaddle.command;

import javax.management.MBeanServerBuilder;
import javax.management.MBeanServerDelegate;

/**
 * Builder that creates no server of management beans, for processes that do not export any: the I/O library registers its beans
 * at the start and goes on if it cannot. Selected by the system property {@code javax.management.builder.initial}. A class name
 * that cannot be loaded has the same effect, but opens each library and builds a message that is logged.
 */
public final class NoManagementBeans extends MBeanServerBuilder {
    /** Creates the builder; called by reflection. */
    public NoManagementBeans() {}

    /**
     * Creates no delegate.
     *
     * @return {@code null}, for which the caller throws an exception
     */
    @Override
    public MBeanServerDelegate newMBeanServerDelegate() {
        return null;
    }
}
