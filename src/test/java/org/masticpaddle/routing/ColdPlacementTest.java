package org.masticpaddle.routing;

import java.net.URI;
import java.util.List;
import java.util.function.Predicate;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.masticpaddle.fleet.ColdLimit;
import org.masticpaddle.fleet.SelfReports;
import org.masticpaddle.fleet.Upstream;
import org.masticpaddle.fleet.UpstreamRegistry;
import org.masticpaddle.fleet.UpstreamState;

import static com.google.common.truth.Truth.assertThat;

/** Guards against cold upstreams that attract the requests of all gateways since they are empty. */
class ColdPlacementTest {
    private static final UpstreamPlacement.Request REQUEST =
            new UpstreamPlacement.Request("m", 1, List.of(), 100, 1, false);

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
