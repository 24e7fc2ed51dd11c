package org.masticpaddle.routing;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

import org.apache.commons.rng.UniformRandomProvider;
import org.masticpaddle.wire.LoadReport;

/**
 * Selects the upstream of a request by power of k choices: of a few random candidates and the known holders of the
 * prompt's prefix, the one with the lowest expected time wins.
 *
 * <p>Never selects an upstream that does not accept the version. Each eligible upstream is equally likely to be a
 * random candidate. A retry avoids the previous upstream, and also its failure domain while another one has an eligible
 * upstream. Not thread-safe: it maintains a moving average of the load.
 */
public final class UpstreamSelector {
    /** Weight of a newly observed load in the moving average. */
    private static final double LOAD_SMOOTHING_FACTOR = 0.02;
    /**
     * Weight of the prefill time; above 1 since a cached prefix also frees the slot earlier for the requests in the
     * queue.
     */
    private static final double PREFILL_WEIGHT = 4;
    /** Requests added to the expected queue of an upstream whose slots are all busy; fewer below that. */
    private static final double FULL_UPSTREAM_QUEUE_LENGTH = 2;
    /** Random draws per candidate before all upstreams are scanned instead. */
    private static final int MAX_DRAWS_PER_SAMPLE = 8;

    private final UpstreamPolicy policy;
    private final UpstreamView[] sampled;
    private double averageLoad;

    /**
     * Creates a selector.
     *
     * @param policy parameters of the selection
     */
    public UpstreamSelector(UpstreamPolicy policy) {
        this.policy = Objects.requireNonNull(policy, "policy is null");
        this.sampled = new UpstreamView[policy.sampleSize()];
    }

    /**
     * Selects an upstream. The caller reports the dispatch with {@link UpstreamView#onDispatch}.
     *
     * @param upstreams upstreams of the version's service
     * @param request request to run
     * @param prefixes index of cached prefixes
     * @param now current time in milliseconds
     * @param random random source
     * @return the upstream, or empty if none accepts the version
     */
    public Optional<UpstreamView> choose(
            UpstreamSet upstreams,
            UpstreamRequest request,
            PrefixIndex prefixes,
            long now,
            UniformRandomProvider random) {
        int count = sample(upstreams, request, true, now, random);
        if (count == 0 && request.previousUpstream().isPresent()) {
            count = sample(upstreams, request, false, now, random);
        }
        if (count == 0) {
            return Optional.empty();
        }
        final boolean requireOtherDomain = !inPreviousDomain(sampled[0], request);
        UpstreamView selected = null;
        double lowestScore = Double.POSITIVE_INFINITY;
        for (int index = 0; index < count; index++) {
            updateAverageLoad(sampled[index]);
            final double score = score(sampled[index], request, prefixes, now);
            if (score < lowestScore) {
                lowestScore = score;
                selected = sampled[index];
            }
        }
        for (final String holder : prefixHolders(request, prefixes)) {
            final Optional<UpstreamView> view = upstreams.find(holder);
            if (view.isPresent() && eligible(view.get(), request, requireOtherDomain, now)) {
                updateAverageLoad(view.get());
                final double score = score(view.get(), request, prefixes, now);
                if (score < lowestScore) {
                    lowestScore = score;
                    selected = view.get();
                }
            }
        }
        Arrays.fill(sampled, null);
        return Optional.ofNullable(selected);
    }

    /**
     * Scores all upstreams for a request as {@link #choose} would, without changing the average load.
     *
     * @param upstreams upstreams of the version's service
     * @param request request to run
     * @param prefixes index of cached prefixes
     * @param now current time in milliseconds
     * @return scores, eligible upstreams first, then by ascending time
     */
    public List<UpstreamScore> scores(UpstreamSet upstreams, UpstreamRequest request, PrefixIndex prefixes, long now) {
        final List<UpstreamScore> scores = new ArrayList<>();
        for (int index = 0; index < upstreams.size(); index++) {
            final UpstreamView view = upstreams.get(index);
            scores.add(new UpstreamScore(
                    view.id(), eligible(view, request, false, now), score(view, request, prefixes, now)));
        }
        scores.sort(Comparator.comparing((UpstreamScore score) -> !score.eligible())
                .thenComparingDouble(UpstreamScore::millis));
        return scores;
    }

    private void updateAverageLoad(UpstreamView view) {
        averageLoad += LOAD_SMOOTHING_FACTOR * (loadOfOtherEntries(view) - averageLoad);
    }

    /** Returns the requests of other entries at the time of the report, divided by the slots. */
    private static double loadOfOtherEntries(UpstreamView view) {
        return view.outstandingOfOthersAtReport() / Math.max(1.0, view.report().slots());
    }

    private static List<String> prefixHolders(UpstreamRequest request, PrefixIndex prefixes) {
        return request.prefixes().length == 0 ? List.of() : prefixes.holders(request.version(), request.prefixes());
    }

    /** Samples distinct eligible upstreams, by reservoir sampling over all of them if random draws find too few. */
    private int sample(
            UpstreamSet upstreams,
            UpstreamRequest request,
            boolean requireOtherDomain,
            long now,
            UniformRandomProvider random) {
        int count = 0;
        final int size = upstreams.size();
        for (int draw = 0; size > 0 && draw < MAX_DRAWS_PER_SAMPLE * sampled.length && count < sampled.length; draw++) {
            final UpstreamView view = upstreams.get(random.nextInt(size));
            if (!isSampled(view, count) && eligible(view, request, requireOtherDomain, now)) {
                sampled[count++] = view;
            }
        }
        if (count == sampled.length) {
            return count;
        }
        count = 0;
        int eligibleSeen = 0;
        for (int index = 0; index < size; index++) {
            final UpstreamView view = upstreams.get(index);
            if (eligible(view, request, requireOtherDomain, now)) {
                eligibleSeen++;
                if (count < sampled.length) {
                    sampled[count++] = view;
                } else {
                    final int slot = random.nextInt(eligibleSeen);
                    if (slot < sampled.length) {
                        sampled[slot] = view;
                    }
                }
            }
        }
        return count;
    }

    private boolean isSampled(UpstreamView view, int count) {
        for (int index = 0; index < count; index++) {
            if (sampled[index] == view) {
                return true;
            }
        }
        return false;
    }

    private static boolean eligible(UpstreamView view, UpstreamRequest request, boolean requireOtherDomain, long now) {
        return view.accepts(request.version(), now)
                && (request.previousUpstream().isEmpty()
                        || !view.id().equals(request.previousUpstream().get().id())
                                && !(requireOtherDomain && inPreviousDomain(view, request)));
    }

    private static boolean inPreviousDomain(UpstreamView view, UpstreamRequest request) {
        return request.previousUpstream().isPresent()
                && request.previousUpstream().get().failureDomain().equals(view.failureDomain());
    }

    /**
     * Returns the expected time in milliseconds until the prompt is processed, with penalties for tail latency and
     * region.
     */
    private double score(UpstreamView view, UpstreamRequest request, PrefixIndex prefixes, long now) {
        final LoadReport report = view.report();
        final double slots = Math.max(1, report.slots());
        final double otherEntriesLoad = loadOfOtherEntries(view);
        final double reportWeight = Math.exp(-view.reportAgeMillis(now) / policy.reportDecayMillis());
        // The attempts of this entry are known exactly: dispatches since the report count, and finished ones do not.
        final double requestsAhead =
                (reportWeight * otherEntriesLoad + (1 - reportWeight) * averageLoad) * slots + view.outstanding();
        // Above its slots, requests wait for whole service times; just below them, the probability of waiting grows.
        final double serviceMillis = Math.max(1, report.meanServiceMillis());
        final double utilisation = Math.min(1, requestsAhead / slots);
        final double waitMillis =
                (Math.max(0, requestsAhead + 1 - slots) + FULL_UPSTREAM_QUEUE_LENGTH * utilisation * utilisation)
                        * serviceMillis
                        / slots;
        final double hitRatio = request.prefixes().length == 0
                ? 0
                : prefixes.expectedHitRatio(view.id(), request.version(), request.prefixes(), now);
        return waitMillis
                + (1 - hitRatio) * PREFILL_WEIGHT * request.prefillMillis()
                + policy.tailWeight() * view.tailExcessMillis()
                + (policy.region().equals(view.region()) ? 0 : policy.crossRegionPenaltyMillis());
    }
}
