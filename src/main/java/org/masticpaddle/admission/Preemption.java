package org.masticpaddle.admission;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

import org.masticpaddle.wire.Rank;

/** Chooses background streams to cancel, and to resume later, for urgent work that waits. Immutable and thread-safe. */
public final class Preemption {
    /** A stream that is cancelled again and again would spend the pool on its own prefill. */
    private static final int MOST_RESUMES = 3;

    private final double floor;
    private final long patienceNanos;
    private final long leastTokensLeft;

    private Preemption(double floor, long patienceNanos, long leastTokensLeft) {
        this.floor = floor;
        this.patienceNanos = patienceNanos;
        this.leastTokensLeft = leastTokensLeft;
    }

    /**
     * Creates the rule.
     *
     * @param floor floor of background, between 0 and 1
     * @param patienceNanos wait that urgent work accepts before background is cancelled, in nanoseconds; a good value is
     *     a tenth of the target for the first token
     * @param leastTokensLeft expected tokens that a stream must have left; a stream near its end frees its place soon and
     *     would spend more on its resumption than urgent work gains
     * @return the rule
     */
    public static Preemption of(double floor, long patienceNanos, long leastTokensLeft) {
        return new Preemption(floor, patienceNanos, leastTokensLeft);
    }

    /**
     * Chooses streams of one pool to cancel.
     *
     * @param running all streams in flight from this entry to the pool
     * @param urgentWaiting urgent requests that wait
     * @param urgentWaitNanos time that the oldest urgent request has waited, in nanoseconds
     * @param free places that are free for urgent work now
     * @param limit bound on requests in flight
     * @return streams to cancel, at most one for each urgent request without a place; background keeps twice its floor
     *     of the limit, because {@link ConcurrencyLimiter#allows} lets it have that much
     */
    public List<RunningStream> selectVictims(
            Collection<RunningStream> running, int urgentWaiting, long urgentWaitNanos, int free, int limit) {
        Objects.requireNonNull(running, "running is null");
        final int wanted = urgentWaiting - free;
        if (wanted <= 0 || urgentWaitNanos < patienceNanos) {
            return List.of();
        }
        final List<RunningStream> background = new ArrayList<>();
        final Map<String, Integer> held = new HashMap<>();
        for (final RunningStream stream : running) {
            if (stream.request().rank() == Rank.BACKGROUND) {
                background.add(stream);
                held.merge(stream.request().organisation(), 1, Integer::sum);
            }
        }
        final int spare = background.size() - (int) Math.ceil(ConcurrencyLimiter.FLOOR_SLACK * floor * limit);
        final List<RunningStream> candidates = new ArrayList<>(background.stream()
                .filter(stream -> stream.resumable() && stream.resumeCount() < MOST_RESUMES)
                .filter(stream -> stream.request().expectedTokens() - stream.tokensProduced() >= leastTokensLeft)
                .toList());
        final List<RunningStream> chosen = new ArrayList<>();
        while (chosen.size() < Math.min(wanted, spare) && !candidates.isEmpty()) {
            final RunningStream victim = candidates.stream()
                    .max(Comparator.<RunningStream>comparingDouble(
                                    stream -> held.get(stream.request().organisation())
                                            / stream.request().weight())
                            .thenComparing(Comparator.comparingLong(RunningStream::tokensProduced)
                                    .reversed())
                            .thenComparingLong(stream -> stream.request().id()))
                    .orElseThrow(() -> new IllegalStateException("no candidate"));
            candidates.remove(victim);
            held.merge(victim.request().organisation(), -1, Integer::sum);
            chosen.add(victim);
        }
        return List.copyOf(chosen);
    }
}
