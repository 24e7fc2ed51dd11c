package org.masticpaddle.routing;

import java.net.URI;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.masticpaddle.fleet.PromptSegment;
import org.masticpaddle.fleet.SelfReports;
import org.masticpaddle.fleet.Upstream;
import org.masticpaddle.fleet.UpstreamRegistry;
import org.masticpaddle.fleet.UpstreamState;

import static com.google.common.truth.Truth.assertThat;

/** Guards against herding on one upstream, repeated prefill of shared prompts, and needless cross-domain transfers. */
class UpstreamPlacementTest {
    private static final List<PromptSegment> PROMPT = List.of(
            new PromptSegment("system", 2_000), new PromptSegment("subject", 3_000), new PromptSegment("own", 500));

    private final UpstreamRegistry registry = new UpstreamRegistry(0);
    private final UpstreamPlacement placement = new UpstreamPlacement("near", UpstreamSpeeds.IGNORED);
    private final ServiceTimes times = new ServiceTimes();

    @Test
    void shouldSendAPromptToTheEngineThatHasCachedIt() {
        register("a", "near");
        register("b", "near");
        final UpstreamState chosen = choose(engineRequest()).member();
        chosen.onAnswerStart(chosen.assign("m", PROMPT, 5_500, 200, 1_000_000, 0));
        for (int count = 0; count < 5; count++) {
            assertThat(choose(engineRequest()).member()).isSameInstanceAs(chosen);
        }
    }

    @Test
    void shouldChooseAnotherEngineWhenTheBacklogOutweighsTheCache() {
        register("a", "near");
        register("b", "near");
        final UpstreamState chosen = choose(engineRequest()).member();
        for (int count = 0; count < 10; count++) {
            chosen.assign("m", PROMPT, 5_500, 200, 1_000_000, 0);
        }
        assertThat(choose(engineRequest()).member()).isNotSameInstanceAs(chosen);
    }

    @Test
    void shouldSpreadDifferentPrompts() {
        for (int index = 0; index < 4; index++) {
            register("e" + index, "near");
        }
        final Map<String, Long> counts = IntStream.range(0, 400)
                .mapToObj(number -> {
                    final List<PromptSegment> prompt =
                            List.of(new PromptSegment("s" + number, 500), new PromptSegment("o" + number, 500));
                    final UpstreamPlacement.Choice choice =
                            choose(new UpstreamPlacement.Request("m", 1, prompt, 1_000, 2, false));
                    choice.member().assign("m", prompt, 1_000, choice.serviceMillis(), 1_000_000, 0);
                    return choice.member().upstream().id();
                })
                .collect(Collectors.groupingBy(id -> id, Collectors.counting()));
        counts.values().forEach(count -> assertThat(count).isAtLeast(80L));
    }

    @Test
    void shouldStayInTheFailureDomainUnlessAnotherIsMuchFaster() {
        register("far", "far");
        register("near", "near");
        final UpstreamState near = registry.find("near").orElseThrow();
        near.assign("m", List.of(), 100, 50, 0, 0);
        assertThat(choose(engineRequest()).member()).isSameInstanceAs(near);
        for (int count = 0; count < 10; count++) {
            near.assign("m", List.of(), 100, 200, 0, 0);
        }
        assertThat(choose(engineRequest()).member()).isNotSameInstanceAs(near);
    }

    @Test
    void shouldAvoidAReachableUpstreamThatReturnsErrors() {
        register("a", "near");
        register("b", "near");
        final UpstreamState failing = registry.find("a").orElseThrow();
        for (int count = 0; count < 3; count++) {
            failing.onErrorResponse(0);
        }
        assertThat(choose(plainRequest()).member()).isNotSameInstanceAs(failing);
    }

    @Test
    void shouldAvoidAnUpstreamWithReportedLoadOfOtherGateways() {
        register("a", "near");
        register("b", "near");
        final UpstreamState busy = registry.find("a").orElseThrow();
        report(busy, 8, 4, 0);
        assertThat(choose(plainRequest()).member()).isNotSameInstanceAs(busy);
    }

    /** Guards against an upstream that gets no requests for good because of one failure. */
    @Test
    void shouldTryAnUpstreamAgainSomeTimeAfterItFailed() {
        register("a", "near");
        register("b", "near");
        final UpstreamState failed = choose(plainRequest()).member();
        failed.onUnreachable(0);
        failed.onNotRun(0);
        assertThat(choose(plainRequest(), 1_000_000_000L).member()).isNotSameInstanceAs(failed);
        final long later = 30_000_000_000L;
        registry.members("s").stream()
                .filter(member -> member != failed)
                .forEach(member -> member.assign("", List.of(), 0, 0, 0, later));
        assertThat(choose(plainRequest(), later).member()).isSameInstanceAs(failed);
    }

    /** Guards against a free slot that counts for more than the whole answer, so that slowness makes an upstream better. */
    @Test
    void shouldPreferTheFasterOfTwoUpstreamsWithVeryShortAnswers() {
        for (int count = 0; count < 200; count++) {
            times.recordPlainRequest(0.2);
        }
        register("a", "near");
        register("b", "near");
        final UpstreamState slow = choose(plainRequest()).member();
        for (int count = 0; count < 20; count++) {
            slow.onSuccess(0.2, 2, 0);
        }
        final UpstreamPlacement.Choice choice = choose(plainRequest());
        assertThat(choice.member()).isNotSameInstanceAs(slow);
        assertThat(choice.expectedMillis()).isGreaterThan(0.0);
    }

    /** Guards against an upstream that gets no request for 30 s, since the other one was once a little slower than expected. */
    @Test
    void shouldUseBothOfTwoUpstreamsWithVeryShortAnswers() {
        for (int count = 0; count < 200; count++) {
            times.recordPlainRequest(0.2);
        }
        register("a", "near");
        register("b", "near");
        final UpstreamState busy = choose(plainRequest()).member();
        busy.onSuccess(1, 2, 0);
        int toOthers = 0;
        for (int milli = 0; milli < 30_000; milli++) {
            final long now = milli * 1_000_000L;
            final UpstreamPlacement.Choice choice = choose(plainRequest(), now);
            choice.member().onSuccess(choice.expectedMillis(), 0.2, now);
            toOthers += choice.member() == busy ? 0 : 1;
        }
        assertThat(toOthers).isGreaterThan(0);
    }

    /** Guards against gateways that send most requests to the upstreams that they know least about. */
    @Test
    void shouldNotTakeAnUpstreamWithoutRecentReportForIdle() {
        register("lightly-loaded", "near");
        register("loaded", "near");
        register("unknown", "near");
        register("long-silent", "near");
        final UpstreamState lightlyLoaded = registry.find("lightly-loaded").orElseThrow();
        report(registry.find("long-silent").orElseThrow(), 0, 0, 0);
        final long now = 10_000_000_000L;
        report(lightlyLoaded, 2, 0, now);
        report(registry.find("loaded").orElseThrow(), 12, 4, now);
        assertThat(choose(plainRequest(), now).member()).isSameInstanceAs(lightlyLoaded);
        assertThat(choose(engineRequest(), now).member()).isSameInstanceAs(lightlyLoaded);
    }

    @Test
    void shouldPreferAFastUpstreamToOneOfTheUsualPaceAndThatToASlowOne() {
        register("slow", "near");
        register("unknown", "near");
        register("usual", "near");
        register("fast", "near");
        reportWorkFactor("slow", 1.6, 0);
        reportWorkFactor("usual", 1, 0);
        reportWorkFactor("fast", 0.6, 0);
        for (final UpstreamPlacement.Request request : List.of(unsharedRequest(), plainRequest())) {
            assertThat(choose(request).member().upstream().id()).isEqualTo("fast");
            assertThat(choose(request).workFactor()).isEqualTo(0.6);
            final List<Double> expected = registry.members("s").stream()
                    .map(member -> placement
                            .choose(request, registry.members("s"), each -> each == member, times, 0)
                            .orElseThrow())
                    .sorted(Comparator.comparingDouble(UpstreamPlacement.Choice::score))
                    .map(UpstreamPlacement.Choice::workFactor)
                    .toList();
            assertThat(expected).isInStrictOrder();
        }
    }

    /** Guards against requests that still avoid an upstream whose slow moment has long passed, or still go to a fast one. */
    @Test
    void shouldBelieveAWorkFactorOnlyAsLongAsItHolds() {
        register("a", "near");
        register("b", "near");
        for (int second = 0; second < 20; second++) {
            reportWorkFactor("a", 1, second * 1_000_000_000L);
            reportWorkFactor("b", 1.2, second * 1_000_000_000L);
        }
        final long now = 20_000_000_000L;
        reportWorkFactor("a", 2.5, now);
        assertThat(choose(unsharedRequest(), now).member().upstream().id()).isEqualTo("b");
        assertThat(choose(unsharedRequest(), now + 3_000_000_000L)
                        .member()
                        .upstream()
                        .id())
                .isEqualTo("a");
    }

    /** Guards against changes of placement where upstreams report no work factor. */
    @Test
    void shouldExpectTheUsualPaceExactlyWhereNoUpstreamReportsItsOwn() {
        register("a", "near");
        register("b", "far");
        final UpstreamState member = registry.find("a").orElseThrow();
        report(member, 5, 3, 0);
        member.assign("m", PROMPT, 5_500, 123.4, 0, 0);
        final UpstreamPlacement.Choice engine = placement
                .choose(engineRequest(), registry.members("s"), each -> each == member, times, 0)
                .orElseThrow();
        final double serviceMillis = times.prefillMillis("m", 1, engine.uncachedTokens());
        assertThat(engine.workFactor()).isEqualTo(1.0);
        assertThat(engine.serviceMillis()).isEqualTo(serviceMillis);
        assertThat(engine.expectedMillis()).isEqualTo(123.4 + (1 + 8) * 10.0 + 3 * 40.0 + serviceMillis);
        assertThat(engine.score()).isEqualTo(123.4 + (1 + 8) * 10.0 + 3 * 40.0 + serviceMillis * 1.5);
        final UpstreamPlacement.Choice plain = choose(plainRequest());
        assertThat(plain.serviceMillis()).isEqualTo(times.plainRequestMillis());
    }

    private void reportWorkFactor(String id, double factor, long now) {
        registry.find(id).orElseThrow().onReport(SelfReports.workFactor(factor), true, false, now);
    }

    private static void report(UpstreamState upstream, int running, int waiting, long now) {
        upstream.onReport(SelfReports.load(running, waiting, 8), true, false, now);
    }

    private UpstreamPlacement.Choice choose(UpstreamPlacement.Request request) {
        return choose(request, 0);
    }

    private UpstreamPlacement.Choice choose(UpstreamPlacement.Request request, long now) {
        return placement
                .choose(request, registry.members("s"), member -> true, times, now)
                .orElseThrow();
    }

    private static UpstreamPlacement.Request engineRequest() {
        return new UpstreamPlacement.Request("m", 1, PROMPT, 5_500, 10, false);
    }

    /** Returns a request whose prompt no other request shares, so that no engine is expected to hold a part of it. */
    private static UpstreamPlacement.Request unsharedRequest() {
        return new UpstreamPlacement.Request("m", 1, List.of(new PromptSegment("own", 2_000)), 2_000, 10, false);
    }

    private static UpstreamPlacement.Request plainRequest() {
        return new UpstreamPlacement.Request("", 1, List.of(), 0, 1, false);
    }

    private void register(String id, String failureDomain) {
        registry.applyEntry(
                new Upstream(id, "s", URI.create("http://127.0.0.1:1"), failureDomain, "v1", 8, false, 1, 0), 0);
    }
}
