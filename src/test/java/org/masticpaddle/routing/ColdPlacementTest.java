package org.masticpaddle.routing;

import java.net.URI;
import java.util.List;
import java.util.function.Predicate;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.masticpaddle.fleet.ColdLimit;
import org.masticpaddle.fleet.PromptSegment;
import org.masticpaddle.fleet.SelfReports;
import org.masticpaddle.fleet.Upstream;
import org.masticpaddle.fleet.UpstreamRegistry;
import org.masticpaddle.fleet.UpstreamState;

import static com.google.common.truth.Truth.assertThat;

/** Guards against cold upstreams that attract the requests of all gateways since they are empty. */
class ColdPlacementTest {
    private static final UpstreamPlacement.Request REQUEST =
            new UpstreamPlacement.Request("m", 1, List.of(), 100, 1, false);

    private static final int SEGMENTS = 60;

    private final UpstreamRegistry registry = new UpstreamRegistry(0);
    private final UpstreamPlacement placement = new UpstreamPlacement("d", UpstreamSpeeds.IGNORED);

    @BeforeEach
    void loadWarmUpstreams() {
        for (final String id : List.of("warm-0", "warm-1")) {
            final UpstreamState warm = register(id, 0);
            warm.onReport(SelfReports.load(20, 0, 64), true, false, 0);
            warm.assign("m", List.of(), 0, 0, 0, 0);
        }
    }

    @Test
    void shouldPreferNoColdUpstreamForBeingEmpty() {
        final UpstreamState cold = register("cold", 2_000);
        cold.onReport(SelfReports.load(0, 0, 64), true, false, 0);
        final double coldScore = score(cold);
        assertThat(coldScore).isAtLeast(score(registry.find("warm-0").orElseThrow()) * 0.95);
    }

    @Test
    void shouldPreferAnEmptyUpstreamThatIsWarm() {
        final UpstreamState warm = register("empty", 0);
        warm.onReport(SelfReports.load(0, 0, 64), true, false, 0);
        assertThat(choose(member -> true).member()).isSameInstanceAs(warm);
    }

    @Test
    void shouldFindAWarmUpstreamWhenAColdOneHasNoPermit() {
        register("cold", 2_000).cold().setLimit(new ColdLimit(3, 10, 1.5, 5), 0, 0, 0);
        for (int count = 0; count < 50; count++) {
            final UpstreamState chosen = choose(member -> true).member();
            assertThat(chosen.upstream().id()).startsWith("warm");
            chosen.assign("m", List.of(), 0, 0, 0, 0);
        }
    }

    /** All gateways send the segments that the cold upstream will hold, and each of them reads only these again. */
    @Test
    void shouldSpendPermitsOnPromptsWhoseSharedPartOthersWillSendThere() {
        final UpstreamState cold = register("cold", 2_000);
        cold.onReport(SelfReports.load(0, 0, 64), true, false, 0);
        int own = 0;
        for (int index = 0; index < SEGMENTS; index++) {
            final List<PromptSegment> prompt =
                    List.of(new PromptSegment("shared-" + index, 6_300), new PromptSegment("own-" + index, 100));
            final boolean first = new SegmentHolders("m", prompt, registry.members("s")).expectedTokens(cold) > 5_000;
            own += first ? 1 : 0;
            final UpstreamState chosen = choose(new UpstreamPlacement.Request("m", 1, prompt, 6_400, 6, false));
            assertThat(chosen == cold).isEqualTo(first);
        }
        assertThat(own).isAtLeast(SEGMENTS / 6);
    }

    /** A segment that a warm upstream has read while the cold one was away stays there. */
    @Test
    void shouldLeaveSharedPartsThatAreHeldToWarmUpstreams() {
        final UpstreamState cold = register("cold", 2_000);
        cold.onReport(SelfReports.load(0, 0, 64), true, false, 0);
        final UpstreamState warm = registry.find("warm-0").orElseThrow();
        for (int index = 0; index < SEGMENTS; index++) {
            final List<PromptSegment> prompt =
                    List.of(new PromptSegment("shared-" + index, 6_300), new PromptSegment("own-" + index, 100));
            warm.release(warm.assign("m", prompt, 0, 0, 1_000_000, 0));
            assertThat(choose(new UpstreamPlacement.Request("m", 1, prompt, 6_400, 6, false)))
                    .isNotSameInstanceAs(cold);
        }
    }

    private UpstreamState choose(UpstreamPlacement.Request request) {
        return placement
                .choose(request, registry.members("s"), member -> true, new ServiceTimes(), 0)
                .orElseThrow()
                .member();
    }

    private double score(UpstreamState member) {
        return choose(each -> each == member).score();
    }

    private UpstreamPlacement.Choice choose(Predicate<UpstreamState> allowed) {
        return placement
                .choose(REQUEST, registry.members("s"), allowed, new ServiceTimes(), 0)
                .orElseThrow();
    }

    private UpstreamState register(String id, long coldLeftMillis) {
        registry.applyEntry(
                new Upstream(id, "s", URI.create("http://127.0.0.1:1"), "d", "v1", 64, false, 1, coldLeftMillis), 0);
        final UpstreamState state = registry.find(id).orElseThrow();
        // The first permit is due at once.
        state.cold().setLimit(new ColdLimit(3, 10, 1.5, 5), 10, 1, 0);
        return state;
    }
}
