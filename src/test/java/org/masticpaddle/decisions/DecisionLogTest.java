package org.masticpaddle.decisions;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

/** Guards against a blocked output that blocks requests, an unbounded queue, and successes that displace failures. */
class DecisionLogTest {
    private final StringBuffer output = new StringBuffer();

    @Test
    void shouldWriteOneJsonLineForEachDecision() {
        final DecisionLog log = log(output::append);
        log.start();
        log.write(Decision.REQUEST_ANSWERED, "request", "r1", "ms", 1.23456, "absent", null, "whole", 7, "ok", true);
        log.stop();
        assertThat(output.toString())
                .isEqualTo("{\"time\":5,\"event\":\"request.answered\",\"instance\":\"g\",\"request\":\"r1\","
                        + "\"ms\":1.235,\"whole\":7,\"ok\":true}\n");
    }

    @Test
    void shouldDropOnlySuccessesAndNotBlockWhenTheOutputIsBlocked() throws InterruptedException {
        final CountDownLatch release = new CountDownLatch(1);
        final DecisionLog log = startBlockedLog(release);
        for (int count = 0; count < 2 * DecisionLog.QUEUE_CAPACITY; count++) {
            log.write(Decision.REQUEST_ANSWERED, "request", "success-" + count);
        }
        log.write(Decision.REQUEST_FAILED, "request", "failure");
        assertThat(log.droppedCount()).isEqualTo(2 * DecisionLog.QUEUE_CAPACITY - DecisionLog.QUEUE_CAPACITY / 2);
        release.countDown();
        log.stop();
        assertThat(output.toString()).contains("\"request\":\"failure\"");
        assertThat(output.toString()).contains("\"event\":\"log.dropped\"");
    }

    @Test
    void shouldWriteLaterLinesAfterALineThatCannotBeWritten() {
        final DecisionLog log = log(output::append);
        log.start();
        log.write(Decision.REQUEST_ANSWERED, "request", "before");
        log.write(Decision.REQUEST_ANSWERED, "request", new Object() {
            @Override
            public String toString() {
                throw new IllegalStateException("broken");
            }
        });
        log.write(Decision.REQUEST_ANSWERED, "request", "after");
        log.stop();
        assertThat(output.toString().lines().map(line -> line.replaceAll("\"time\":5,|\"instance\":\"g\",", "")))
                .containsExactly(
                        "{\"event\":\"request.answered\",\"request\":\"before\"}",
                        "{\"event\":\"request.answered\",\"request\":\"after\"}",
                        "{\"event\":\"log.dropped\",\"lines\":1}")
                .inOrder();
    }

    @ParameterizedTest
    @ValueSource(classes = {IllegalStateException.class, NoClassDefFoundError.class, OutOfMemoryError.class})
    void shouldWriteLaterLinesAfterTheOutputFails(Class<? extends Throwable> error) throws InterruptedException {
        final CountDownLatch failed = new CountDownLatch(1);
        final DecisionLog log = log(text -> {
            if (failed.getCount() > 0) {
                failed.countDown();
                throwNew(error);
            }
            output.append(text);
        });
        log.start();
        log.write(Decision.STARTED);
        assertThat(failed.await(10, TimeUnit.SECONDS)).isTrue();
        log.write(Decision.STOPPED);
        log.stop();
        assertThat(output.toString()).contains("process.stopped");
        assertThat(output.toString()).contains("\"event\":\"log.dropped\",\"instance\":\"g\",\"lines\":1");
    }

    @Test
    void shouldStopBeforeABlockedOutputIsReleased() throws InterruptedException {
        final CountDownLatch release = new CountDownLatch(1);
        final DecisionLog log = startBlockedLog(release);
        log.limitStop(Duration.ZERO);
        log.stop();
        assertThat(output.toString()).isEmpty();
        release.countDown();
    }

    /** Returns a log whose writer is within its output. */
    private DecisionLog startBlockedLog(CountDownLatch release) throws InterruptedException {
        final CountDownLatch blocked = new CountDownLatch(1);
        final DecisionLog log = log(text -> {
            blocked.countDown();
            await(release);
            output.append(text);
        });
        log.start();
        log.write(Decision.STARTED);
        assertThat(blocked.await(10, TimeUnit.SECONDS)).isTrue();
        return log;
    }

    private static DecisionLog log(Consumer<String> consumer) {
        return new DecisionLog("g", () -> 5, consumer);
    }

    private static void throwNew(Class<? extends Throwable> error) {
        if (error == IllegalStateException.class) {
            throw new IllegalStateException("broken");
        }
        if (error == OutOfMemoryError.class) {
            throw new OutOfMemoryError("Java heap space");
        }
        throw new NoClassDefFoundError("broken");
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
