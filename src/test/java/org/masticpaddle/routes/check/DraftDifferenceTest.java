package org.masticpaddle.routes.check;

import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.masticpaddle.routes.RequestKind;
import org.masticpaddle.routes.Route;
import org.masticpaddle.routes.ServicePolicy;

import static com.google.common.truth.Truth.assertThat;

/** Guards against changes of a configuration that an operator is not told of, and against keys in the messages. */
class DraftDifferenceTest {
    @Test
    void shouldFindNoDifferenceToItself() {
        assertThat(DraftDifference.between(
                        Drafts.sound().build(), Drafts.sound().build()))
                .isEmpty();
    }

    @Test
    void shouldShowChangesOfRoutes() {
        final Route slower = Drafts.route("find", "/lookup/", RequestKind.NON_IDEMPOTENT, 2_000, 300, 0, 1);
        final Route split = Drafts.withTargets(
                slower, List.of(new Route.Target("plain", 3), new Route.Target("engines", 1)), List.of());
        assertChanges(
                Drafts.sound().version(9).replaceRoute(0, split),
                "VERSION ~ [configuration] version = 9 (was 7)",
                "LABEL ~ [routes a.example/lookup/] route_name = find (was lookup)",
                "KIND ~ [routes a.example/lookup/] kind = NON_IDEMPOTENT (was IDEMPOTENT)",
                "TIME_LIMIT ~ [routes a.example/lookup/] time_limit = 2000 (was 1000)",
                "OBJECTIVE ~ [routes a.example/lookup/] objective = 300 (was 200)",
                "ATTEMPTS ~ [routes a.example/lookup/] attempts = 1 (was 2)",
                "TARGETS ~ [routes a.example/lookup/] targets = engines 25.0%, plain 75.0% (was plain 100.0%)");
        assertChanges(
                Drafts.sound().replaceRoute(1, Drafts.stream("chat", "/chat/", 3, "large")),
                "ROUTE_MODELS ~ [routes a.example/chat/] route_models = large (was small, large)");
        assertChanges(
                Drafts.sound().withoutRoute(0).route(Drafts.plain("lookup", "/moved/", "plain")),
                "ROUTE_ADDED + [routes a.example/moved/]",
                "ROUTE_REMOVED - [routes a.example/lookup/]");
    }

    @Test
    void shouldNotShowWeightsOfTheSameProportion() {
        final Route before = Drafts.withTargets(
                Drafts.plain("r", "/r/", "plain"),
                List.of(new Route.Target("plain", 90), new Route.Target("engines", 10)),
                List.of());
        final Route after = Drafts.withTargets(
                before, List.of(new Route.Target("engines", 1), new Route.Target("plain", 9)), List.of());
        assertThat(DraftDifference.between(
                        Drafts.sound().route(before).build(),
                        Drafts.sound().route(after).build()))
                .isEmpty();
    }

    @Test
    void shouldShowChangesOfServicesAndLimits() {
        assertChanges(
                Drafts.sound()
                        .withoutService(1)
                        .service(Drafts.engines("engines", "small"))
                        .limits(8_192, 1_024),
                "SERVICE_MODELS ~ [services engines] service_models = small 0.5 (was large 0.5, small 0.5)",
                "SIZE_LIMITS ~ [limits] header_limit = 8192 (was 16384)",
                "SIZE_LIMITS ~ [limits] body_limit = 1024 (was 4194304)");
        assertChanges(
                Drafts.sound().withoutService(0).service(Drafts.service("fresh")),
                "SERVICE_ADDED + [services fresh]",
                "SERVICE_REMOVED - [services plain]");
    }

    @Test
    void shouldShowKeysByTheirDigest() {
        final String key1 = KeyDigest.of("key-1").label();
        final String key2 = KeyDigest.of("key-2").label();
        final String key3 = KeyDigest.of("key-3").label();
        final String key9 = KeyDigest.of("key-9").label();
        assertThat(key1).matches("sha256:[0-9a-f]{16}");
        assertChanges(
                Drafts.sound()
                        .withoutOrganisation(1)
                        .withoutOrganisation(0)
                        .organisation("north", "key-3", "key-9")
                        .organisation("west", "key-2"),
                "ORGANISATION_ADDED + [organisations west]",
                "ORGANISATION_REMOVED - [organisations south]",
                "KEY_MOVED ~ [organisations north] keys = " + key3 + " of north (was " + key3 + " of south)",
                "KEY_ADDED + [organisations north] keys = " + key9,
                "KEY_MOVED ~ [organisations west] keys = " + key2 + " of west (was " + key2 + " of south)",
                "KEY_REMOVED - [organisations north] keys = " + key1);
    }

    @Test
    void shouldShowThatKeysAreNoLongerRequired() {
        final List<RoutingChange> changes = DraftDifference.between(
                Drafts.sound().build(),
                Drafts.sound().withoutOrganisation(1).withoutOrganisation(0).build());
        assertThat(changes.get(0).aspect()).isEqualTo(Aspect.ACCESS);
        assertThat(changes.get(0).change().message())
                .isEqualTo("~ [configuration] organisations = requests need no key (was requests need a key)");
    }

    @Test
    void shouldTellOfTheEffectsOfEachChangeOnce() {
        final Drafts after = Drafts.sound()
                .version(8)
                .withoutOrganisation(1)
                .withoutOrganisation(0)
                .organisation("north");
        final Map<Effect, Set<String>> effects =
                Effect.of(DraftDifference.between(Drafts.sound().build(), after.build()));
        assertThat(effects.get(Effect.REQUESTS_IN_FLIGHT))
                .containsExactly(
                        "admitted requests with a removed key end as before; one whose body is still being read gets 401");
        assertThat(effects.get(Effect.SESSIONS))
                .containsExactly("the next request of a session with a removed key gets 401");
        assertThat(effects.get(Effect.IRREVERSIBLE))
                .containsExactly(
                        "gateways ignore lower versions: an earlier configuration returns only with a higher version",
                        "callers do not repeat a request that got 401")
                .inOrder();
    }

    @Test
    void shouldKnowAllAspects() {
        final Route before = Drafts.stream("r", "/r/", 3, "small");
        final Route after = new Route(
                "s",
                before.host(),
                before.pathPrefix(),
                RequestKind.NON_IDEMPOTENT,
                false,
                1,
                2,
                3,
                4,
                true,
                5,
                List.of(new Route.Target("plain", 1)),
                List.of());
        final ServicePolicy service = new ServicePolicy("plain", 7, 8, 9, Map.of("m", 1.0), 10, 11);
        final ConfigurationDraft next = Drafts.sound()
                .version(8)
                .withoutRoute(0)
                .route(after)
                .route(Drafts.plain("fresh", "/fresh/", "plain"))
                .withoutService(1)
                .withoutService(0)
                .service(service)
                .service(Drafts.service("fresh"))
                .withoutOrganisation(1)
                .organisation("west", "key-3", "key-4")
                .limits(1, 2)
                .build();
        final Set<Aspect> found = DraftDifference.between(
                        Drafts.sound().route(before).build(), next)
                .stream()
                .map(RoutingChange::aspect)
                .collect(Collectors.toSet());
        assertThat(found).containsExactlyElementsIn(EnumSet.complementOf(EnumSet.of(Aspect.DOCUMENT)));
    }

    private static void assertChanges(Drafts after, String... expected) {
        final List<RoutingChange> changes =
                DraftDifference.between(Drafts.sound().build(), after.build());
        final List<String> found = IntStream.range(0, changes.size())
                .mapToObj(index -> changes.get(index).aspect() + " "
                        + changes.get(index).change().message())
                .toList();
        assertThat(found).containsExactlyElementsIn(expected).inOrder();
    }
}
