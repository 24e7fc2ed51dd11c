package org.masticpaddle.admission;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

import org.masticpaddle.wire.Rank;

/**
 * Preemption policy: selects running background streams to cancel, and to resume later, in favour of waiting urgent
 * requests. Immutable and thread-safe.
 */
public final class Preemption {
    /**
     * Largest number of resumes of one stream. Cancelled again and again, a stream would use up the pool with its
     * prefill.
     */
    private static final int MAX_RESUMES = 3;

    private final double backgroundFloor;
    private final long maxUrgentWaitNanos;
    private final long minTokensLeft;

    private Preemption(double backgroundFloor, long maxUrgentWaitNanos, long minTokensLeft) {
        this.backgroundFloor = backgroundFloor;
        this.maxUrgentWaitNanos = maxUrgentWaitNanos;
        this.minTokensLeft = minTokensLeft;
    }

    /**
     * Creates a policy.
     *
     * @param backgroundFloor guaranteed minimum share of the background rank, between 0 and 1
     * @param maxUrgentWaitNanos wait of urgent requests, in nanoseconds, from which background streams are cancelled; a
     *     good value is a tenth of the target for the first token
     * @param minTokensLeft smallest number of expected tokens that a cancelled stream has left; a stream near its end
     *     frees its slot soon, and resuming it would cost more than urgent work gains
     * @return policy without state, so that one instance can serve several pools
     */
    public static Preemption of(double backgroundFloor, long maxUrgentWaitNanos, long minTokensLeft) {
        return new Preemption(backgroundFloor, maxUrgentWaitNanos, minTokensLeft);
    }

    /**
     * Selects the streams of one pool to cancel. Prefers the organisation with the most background streams for its
     * weight, and within it the stream that has produced the fewest tokens.
     *
     * @param running all streams in flight from this entry to the pool
     * @param urgentWaiting number of waiting urgent requests
     * @param urgentWaitNanos time that the oldest urgent request has waited, in nanoseconds
     * @param freeSlots number of slots that urgent requests can take now
     * @param concurrencyLimit concurrency limit of this entry for the pool
     * @return streams to cancel, at most one for each urgent request without a slot; the background rank keeps twice
     *     its floor of the concurrency limit, because {@link ConcurrencyLimiter#allows} lets it have that much
     */
    public List<RunningStream> selectVictims(
            Collection<RunningStream> running,
            int urgentWaiting,
            long urgentWaitNanos,
            int freeSlots,
            int concurrencyLimit) {
        Objects.requireNonNull(running, "running is null");
        final int neededSlots = urgentWaiting - freeSlots;
        if (neededSlots <= 0 || urgentWaitNanos < maxUrgentWaitNanos) {
            return List.of();
        }
        final List<RunningStream> background = new ArrayList<>();
        final Map<String, Integer> streamsByOrganisation = new HashMap<>();
        for (final RunningStream stream : running) {
            if (stream.request().rank() == Rank.BACKGROUND) {
                background.add(stream);
                streamsByOrganisation.merge(stream.request().organisation(), 1, Integer::sum);
            }
        }
        final int maxVictims = background.size()
                - (int) Math.ceil(ConcurrencyLimiter.FLOOR_HEADROOM_FACTOR * backgroundFloor * concurrencyLimit);
        final List<RunningStream> candidates = new ArrayList<>(background.stream()
                .filter(stream -> stream.resumable() && stream.resumeCount() < MAX_RESUMES)
                .filter(stream -> stream.request().expectedTokens() - stream.tokensProduced() >= minTokensLeft)
                .toList());
        final List<RunningStream> victims = new ArrayList<>();
        while (victims.size() < Math.min(neededSlots, maxVictims) && !candidates.isEmpty()) {
            final RunningStream victim = candidates.stream()
                    .max(Comparator.<RunningStream>comparingDouble(stream ->
                                    streamsByOrganisation.get(stream.request().organisation())
                                            / stream.request().weight())
                            .thenComparing(Comparator.comparingLong(RunningStream::tokensProduced)
                                    .reversed())
                            .thenComparingLong(stream -> stream.request().id()))
                    .orElseThrow(() -> new IllegalStateException("no stream can be cancelled"));
            candidates.remove(victim);
            streamsByOrganisation.merge(victim.request().organisation(), -1, Integer::sum);
            victims.add(victim);
        }
        return List.copyOf(victims);
    }
}
