package org.masticpaddle.kernel;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** Clock of the operating system. Thread-safe, having no state. */
public final class SystemShutdownClock implements ShutdownClock {
    /** Creates a clock. */
    public SystemShutdownClock() {}

    @Override
    public long nanos() {
        return System.nanoTime();
    }

    @Override
    public void sleepUntil(long deadlineNanos) {
        ShutdownDelay.sleepUntil(deadlineNanos);
    }

    @Override
    public void await(CompletableFuture<Void> condition, long deadlineNanos) {
        try {
            condition.get(Math.max(0, deadlineNanos - nanos()), TimeUnit.NANOSECONDS);
        } catch (TimeoutException e) {
            // The caller goes on without the condition.
        } catch (ExecutionException e) {
            throw new IllegalStateException("the condition of a shutdown failed", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
