package org.masticpaddle.routes;

import java.util.List;
import java.util.Objects;

/**
 * Where requests of one host and path prefix may go, and how. Immutable.
 *
 * @param name name for logs
 * @param host host in lower case
 * @param pathPrefix prefix of the path, which begins and ends with a slash
 * @param kind what may be repeated
 * @param resumable whether a stream may go on at another upstream after the last event that was relayed
 * @param timeoutMillis longest time to the final answer
 * @param objectiveMillis time to the answer, or to the first event, within which it has its full worth
 * @param maxEventGapMillis longest pause between two events of an answer in time; 0 if the route has no streams
 * @param rank priority class, 0 is the most urgent
 * @param publicAccess whether requests need no key
 * @param maxAttempts upstreams to which one request may be sent
 * @param targets services by weight
 * @param modelsBySize names of models among which the gateway chooses, smallest first; empty if the caller names the model
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
     * Tells whether an attempt that may have run can be followed by another.
     *
     * @return {@code true} if a second run does no harm
     */
    public boolean repeatable() {
        return kind.repeatable(resumable);
    }

    /**
     * Chooses a service by weight.
     *
     * @param point number between 0 and 1 that belongs to the request
     * @return name of the service, empty text if the route has none with a weight
     */
    public String selectService(double point) {
        final double total = targets.stream().mapToDouble(Target::weight).sum();
        double left = point * total;
        String last = "";
        for (final Target target : targets) {
            if (target.weight() <= 0) {
                continue;
            }
            last = target.service();
            left -= target.weight();
            if (left < 0) {
                break;
            }
        }
        return last;
    }

    /**
     * A service and its share of a route's requests. Immutable.
     *
     * @param service name of the service
     * @param weight share relative to the other targets; 0 for none
     */
    public record Target(String service, double weight) {
        /** Checks the arguments. */
        public Target {
            Objects.requireNonNull(service, "service is null");
        }
    }
}
