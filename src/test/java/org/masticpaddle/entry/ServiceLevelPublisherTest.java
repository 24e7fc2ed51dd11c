package org.masticpaddle.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;

import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.masticpaddle.document.Limits;
import org.masticpaddle.document.Organisation;
import org.masticpaddle.platform.EventLog;
import org.masticpaddle.platform.LogPage;
import org.masticpaddle.report.IntervalRecord;
import org.masticpaddle.standin.Conditions;
import org.masticpaddle.wire.Charge;
import org.masticpaddle.wire.Json;
import org.masticpaddle.wire.Rank;
import org.masticpaddle.wire.RunState;

import static com.google.common.truth.Truth.assertThat;

/** Guards against counts that are lost, counted twice or buffered without limit, and against too many appends. */
class ServiceLevelPublisherTest {
    private static final CallerRequest REQUEST = new CallerRequest(
            "r1",
            new Organisation("north", "products", "", 1, 0, List.of(), List.of(), 0, Limits.NONE),
            Rank.URGENT,
            "chat",
            0,
            0,
            OptionalDouble.empty(),
            Optional.empty(),
            Optional.empty(),
            Optional.empty(),
            new CallerRequest.Chat("auto", Json.mapper().createObjectNode(), 1, 1, false, true));

    private final EntryLoop loop = new EntryLoop();
    private final AtomicLong now = new AtomicLong(1_000_000);
    private final List<CompletableFuture<Long>> appends = new ArrayList<>();
    private final List<IntervalRecord> records = new ArrayList<>();
    private final ServiceLevelCounts counts = new ServiceLevelCounts(
            new EntryCounters() {
                @Override
                public void recordAnswer(CallerRequest request, Charge charge, long firstByteNanos, long totalNanos) {}

                @Override
                public void recordError(CallerRequest request, CallerError error) {}
            },
            rank -> 410);
    private ServiceLevelPublisher publisher;

    @BeforeEach
    void start() {
        loop.start();
        final EventLog log = new EventLog() {
            @Override
            public CompletableFuture<Long> append(String stream, List<byte[]> batch) {
                records.clear();
                batch.forEach(data -> records.add(Json.decode(data, IntervalRecord.class)));
                appends.add(new CompletableFuture<>());
                return appends.get(appends.size() - 1);
            }

            @Override
            public CompletableFuture<LogPage> read(String stream, long from, int limit, Duration wait) {
                throw new AssertionError("entries do not read the records");
            }
        };
        publisher = new ServiceLevelPublisher(
                new EntryContext(loop, now::get, System::nanoTime, RandomSource.SPLIT_MIX_64.create(1), () -> "a"),
                log,
                "entry-0#1",
                counts);
    }

    @AfterEach
    void stop() {
        loop.stop();
    }

    @Test
    void shouldAppendAtMostFortyTimesPerSecondAcrossEntries() {
        for (final int entries : new int[] {1, 400, 1_800, 10_000}) {
            assertThat(1000.0 * entries / ServiceLevelPublisher.intervalMillis(entries))
                    .isAtMost(40.0);
        }
        assertThat(ServiceLevelPublisher.intervalMillis(3)).isEqualTo(10_000);
    }

    @Test
    void shouldCountLateAnswersAndErrorsSeparately() {
        counts.recordAnswer(REQUEST, null, 410_000_000, 1_000_000_000);
        counts.recordAnswer(REQUEST, null, 410_000_001, 1_000_000_000);
        counts.recordError(REQUEST, CallerError.notRun(CallerError.Kind.OVERLOADED, ""));
        counts.recordError(REQUEST, CallerError.notRun(CallerError.Kind.LIMIT_REACHED, ""));
        counts.recordError(REQUEST, CallerError.failed(CallerError.Kind.CALLER_GONE, "", RunState.UNKNOWN));
        endInterval();
        assertThat(records).hasSize(1);
        final IntervalRecord.Row row = records.get(0).rows().get(0);
        assertThat(row.answered()).isEqualTo(2);
        assertThat(row.late()).isEqualTo(1);
        assertThat(row.missed()).isEqualTo(1);
        assertThat(row.refused()).containsExactly("overloaded", 1L, "limit_reached", 1L, "caller_gone", 1L);
    }

    @Test
    void shouldRetryNewestIntervalsWithTheirSequenceNumbersAfterOutage() {
        for (int interval = 0; interval < 100; interval++) {
            counts.recordAnswer(REQUEST, null, 1, 1);
            endInterval();
        }
        assertThat(appends).hasSize(1);
        completeAppend(0, true);
        counts.recordAnswer(REQUEST, null, 1, 1);
        endInterval();
        assertThat(records).hasSize(60);
        assertThat(records.get(59).sequence()).isEqualTo(101);
        completeAppend(1, false);
        endInterval();
        assertThat(appends).hasSize(2);
    }

    private void endInterval() {
        now.addAndGet(10_000);
        publisher.tick(3);
    }

    private void completeAppend(int index, boolean fails) {
        if (fails) {
            appends.get(index).completeExceptionally(new IllegalStateException("the log is unavailable"));
        } else {
            appends.get(index).complete(1L);
        }
        // The publisher processes the result on the loop; a later action shows that it has finished.
        final CompletableFuture<Void> processed = new CompletableFuture<>();
        loop.execute(() -> processed.complete(null));
        Conditions.await(processed::isDone);
    }
}
