package org.masticpaddle.standin;

import java.net.URI;
import java.util.Map;

import io.undertow.server.HttpServerExchange;
import org.masticpaddle.wire.Json;

/**
 * {@link FaultProxy} with a control endpoint on a second port. {@code POST /proxy} with a {@link Command} changes its
 * faults. Thread-safe after {@link #start()}.
 */
public final class ProxyStandIn implements StandIn {
    private final FaultProxy proxy;
    private final Faults faults = new Faults();
    private final StandInServer server;

    /**
     * Creates a proxy that is not yet listening.
     *
     * @param target host and port to forward to; the scheme is ignored
     */
    public ProxyStandIn(URI target) {
        this.proxy = new FaultProxy(target);
        this.server = new StandInServer(
                "proxy", faults, exchange -> Map.of("accepted", proxy.acceptedConnections()), this::handle);
    }

    @Override
    public void start() {
        proxy.start();
        server.start();
    }

    @Override
    public void stop() {
        server.stop();
        proxy.stop();
    }

    @Override
    public URI origin() {
        return proxy.origin();
    }

    /**
     * Returns the address of the control endpoint.
     *
     * @return scheme, host and port
     */
    public URI controlOrigin() {
        return server.origin();
    }

    /**
     * Returns the faults of the control endpoint. They do not affect the proxied bytes, whose faults are changed by
     * {@code POST /proxy}.
     *
     * @return faults of the control endpoint
     */
    @Override
    public Faults faults() {
        return faults;
    }

    private void handle(HttpServerExchange exchange, byte[] body) {
        if (!"/proxy".equals(exchange.getRequestPath())) {
            StandInServer.respondNotFound(exchange);
            return;
        }
        final Command command = Json.decode(body, Command.class);
        if (command.action() == null) {
            throw new IllegalArgumentException("action is missing");
        }
        command.action().apply(proxy, command);
        server.respond(exchange, 200, Map.of("accepted", proxy.acceptedConnections()));
    }

    /**
     * Body of {@code POST /proxy}. Immutable.
     *
     * @param action action to perform
     * @param direction direction that {@code DELAY} and {@code SILENCE} affect; {@code TO_CLIENT} if null
     * @param value delay in milliseconds for {@code DELAY}; for {@code BLACKHOLE} and {@code REFUSE} 0 ends the fault and
     *     any other value starts it
     */
    public record Command(Action action, FaultProxy.Direction direction, long value) {
        /** Replaces a missing direction by {@code TO_CLIENT}. */
        public Command {
            direction = direction == null ? FaultProxy.Direction.TO_CLIENT : direction;
        }
    }

    /** Fault that a command starts or ends. */
    public enum Action {
        /** Delays the bytes of one direction. */
        DELAY {
            @Override
            void apply(FaultProxy faultProxy, Command command) {
                faultProxy.delay(command.direction(), command.value());
            }
        },
        /** Drops the bytes of one direction on the connections that are open now. */
        SILENCE {
            @Override
            void apply(FaultProxy faultProxy, Command command) {
                faultProxy.stallOpenConnections(command.direction());
            }
        },
        /** Drops all bytes on open and new connections. */
        BLACKHOLE {
            @Override
            void apply(FaultProxy faultProxy, Command command) {
                faultProxy.blackhole(command.value() != 0);
            }
        },
        /** Refuses new connections. */
        REFUSE {
            @Override
            void apply(FaultProxy faultProxy, Command command) {
                faultProxy.refuseConnections(command.value() != 0);
            }
        },
        /** Closes the open connections with a TCP reset. */
        CUT {
            @Override
            void apply(FaultProxy faultProxy, Command command) {
                faultProxy.resetConnections();
            }
        },
        /** Ends delays, the black hole and the refusal of connections. */
        HEAL {
            @Override
            void apply(FaultProxy faultProxy, Command command) {
                faultProxy.clearFaults();
            }
        };

        abstract void apply(FaultProxy faultProxy, Command command);
    }
}
