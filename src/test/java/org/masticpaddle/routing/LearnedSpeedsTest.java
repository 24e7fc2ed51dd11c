package org.masticpaddle.routing;

import java.net.URI;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;

import com.google.common.collect.Range;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.masticpaddle.fleet.ObservedSpeed;
import org.masticpaddle.fleet.PromptSegment;
import org.masticpaddle.fleet.SelfReports;
import org.masticpaddle.fleet.Upstream;
import org.masticpaddle.fleet.UpstreamRegistry;
import org.masticpaddle.fleet.UpstreamState;

import static com.google.common.truth.Truth.assertThat;

/** Guards against requests that go where they are predicted to start late although speeds are known. */
class LearnedSpeedsTest {
    private static final int UPSTREAMS = 9;
    private static final int SLOTS = 8;

    private final UpstreamRegistry registry = new UpstreamRegistry(0);
    private final UpstreamPlacement placement = new UpstreamPlacement("d", UpstreamSpeeds.LEARNED);
    private final ServiceTimes times = new ServiceTimes();
    private final List<UpstreamState> members = IntStream.range(0, UPSTREAMS)
            .mapToObj(index -> {
                registry.applyEntry(
                        new Upstream("e" + index, "s", URI.create("http://127.0.0.1:1"), "d", "v", SLOTS, false, 1, 0),
                        0);
                return registry.find("e" + index).orElseThrow();
            })
            .toList();

    /** Checks the margin that {@link UpstreamPlacement} states, in random states of the upstreams. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void shouldNotPlaceARequestWhereItIsPredictedToStartMuchLater(long seed) {
        final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        for (int round = 0; round < 200; round++) {
            for (final UpstreamState member : members) {
                learn(member, 0.5 + 1.5 * random.nextDouble(), 20);
                member.onReport(SelfReports.load(random.nextInt(SLOTS + 1), random.nextInt(5), SLOTS), true, false, 0);
                final List<PromptSegment> prompt = List.of(new PromptSegment("held-" + random.nextInt(5), 3_000));
                member.release(member.assign("m", prompt, 100, 10, 1_000_000, 0));
            }
            final int tokens = random.nextInt(9_000);
            checkMargin(new UpstreamPlacement.Request(
                    "m",
                    1,
                    List.of(new PromptSegment("held-" + random.nextInt(5), 3_000), new PromptSegment("own", tokens)),
                    3_000 + tokens,
                    1,
                    false));
            checkMargin(new UpstreamPlacement.Request("", 1, List.of(), 0, 1, false));
        }
    }

    private void checkMargin(UpstreamPlacement.Request request) {
        final UpstreamPlacement.Choice chosen =
                placement.choose(request, members, member -> true, times, 0).orElseThrow();
        final UpstreamPlacement.Choice best = placement.predictions(request, members, member -> true, times, 0).stream()
                .min(Comparator.comparingDouble(UpstreamPlacement.Choice::expectedMillis))
                .orElseThrow();
        final double margin = request.model().isEmpty() ? 0.1 * SLOTS : 0.5 * best.serviceMillis();
        assertThat(chosen.expectedMillis()).isAtMost(best.expectedMillis() + margin + 1e-6);
    }

    @Test
    void shouldSendALongPromptWherePrefillIsFastAndCompleteOneKindOfWorkByAnother() {
        for (final UpstreamState member : members) {
            learn(member, 1, 5);
        }
        final UpstreamState fast = members.get(UPSTREAMS - 1);
        for (int count = 0; count < 10; count++) {
            fast.performance().speed().record(ObservedSpeed.Work.STEP, 0.6, 0);
        }
        final UpstreamPlacement.Choice choice = placement
                .choose(
                        new UpstreamPlacement.Request(
                                "m", 1, List.of(new PromptSegment("own", 9_000)), 9_000, 1, false),
                        members,
                        member -> true,
                        times,
                        0)
                .orElseThrow();
        assertThat(choice.member()).isSameInstanceAs(fast);
        assertThat(choice.workFactor()).isLessThan(0.9);
        assertThat(choice.eventFactor()).isLessThan(choice.workFactor());
    }

    @Test
    void shouldExpectTheMeanOfTheServiceWhereNothingIsKnown() {
        final UpstreamSpeeds.Factors unknown = UpstreamSpeeds.LEARNED.factors(members, 0);
        for (final ObservedSpeed.Work work : ObservedSpeed.Work.values()) {
            assertThat(unknown.factor(members.get(0), work)).isEqualTo(1.0);
        }
        learn(members.get(0), 0.5, 10);
        learn(members.get(1), 2, 10);
        final UpstreamSpeeds.Factors known = UpstreamSpeeds.LEARNED.factors(members, 0);
        for (final ObservedSpeed.Work work : ObservedSpeed.Work.values()) {
            assertThat(known.factor(members.get(0), work)).isIn(Range.closed(0.5, 0.8));
            assertThat(known.factor(members.get(1), work)).isIn(Range.closed(1.25, 2.0));
            assertThat(known.factor(members.get(2), work)).isEqualTo(1.0);
        }
    }

    /** Guards against changes of placement on deployments that do not ask for it. */
    @Test
    void shouldChooseTheSameWithWhateverSpeedsWhereTheyAreIgnored() {
        final UpstreamPlacement ignoring = new UpstreamPlacement("d", UpstreamSpeeds.IGNORED);
        final UpstreamPlacement.Request engine =
                new UpstreamPlacement.Request("m", 1, List.of(new PromptSegment("own", 3_000)), 3_000, 1, false);
        final UpstreamPlacement.Request plain = new UpstreamPlacement.Request("", 1, List.of(), 0, 1, false);
        members.forEach(member -> member.onReport(SelfReports.load(3, 1, SLOTS), true, false, 0));
        for (final UpstreamPlacement.Request request : List.of(engine, plain)) {
            final UpstreamPlacement.Choice before =
                    ignoring.choose(request, members, member -> true, times, 0).orElseThrow();
            members.forEach(member -> learn(member, member == before.member() ? 3 : 0.5, 20));
            assertThat(ignoring.choose(request, members, member -> true, times, 0)
                            .orElseThrow())
                    .isEqualTo(before);
            assertThat(placement
                            .choose(request, members, member -> true, times, 0)
                            .orElseThrow()
                            .member())
                    .isNotSameInstanceAs(before.member());
        }
    }

    private static void learn(UpstreamState member, double ratio, int answers) {
        for (final ObservedSpeed.Work work : ObservedSpeed.Work.values()) {
            for (int count = 0; count < answers; count++) {
                member.performance().speed().record(work, ratio, 0);
            }
        }
    }
}
