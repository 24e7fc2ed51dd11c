package org.masticpaddle.kernel;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Registry of named services, which starts them in registration order and stops them in reverse order.
 *
 * <p>Invariants: each name is registered at most once, and no service is registered after {@link #start()}.
 * Thread-safe; all methods are synchronized.
 */
public final class Kernel {
    private final Map<String, Service> services = new LinkedHashMap<>();
    private final Deque<Map.Entry<String, Service>> started = new ArrayDeque<>();
    private boolean running;

    /** Creates a kernel without services. */
    public Kernel() {}

    /**
     * Registers a service under a name.
     *
     * @param name unique name, for example {@code "platform.log"}
     * @param service service that is not started
     * @return this kernel
     * @throws KernelException if the name is already registered or the kernel was started
     */
    public synchronized Kernel register(String name, Service service) {
        Objects.requireNonNull(name, "name is null");
        Objects.requireNonNull(service, "service is null");
        if (running) {
            throw new KernelException("service \"" + name + "\" cannot be registered after the kernel was started");
        }
        if (services.putIfAbsent(name, service) != null) {
            throw new KernelException("service \"" + name + "\" is already registered");
        }
        return this;
    }

    /**
     * Finds a service by its name.
     *
     * @param name name under which the service was registered
     * @param type class that the service must be an instance of
     * @param <T> expected type of the service
     * @return the registered service
     * @throws KernelException if no service of this name and type is registered
     */
    public synchronized <T> T find(String name, Class<T> type) {
        final Service service = services.get(name);
        if (!type.isInstance(service)) {
            throw new KernelException("no service \"" + name + "\" of type " + type.getSimpleName());
        }
        return type.cast(service);
    }

    /**
     * Starts all services in registration order. If one fails, those that were already started are stopped in reverse
     * order.
     *
     * @throws KernelException if a service fails to start
     */
    public synchronized void start() {
        running = true;
        for (final Map.Entry<String, Service> entry : services.entrySet()) {
            try {
                entry.getValue().start();
                started.push(entry);
            } catch (RuntimeException e) {
                stop();
                throw new KernelException("service \"" + entry.getKey() + "\" failed to start: " + e.getMessage(), e);
            }
        }
    }

    /** Stops all started services in reverse order. A failure is logged, and the remaining services are stopped. */
    public synchronized void stop() {
        while (!started.isEmpty()) {
            final Map.Entry<String, Service> entry = started.pop();
            try {
                entry.getValue().stop();
            } catch (RuntimeException e) {
                logger().error("service \"{}\" failed to stop", entry.getKey(), e);
            }
        }
    }

    // Looked up lazily, so that process startup does not wait for the logging library to initialise.
    private static Logger logger() {
        return LogManager.getLogger(Kernel.class);
    }
}
