package org.masticpaddle.admission;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.masticpaddle.wire.Rank;

import static com.google.common.truth.Truth.assertThat;

/** Guards against cancelled streams that free nothing needed, break the floor or never end. */
class PreemptionTest {
    private final Preemption preemption = Preemption.of(0.1, 40, 100);

    private static List<RunningStream> background(int count) {
        final List<RunningStream> streams = new ArrayList<>();
        for (int id = 0; id < count; id++) {
            final String organisation = id < 2 ? "modest" : "greedy";
            streams.add(new RunningStream(Requests.of(id, organisation, Rank.BACKGROUND, 1_000), 100 - id, true, 0));
        }
        return streams;
    }

    @Test
    void shouldCancelOnlyForUrgentWorkThatWaitsTooLong() {
        assertThat(preemption.selectVictims(background(10), 2, 39, 0, 10)).isEmpty();
        assertThat(preemption.selectVictims(background(10), 2, 50, 2, 10)).isEmpty();
        assertThat(preemption.selectVictims(background(10), 3, 50, 1, 10)).hasSize(2);
    }

    @Test
    void shouldKeepTwiceTheFloorOfTheLimit() {
        assertThat(preemption.selectVictims(background(10), 100, 50, 0, 10)).hasSize(8);
        assertThat(preemption.selectVictims(background(2), 100, 50, 0, 10)).isEmpty();
    }

    /** Guards against cancelling the streams of small organisations, and against losing the most progress. */
    @Test
    void shouldTakeFromTheLargestHolderTheStreamWithTheLeastProgress() {
        final List<RunningStream> chosen = preemption.selectVictims(background(6), 1, 50, 0, 6);
        assertThat(chosen).hasSize(1);
        assertThat(chosen.get(0).request().id()).isEqualTo(5);
    }

    /** Guards against a non-idempotent call that runs twice, and against streams that make no progress. */
    @Test
    void shouldSpareStreamsThatCannotResumeOrResumedOften() {
        final List<RunningStream> streams = new ArrayList<>();
        for (int id = 0; id < 5; id++) {
            streams.add(
                    new RunningStream(Requests.of(id, "a", Rank.BACKGROUND, 1_000), 1, id % 2 == 0, id == 2 ? 3 : 0));
        }
        streams.add(new RunningStream(Requests.of(9, "a", Rank.STANDARD, 10), 1, true, 0));
        assertThat(preemption.selectVictims(streams, 9, 50, 0, 5).stream()
                        .map(stream -> stream.request().id()))
                .containsExactly(0L, 4L);
    }

    /** Guards against cancelling short work over and over in a lasting overload, which costs a third of the goodput. */
    @Test
    void shouldSpareStreamsNearTheirEnd() {
        final RunningStream ending = new RunningStream(Requests.of(1, "a", Rank.BACKGROUND, 1_000), 901, true, 0);
        final RunningStream middle = new RunningStream(Requests.of(2, "a", Rank.BACKGROUND, 1_000), 900, true, 0);
        assertThat(preemption.selectVictims(List.of(ending, ending), 9, 50, 0, 1)).isEmpty();
        assertThat(preemption.selectVictims(List.of(ending, middle), 9, 50, 0, 1)).containsExactly(middle);
    }
}
