package org.masticpaddle.admission;

import java.util.ArrayList;
import java.util.List;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Guards against gateways that together use more than a sum that holds for all of them, or that leave most of it unused, whatever
 * their number and whatever happens to them.
 */
class SharedSumTest {
    private static final long TICK_NANOS = 100_000_000L;
    private static final int EVENT_TICK = 150;
    private static final int LAST_TICK = 400;
    /** Ticks by which the upstreams' reports lag. */
    private static final int REPORT_LAG = 10;

    private static final double REQUESTS_PER_GATEWAY = 6;
    private static final double MIN_USED = 0.6;

    private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(20_261_205L);

    @ParameterizedTest
    @EnumSource(Event.class)
    void shouldKeepTheSumOfTheSharesBelowItsBound(Event event) {
        for (final int count : new int[] {1, 2, 4, 10, 25, 33, 100, 300}) {
            final Fleet fleet = new Fleet(count);
            double largest = 0;
            double sumOfSteadyState = 0;
            for (int tick = 0; tick < LAST_TICK; tick++) {
                if (tick == EVENT_TICK) {
                    event.strike(fleet);
                }
                fleet.tick(tick);
                if (tick >= EVENT_TICK / 2) {
                    largest = Math.max(largest, fleet.sumOfShares());
                }
                sumOfSteadyState = tick == EVENT_TICK - 1 ? fleet.sumOfShares() : sumOfSteadyState;
            }
            assertWithMessage("%s gateways", count).that(largest).isAtMost(TrafficShare.MAX_SUM);
            assertWithMessage("%s gateways", count).that(sumOfSteadyState).isAtLeast(MIN_USED);
        }
        assertThat(TrafficShare.MAX_SUM).isLessThan(2.0);
    }

    /** What happens to the gateways in the middle of a run. */
    private enum Event {
        NONE {
            @Override
            void strike(Fleet fleet) {}
        },
        STARTS {
            @Override
            void strike(Fleet fleet) {
                fleet.add(1 + fleet.gateways.size() / 3);
            }
        },
        KILLS {
            @Override
            void strike(Fleet fleet) {
                fleet.gateways.subList(0, fleet.gateways.size() / 3).clear();
            }
        },
        RESTART_OF_ALL {
            @Override
            void strike(Fleet fleet) {
                fleet.gateways.replaceAll(gateway -> new Gateway(gateway.weight));
            }
        },
        SUSPENSION {
            @Override
            void strike(Fleet fleet) {
                fleet.gateways.subList(0, fleet.gateways.size() / 3).forEach(gateway -> gateway.suspendedTicks = 50);
            }
        },
        CUT_FROM_UPSTREAMS {
            @Override
            void strike(Fleet fleet) {
                fleet.gateways.subList(0, fleet.gateways.size() / 3).forEach(gateway -> gateway.weight = 0);
            }
        },
        SHIFT_OF_TRAFFIC {
            @Override
            void strike(Fleet fleet) {
                for (int index = 0; index < fleet.gateways.size(); index++) {
                    fleet.gateways.get(index).weight = index % 2 == 0 ? 0 : 2;
                }
            }
        };

        abstract void strike(Fleet fleet);
    }

    /** Gateways with uneven traffic. Not thread-safe. */
    private final class Fleet {
        private final List<Gateway> gateways = new ArrayList<>();
        private final List<Double> totals = new ArrayList<>();

        Fleet(int count) {
            add(count);
        }

        void add(int count) {
            for (int index = 0; index < count; index++) {
                gateways.add(new Gateway(0.4 + 0.4 * (index % 4)));
            }
        }

        void tick(int tick) {
            double total = 0;
            for (final Gateway gateway : gateways) {
                // Requests end about a second after the traffic of their gateway has changed.
                final double target = gateway.weight * REQUESTS_PER_GATEWAY * (0.6 + 0.8 * random.nextDouble());
                gateway.inFlight += 0.1 * (target - gateway.inFlight);
                total += gateway.inFlight;
            }
            totals.add(total);
            final double reported = totals.get(Math.max(0, tick - REPORT_LAG));
            for (final Gateway gateway : gateways) {
                if (gateway.suspendedTicks-- <= 0) {
                    // A gateway hears of some of the upstreams only.
                    final double heard = reported * (0.8 + 0.4 * random.nextDouble());
                    gateway.share.observe(gateway.inFlight, heard, tick * TICK_NANOS);
                }
            }
        }

        double sumOfShares() {
            return gateways.stream()
                    .mapToDouble(gateway -> gateway.share.share(0))
                    .sum();
        }
    }

    /** One gateway. Not thread-safe. */
    private static final class Gateway {
        private final TrafficShare share = new TrafficShare();
        private double weight;
        private double inFlight;
        private int suspendedTicks;

        Gateway(double weight) {
            this.weight = weight;
        }
    }
}
