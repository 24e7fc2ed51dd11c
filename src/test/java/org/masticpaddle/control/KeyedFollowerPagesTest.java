package org.masticpaddle.control;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.masticpaddle.kernel.FakeScheduler;

import static com.google.common.truth.Truth.assertWithMessage;

/** Guards against changes that are missed because they were made between the pages of a listing. */
class KeyedFollowerPagesTest {
    private static final int SCHEDULES = 300;
    private static final int KEYS = 8;
    private static final int CHANGES = 120;
    private static final Duration WAIT = Duration.ofMillis(1_000);

    @Test
    void shouldKnowAllChangesThatAreMadeBetweenThePagesOfAListing() {
        for (int seed = 0; seed < SCHEDULES; seed++) {
            play(seed);
        }
    }

    private static void play(int seed) {
        final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        final FakeScheduler scheduler = new FakeScheduler();
        final FakeSharedLog log = new FakeSharedLog(scheduler);
        log.setSlowResponse(1 + random.nextInt(8));
        final Map<String, String> expected = new HashMap<>();
        final Map<String, String> known = new HashMap<>();
        final List<Throwable> errors = new ArrayList<>();
        change(log, expected, random, 0);
        final KeyedFollower follower = new KeyedFollower(
                new OneRecordPages(log),
                LogStream.OPERATOR,
                ReadTiming.longPoll(WAIT),
                scheduler,
                random,
                keyed -> {
                    if (keyed.tombstone()) {
                        known.remove(keyed.key());
                    } else {
                        known.put(keyed.key(), new String(keyed.value(), StandardCharsets.UTF_8));
                    }
                },
                errors::add);
        follower.start();
        for (int number = 1; number <= CHANGES; number++) {
            scheduler.advance(random.nextInt(6));
            change(log, expected, random, number);
            if (random.nextInt(15) == 0) {
                log.compact();
            }
        }
        scheduler.advance(2 * WAIT.toMillis());
        assertWithMessage("seed %s", seed).that(known).isEqualTo(expected);
        assertWithMessage("seed %s", seed).that(errors).isEmpty();
    }

    private static void change(
            FakeSharedLog log, Map<String, String> expected, UniformRandomProvider random, int number) {
        final String key = "key-" + random.nextInt(KEYS);
        if (random.nextInt(3) == 0) {
            log.put(key, "");
            expected.remove(key);
        } else {
            log.put(key, String.valueOf(number));
            expected.put(key, String.valueOf(number));
        }
    }

    /** Log whose listings have one record a page, each as of its own time. */
    private record OneRecordPages(SharedLog log) implements SharedLog {
        @Override
        public CompletableFuture<NewestPage> newest(LogStream stream, String after) {
            return log.newest(stream, after)
                    .thenApply(page -> new NewestPage(
                            page.records().stream().limit(1).toList(),
                            page.records().size() > 1,
                            page.endOffset()));
        }

        @Override
        public CompletableFuture<LogBatch> read(LogStream stream, long from, Duration wait) {
            return log.read(stream, from, wait);
        }

        @Override
        public CompletableFuture<Long> append(LogStream stream, String key, byte[] value, OptionalLong expectedOffset) {
            return log.append(stream, key, value, expectedOffset);
        }
    }
}
