package org.masticpaddle.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.apache.commons.rng.UniformRandomProvider;
import org.masticpaddle.document.ModelVersion;
import org.masticpaddle.document.Organisation;
import org.masticpaddle.document.Rollout;
import org.masticpaddle.document.RoutingDocument;
import org.masticpaddle.document.VersionName;

import static com.google.common.truth.Truth.assertThat;

/** Guards invariants 1 to 3 over generated documents: allowed versions only, none withdrawn, sessions stay. */
class VersionChoicePropertyTest {
    private final VersionSelector choice = new VersionSelector(CascadePolicy.DEFAULT);

    @Property(tries = 2_000, seed = "20261204")
    void shouldRunOnlyOnAllowedActiveHealthyVersionsInTime(@ForAll long seed) {
        final UniformRandomProvider random = Fixtures.random(seed);
        final Fixtures.Conditions conditions = new Fixtures.Conditions();
        final List<ModelVersion> versions = versions(random, conditions);
        final RoutingDocument document = Fixtures.document(versions, rollout(random, "a"), rollout(random, "b"));
        final Organisation organisation = organisation(random);
        final boolean session = random.nextBoolean();
        final Optional<VersionName> binding = session && random.nextBoolean()
                ? Optional.of(versions.get(random.nextInt(versions.size())).name())
                : Optional.empty();
        final VersionRequest request = Fixtures.request(organisation, "k" + seed, session, binding);
        final VersionPlan plan = choice.choose(document, request, conditions, random);

        for (final ModelVersion version : versionsOf(plan)) {
            assertThat(usable(version, organisation, conditions)).isTrue();
            assertThat(conditions.millis.get(version.name())).isAtMost((double) request.timeLeftMillis());
        }
        binding.map(document.versions()::get)
                .filter(version -> usable(version, organisation, conditions))
                .ifPresent(version -> assertThat(versionsOf(plan)).containsNoneIn(others(versions, version)));
    }

    private static boolean usable(ModelVersion version, Organisation organisation, Fixtures.Conditions conditions) {
        return version.state() == ModelVersion.State.ACTIVE
                && organisation.allows(version.name())
                && !conditions.stopped.contains(version.name());
    }

    private static List<ModelVersion> others(List<ModelVersion> versions, ModelVersion version) {
        return versions.stream().filter(other -> !other.equals(version)).toList();
    }

    private static List<ModelVersion> versionsOf(VersionPlan plan) {
        if (plan instanceof VersionPlan.Cascade cascade) {
            return List.of(cascade.draft(), cascade.better());
        }
        return plan instanceof VersionPlan.Single single ? List.of(single.version()) : List.of();
    }

    private static List<ModelVersion> versions(UniformRandomProvider random, Fixtures.Conditions conditions) {
        final List<ModelVersion> versions = new ArrayList<>();
        for (final String model : List.of("a", "b")) {
            for (int index = 1; index <= 3; index++) {
                final VersionName name = new VersionName(model, Integer.toString(index));
                versions.add(Fixtures.version(
                        name,
                        1 + random.nextInt(100),
                        random.nextDouble(),
                        pick(random, ModelVersion.State.values()),
                        pick(random, ModelVersion.SessionEnd.values())));
                conditions.millis.put(name, random.nextDouble() * 12_000);
                if (random.nextInt(4) == 0) {
                    conditions.stopped.add(name);
                }
            }
        }
        conditions.acceptance = random.nextDouble();
        conditions.share = random.nextDouble();
        return versions;
    }

    private static Rollout rollout(UniformRandomProvider random, String model) {
        final String from = Integer.toString(1 + random.nextInt(2));
        return new Rollout("r" + model, model, from, "3", List.of(0.5), 1_000, Rollout.State.RUNNING);
    }

    private static Organisation organisation(UniformRandomProvider random) {
        final List<String> allowed = new ArrayList<>();
        for (final String pattern : List.of("a/1", "a/2", "a/3", "b/*")) {
            if (random.nextBoolean()) {
                allowed.add(pattern);
            }
        }
        return Fixtures.organisation(random.nextDouble(), random.nextDouble(), allowed.toArray(String[]::new));
    }

    private static <T> T pick(UniformRandomProvider random, T[] values) {
        return values[random.nextInt(values.length)];
    }
}
