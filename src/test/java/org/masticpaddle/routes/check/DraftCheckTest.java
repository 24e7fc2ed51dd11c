package org.masticpaddle.routes.check;

import java.util.EnumSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.IntFunction;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.masticpaddle.document.Problem;
import org.masticpaddle.routes.KeyOwner;
import org.masticpaddle.routes.RequestKind;
import org.masticpaddle.routes.RequestLimits;
import org.masticpaddle.routes.Route;
import org.masticpaddle.routes.ServicePolicy;
import org.masticpaddle.settings.Setting;

import static com.google.common.truth.Truth.assertThat;

/** Guards against mistakes between entries that are not found, and against sound configurations that get a message. */
class DraftCheckTest {
    private static final long MAX_BODY_BYTES = RequestLimits.DEFAULT.maxBodyBytes();

    @Test
    void shouldFindNothingInASoundConfiguration() {
        assertThat(check(Drafts.sound())).isEmpty();
        assertThat(DraftCheck.checkVersion("file", Drafts.sound().build(), OptionalLong.of(6)))
                .isEmpty();
        assertThat(DraftCheck.checkVersion("file", Drafts.sound().build(), OptionalLong.empty()))
                .isEmpty();
    }

    @Test
    void shouldReportVersionsThatDoNotRise() {
        for (final long inForce : new long[] {7, 8}) {
            final List<Problem> problems =
                    DraftCheck.checkVersion("file", Drafts.sound().build(), OptionalLong.of(inForce));
            assertThat(problems).hasSize(1);
            assertThat(problems.get(0).kind()).isEqualTo(Problem.Kind.STALE_VERSION);
            assertThat(problems.get(0).message())
                    .isEqualTo("file: version: expected more than " + inForce + ", the version in force, found 7");
        }
    }

    @Test
    void shouldReportUnknownServicesAndModels() {
        assertFound(
                Drafts.sound().route(Drafts.plain("other", "/other/", "plane")),
                Problem.Kind.UNKNOWN_REFERENCE,
                "routes[2].service: expected a service of services, found \"plane\"; did you mean \"plain\"?",
                true);
        final Route split = Drafts.withTargets(
                Drafts.plain("other", "/other/", "plain"),
                List.of(new Route.Target("plain", 9), new Route.Target("gone", 1)),
                List.of());
        assertFound(
                Drafts.sound().route(split),
                Problem.Kind.UNKNOWN_REFERENCE,
                "routes[2].targets[1].target_service: expected a service of services, found \"gone\"",
                true);
        assertFound(
                Drafts.sound().route(Drafts.stream("other", "/other/", 3, "small", "larg")),
                Problem.Kind.UNKNOWN_REFERENCE,
                "routes[2].route_models[1]: expected a model of the route's services, found \"larg\"; "
                        + "did you mean \"large\"?",
                true);
    }

    @Test
    void shouldReportAModelThatOnlyOtherServicesOffer() {
        final Route route = Drafts.withTargets(
                Drafts.stream("other", "/other/", 3), List.of(new Route.Target("plain", 1)), List.of("small"));
        assertFound(
                Drafts.sound().route(route),
                Problem.Kind.UNKNOWN_REFERENCE,
                "routes[2].route_models[0]: expected a model of the route's services, found \"small\", which only other "
                        + "services offer",
                true);
    }

    @Test
    void shouldNotReportTheModelsOfARouteWithoutWeights() {
        final Route route = Drafts.withTargets(
                Drafts.stream("other", "/other/", 3), List.of(new Route.Target("engines", 0)), List.of("small"));
        assertThat(check(Drafts.sound().route(route)).stream().map(Problem::kind))
                .containsExactly(Problem.Kind.NO_WEIGHT);
    }

    @Test
    void shouldTakeAModelOfOneOfTheServicesAsKnown() {
        final Route route = Drafts.withTargets(
                Drafts.stream("other", "/other/", 3),
                List.of(new Route.Target("engines", 90), new Route.Target("plain", 10)),
                List.of("small", "large"));
        assertThat(check(Drafts.sound().route(route))).isEmpty();
    }

    @Test
    void shouldReportDuplicates() {
        assertFound(
                Drafts.sound().route(Drafts.plain("lookup", "/other/", "plain")),
                Problem.Kind.DUPLICATE_NAME,
                "routes[2].route_name: expected a unique name, found \"lookup\" as in routes[0].route_name",
                true);
        assertFound(
                Drafts.sound().service(Drafts.service("plain")),
                Problem.Kind.DUPLICATE_NAME,
                "services[2].service_name: expected a unique name, found \"plain\" as in services[0].service_name",
                true);
        assertFound(
                Drafts.sound().organisation("north", "key-4"),
                Problem.Kind.DUPLICATE_NAME,
                "organisations[2].organisation_name: expected a unique name, found \"north\" as in "
                        + "organisations[0].organisation_name",
                true);
        assertFound(
                Drafts.sound().route(Drafts.stream("other", "/other/", 3, "small", "large", "small")),
                Problem.Kind.DUPLICATE_NAME,
                "routes[2].route_models[2]: expected each model once, found \"small\"",
                true);
    }

    @Test
    void shouldNotCompareNamesThatTheFileDoesNotContain() {
        final Set<Field> written = EnumSet.complementOf(EnumSet.of(Field.ROUTE_NAME));
        assertThat(check(Drafts.sound()
                        .route(Drafts.plain("unnamed", "/x/", "plain"), written)
                        .route(Drafts.plain("unnamed", "/y/", "plain"), written)))
                .isEmpty();
    }

    @Test
    void shouldReportKeysThatOccurTwice() {
        assertFound(
                Drafts.sound().organisation("west", "key-4", "key-3"),
                Problem.Kind.DUPLICATE_CREDENTIAL,
                "organisations[2].keys[1]: expected a key of one organisation only, found the key of "
                        + "organisations[1].keys[1], which belongs to \"south\"",
                true);
        assertFound(
                Drafts.sound().organisation("west", "key-4", "key-4"),
                Problem.Kind.REPEATED_KEY,
                "organisations[2].keys[1]: expected each key once, found the key of organisations[2].keys[0]",
                false);
    }

    @Test
    void shouldReportWeights() {
        final Route none = Drafts.withTargets(
                Drafts.plain("other", "/other/", "plain"),
                List.of(new Route.Target("plain", 0), new Route.Target("engines", 0)),
                List.of());
        assertFound(
                Drafts.sound().route(none),
                Problem.Kind.NO_WEIGHT,
                "routes[2].targets: expected weights that add up to more than 0, found no weight above 0",
                true);
        final Route one = Drafts.withTargets(
                Drafts.plain("other", "/other/", "plain"),
                List.of(new Route.Target("plain", 1), new Route.Target("engines", 0)),
                List.of());
        assertFound(
                Drafts.sound().route(one),
                Problem.Kind.WEIGHTLESS_TARGET,
                "routes[2].targets[1].weight: expected more than 0, found 0, so that service \"engines\" gets no "
                        + "requests",
                false);
    }

    @Test
    void shouldReportRoutesThatNeverMatch() {
        assertFound(
                Drafts.sound().route(Drafts.plain("other", "/chat/", "plain")),
                Problem.Kind.HIDDEN_PREFIX,
                "routes[2].path_prefix: expected a prefix of its own among the routes of \"a.example\", found that of "
                        + "routes[1], which gets all requests",
                false);
        assertThat(check(Drafts.sound().route(Drafts.plain("other", "/chat/deep/", "plain"))))
                .isEmpty();
        assertFound(
                Drafts.sound().route(Drafts.withHost(Drafts.plain("other", "/chat/", "plain"), "a.example:80")),
                Problem.Kind.UNMATCHABLE_HOST,
                "routes[2].host: expected a host without a port, as which all requests are compared, found "
                        + "\"a.example:80\"",
                false);
    }

    @Test
    void shouldReportEntriesThatNothingReaches() {
        assertFound(
                Drafts.sound().organisation("west"),
                Problem.Kind.ORGANISATION_WITHOUT_KEYS,
                "organisations[2].keys: expected at least one key, without which \"west\" cannot send requests, "
                        + "found none",
                false);
        assertFound(
                Drafts.sound().service(Drafts.service("idle")),
                Problem.Kind.UNREACHED_SERVICE,
                "services[2].service_name: expected a service that a route leads to, found \"idle\"",
                false);
        assertFound(
                Drafts.sound().withoutService(1).service(Drafts.engines("engines", "small", "large", "huge")),
                Problem.Kind.UNREACHED_MODEL,
                "services[1].service_models: expected models that a route to \"engines\" selects, found \"huge\"",
                false);
    }

    @Test
    void shouldTakeAllModelsAsReachedWhereCallersSelectThem() {
        assertThat(check(Drafts.sound()
                        .withoutService(1)
                        .service(Drafts.engines("engines", "small", "large", "huge"))
                        .route(Drafts.stream("free", "/free/", 2))))
                .isEmpty();
    }

    @Test
    void shouldNotCallEntriesUnreachedBesideUnreadRoutes() {
        assertThat(check(Drafts.sound().service(Drafts.service("idle")).incomplete()))
                .isEmpty();
    }

    @Test
    void shouldReportContradictoryLimits() {
        assertFound(
                Drafts.sound().route(Drafts.route("slow", "/slow/", RequestKind.IDEMPOTENT, 1_000, 1_001, 0, 2)),
                Problem.Kind.OBJECTIVE_OVER_TIME_LIMIT,
                "routes[2].objective: expected at most 1000, the time_limit, found 1001",
                false);
        assertFound(
                Drafts.sound()
                        .route(
                                Drafts.route("slow", "/slow/", RequestKind.IDEMPOTENT, 800, 1_000, 0, 2),
                                EnumSet.of(Field.TIME_LIMIT)),
                Problem.Kind.OBJECTIVE_OVER_TIME_LIMIT,
                "routes[2].objective: expected at most 800, the time_limit, found default 1000",
                false);
        assertFound(
                Drafts.sound().route(Drafts.route("gaps", "/gaps/", RequestKind.STREAM, 1_000, 500, 2_000, 2)),
                Problem.Kind.GAP_OVER_TIME_LIMIT,
                "routes[2].gap_objective: expected at most 1000, the time_limit, found 2000",
                false);
        assertFound(
                Drafts.sound()
                        .service(new ServicePolicy("cold", 1, 0, 1, Map.of(), 3, 0))
                        .route(Drafts.plain("cold", "/cold/", "cold")),
                Problem.Kind.UNLIMITED_COLD_TIME,
                "services[2].cold_rate: expected more than 0 beside a cold_time of 3.0, found 0, with which cold "
                        + "upstreams get requests without a limit",
                false);
        assertFound(
                Drafts.sound().limits(16_384, MAX_BODY_BYTES + 1),
                Problem.Kind.BODY_LIMIT_OVER_GATEWAY,
                "limits.body_limit: expected at most 4194304, above which gateways reject bodies, found 4194305",
                false);
    }

    @Test
    void shouldReportStreamsThatCannotResume() {
        assertFound(
                Drafts.sound().route(Drafts.stream("other", "/other/", 1, "small")),
                Problem.Kind.TOO_FEW_ATTEMPTS,
                "routes[2].attempts: expected at least 2, with which a stream can resume at another upstream, found 1",
                false);
        assertThat(check(Drafts.sound().route(Drafts.stream("other", "/other/", 2, "small"))))
                .isEmpty();
        assertFound(
                Drafts.sound().route(Drafts.stream("other", "/other/", 2, "small", "large")),
                Problem.Kind.TOO_FEW_ATTEMPTS,
                "routes[2].attempts: expected at least 3, with which a stream of a second model can resume at another "
                        + "upstream, found 2",
                false);
    }

    /** The default of the check and that of the gateways' settings are in different packages. */
    @Test
    void shouldAssumeTheDefaultLimitOfGateways() {
        assertThat(Setting.MAX_BODY_BYTES.describe()).contains(Long.toString(MAX_BODY_BYTES));
    }

    /** A comparison of all pairs would visit each entry as often as there are entries. */
    @ParameterizedTest
    @ValueSource(ints = {100, 20_000})
    void shouldVisitEachEntryOnce(int size) {
        final FieldNames names = Drafts.names();
        final ProblemList problems = new ProblemList("file");
        final List<Placed<Route>> routes = entries(size, Drafts::sameAddress);
        final List<Placed<ServicePolicy>> services =
                entries(size, index -> Drafts.engines("s" + index / 2, "m" + index % 3, "m"));
        final List<Placed<Organisation>> organisations = entries(
                size,
                index -> new Organisation(
                        new KeyOwner("o" + index, OptionalInt.empty()),
                        List.of(new Placed<>("key", Set.of(), KeyDigest.of("shared")))));
        final DraftCheck.Reach reach = DraftCheck.checkReferences(routes, services, Set.of(), names, problems);
        assertThat(visits(routes, counted -> DraftCheck.checkPrefixes(counted, names, problems)))
                .isEqualTo(size);
        assertThat(visits(routes, counted -> DraftCheck.checkRouteNames(counted, names, problems)))
                .isEqualTo(size);
        assertThat(visits(routes, counted -> DraftCheck.checkReferences(counted, services, Set.of(), names, problems)))
                .isEqualTo(size);
        assertThat(visits(services, counted -> DraftCheck.checkReferences(routes, counted, Set.of(), names, problems)))
                .isEqualTo(size);
        assertThat(visits(services, counted -> DraftCheck.checkReach(counted, reach, names, problems)))
                .isEqualTo(size);
        assertThat(visits(services, counted -> DraftCheck.checkServices(counted, names, problems)))
                .isEqualTo(size);
        assertThat(visits(organisations, counted -> DraftCheck.checkOrganisations(counted, names, problems)))
                .isEqualTo(size);
    }

    @Test
    void shouldSuggestNamesForABoundedNumberOfMistakes() {
        final Drafts drafts = Drafts.sound();
        IntStream.range(0, 1_000).forEach(index -> drafts.route(Drafts.plain("r" + index, "/" + index + "/", "plane")));
        final List<Problem> problems = check(drafts);
        assertThat(problems).hasSize(1_000);
        assertThat(problems.stream()
                        .filter(problem -> !problem.nearest().isEmpty())
                        .count())
                .isEqualTo(20);
    }

    private static <T> List<Placed<T>> entries(int size, IntFunction<T> create) {
        return IntStream.range(0, size)
                .mapToObj(index -> new Placed<>("entries[" + index + "]", Set.of(), create.apply(index)))
                .toList();
    }

    private static <T> int visits(List<T> entries, Consumer<Iterable<T>> check) {
        final int[] visits = {0};
        check.accept(() -> new Iterator<>() {
            private final Iterator<T> remaining = entries.iterator();

            @Override
            public boolean hasNext() {
                return remaining.hasNext();
            }

            @Override
            public T next() {
                visits[0]++;
                return remaining.next();
            }
        });
        return visits[0];
    }

    private static List<Problem> check(Drafts drafts) {
        return DraftCheck.check("file", drafts.build(), MAX_BODY_BYTES);
    }

    private static void assertFound(Drafts drafts, Problem.Kind kind, String message, boolean error) {
        final List<Problem> problems = check(drafts);
        assertThat(problems.stream().map(Problem::message)).contains("file: " + message);
        final Problem found = problems.stream()
                .filter(problem -> problem.message().equals("file: " + message))
                .findFirst()
                .orElseThrow();
        assertThat(found.kind()).isEqualTo(kind);
        assertThat(kind.severity().rejects()).isEqualTo(error);
    }
}
