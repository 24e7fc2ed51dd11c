package org.masticpaddle.standin;

import java.net.URI;

/** A stand-in behind one {@link StandInServer}. Thread-safe if the subclass is. */
abstract class HttpStandIn implements StandIn {
    private final Faults faults = new Faults();

    /** Server of the stand-in, built by the subclass. */
    abstract StandInServer server();

    @Override
    public void start() {
        server().start();
    }

    @Override
    public void stop() {
        server().stop();
    }

    @Override
    public URI origin() {
        return server().origin();
    }

    @Override
    public final Faults faults() {
        return faults;
    }
}
