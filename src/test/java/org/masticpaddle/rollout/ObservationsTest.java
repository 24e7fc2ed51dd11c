package org.masticpaddle.rollout;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static org.masticpaddle.rollout.RolloutFixtures.NEW;

class ObservationsTest {
    /** Guards against entries that reach different verdicts because the log delivers summaries twice or in different orders. */
    @Test
    void shouldHaveEqualSumsOnceAllSummariesAreMerged() {
        final List<Observations> entries = new ArrayList<>();
        final List<List<ObservationSummary>> summariesBySource = new ArrayList<>();
        for (int entry = 0; entry < 5; entry++) {
            final Observations observations = new Observations("e" + entry);
            final List<ObservationSummary> summaries = new ArrayList<>();
            for (int round = 0; round < 20; round++) {
                observations.recordRequest(NEW, round % 3 == 0, false, round * 7_000L);
                observations.recordRating(NEW, 0.25 * (round % 5), round * 7_000L);
                observations.takeSummary().ifPresent(summaries::add);
            }
            entries.add(observations);
            summariesBySource.add(summaries);
        }
        for (int entry = 0; entry < 5; entry++) {
            final List<Integer> order = new ArrayList<>(List.of(0, 1, 2, 3, 4));
            Collections.shuffle(order, new Random(entry));
            for (final int source : order) {
                summariesBySource.get(source).forEach(entries.get(entry)::merge);
                summariesBySource.get(source).forEach(entries.get(entry)::merge);
            }
        }
        for (final Observations entry : entries) {
            assertThat(entry.countsSince(NEW, 0)).isEqualTo(entries.get(0).countsSince(NEW, 0));
            assertThat(entry.countsSince(NEW, 0).requests()).isEqualTo(100.0);
            assertThat(entry.countsSince(NEW, 70_000).plus(entry.countsBefore(NEW, 70_000)))
                    .isEqualTo(entry.countsSince(NEW, 0));
        }
    }

    /** Guards against publishing an observation twice, and against publishing empty summaries. */
    @Test
    void shouldPublishEachObservationOnce() {
        final Observations observations = new Observations("a");
        observations.recordRequest(NEW, false, false, 0);
        assertThat(observations.takeSummary()).isPresent();
        assertThat(observations.takeSummary()).isEmpty();
    }
}
