package org.masticpaddle.kernel;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Registry of named services that starts them in registration order and stops them in reverse order.
 *
 * <p>Invariants: a name is registered at most once, and registration ends when the kernel starts. All methods are safe
 * for use by several threads.
 */
public final class Kernel {
    private final Map<String, Service> services = new LinkedHashMap<>();
    private final Deque<Map.Entry<String, Service>> started = new ArrayDeque<>();
    private boolean running;

    /** Creates a kernel with no services. */
    public Kernel() {}

    /**
     * Registers a service under a name.
     *
     * @param name unique name, for example {@code "platform.log"}
     * @param service the service
     * @return this kernel
     * @throws KernelException if the name is taken or the kernel is running
     */
    public synchronized Kernel register(String name, Service service) {
        Objects.requireNonNull(name, "name is null");
        Objects.requireNonNull(service, "service is null");
        if (running) {
            throw new KernelException("service \"" + name + "\" registered after start");
        }
        if (services.putIfAbsent(name, service) != null) {
            throw new KernelException("service \"" + name + "\" is registered twice");
        }
        return this;
    }

    /**
     * Finds a service by its name.
     *
     * @param name the name it was registered under
     * @param type the expected type
     * @param <T> the expected type
     * @return the service
     * @throws KernelException if no service has this name and type
     */
    public synchronized <T> T find(String name, Class<T> type) {
        final Service service = services.get(name);
        if (!type.isInstance(service)) {
            throw new KernelException("no service \"" + name + "\" of type " + type.getSimpleName());
        }
        return type.cast(service);
    }

    /**
     * Starts all services in registration order. If one fails, those already started are stopped again.
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

    /** Stops all started services in reverse order. A failure is logged and does not keep the others from stopping. */
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

    // Looked up when it is used: the start of a process does not wait for the logging library.
    private static Logger logger() {
        return LogManager.getLogger(Kernel.class);
    }
}
