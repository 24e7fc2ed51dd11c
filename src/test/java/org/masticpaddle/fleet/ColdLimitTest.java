package org.masticpaddle.fleet;

import java.util.ArrayList;
import java.util.List;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Guards against gateways that together send a cold upstream more than its limit in any second, whatever their number and their
 * parts of the traffic, and against allowances that are left unused.
 */
class ColdLimitTest {
    private static final long STEP_NANOS = 10_000_000L;
    private static final long SECOND = 1_000_000_000L;
    private static final int STEPS = 3_000;
    private static final double MIN_USED = 0.7;
    private static final int LARGEST_FLEET = 300;

    /**
     * Every gateway uses every permit and has more requests waiting. Gateways end and start at random times, and their parts of the
     * traffic change.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
    void shouldNeverExceedLimitInAnySecond(long seed) {
        final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        final double[] rates = {1, 4, 9.8, 18, 60};
        for (int round = 0; round < 25; round++) {
            final ColdLimit limit = new ColdLimit(
                    3, rates[random.nextInt(rates.length)], 1 + random.nextInt(2) / 2.0, random.nextInt(6));
            final int count = 1 + (round % 5 == 0 ? LARGEST_FLEET - 1 : random.nextInt(LARGEST_FLEET));
            final List<Long> requests = new Fleet(limit, count, random).run(true);
            assertWithMessage("%s gateways, %s", count, limit)
                    .that((double) mostInSecond(requests))
                    .isAtMost(limit.maxRequests());
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 4, 22, 33})
    void shouldUseMostOfRateInSteadyState(int gateways) {
        assertWithMessage("18 a second").that(used(18, gateways)).isAtLeast(MIN_USED);
        assertWithMessage("9.8 a second").that(used(9.8, gateways)).isAtLeast(MIN_USED);
    }

    @Test
    void shouldUseLessOfRateInLargestFleet() {
        assertThat(used(9.8, LARGEST_FLEET)).isAtLeast(MIN_USED / 2);
        assertThat(used(18, LARGEST_FLEET)).isAtLeast(MIN_USED / 2);
    }

    /** Returns the part of a rate that gateways use which always have requests. */
    private static double used(double rate, int gateways) {
        final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(7L);
        final int requests = new Fleet(new ColdLimit(3, rate, 1.5, 5), gateways, random)
                .run(false)
                .size();
        return requests / (STEPS * STEP_NANOS / 1e9) / rate;
    }

    @Test
    void shouldSendNothingWithoutShare() {
        final ColdLimit limit = new ColdLimit(3, 18, 1.5, 5);
        assertThat(limit.permitsPerSecond(0)).isEqualTo(0.0);
        assertThat(limit.permitsPerSecond(1)).isAtMost(18.0);
        assertThat(new ColdLimit(3, 18, 1, 0).permitsPerSecond(1)).isGreaterThan(0.0);
        assertThat(new ColdLimit(3, 0.1, 1, 0).permitsPerSecond(0.5)).isAtMost(1e-6);
    }

    /** Deployments that state no overage get no limit, whatever an upstream says of itself. */
    @Test
    void shouldLimitNothingWithoutOverage() {
        final ColdAllowance upstream = new ColdAllowance();
        upstream.setLimit(new ColdLimit(3, 18, 0, 0), 0, 0, 0);
        upstream.recordStart(0);
        upstream.recordListed(5_000, 0);
        upstream.recordReported(5_000, 0);
        assertThat(upstream.cold(1)).isFalse();
        assertThat(upstream.permits(1)).isEqualTo(Integer.MAX_VALUE);
    }

    @Test
    void shouldGiveMoreToGatewayWithWaitingRequests() {
        final ColdLimit limit = new ColdLimit(3, 9.8, 1.5, 5);
        assertThat(limit.permitsPerSecond(0.01, true)).isGreaterThan(limit.permitsPerSecond(0.01));
        assertThat(limit.permitsPerSecond(0.25, true)).isWithin(1e-6).of(0.25 * 9.8);
    }

    private static int mostInSecond(List<Long> times) {
        int most = 0;
        int first = 0;
        for (int last = 0; last < times.size(); last++) {
            while (times.get(last) - times.get(first) >= SECOND) {
                first++;
            }
            most = Math.max(most, last - first + 1);
        }
        return most;
    }

    /** Gateways with one cold upstream and more requests than permits. Not thread-safe. */
    private static final class Fleet {
        private final ColdLimit limit;
        private final UniformRandomProvider random;
        private final List<Gateway> gateways = new ArrayList<>();

        Fleet(ColdLimit limit, int count, UniformRandomProvider random) {
            this.limit = limit;
            this.random = random;
            for (int index = 0; index < count; index++) {
                gateways.add(new Gateway(0.2 + 4 * Math.pow(random.nextDouble(), 3), 0));
            }
        }

        List<Long> run(boolean changes) {
            final List<Long> requests = new ArrayList<>();
            for (int step = 0; step < STEPS; step++) {
                final long now = step * STEP_NANOS;
                if (changes && step % 100 == 99) {
                    change(now);
                }
                final double total =
                        gateways.stream().mapToDouble(gateway -> gateway.weight).sum();
                for (final Gateway gateway : gateways) {
                    if (step % 10 == 0) {
                        gateway.setShare(gateway.weight / total, changes, now);
                    }
                    while (gateway.upstream.permits(now) > 0) {
                        gateway.upstream.take(now);
                        requests.add(now);
                    }
                }
            }
            return requests;
        }

        /** Ends a gateway, adds one that knows nothing, or moves traffic. */
        private void change(long now) {
            final int index = random.nextInt(gateways.size());
            switch (random.nextInt(3)) {
                case 0 -> gateways.set(index, new Gateway(gateways.get(index).weight, now));
                case 1 -> gateways.add(new Gateway(0.5, now));
                default -> {
                    gateways.get(index).weight *= 3 * random.nextDouble();
                }
            }
        }

        private final class Gateway {
            private final ColdAllowance upstream = new ColdAllowance();
            private double weight;

            Gateway(double weight, long now) {
                this.weight = weight;
                upstream.setLimit(limit, 0, random.nextDouble(), now);
                upstream.recordListed(STEPS * STEP_NANOS / 1_000_000L, now);
            }

            void setShare(double share, boolean waiting, long now) {
                upstream.setLimit(limit, limit.permitsPerSecond(share, waiting), random.nextDouble(), now);
            }
        }
    }
}
