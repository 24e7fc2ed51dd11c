package org.masticpaddle.bench;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.masticpaddle.document.ModelVersion;
import org.masticpaddle.document.Organisation;
import org.masticpaddle.document.Rollout;
import org.masticpaddle.document.RoutingDocument;
import org.masticpaddle.document.VersionName;
import org.masticpaddle.routing.CascadeDecision;
import org.masticpaddle.routing.CascadePolicy;
import org.masticpaddle.routing.ModelSelector;
import org.masticpaddle.routing.QualityEstimate;
import org.masticpaddle.routing.QualityEstimates;
import org.masticpaddle.routing.VersionConditions;
import org.masticpaddle.routing.VersionPlan;
import org.masticpaddle.routing.VersionRequest;
import org.masticpaddle.routing.VersionSelector;

/** Cost and delivered quality of the version choice in virtual time, against fixed policies on the same requests. */
final class CostExperiment {
    private static final int REQUESTS = 60_000;
    private static final long ARRIVAL_INTERVAL_MILLIS = 60;
    /** Part of the answers that the platform's service rates; drafts are always judged. */
    private static final double RATED_SHARE = 0.2;
    /** Largest error of a rating, which is uniform. */
    private static final double MAX_RATING_ERROR = 0.05;

    private final RoutingDeployment deployment;
    private final RoutingDocument document;
    private final List<Organisation> organisations;
    private final UniformRandomProvider random;
    private final QualityEstimates quality = new QualityEstimates("bench", QualityEstimates.HALF_LIFE_MILLIS);
    private final QualityEstimates acceptance = new QualityEstimates("bench", QualityEstimates.HALF_LIFE_MILLIS);
    private final Map<String, Tally> tallies = new HashMap<>();
    private long nowMillis;

    CostExperiment(RoutingDeployment deployment, long seed) {
        this.deployment = deployment;
        document = deployment.document();
        organisations = deployment.organisations();
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed + 100L * deployment.workers());
    }

    /** Runs all requests and returns the tallies by policy; "routed" is the real choice. */
    Map<String, Tally> run() {
        final VersionSelector choice = new VersionSelector(CascadePolicy.DEFAULT);
        for (int index = 0; index < REQUESTS; index++) {
            nowMillis += ARRIVAL_INTERVAL_MILLIS;
            final int organisation = random.nextInt(organisations.size());
            final int kind = random.nextInt(deployment.kinds().size());
            final double[] answers = answerQualities(kind);
            final VersionRequest request = request(organisations.get(organisation), kind, "r" + index);
            execute(choice.choose(document, request, conditions(), random), request, organisation, answers);
            runBaselines(request, organisation, answers, index);
        }
        return tallies;
    }

    /** Quality of each version's answer to one request: right answers rate high, wrong ones low; hard requests are
     * hard for all versions. */
    private double[] answerQualities(int kind) {
        final double difficulty = random.nextDouble();
        final double[] answers = new double[RoutingDeployment.versionCount()];
        for (int version = 0; version < answers.length; version++) {
            final double own = random.nextDouble() < 0.5 ? difficulty : random.nextDouble();
            // Uniform between 0.9 and 1, or between 0.2 and 0.6, with the mean that the version has.
            final double right = (deployment.trueQuality(version, kind) - 0.4) / 0.55;
            answers[version] = own < right ? 0.9 + 0.1 * random.nextDouble() : 0.2 + 0.4 * random.nextDouble();
        }
        return answers;
    }

    private void execute(VersionPlan plan, VersionRequest request, int organisation, double[] answers) {
        if (plan instanceof VersionPlan.Single single) {
            final VersionName name = single.version().name();
            if (random.nextDouble() < RATED_SHARE) {
                quality.record(name, request.kind(), rating(answers, name), nowMillis);
            }
            tally("routed")
                    .record(organisation, answers[RoutingDeployment.indexOf(name)], price(single.version(), request));
        } else if (plan instanceof VersionPlan.Cascade cascade) {
            final VersionName draft = cascade.draft().name();
            final double rating = rating(answers, draft);
            final boolean accepted = rating >= cascade.threshold();
            quality.record(draft, request.kind(), rating, nowMillis);
            acceptance.record(draft, request.kind(), accepted ? 1 : 0, nowMillis);
            final boolean escalates =
                    CascadeDecision.of(cascade, OptionalDouble.of(rating), 20_000) == CascadeDecision.ESCALATE;
            final ModelVersion last = escalates ? cascade.better() : cascade.draft();
            final double cost = price(cascade.draft(), request) + (escalates ? price(cascade.better(), request) : 0);
            tally("routed").record(organisation, answers[RoutingDeployment.indexOf(last.name())], cost);
        } else {
            throw new IllegalStateException("refused: " + plan);
        }
    }

    private void runBaselines(VersionRequest request, int organisation, double[] answers, int index) {
        final List<ModelVersion> allowed = document.activeVersions(request.organisation());
        final ModelVersion best = allowed.stream()
                .max(Comparator.comparingDouble(version -> version.quality()))
                .orElseThrow();
        runBaseline("always best", best, request, organisation, answers);
        runBaseline("round robin", allowed.get(index % allowed.size()), request, organisation, answers);
        runBaseline("random", allowed.get(random.nextInt(allowed.size())), request, organisation, answers);
    }

    private void runBaseline(String name, ModelVersion version, VersionRequest request, int organisation, double[] answers) {
        tally(name).record(organisation, answers[RoutingDeployment.indexOf(version.name())], price(version, request));
    }

    private double rating(double[] answers, VersionName name) {
        final double error = MAX_RATING_ERROR * (2 * random.nextDouble() - 1);
        return Math.min(1, Math.max(0, answers[RoutingDeployment.indexOf(name)] + error));
    }

    private static double price(ModelVersion version, VersionRequest request) {
        return version.priceMicros(request.promptTokens(), request.outputTokens());
    }

    private VersionRequest request(Organisation organisation, int kind, String id) {
        final int tokens = 200 + random.nextInt(800);
        return new VersionRequest(
                organisation,
                deployment.kinds().get(kind),
                ModelSelector.parse("auto"),
                OptionalDouble.empty(),
                true,
                2 * tokens,
                tokens,
                30_000,
                id,
                false,
                Optional.empty());
    }

    private Tally tally(String name) {
        return tallies.computeIfAbsent(name, absent -> new Tally(organisations));
    }

    private VersionConditions conditions() {
        return new VersionConditions() {
            @Override
            public QualityEstimate quality(ModelVersion version, String kind) {
                return quality.estimate(version, kind, nowMillis);
            }

            @Override
            public double acceptanceProbability(ModelVersion draft, String kind) {
                return acceptance.estimate(draft, kind, nowMillis).mean();
            }

            @Override
            public double expectedMillis(VersionName version, int promptTokens, int outputTokens) {
                return 500 + 3 * outputTokens;
            }

            @Override
            public boolean healthy(VersionName version, String stickyKey) {
                return true;
            }

            @Override
            public double rolloutShare(Rollout rollout) {
                return 0;
            }

            @Override
            public boolean ratingAvailable() {
                return true;
            }
        };
    }

    /** Cost of all requests and quality by organisation. */
    static final class Tally {
        private final List<Organisation> organisations;
        private final double[] qualitySums;
        private final int[] requestCounts;
        private double cost;

        private Tally(List<Organisation> organisations) {
            this.organisations = organisations;
            qualitySums = new double[organisations.size()];
            requestCounts = new int[organisations.size()];
        }

        private void record(int organisation, double answer, double price) {
            qualitySums[organisation] += answer;
            requestCounts[organisation]++;
            cost += price;
        }

        double cost() {
            return cost;
        }

        /** Smallest difference of an organisation's mean delivered quality and its need. */
        double worstQualityMargin() {
            double worst = Double.POSITIVE_INFINITY;
            for (int index = 0; index < requestCounts.length; index++) {
                worst = Math.min(
                        worst,
                        qualitySums[index] / requestCounts[index] - organisations.get(index).quality());
            }
            return worst;
        }
    }
}
