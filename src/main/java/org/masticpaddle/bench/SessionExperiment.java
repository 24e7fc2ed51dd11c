package org.masticpaddle.bench;

import java.net.URI;
import java.util.ArrayList;
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
import org.masticpaddle.platform.Instance;
import org.masticpaddle.routing.CascadePolicy;
import org.masticpaddle.routing.ModelSelector;
import org.masticpaddle.routing.QualityEstimate;
import org.masticpaddle.routing.SessionBinding;
import org.masticpaddle.routing.SessionBindings;
import org.masticpaddle.routing.SessionReplicas;
import org.masticpaddle.routing.SessionToken;
import org.masticpaddle.routing.VersionConditions;
import org.masticpaddle.routing.VersionPlan;
import org.masticpaddle.routing.VersionRequest;
import org.masticpaddle.routing.VersionSelector;

/** Sessions while estimates drift, a roll-out grows, homes fail one at a time and a version is withdrawn. */
final class SessionExperiment {
    private static final int SESSIONS = 2_000;
    private static final int REQUESTS = 40_000;
    private static final long SESSION_LIFETIME_MILLIS = 3_600_000_000L;
    /** Part of the callers that present only the session id. */
    private static final double TOKENLESS_SHARE = 0.4;

    private final UniformRandomProvider random;
    private final VersionSelector selector = new VersionSelector(CascadePolicy.DEFAULT);
    private final SessionToken tokens = new SessionToken(List.of(new byte[32]), SESSION_LIFETIME_MILLIS);
    private final List<Instance> sidecars = new ArrayList<>();
    private final Map<String, SessionBindings> replicas = new HashMap<>();
    private final List<Organisation> organisations;
    private final double[] qualityDrift = new double[RoutingDeployment.versionCount()];
    private RoutingDocument document;
    private double rolloutShare;
    private int changesWithoutCause;
    private int changesWithCause;
    private int changesWithoutBinding;

    SessionExperiment(RoutingDeployment deployment, long seed) {
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed + 100L * deployment.workers());
        organisations = deployment.organisations();
        final RoutingDocument plain = deployment.document();
        document = new RoutingDocument(
                plain.organisations(),
                plain.versions(),
                plain.ranks(),
                Map.of("r", new Rollout("r", "medium", "1", "2", List.of(1.0), 1, Rollout.State.RUNNING)),
                Map.of());
        for (int index = 0; index < deployment.workers(); index++) {
            final String id = "u" + index;
            final String domain = deployment.failureDomains().get(index % 3);
            sidecars.add(new Instance(
                    id,
                    deployment.service(),
                    deployment.region(),
                    domain,
                    URI.create("http://127.0.0.1:1"),
                    Instance.State.LIVE));
            replicas.put(id, new SessionBindings(SESSIONS, SESSION_LIFETIME_MILLIS));
        }
    }

    void run() {
        final String[] held = new String[SESSIONS];
        final VersionName[] last = new VersionName[SESSIONS];
        final VersionName[] free = new VersionName[SESSIONS];
        for (int index = 0; index < REQUESTS; index++) {
            rolloutShare = index / (double) REQUESTS;
            if (index % 500 == 0) {
                perturb(index);
            }
            final int session = random.nextInt(SESSIONS);
            final Organisation organisation = organisations.get(session % organisations.size());
            final String id = "s" + session;
            final Optional<SessionBinding> binding = findBinding(organisation, id, held[session], index);
            final Optional<VersionName> bound = binding.map(SessionBinding::version);
            final VersionPlan plan = selector.choose(document, request(organisation, id, bound), conditions(), random);
            final VersionPlan free1 =
                    selector.choose(document, request(organisation, id, Optional.empty()), conditions(), random);
            changesWithoutBinding += recordVersion(free, session, free1) ? 1 : 0;
            final VersionName before = last[session];
            if (recordVersion(last, session, plan)) {
                final boolean cause = document.versions().get(before).state() == ModelVersion.State.WITHDRAWN;
                changesWithCause += cause ? 1 : 0;
                changesWithoutCause += cause ? 0 : 1;
            }
            if (plan instanceof VersionPlan.Single single) {
                held[session] = bind(organisation, id, binding, single.version().name(), index);
            }
        }
    }

    int versionChangesWithoutCause() {
        return changesWithoutCause;
    }

    int versionChangesWithCause() {
        return changesWithCause;
    }

    int versionChangesWithoutBinding() {
        return changesWithoutBinding;
    }

    /** Changes the estimates, and empties one home as a restart of its sidecar does; its peers keep their copies. */
    private void perturb(int index) {
        for (int version = 0; version < qualityDrift.length; version++) {
            qualityDrift[version] = 0.1 * (random.nextDouble() - 0.5);
        }
        if (index == REQUESTS / 2) {
            final Map<VersionName, ModelVersion> versions = new HashMap<>(document.versions());
            final VersionName name = new VersionName("small", "2");
            final ModelVersion old = versions.get(name);
            versions.put(
                    name,
                    new ModelVersion(
                            name,
                            old.service(),
                            ModelVersion.State.WITHDRAWN,
                            old.promptPriceMicros(),
                            old.outputPriceMicros(),
                            old.quality(),
                            old.qualityByKind(),
                            old.priorWeight(),
                            ModelVersion.SessionEnd.MOVE));
            document = new RoutingDocument(
                    document.organisations(), versions, document.ranks(), document.rollouts(), document.services());
        }
    }

    private Optional<SessionBinding> findBinding(Organisation organisation, String id, String token, long now) {
        if (token != null && random.nextDouble() >= TOKENLESS_SHARE) {
            final SessionToken.Check check = tokens.check(token, organisation.name(), now);
            return check instanceof SessionToken.Valid valid ? Optional.of(valid.binding()) : Optional.empty();
        }
        final List<Instance> both = SessionReplicas.of(organisation.name(), id, sidecars);
        final int silent = random.nextInt(4);
        Optional<SessionBinding> found = Optional.empty();
        for (int home = 0; home < both.size(); home++) {
            if (home != silent) {
                final Optional<SessionBinding> copy =
                        replicas.get(both.get(home).id()).find(organisation.name(), id, now);
                final Optional<SessionBinding> known = found;
                found = copy.map(one -> known.map(one::merge).orElse(one)).or(() -> known);
            }
        }
        return found;
    }

    private String bind(
            Organisation organisation, String id, Optional<SessionBinding> known, VersionName version, long now) {
        SessionBinding binding = known.map(one -> one.version().equals(version) ? one : one.movedTo(version, now))
                .orElse(new SessionBinding(organisation.name(), id, version, now, 0));
        for (final Instance home : SessionReplicas.of(organisation.name(), id, sidecars)) {
            binding = replicas.get(home.id()).bind(binding, now);
        }
        return tokens.issue(binding);
    }

    private static boolean recordVersion(VersionName[] last, int session, VersionPlan plan) {
        if (!(plan instanceof VersionPlan.Single single)) {
            return false;
        }
        final VersionName before = last[session];
        last[session] = single.version().name();
        return before != null && !before.equals(last[session]);
    }

    private static VersionRequest request(Organisation organisation, String id, Optional<VersionName> bound) {
        return new VersionRequest(
                organisation,
                "advice",
                ModelSelector.parse("auto"),
                OptionalDouble.empty(),
                true,
                400,
                200,
                30_000,
                id,
                true,
                bound);
    }

    private VersionConditions conditions() {
        return new VersionConditions() {
            @Override
            public QualityEstimate quality(ModelVersion version, String kind) {
                final double mean = version.quality() + qualityDrift[RoutingDeployment.indexOf(version.name())];
                return QualityEstimate.ofBeta(200 * Math.min(0.99, mean), 200 * Math.max(0.01, 1 - mean));
            }

            @Override
            public double acceptanceProbability(ModelVersion draft, String kind) {
                return 0.5;
            }

            @Override
            public double expectedMillis(VersionName version, int promptTokens, int outputTokens) {
                return 1_000;
            }

            @Override
            public boolean healthy(VersionName version, String stickyKey) {
                return true;
            }

            @Override
            public double rolloutShare(Rollout rollout) {
                return rolloutShare;
            }

            @Override
            public boolean ratingAvailable() {
                return true;
            }
        };
    }
}
