package org.masticpaddle.rollout;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static org.masticpaddle.rollout.RolloutFixtures.NEW;

class ObservationsTest {
    /** Guards against entries that reach different verdicts because the log repeats or interleaves summaries. */
    @Test
    void shouldAgreeOnceAllSummariesAreRead() {
        final List<Observations> entries = new ArrayList<>();
        final List<List<ObservationSummary>> streams = new ArrayList<>();
        for (int entry = 0; entry < 5; entry++) {
            final Observations own = new Observations("e" + entry);
            final List<ObservationSummary> stream = new ArrayList<>();
            for (int round = 0; round < 20; round++) {
                own.recordRequest(NEW, round % 3 == 0, false, round * 7_000L);
                own.recordRating(NEW, 0.25 * (round % 5), round * 7_000L);
                own.takeSummary().ifPresent(stream::add);
            }
            entries.add(own);
            streams.add(stream);
        }
        for (int entry = 0; entry < 5; entry++) {
            final List<Integer> order = new ArrayList<>(List.of(0, 1, 2, 3, 4));
            Collections.shuffle(order, new Random(entry));
            for (final int source : order) {
                streams.get(source).forEach(entries.get(entry)::merge);
                streams.get(source).forEach(entries.get(entry)::merge);
            }
        }
        for (final Observations entry : entries) {
            assertThat(entry.countsSince(NEW, 0)).isEqualTo(entries.get(0).countsSince(NEW, 0));
            assertThat(entry.countsSince(NEW, 0).requests()).isEqualTo(100.0);
            assertThat(entry.countsSince(NEW, 70_000).plus(entry.countsBefore(NEW, 70_000))).isEqualTo(entry.countsSince(NEW, 0));
        }
    }

    /** Guards against sending the same observations twice, and against sending nothing as a summary. */
    @Test
    void shouldSendEachObservationOnce() {
        final Observations own = new Observations("a");
        own.recordRequest(NEW, false, false, 0);
        assertThat(own.takeSummary()).isPresent();
        assertThat(own.takeSummary()).isEmpty();
    }
}
