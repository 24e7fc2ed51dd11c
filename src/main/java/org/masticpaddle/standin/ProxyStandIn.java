package org.masticpaddle.standin;

import java.net.URI;
import java.util.Map;

import io.undertow.server.HttpServerExchange;
import org.masticpaddle.wire.Json;

/**
 * Fault proxy with a control endpoint at another port: {@code POST /proxy} with {@code
 * {"action","direction","value"}} switches its faults. Thread-safe after the start.
 */
public final class ProxyStandIn implements StandIn {
    private final FaultProxy proxy;
    private final Faults faults = new Faults();
    private final StandInServer server;

    /**
     * Creates a proxy.
     *
     * @param target host and port that it forwards to
     */
    public ProxyStandIn(URI target) {
        this.proxy = new FaultProxy(target);
        this.server =
                new StandInServer("proxy", faults, exchange -> Map.of("accepted", proxy.acceptedConnections()), this::handle);
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
    public URI control() {
        return server.origin();
    }

    /**
     * Returns faults that have no effect on the proxied bytes; those are switched by {@code POST /proxy}.
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
     * Message of {@code POST /proxy}. Immutable.
     *
     * @param action what to do
     * @param direction direction that it concerns; {@code TO_CLIENT} if missing
     * @param value milliseconds of a delay; for {@code BLACKHOLE} and {@code REFUSE} 0 switches off
     */
    public record Command(Action action, FaultProxy.Direction direction, long value) {
        /** Sets the direction if it is missing. */
        public Command {
            direction = direction == null ? FaultProxy.Direction.TO_CLIENT : direction;
        }
    }

    /** Action of a command. */
    public enum Action {
        /** Delays the bytes of a direction. */
        DELAY {
            @Override
            void apply(FaultProxy faultProxy, Command command) {
                faultProxy.delay(command.direction(), command.value());
            }
        },
        /** Drops the bytes of a direction of the open connections. */
        SILENCE {
            @Override
            void apply(FaultProxy faultProxy, Command command) {
                faultProxy.stallOpenConnections(command.direction());
            }
        },
        /** Drops all bytes. */
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
        /** Resets the open connections. */
        CUT {
            @Override
            void apply(FaultProxy faultProxy, Command command) {
                faultProxy.resetConnections();
            }
        },
        /** Ends delay, black hole and refusal. */
        HEAL {
            @Override
            void apply(FaultProxy faultProxy, Command command) {
                faultProxy.clearFaults();
            }
        };

        abstract void apply(FaultProxy faultProxy, Command command);
    }
}
