package org.masticpaddle.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.Supplier;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * One upstream that starts among peers, and gateways that would like to send it more than its fair share, in virtual time. The more
 * requests it processes, the later it answers. Not thread-safe.
 */
final class PaceTrial {
    static final double FAIR_PER_SECOND = 10;
    static final long FAIR_MILLIS = 150;

    private static final long STEP_MILLIS = 5;
    private static final long ANSWER_MILLIS = 850;
    /** Requests beyond which the upstream answers later. */
    private static final double COMFORTABLE = 14;
    /** An empty upstream attracts more than its share. */
    private static final double ATTRACTION = 3;
    /** Answers later than this multiple of the usual time are late. */
    private static final double LATE = 3;

    private static final long END_MILLIS = 12_000;
    /** How much longer slow answers of an uneven service take. */
    private static final double UNEVEN_SLOWNESS = 2.5;

    private final Upstream upstream;
    private final UniformRandomProvider random;
    private final List<PaceWindowPolicy> gateways = new ArrayList<>();
    private final int[] inFlight;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final List<Long> sentMillis = new ArrayList<>();
    private int running;
    private int late;
    private int lost;

    PaceTrial(int gatewayCount, Upstream upstream, Supplier<PaceWindowPolicy> policy, long seed) {
        this.upstream = upstream;
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        inFlight = new int[gatewayCount];
        for (int index = 0; index < gatewayCount; index++) {
            gateways.add(policy.get());
        }
    }

    PaceTrial run() {
        for (long now = 0; now < END_MILLIS; now += STEP_MILLIS) {
            while (!events.isEmpty() && events.peek().millis <= now) {
                events.poll().action.run();
            }
            for (int gateway = 0; gateway < gateways.size(); gateway++) {
                final double perStep = ATTRACTION * FAIR_PER_SECOND * STEP_MILLIS / 1_000 / gateways.size();
                if (random.nextDouble() < perStep && gateways.get(gateway).allows(inFlight[gateway], now)) {
                    send(gateway, now);
                }
            }
        }
        return this;
    }

    private void send(int gateway, long now) {
        sentMillis.add(now);
        inFlight[gateway]++;
        running++;
        if (upstream.loses(now)) {
            events.add(new Event(now + 20, () -> {
                lost++;
                end(gateway);
                gateways.get(gateway).onFailure(now + 20);
            }));
            return;
        }
        final double millis =
                FAIR_MILLIS * upstream.slowness(now) * upstream.variation(random) * Math.max(1, running / COMFORTABLE);
        late += millis > LATE * FAIR_MILLIS ? 1 : 0;
        if (upstream.fails(random)) {
            events.add(new Event(now + (long) millis, () -> {
                end(gateway);
                gateways.get(gateway).onError(now + (long) millis);
            }));
            return;
        }
        events.add(new Event(now + (long) millis, () -> {
            gateways.get(gateway).onAnswer(millis / FAIR_MILLIS, now + (long) millis);
            events.add(new Event(now + (long) millis + ANSWER_MILLIS, () -> end(gateway)));
        }));
    }

    private void end(int gateway) {
        inFlight[gateway]--;
        running--;
    }

    /** Returns the number of answers that began late. */
    int late() {
        return late;
    }

    int lost() {
        return lost;
    }

    /** Returns the time from which the upstream gets at least half of its fair share in each second until the end. */
    long millisToHalfShare() {
        long from = 0;
        for (long start = 0; start + 1_000 <= END_MILLIS; start += 100) {
            final long second = start;
            final long sent = sentMillis.stream()
                    .filter(millis -> millis >= second && millis < second + 1_000)
                    .count();
            if (sent < FAIR_PER_SECOND / 2) {
                from = start + 100;
            }
        }
        return from;
    }

    /** Returns the number of requests sent in a period. */
    long sent(long fromMillis, long toMillis) {
        return sentMillis.stream()
                .filter(millis -> millis >= fromMillis && millis < toMillis)
                .count();
    }

    /** How the upstream behaves after its start. */
    enum Upstream {
        SOUND {
            @Override
            double slowness(long millis) {
                return 1;
            }
        },
        SLOW_AT_FIRST {
            @Override
            double slowness(long millis) {
                return millis < 3_000 ? 4 : 1;
            }
        },
        HALF_SPEED {
            @Override
            double slowness(long millis) {
                return 2;
            }
        },
        FLAPPING {
            @Override
            double slowness(long millis) {
                return 1;
            }

            @Override
            boolean loses(long millis) {
                return millis % 2_000 < 700;
            }
        },

        /** Fails, and takes longer, as often as its peers. */
        UNEVEN {
            @Override
            double slowness(long millis) {
                return 1;
            }

            @Override
            double failureRate() {
                return 0.14;
            }

            @Override
            double slowRate() {
                return 0.15;
            }
        };

        abstract double slowness(long millis);

        /** Returns the part of the responses that are errors, as with its peers. */
        double failureRate() {
            return 0;
        }

        /** Returns the part of the answers that take longer, as with its peers. */
        double slowRate() {
            return 0;
        }

        boolean fails(UniformRandomProvider source) {
            return failureRate() > 0 && source.nextDouble() < failureRate();
        }

        double variation(UniformRandomProvider source) {
            return slowRate() > 0 && source.nextDouble() < slowRate() ? UNEVEN_SLOWNESS : 1;
        }

        boolean loses(long millis) {
            return false;
        }
    }

    /** Window of one gateway. */
    interface PaceWindowPolicy {
        boolean allows(int inFlight, long millis);

        void onAnswer(double ratio, long millis);

        void onFailure(long millis);

        default void onError(long millis) {
            onFailure(millis);
        }
    }

    private record Event(long millis, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return Long.compare(millis, other.millis);
        }
    }
}
