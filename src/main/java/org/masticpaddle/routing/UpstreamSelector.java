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
 * Chooses an upstream among random candidates and the known holders of the prompt's prefix by expected time.
 *
 * <p>Never chooses an upstream that does not take the version. Each eligible upstream has the same chance to be a
 * random candidate. A second try avoids the first upstream, and its failure domain while another one has a candidate.
 * Not thread-safe: it learns the typical load.
 */
public final class UpstreamSelector {
    private static final double TYPICAL_SMOOTHING = 0.02;
    /** A cached prefix saves its own request the prefill and also frees the slot for those that wait behind it. */
    private static final double PREFILL_WEIGHT = 4;
    /** Requests that a just full upstream counts for in the expected wait. */
    private static final double NEAR_FULL = 2;
    /** Random draws for each sample before all upstreams are scanned. */
    private static final int DRAWS = 8;

    private final UpstreamPolicy policy;
    private final UpstreamView[] sampled;
    private double typicalLoad;

    /**
     * Creates a choice.
     *
     * @param policy weights
     */
    public UpstreamSelector(UpstreamPolicy policy) {
        this.policy = Objects.requireNonNull(policy, "policy is null");
        this.sampled = new UpstreamView[policy.samples()];
    }

    /**
     * Chooses an upstream. The caller notes the dispatch with {@link UpstreamView#onDispatch}.
     *
     * @param upstreams upstreams of the version's service
     * @param request what to run
     * @param prefixes what is known of the caches
     * @param now current time in milliseconds
     * @param random random source
     * @return the upstream, or empty if none takes the version
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
        final boolean otherDomain = !sameDomain(sampled[0], request);
        UpstreamView best = null;
        double lowest = Double.POSITIVE_INFINITY;
        for (int index = 0; index < count; index++) {
            learn(sampled[index]);
            final double score = score(sampled[index], request, prefixes, now);
            if (score < lowest) {
                lowest = score;
                best = sampled[index];
            }
        }
        for (final String holder : holders(request, prefixes)) {
            final Optional<UpstreamView> view = upstreams.find(holder);
            if (view.isPresent() && eligible(view.get(), request, otherDomain, now)) {
                learn(view.get());
                final double score = score(view.get(), request, prefixes, now);
                if (score < lowest) {
                    lowest = score;
                    best = view.get();
                }
            }
        }
        Arrays.fill(sampled, null);
        return Optional.ofNullable(best);
    }

    /**
     * Scores all upstreams for a request as {@link #choose} would, without learning from it.
     *
     * @param upstreams upstreams of the version's service
     * @param request what to run
     * @param prefixes what is known of the caches
     * @param now current time in milliseconds
     * @return scores, the best first
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

    private void learn(UpstreamView view) {
        typicalLoad += TYPICAL_SMOOTHING * (load(view) - typicalLoad);
    }

    /** Load by other entries at the time of the report, as a part of the slots. */
    private static double load(UpstreamView view) {
        return view.othersAtReport() / Math.max(1.0, view.report().slots());
    }

    private static List<String> holders(UpstreamRequest request, PrefixIndex prefixes) {
        return request.prefixes().length == 0 ? List.of() : prefixes.holders(request.version(), request.prefixes());
    }

    /** Draws distinct eligible upstreams, and scans all of them when the draws meet too few. */
    private int sample(
            UpstreamSet upstreams,
            UpstreamRequest request,
            boolean otherDomain,
            long now,
            UniformRandomProvider random) {
        int count = 0;
        final int size = upstreams.size();
        for (int draw = 0; size > 0 && draw < DRAWS * sampled.length && count < sampled.length; draw++) {
            final UpstreamView view = upstreams.get(random.nextInt(size));
            if (!contains(view, count) && eligible(view, request, otherDomain, now)) {
                sampled[count++] = view;
            }
        }
        if (count == sampled.length) {
            return count;
        }
        count = 0;
        int seen = 0;
        for (int index = 0; index < size; index++) {
            final UpstreamView view = upstreams.get(index);
            if (eligible(view, request, otherDomain, now)) {
                seen++;
                if (count < sampled.length) {
                    sampled[count++] = view;
                } else {
                    final int place = random.nextInt(seen);
                    if (place < sampled.length) {
                        sampled[place] = view;
                    }
                }
            }
        }
        return count;
    }

    private boolean contains(UpstreamView view, int count) {
        for (int index = 0; index < count; index++) {
            if (sampled[index] == view) {
                return true;
            }
        }
        return false;
    }

    private static boolean eligible(UpstreamView view, UpstreamRequest request, boolean otherDomain, long now) {
        return view.accepts(request.version(), now)
                && (request.previousUpstream().isEmpty()
                        || !view.id().equals(request.previousUpstream().get().id())
                                && !(otherDomain && sameDomain(view, request)));
    }

    private static boolean sameDomain(UpstreamView view, UpstreamRequest request) {
        return request.previousUpstream().isPresent()
                && request.previousUpstream().get().failureDomain().equals(view.failureDomain());
    }

    /** Expected time in milliseconds until the prompt is processed, with the penalties of tail and region. */
    private double score(UpstreamView view, UpstreamRequest request, PrefixIndex prefixes, long now) {
        final LoadReport report = view.report();
        final double slots = Math.max(1, report.slots());
        final double others = load(view);
        final double trust = Math.exp(-view.reportAge(now) / policy.reportMemoryMillis());
        // Own attempts are known exactly, so that dispatches since a stale report count and finished ones do not.
        final double ahead = (trust * others + (1 - trust) * typicalLoad) * slots + view.outstanding();
        // Beyond its slots an upstream makes a request wait for whole services; near them the chance of a wait grows.
        final double service = Math.max(1, report.meanServiceMillis());
        final double busy = Math.min(1, ahead / slots);
        final double wait = (Math.max(0, ahead + 1 - slots) + NEAR_FULL * busy * busy) * service / slots;
        final double hit = request.prefixes().length == 0
                ? 0
                : prefixes.expectedHit(view.id(), request.version(), request.prefixes(), now);
        return wait
                + (1 - hit) * PREFILL_WEIGHT * request.prefillMillis()
                + policy.tailWeight() * view.tailExcessMillis()
                + (policy.region().equals(view.region()) ? 0 : policy.otherRegionMillis());
    }
}
