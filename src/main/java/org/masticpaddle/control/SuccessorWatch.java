package org.masticpaddle.control;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.function.ToIntFunction;
import java.util.stream.Collectors;

/**
 * Decides when the list of upstreams is read more often, since the successors of lost upstreams may be listed soon and the
 * service lacks their capacity until then.
 *
 * <p>Invariants: a service whose upstreams are all but a few sound starts no watch, as the others have room for the load of
 * those; an incarnation of an upstream counts once for as long as its failures go on, so that requests that keep failing there
 * do not extend the watch. Not thread-safe.
 */
public final class SuccessorWatch {
    /** Time for which a successor is expected. */
    private static final long WATCH_NANOS = 8_000_000_000L;
    /** Time without a failure after which an incarnation is forgotten. */
    private static final long MEMORY_NANOS = 60_000_000_000L;
    /** Share of a service's upstreams whose load the others take over without delays. */
    private static final double SPARE_SHARE = 0.1;

    private final Map<String, Loss> losses = new HashMap<>();

    /**
     * Records that an upstream was lost, or that requests still fail there.
     *
     * @param service service of the upstream
     * @param incarnation identifier of the upstream and of its start
     * @param now current time in nanoseconds
     * @return whether the loss of the incarnation was not known
     */
    public boolean recordLoss(String service, String incarnation, long now) {
        losses.values().removeIf(loss -> now - loss.lastNanos() > MEMORY_NANOS);
        final Loss known = losses.get(Objects.requireNonNull(incarnation, "incarnation is null"));
        losses.put(incarnation, new Loss(service, known == null ? now : known.firstNanos(), now));
        return known == null;
    }

    /**
     * Returns whether successors are awaited.
     *
     * @param listed number of the listed upstreams of a service
     * @param now current time in nanoseconds
     * @return {@code true} while a service lacks more than a small share of its upstreams since a short time
     */
    public boolean active(ToIntFunction<String> listed, long now) {
        return losses.values().stream()
                .filter(loss -> now - loss.firstNanos() < WATCH_NANOS)
                .collect(Collectors.groupingBy(Loss::service, Collectors.counting()))
                .entrySet()
                .stream()
                .anyMatch(lost -> lost.getValue() > SPARE_SHARE * listed.applyAsInt(lost.getKey()));
    }

    /** Failures of one incarnation. */
    private record Loss(String service, long firstNanos, long lastNanos) {
        Loss {
            Objects.requireNonNull(service, "service is null");
        }
    }
}
