package org.masticpaddle.admission;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Guards against urgent requests that wait behind others for a permit. */
class PermitQueueTest {
    private final PermitQueue queue = new PermitQueue();

    @Test
    void shouldOrderByRankThenArrival() {
        final PermitQueue.Ticket background = queue.enter(2);
        final PermitQueue.Ticket first = queue.enter(1);
        final PermitQueue.Ticket second = queue.enter(1);
        final PermitQueue.Ticket urgent = queue.enter(0);
        assertThat(queue.ahead(urgent)).isEqualTo(0);
        assertThat(queue.ahead(first)).isEqualTo(1);
        assertThat(queue.ahead(second)).isEqualTo(2);
        assertThat(queue.ahead(background)).isEqualTo(3);
    }

    @Test
    void shouldForgetRequestsThatLeft() {
        final PermitQueue.Ticket first = queue.enter(1);
        final PermitQueue.Ticket second = queue.enter(1);
        queue.leave(first);
        queue.leave(first);
        assertThat(queue.ahead(second)).isEqualTo(0);
        assertThat(queue.size()).isEqualTo(1);
    }
}
