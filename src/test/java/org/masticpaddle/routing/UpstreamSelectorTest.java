package org.masticpaddle.routing;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.apache.commons.rng.UniformRandomProvider;
import org.junit.jupiter.api.Test;
import org.masticpaddle.document.VersionName;
import org.masticpaddle.wire.LoadReport;

import static com.google.common.truth.Truth.assertThat;
import static org.masticpaddle.routing.Fixtures.LARGE;
import static org.masticpaddle.routing.Fixtures.SMALL;

class UpstreamSelectorTest {
    private static final long[] NO_PREFIX = {};

    private final UpstreamSelector selector = new UpstreamSelector(UpstreamPolicy.of("r"));
    private final PrefixIndex prefixes = new PrefixIndex(1_000);
    private final UpstreamSet upstreams = new UpstreamSet();
    private final UniformRandomProvider random = Fixtures.random(3);

    /** Guards against requests to an upstream that drains, is not ready, has not loaded the version, or fails. */
    @Property(tries = 1_000, seed = "20261204")
    void shouldNeverChooseAnUpstreamThatDoesNotAcceptTheVersion(@ForAll long seed) {
        final UniformRandomProvider source = Fixtures.random(seed);
        final UpstreamSet set = new UpstreamSet();
        final int size = source.nextInt(12);
        for (int index = 0; index < size; index++) {
            final UpstreamView view = new UpstreamView("u" + index, "r", "d" + source.nextInt(3));
            final VersionName loaded = source.nextBoolean() ? SMALL : LARGE;
            view.onReport(
                    new LoadReport(
                            1,
                            source.nextInt(3) == 0,
                            source.nextInt(3) != 0,
                            source.nextInt(9),
                            source.nextInt(9),
                            4,
                            List.of(loaded.toString()),
                            500),
                    0);
            view.setDraining(source.nextInt(4) == 0);
            for (int failure = source.nextInt(8); failure > 0; failure--) {
                view.onEnd(false, 1, 0);
            }
            set.put(view);
        }
        final Optional<UpstreamView> first = choose(set, Optional.empty(), 10, source);
        first.ifPresent(view -> assertThat(view.accepts(SMALL, 10)).isTrue());
        boolean anyAccepts = false;
        for (int index = 0; index < size; index++) {
            anyAccepts |= set.get(index).accepts(SMALL, 10);
        }
        assertThat(first.isPresent()).isEqualTo(anyAccepts);
        final Optional<UpstreamView> second = choose(set, first, 10, source);
        second.ifPresent(view -> assertThat(view.id()).isNotEqualTo(first.get().id()));
    }

    /** Guards against an upstream that is never sampled, so that its recovery would go unnoticed. */
    @Test
    void shouldSampleEveryUpstreamEventually() {
        addUpstreams(40, 0);
        final Set<String> chosenIds = new HashSet<>();
        for (int round = 0; round < 4_000; round++) {
            choose(upstreams, Optional.empty(), 0, random).ifPresent(view -> chosenIds.add(view.id()));
        }
        assertThat(chosenIds).hasSize(40);
    }

    /** Guards against a retry in the failure domain of the first attempt, which may be lost as a whole. */
    @Test
    void shouldRetryInAnotherFailureDomain() {
        addUpstreams(30, 0);
        for (int round = 0; round < 500; round++) {
            final Optional<UpstreamView> first = choose(upstreams, Optional.empty(), 0, random);
            final UpstreamView second = choose(upstreams, first, 0, random).orElseThrow();
            assertThat(second.failureDomain()).isNotEqualTo(first.get().failureDomain());
        }
    }

    /** Guards against abandoning the retry when no other failure domain is available. */
    @Test
    void shouldRetryInTheSameFailureDomainWhenNoOtherIsAvailable() {
        upstreams.put(Fixtures.upstream("a", "d", Fixtures.report(0, 0, 4, SMALL), 0));
        upstreams.put(Fixtures.upstream("b", "d", Fixtures.report(0, 0, 4, SMALL), 0));
        final Optional<UpstreamView> second = choose(upstreams, upstreams.find("a"), 0, random);
        assertThat(second.get().id()).isEqualTo("b");
    }

    /**
     * Guards against herding: all requests between two load reports sent to the upstream that was idle in the first
     * one.
     */
    @Test
    void shouldNotHerdOnAStaleReport() {
        upstreams.put(Fixtures.upstream("idle", "d", Fixtures.report(0, 0, 8, SMALL), 0));
        upstreams.put(Fixtures.upstream("busy", "d", Fixtures.report(6, 0, 8, SMALL), 0));
        for (int request = 0; request < 100; request++) {
            choose(upstreams, Optional.empty(), 1, random).orElseThrow().onDispatch(1);
        }
        assertThat(upstreams.find("idle").get().outstanding()).isAtMost(60);
    }

    /** Guards against an old load report that counts as much as a recent one. */
    @Test
    void shouldDiscountAnOldLoadReport() {
        upstreams.put(Fixtures.upstream("old", "d", Fixtures.report(0, 0, 8, SMALL), -60_000));
        upstreams.put(Fixtures.upstream("fresh", "d", Fixtures.report(2, 0, 8, SMALL), 0));
        upstreams.put(Fixtures.upstream("busy", "d", Fixtures.report(8, 16, 8, SMALL), 0));
        int oldSelections = 0;
        for (int round = 0; round < 2_000; round++) {
            oldSelections += choose(upstreams, Optional.empty(), 0, random)
                            .orElseThrow()
                            .id()
                            .equals("old")
                    ? 1
                    : 0;
        }
        assertThat(oldSelections).isLessThan(1_000);
    }

    /** Guards against cache misses by random choice, and against affinity to an overloaded upstream. */
    @Test
    void shouldChooseThePrefixHolderUnlessItIsOverloaded() {
        addUpstreams(40, 0);
        final long[] prompt = {1, 2, 3};
        prefixes.onDispatch("u7", SMALL, prompt, 0);
        final UpstreamRequest request = new UpstreamRequest(SMALL, prompt, 800, Optional.empty());
        assertThat(selector.choose(upstreams, request, prefixes, 0, random)
                        .get()
                        .id())
                .isEqualTo("u7");
        upstreams.find("u7").get().onReport(Fixtures.report(4, 20, 4, SMALL), 1);
        assertThat(selector.choose(upstreams, request, prefixes, 1, random)
                        .get()
                        .id())
                .isNotEqualTo("u7");
    }

    /**
     * Guards against a failing upstream that keeps its traffic, and against a recovered one that never gets it back.
     */
    @Test
    void shouldOpenTheCircuitAndSendSingleProbes() {
        final CircuitBreaker breaker = new CircuitBreaker();
        for (int failure = 0; failure < 5; failure++) {
            assertThat(breaker.allows(0)).isTrue();
            breaker.onFailure(0);
        }
        assertThat(breaker.allows(999)).isFalse();
        assertThat(breaker.allows(1_000)).isTrue();
        breaker.onSent(1_000);
        assertThat(breaker.allows(1_001)).isFalse();
        breaker.onSuccess();
        assertThat(breaker.allows(1_001)).isTrue();
    }

    /** Guards against an open time that grows with the number of requests in flight when an upstream fails. */
    @Test
    void shouldExtendTheOpenTimeOnlyAfterAFailedProbe() {
        final CircuitBreaker breaker = new CircuitBreaker();
        for (int failure = 0; failure < 50; failure++) {
            breaker.onFailure(0);
        }
        assertThat(breaker.allows(1_000)).isTrue();
        breaker.onSent(1_000);
        breaker.onFailure(1_100);
        assertThat(breaker.allows(3_099)).isFalse();
        assertThat(breaker.allows(3_100)).isTrue();
    }

    private Optional<UpstreamView> choose(
            UpstreamSet set, Optional<UpstreamView> first, long now, UniformRandomProvider source) {
        return selector.choose(set, new UpstreamRequest(SMALL, NO_PREFIX, 100, first), prefixes, now, source);
    }

    private void addUpstreams(int size, long reportedAtMillis) {
        for (int index = 0; index < size; index++) {
            upstreams.put(
                    Fixtures.upstream("u" + index, "d" + index % 3, Fixtures.report(1, 0, 4, SMALL), reportedAtMillis));
        }
    }
}
