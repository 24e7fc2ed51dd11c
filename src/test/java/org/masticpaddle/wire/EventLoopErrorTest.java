package org.masticpaddle.wire;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against a loop whose thread ends because a task throws. */
@Timeout(30)
class EventLoopErrorTest {
    private final EventLoop loop = new EventLoop("test");

    @AfterEach
    void stop() {
        loop.stop();
    }

    @Test
    void shouldRunTasksAndTimersAfterATaskThrowsAnError() throws Exception {
        loop.execute(() -> {
            throw new NoClassDefFoundError("broken");
        });
        loop.schedule(1, () -> {
            throw new OutOfMemoryError("Java heap space");
        });
        awaitTaskAndTimer();
    }

    @Test
    void shouldRunTasksAndTimersAfterAnErrorThatCannotBePrinted() throws Exception {
        loop.execute(() -> {
            throw new UnprintableError();
        });
        loop.schedule(1, () -> {
            throw new UnprintableError();
        });
        awaitTaskAndTimer();
    }

    private void awaitTaskAndTimer() throws Exception {
        final CompletableFuture<Void> timer = new CompletableFuture<>();
        final CompletableFuture<Void> task = new CompletableFuture<>();
        loop.schedule(20, () -> timer.complete(null));
        timer.get(10, TimeUnit.SECONDS);
        loop.execute(() -> task.complete(null));
        task.get(10, TimeUnit.SECONDS);
    }

    /** Error whose text needs memory that is not there. */
    private static final class UnprintableError extends Error {
        private static final long serialVersionUID = 1L;

        @Override
        public String toString() {
            throw new OutOfMemoryError("Java heap space");
        }
    }
}
