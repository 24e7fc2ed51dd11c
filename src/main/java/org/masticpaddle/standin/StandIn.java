package org.masticpaddle.standin;

import java.net.URI;

import org.masticpaddle.kernel.Service;

/** Test double of an external HTTP service that listens on the loopback interface. Thread-safe after {@link #start()}. */
public interface StandIn extends Service {
    /**
     * Returns the base URI. The operating system assigns the port at the first start; later starts reuse it.
     *
     * @return scheme, host and port
     */
    URI origin();

    /**
     * Returns the faults that can be injected.
     *
     * @return the faults, which {@code POST /control/faults} enables and disables too
     */
    Faults faults();
}
