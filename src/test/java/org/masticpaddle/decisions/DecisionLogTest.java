package org.masticpaddle.decisions;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Guards against an output that blocks requests, unbounded lines, and successes that displace failures. */
class DecisionLogTest {
    private final StringBuffer written = new StringBuffer();

    @Test
    void shouldWriteOneJsonLineForEachDecision() {
        final DecisionLog log = log(written::append);
        log.start();
        log.write(Decision.REQUEST_ANSWERED, "request", "r1", "ms", 1.23456, "absent", null, "whole", 7, "ok", true);
        log.stop();
        assertThat(written.toString())
                .isEqualTo("{\"time\":5,\"event\":\"request.answered\",\"instance\":\"g\",\"request\":\"r1\","
                        + "\"ms\":1.235,\"whole\":7,\"ok\":true}\n");
    }

    @Test
    void shouldNeverBlockAndKeepFailuresWhenTheOutputIsBlocked() throws InterruptedException {
        final CountDownLatch blocked = new CountDownLatch(1);
        final CountDownLatch release = new CountDownLatch(1);
        final DecisionLog log = log(text -> {
            blocked.countDown();
            await(release);
            written.append(text);
        });
        log.start();
        log.write(Decision.STARTED);
        assertThat(blocked.await(10, TimeUnit.SECONDS)).isTrue();
        for (int count = 0; count < 2 * DecisionLog.CAPACITY; count++) {
            log.write(Decision.REQUEST_ANSWERED, "request", "success-" + count);
        }
        log.write(Decision.REQUEST_FAILED, "request", "failure");
        assertThat(log.dropped()).isEqualTo(2 * DecisionLog.CAPACITY - DecisionLog.CAPACITY / 2);
        release.countDown();
        log.stop();
        assertThat(written.toString()).contains("\"request\":\"failure\"");
        assertThat(written.toString()).contains("\"event\":\"log.dropped\"");
    }

    private static DecisionLog log(Consumer<String> output) {
        return new DecisionLog("g", () -> 5, output);
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
