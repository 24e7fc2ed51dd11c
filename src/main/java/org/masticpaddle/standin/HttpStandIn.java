package org.masticpaddle.standin;

import java.net.URI;

/** Base class of the stand-ins that are served by one {@link StandInServer}. Thread-safe if the subclass is. */
abstract class HttpStandIn implements StandIn {
    private final Faults faults = new Faults();

    /** Returns the server, which the subclass creates once. */
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
