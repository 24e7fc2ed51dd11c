package org.masticpaddle.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against requests that are lost in the line or held too long, places that stay free while requests wait for them, and
 * shares that promise more than there is.
 */
class ServiceAdmissionPropertyTest {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final ServiceForecast FREE = new ServiceForecast(0, 0, true, 0.9, 1, 100);

    @Property(tries = 300, seed = "11")
    void shouldEndEachWaitOnceAndInTime(@ForAll long seed) {
        final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        final ServiceAdmission admission = new ServiceAdmission();
        final List<Waiting> waiting = new ArrayList<>();
        long now = 0;
        for (int step = 0; step < 400; step++) {
            now += random.nextInt(20) * NANOS_PER_MILLI;
            if (random.nextInt(3) > 0) {
                decide(new Waiting(admission, random, now), pressed(random), waiting, now);
            } else if (!waiting.isEmpty()) {
                final Waiting polled = waiting.remove(random.nextInt(waiting.size()));
                if (random.nextInt(10) == 0) {
                    polled.ticket.close(false, now);
                } else {
                    decide(polled, pressed(random), waiting, now);
                }
            }
            assertThat(admission.waiting()).isEqualTo(waiting.size());
        }
        for (final Waiting left : waiting) {
            left.ticket.close(false, now);
            left.ticket.close(false, now);
        }
        assertThat(admission.waiting()).isEqualTo(0);
    }

    @Property(tries = 300, seed = "12")
    void shouldSendAWaitingRequestWheneverThereIsAPlace(@ForAll long seed) {
        final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        final ServiceAdmission admission = new ServiceAdmission();
        final List<Waiting> waiting = new ArrayList<>();
        final long now = NANOS_PER_MILLI;
        for (int index = 0; index < 60; index++) {
            decide(new Waiting(admission, random, now), pressed(random), waiting, now);
        }
        while (!waiting.isEmpty()) {
            final List<Waiting> polled = List.copyOf(waiting);
            waiting.clear();
            for (final Waiting each : polled) {
                decide(each, FREE, waiting, now);
            }
            assertThat(waiting.size()).isLessThan(polled.size());
        }
        assertThat(admission.waiting()).isEqualTo(0);
    }

    @Property(tries = 300, seed = "13")
    void shouldNotShareMoreThanThereIs(@ForAll long seed, @ForAll @IntRange(min = 1, max = 40) int organisations) {
        final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        final FairShares shares = new FairShares();
        long now = 0;
        for (int step = 0; step < 500; step++) {
            now += random.nextInt(30) * NANOS_PER_MILLI;
            final int drawn = random.nextInt(organisations);
            shares.offer("o" + drawn * drawn / organisations, 1 + random.nextInt(100), now);
            if (random.nextBoolean()) {
                shares.complete(1 + random.nextInt(100), now);
            }
            double sum = 0;
            for (int organisation = 0; organisation < organisations; organisation++) {
                sum += shares.share("o" + organisation, now);
            }
            assertThat(sum).isAtMost(shares.capacity(now) * (1 + 1e-9) + 1e-9);
        }
    }

    @Property(tries = 100, seed = "14")
    void shouldLendWhatIsNotUsedAndTakeItBackWithinASecond(@ForAll @IntRange(min = 2, max = 20) int small) {
        final FairShares shares = new FairShares();
        long now = 0;
        // One organisation asks for twice the capacity, the others for nothing.
        for (int step = 0; step < 2_000; step++) {
            now += 2 * NANOS_PER_MILLI;
            shares.offer("large", 2, now);
            shares.complete(1, now);
        }
        assertThat(shares.share("large", now)).isWithin(1e-6).of(shares.capacity(now));
        // The others ask for their equal parts of the capacity.
        for (int step = 0; step < 500; step++) {
            now += 2 * NANOS_PER_MILLI;
            shares.offer("large", 2, now);
            for (int organisation = 0; organisation < small; organisation++) {
                shares.offer("small-" + organisation, 1.0 / (small + 1), now);
            }
            shares.complete(1, now);
        }
        for (int organisation = 0; organisation < small; organisation++) {
            // Their whole demand of the last second is their share.
            assertThat(shares.exceeded("small-" + organisation, 0, now)).isFalse();
            assertThat(shares.share("small-" + organisation, now)).isLessThan(shares.share("large", now));
        }
        shares.send("large", 0, 2_000, now);
        // One request is no excess, whatever its size.
        assertThat(shares.exceeded("large", 0, now)).isFalse();
        shares.send("large", 0, 2_000, now);
        assertThat(shares.exceeded("large", 0, now)).isTrue();
        assertThat(shares.millisUntilWithin("large", 0, now)).isGreaterThan(0.0);
    }

    private static void decide(Waiting request, ServiceForecast forecast, List<Waiting> waiting, long now) {
        final Verdict verdict = request.ticket.decide(forecast, now);
        if (verdict instanceof Verdict.Wait wait) {
            assertThat(wait.millis()).isAtLeast(1);
            final double heldMillis = request.candidate.waitedMillis(now) + wait.millis();
            assertThat(heldMillis).isAtMost(request.candidate.objectiveMillis() / 8);
            waiting.add(request);
        } else if (verdict instanceof Verdict.Reject reject) {
            assertThat(reject.retryAfterMillis()).isGreaterThan(0.0);
            request.ticket.close(false, now);
        } else {
            request.ticket.onSent(forecast.startMillis(), now);
            request.ticket.close(true, now);
        }
    }

    private static ServiceForecast pressed(UniformRandomProvider random) {
        return new ServiceForecast(random.nextInt(1_500), 0, random.nextInt(4) == 0, 0.9, 1, 1 + random.nextInt(300));
    }

    /** One request. Not thread-safe. */
    private static final class Waiting {
        private final AdmissionCandidate candidate;
        private final ServiceAdmission.Ticket ticket;

        Waiting(ServiceAdmission admission, UniformRandomProvider random, long now) {
            final int organisation = Math.min(random.nextInt(5), random.nextInt(5));
            candidate = new AdmissionCandidate(
                    "o" + organisation,
                    Optional.of("session-" + random.nextInt(20)),
                    "kind",
                    random.nextInt(3),
                    1 + random.nextInt(50),
                    now,
                    100 + random.nextInt(2_000),
                    300 + random.nextInt(6_000));
            ticket = admission.open(candidate, now);
        }
    }
}
