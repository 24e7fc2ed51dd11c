package org.masticpaddle.standin;

import java.net.URI;

import org.masticpaddle.kernel.Service;

/** A small HTTP service on loopback that takes the place of an outside one. Thread-safe after {@link #start()}. */
public interface StandIn extends Service {
    /**
     * Returns the address; the operating system chooses the port at the first start, and later starts keep it.
     *
     * @return scheme, host and port
     */
    URI origin();

    /**
     * Returns the switchable faults.
     *
     * @return the faults, which also {@code POST /control/faults} switches
     */
    Faults faults();
}
