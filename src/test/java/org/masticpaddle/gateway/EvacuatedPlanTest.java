package org.masticpaddle.gateway;

import java.net.URI;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.masticpaddle.decisions.DecisionLog;
import org.masticpaddle.fleet.SelfReports;
import org.masticpaddle.fleet.Upstream;
import org.masticpaddle.fleet.UpstreamState;
import org.masticpaddle.kernel.FakeScheduler;
import org.masticpaddle.memory.MemoryBudget;
import org.masticpaddle.routes.RequestKind;
import org.masticpaddle.routes.RequestLimits;
import org.masticpaddle.routes.Route;
import org.masticpaddle.routes.RoutingTable;
import org.masticpaddle.routing.EscalationPolicy;
import org.masticpaddle.routing.ModelCascade;
import org.masticpaddle.routing.UpstreamPlacement;
import org.masticpaddle.routing.UpstreamSpeeds;
import org.masticpaddle.wire.EmptyBody;
import org.masticpaddle.wire.HttpClient;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against requests that wait for upstreams in evacuated failure domains, or are rejected although another upstream may
 * run them.
 */
class EvacuatedPlanTest {
    private static final String SERVICE = "s";
    private static final long TIMEOUT_MILLIS = 4_000;
    private static final Predicate<Upstream> ALL = upstream -> true;

    private final FakeScheduler scheduler = new FakeScheduler();
    private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(1L);
    private final DecisionLog log = new DecisionLog("g", () -> 0, text -> {});
    private final GatewayState state = new GatewayState(RolloutDeployment.BOUNDS, random);
    private final GatewayCounters counters = new GatewayCounters();
    private final FixedVersions versions = new FixedVersions();
    private final QuarantineCoordinator quarantine = new QuarantineCoordinator(
            "g",
            new FakeStreams(scheduler),
            origin -> CompletableFuture.completedFuture(null),
            scheduler,
            random,
            () -> 0,
            log);
    private final GatewayContext context = context();
    private final AdmittedRequest admitted = admitted();
    private final RequestModels models = new RequestModels(state, admitted, SERVICE);
    private final UpstreamChooser chooser = new UpstreamChooser(context, admitted, SERVICE, models);
    private final AttemptPlanner planner = planner();

    @Test
    void shouldRejectAtOnceIfNoUpstreamIsLeft() {
        add("a", "v1");
        add("b", "v1");
        state.registry().evacuate("a", 1);
        assertThat(planned()).isEqualTo("b");
        state.registry().evacuate("b", 2);
        for (final int sentAttempts : new int[] {0, 1}) {
            final AttemptPlanner.Fail rejection = (AttemptPlanner.Fail) plan(sentAttempts);
            assertThat(rejection.reason()).contains("a, b");
            assertThat(rejection.retryAfterSeconds()).isAtLeast(1.0);
        }
        assertThat(counters.value(GatewayCounters.Counter.EVACUATED_UNSERVED)).isEqualTo(2);
        state.registry().restore("a", 3, scheduler.nanos());
        assertThat(planned()).isEqualTo("a");
    }

    @Test
    void shouldWaitForAnUpstreamThatIsUnreachableElsewhere() {
        add("a", "v1");
        add("b", "v1").tripCircuit(scheduler.nanos());
        state.registry().evacuate("a", 1);
        assertThat(plan(0)).isEqualTo(AttemptPlanner.Recheck.INSTANCE);
        scheduler.advance(5_000);
        assertThat(planned()).isEqualTo("b");
    }

    @Test
    void shouldNotWaitAnyLongerForAPauseInADomainThatIsEvacuatedMeanwhile() {
        add("a", "v1").onReport(SelfReports.pause(false, 0.8), true, true, scheduler.nanos());
        assertThat(plan(0)).isEqualTo(AttemptPlanner.Recheck.INSTANCE);
        state.registry().evacuate("a", 1);
        assertThat(plan(0)).isInstanceOf(AttemptPlanner.Fail.class);
        planner.close();
        assertThat(state.limits().queue(SERVICE).size()).isEqualTo(0);
    }

    @Test
    void shouldUseThePermitsOfTheOtherUpstreamsOnly() {
        final UpstreamState evacuated = add("a", "v1");
        final UpstreamState limited = add("b", "v1");
        for (final UpstreamState each : List.of(evacuated, limited)) {
            each.onReport(SelfReports.load(1, 0, 8, OptionalDouble.of(4)), true, false, scheduler.nanos());
        }
        evacuated.pace(1_000, 1, scheduler.nanos());
        limited.pace(4, 0, scheduler.nanos());
        state.registry().evacuate("a", 1);
        assertThat(plan(0)).isEqualTo(AttemptPlanner.Recheck.INSTANCE);
        scheduler.advance(260);
        assertThat(planned()).isEqualTo("b");
    }

    /** The trial of a suspected prompt prefers the upstream with the fewest requests, which an evacuated one has. */
    @Test
    void shouldNotTryASuspectedPromptInAnEvacuatedDomain() {
        add("a", "v1");
        add("b", "v1").assign("", List.of(), 0, 0, 0, scheduler.nanos());
        assertThat(chooser.choose("", 0, true, true)
                        .orElseThrow()
                        .member()
                        .upstream()
                        .id())
                .isEqualTo("a");
        state.registry().evacuate("a", 1);
        assertThat(chooser.choose("", 0, true, true)
                        .orElseThrow()
                        .member()
                        .upstream()
                        .id())
                .isEqualTo("b");
        assertThat(chooser.bestPreferred(0).orElseThrow().member().upstream().id())
                .isEqualTo("b");
    }

    @Test
    void shouldTreatAVersionInEvacuatedDomainsAsOneWithoutUpstreams() {
        add("a", "v1").tripCircuit(scheduler.nanos());
        add("b", "v2");
        versions.prefer(upstream -> upstream.version().equals("v1"), ALL);
        assertThat(plan(0)).isEqualTo(AttemptPlanner.Recheck.INSTANCE);
        state.registry().evacuate("a", 1);
        assertThat(planned()).isEqualTo("b");
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void shouldRejectAtOnceIfOnlyVersionsAreLeftThatMustNotRunTheRequest(boolean otherVersionPaused) {
        add("a", "v1");
        final UpstreamState other = add("b", "v2");
        if (otherVersionPaused) {
            other.onReport(SelfReports.pause(false, 0.8), true, true, scheduler.nanos());
        }
        final Predicate<Upstream> first = upstream -> upstream.version().equals("v1");
        versions.prefer(first, first);
        state.registry().evacuate("a", 1);
        assertThat(plan(0)).isInstanceOf(AttemptPlanner.Fail.class);
    }

    private UpstreamState add(String id, String version) {
        state.registry()
                .applyEntry(
                        new Upstream(id, SERVICE, URI.create("http://127.0.0.1:1"), id, version, 8, false, 1, 0),
                        scheduler.nanos());
        return state.registry().find(id).orElseThrow();
    }

    private AttemptPlanner.Plan plan(int sentAttempts) {
        return planner.next("", 0, sentAttempts, TIMEOUT_MILLIS);
    }

    private String planned() {
        return ((AttemptPlanner.Send) plan(0)).choice().member().upstream().id();
    }

    private GatewayContext context() {
        return new GatewayContext(
                scheduler,
                new HttpClient(1),
                new UpstreamHealthProbe(
                        origin -> CompletableFuture.completedFuture(null), origin -> {}, scheduler, log, 1),
                new UnusedCodec(),
                state,
                versions,
                quarantine,
                new UpstreamPlacement("d", UpstreamSpeeds.IGNORED),
                new ModelCascade(50, EscalationPolicy.IN_TIME),
                UrgencyOrder.RANK,
                MemoryBudget.ofHeap(0.1),
                log,
                counters,
                random);
    }

    private AttemptPlanner planner() {
        return new AttemptPlanner(
                context,
                admitted,
                SERVICE,
                chooser,
                new Escalation(context, admitted, SERVICE, models, chooser),
                quarantine.guard(SERVICE, Set.of(), () -> {}));
    }

    private AdmittedRequest admitted() {
        final Route route = new Route(
                "r",
                "host",
                "/",
                RequestKind.IDEMPOTENT,
                false,
                TIMEOUT_MILLIS,
                1_000,
                0,
                1,
                true,
                3,
                List.of(new Route.Target(SERVICE, 1)),
                List.of());
        return new AdmittedRequest(
                RoutingTable.of(1, List.of(route), Map.of(), List.of(), RequestLimits.DEFAULT, false),
                route,
                Optional.empty(),
                new InboundRequest(
                        "id",
                        OptionalLong.empty(),
                        Optional.empty(),
                        Optional.empty(),
                        0,
                        0,
                        OptionalInt.empty(),
                        List.of(),
                        OptionalLong.empty(),
                        Optional.empty()),
                "GET",
                "/",
                Map.of(),
                EmptyBody.create(),
                scheduler.nanos());
    }

    /** Choice of versions that a test sets. Not thread-safe. */
    private static final class FixedVersions implements VersionRouter {
        private Predicate<Upstream> preferred = ALL;
        private Predicate<Upstream> lastResort = ALL;

        void prefer(Predicate<Upstream> newPreferred, Predicate<Upstream> newLastResort) {
            preferred = newPreferred;
            lastResort = newLastResort;
        }

        @Override
        public EligibleUpstreams eligibleUpstreams(String service, Optional<String> session, String requestId) {
            return new EligibleUpstreams(preferred, preferred, lastResort, Assignment.OLD_SHARE, 0);
        }

        @Override
        public AttemptObserver attemptSent(SentAttempt attempt) {
            throw new UnsupportedOperationException();
        }

        @Override
        public boolean updatesEstimates(Upstream upstream) {
            return true;
        }
    }

    /** Codec for requests that are not sent. */
    private static final class UnusedCodec implements HeaderCodec {
        @Override
        public InboundRequest parseRequest(Map<String, String> headers) {
            throw new UnsupportedOperationException();
        }

        @Override
        public Map<String, String> upstreamRequestHeaders(
                Map<String, String> headers, UpstreamRequestMetadata metadata) {
            throw new UnsupportedOperationException();
        }

        @Override
        public ResponseMetadata parseResponse(Map<String, String> headers) {
            throw new UnsupportedOperationException();
        }
    }
}
