package org.masticpaddle.routes;

import java.util.List;
import java.util.Objects;

/**
 * Target services, limits and objectives for the requests of one host and path prefix. Immutable.
 *
 * @param name name of the route in logs
 * @param host host name in lower case
 * @param pathPrefix prefix of the path, which starts and ends with a slash
 * @param kind retry and relay semantics of the requests
 * @param resumable whether a stream may resume at another upstream after the last event that was relayed
 * @param timeoutMillis longest time until the answer is complete, in milliseconds
 * @param objectiveMillis latency objective: longest time in milliseconds until the answer, or until the first event of
 *     a stream, at which the answer still has its full value
 * @param maxEventGapMillis longest pause in milliseconds between two events of a stream that meets its objective; 0 if
 *     the route has no streams
 * @param rank priority class, 0 is the most urgent
 * @param publicAccess whether requests need no key
 * @param maxAttempts largest number of upstreams to which one request is sent
 * @param targets services with their weights
 * @param modelsBySize names of the models among which the gateway chooses, smallest first; empty if the caller names
 *     the model
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        RequestKind kind,
        boolean resumable,
        long timeoutMillis,
        long objectiveMillis,
        long maxEventGapMillis,
        int rank,
        boolean publicAccess,
        int maxAttempts,
        List<Target> targets,
        List<String> modelsBySize) {
    /** Checks the arguments and copies the lists. */
    public Route {
        Objects.requireNonNull(name, "name is null");
        Objects.requireNonNull(host, "host is null");
        Objects.requireNonNull(pathPrefix, "pathPrefix is null");
        Objects.requireNonNull(kind, "kind is null");
        targets = List.copyOf(targets);
        modelsBySize = List.copyOf(modelsBySize);
    }

    /**
     * Returns whether an attempt that may have run can be retried.
     *
     * @return {@code true} if a second run has no unwanted effect
     */
    public boolean repeatable() {
        return kind.repeatable(resumable);
    }

    /**
     * Selects a target service with a probability proportional to its weight.
     *
     * @param random uniformly distributed random number, at least 0 and less than 1
     * @return name of the service, empty string if no target has a positive weight
     */
    public String selectService(double random) {
        final double total = targets.stream().mapToDouble(Target::weight).sum();
        double remaining = random * total;
        String selected = "";
        for (final Target target : targets) {
            if (target.weight() <= 0) {
                continue;
            }
            selected = target.service();
            remaining -= target.weight();
            if (remaining < 0) {
                break;
            }
        }
        return selected;
    }

    /**
     * Service that receives a share of a route's requests. Immutable.
     *
     * @param service name of the service
     * @param weight share relative to the weights of the other targets; 0 or less for no requests
     */
    public record Target(String service, double weight) {
        /** Checks the arguments. */
        public Target {
            Objects.requireNonNull(service, "service is null");
        }
    }
}
