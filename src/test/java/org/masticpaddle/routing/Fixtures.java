package org.masticpaddle.routing;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.masticpaddle.document.Limits;
import org.masticpaddle.document.ModelVersion;
import org.masticpaddle.document.Organisation;
import org.masticpaddle.document.Rollout;
import org.masticpaddle.document.RoutingDocument;
import org.masticpaddle.document.VersionName;
import org.masticpaddle.wire.LoadReport;

/** Documents, requests, upstreams and conditions for the tests of this package. */
final class Fixtures {
    static final String KIND = "advice";
    static final VersionName SMALL = new VersionName("small", "1");
    static final VersionName LARGE = new VersionName("large", "1");

    private Fixtures() {}

    static UniformRandomProvider random(long seed) {
        return RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    }

    static ModelVersion version(VersionName name, long price, double quality, ModelVersion.State state) {
        return version(name, price, quality, state, ModelVersion.SessionEnd.MOVE);
    }

    static ModelVersion version(
            VersionName name, long price, double quality, ModelVersion.State state, ModelVersion.SessionEnd end) {
        return new ModelVersion(name, "llm", state, price, price, quality, Map.of(), 2_000, end);
    }

    static ModelVersion active(VersionName name, long price, double quality) {
        return version(name, price, quality, ModelVersion.State.ACTIVE);
    }

    static Organisation organisation(double quality, double exploration, String... allowed) {
        return new Organisation(
                "lender", "team", "sha256:0", 1, quality, List.of(allowed), List.of(), exploration, Limits.NONE);
    }

    static RoutingDocument document(List<ModelVersion> versions, Rollout... rollouts) {
        final Map<VersionName, ModelVersion> byName = new HashMap<>();
        versions.forEach(version -> byName.put(version.name(), version));
        final Map<String, Rollout> declared = new HashMap<>();
        List.of(rollouts).forEach(rollout -> declared.put(rollout.name(), rollout));
        return new RoutingDocument(Map.of(), byName, Map.of(), declared, Map.of());
    }

    static VersionRequest request(Organisation organisation) {
        return request(organisation, "r1", false, Optional.empty());
    }

    static VersionRequest request(
            Organisation organisation, String key, boolean session, Optional<VersionName> binding) {
        return new VersionRequest(
                organisation,
                KIND,
                ModelSelector.parse("auto"),
                OptionalDouble.empty(),
                true,
                1_000,
                1_000,
                10_000,
                key,
                session,
                binding);
    }

    static LoadReport report(int running, int queued, int slots, VersionName... versions) {
        return new LoadReport(
                1,
                false,
                true,
                running,
                queued,
                slots,
                List.of(versions).stream().map(VersionName::toString).toList(),
                1_000);
    }

    static UpstreamView upstream(String id, String domain, LoadReport report, long at) {
        final UpstreamView view = new UpstreamView(id, "r", domain);
        view.onReport(report, at);
        return view;
    }

    /** Conditions that a test sets: declared quality, fixed times, stopped versions and shares. */
    static final class Conditions implements VersionConditions {
        final Set<VersionName> stopped = new HashSet<>();
        final Map<VersionName, Double> millis = new HashMap<>();
        double acceptance;
        double share;
        boolean rating = true;

        @Override
        public QualityEstimate quality(ModelVersion version, String kind) {
            final double declared = version.declaredQuality(kind);
            return QualityEstimate.ofBeta(declared * version.priorWeight(), (1 - declared) * version.priorWeight());
        }

        @Override
        public double acceptanceProbability(ModelVersion draft, String kind) {
            return acceptance;
        }

        @Override
        public double expectedMillis(VersionName version, int promptTokens, int outputTokens) {
            return millis.getOrDefault(version, 1_000.0);
        }

        @Override
        public boolean healthy(VersionName version, String stickyKey) {
            return !stopped.contains(version);
        }

        @Override
        public double rolloutShare(Rollout rollout) {
            return share;
        }

        @Override
        public boolean ratingAvailable() {
            return rating;
        }
    }
}
