package org.masticpaddle.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.masticpaddle.kernel.FakeScheduler;

import static com.google.common.truth.Truth.assertThat;

/** Guards against followers that, with the cadence of a deployment, learn of a change later than its bounds permit. */
class StoreCadenceBoundsTest {
    private static final long SLOW_RESPONSE_MILLIS = 250;
    private static final long CONNECT_MILLIS = 400;
    private static final int TRIALS = 60;

    private final FakeScheduler scheduler = new FakeScheduler();
    private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(11L);
    private final FakeSharedLog log = new FakeSharedLog(scheduler);
    private final Map<String, Long> knownMillis = new HashMap<>();
    private final List<Throwable> errors = new ArrayList<>();

    /** Load pattern: the log is slow, and many entries are renewed all the time. */
    @ParameterizedTest
    @CsvSource({"5000,2000,3000", "5000,3000,4000", "5000,4000,5000", "3000,1500,2500", "9000,8000,10000"})
    void shouldKnowOfADrainingUpstreamInTime(long keyRevocation, long drain, long settling) {
        log.setSlowResponse(SLOW_RESPONSE_MILLIS);
        follow(cadence(keyRevocation, 0, drain, settling).upstreamList());
        for (int trial = 0; trial < TRIALS; trial++) {
            scheduler.advance(random.nextLong(2 * drain));
            log.put("renewed", "1");
            final long putMillis = put("draining-" + trial);
            assertThat(awaitMillis("draining-" + trial) - putMillis).isAtMost(drain - CONNECT_MILLIS);
        }
        assertThat(errors).isEmpty();
    }

    @ParameterizedTest
    @CsvSource({
        "5000,0,2000,3000",
        "5000,5000,2000,3000",
        "5000,0,3000,4000",
        "5000,5000,3000,4000",
        "5000,0,4000,5000",
        "5000,5000,4000,5000",
        "5000,2500,2000,4000",
        "3000,0,1500,2500",
        "9000,0,8000,10000"
    })
    void shouldKnowAllChangesInTimeAfterADisturbance(long keyRevocation, long evacuation, long drain, long settling) {
        final StoreCadence cadence = cadence(keyRevocation, evacuation, drain, settling);
        log.setSlowResponse(SLOW_RESPONSE_MILLIS);
        final long orderBound = Math.min(keyRevocation, evacuation == 0 ? keyRevocation : evacuation) - CONNECT_MILLIS;
        assertSettles(cadence.operatorStream(), Math.min(settling, orderBound));
        assertSettles(cadence.upstreamList(), settling);
        assertSettles(cadence.rolloutStatus(), settling);
    }

    private void assertSettles(ReadTiming timing, long boundMillis) {
        final KeyedFollower follower = follow(timing);
        assertSettles(timing + " rejected", log::setUnavailable, boundMillis);
        assertSettles(timing + " silent", log::setSilent, boundMillis);
        follower.stop();
        assertThat(errors).isEmpty();
    }

    private void assertSettles(String key, Consumer<Boolean> disturb, long boundMillis) {
        for (int trial = 0; trial < TRIALS; trial++) {
            scheduler.advance(random.nextLong(10_000));
            disturb.accept(true);
            scheduler.advance(random.nextLong(trial % 2 == 0 ? 1_000 : 15_000));
            put(key + trial);
            disturb.accept(false);
            final long endMillis = millis();
            assertThat(awaitMillis(key + trial) - endMillis).isAtMost(boundMillis);
        }
    }

    private KeyedFollower follow(ReadTiming timing) {
        final KeyedFollower follower = new KeyedFollower(
                log,
                LogStream.UPSTREAMS,
                timing,
                scheduler,
                random,
                keyed -> knownMillis.put(keyed.key(), millis()),
                errors::add);
        follower.start();
        scheduler.advance(1_000);
        return follower;
    }

    private long put(String key) {
        log.put(key, "1");
        return millis();
    }

    private long awaitMillis(String key) {
        final long endMillis = millis() + 20_000;
        while (!knownMillis.containsKey(key) && millis() < endMillis) {
            scheduler.advance(10);
        }
        return knownMillis.getOrDefault(key, endMillis);
    }

    private long millis() {
        return scheduler.nanos() / 1_000_000L;
    }

    private static StoreCadence cadence(long keyRevocation, long evacuation, long drain, long settling) {
        return StoreCadence.of(
                Duration.ofMillis(keyRevocation),
                evacuation == 0 ? Optional.empty() : Optional.of(Duration.ofMillis(evacuation)),
                Duration.ofMillis(drain),
                Duration.ofMillis(settling));
    }
}
