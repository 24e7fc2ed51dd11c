package org.masticpaddle.kernel;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Guards against periodic work that ends because one of its tasks throws. */
class PeriodicTasksTest {
    private final FakeScheduler scheduler = new FakeScheduler();
    private final List<String> events = new ArrayList<>();
    private final PeriodicTasks tasks =
            new PeriodicTasks(scheduler, 100, (name, error) -> events.add(name + ": " + error.getMessage()));

    @Test
    void shouldRunTheOtherTasksAndRepeatAfterATaskThrows() {
        tasks.add("first", () -> {
                    throw new IllegalStateException("broken");
                })
                .add("second", () -> events.add("second"));
        tasks.start();
        assertThat(events).containsExactly("first: broken", "second").inOrder();
        scheduler.advance(250);
        assertThat(events).hasSize(6);
    }

    @Test
    void shouldRunTheOtherTasksAndRepeatAfterATaskThrowsAnError() {
        tasks.add("first", () -> {
                    throw new NoClassDefFoundError("broken");
                })
                .add("second", () -> events.add("second"));
        tasks.start();
        assertThat(events).containsExactly("first: broken", "second").inOrder();
        scheduler.advance(250);
        assertThat(events).hasSize(6);
    }

    @Test
    void shouldRepeatAfterAFailureThatCannotBeReported() {
        final PeriodicTasks unreported = new PeriodicTasks(scheduler, 100, (name, error) -> {
            throw new OutOfMemoryError("Java heap space");
        });
        unreported
                .add("first", () -> {
                    throw new IllegalStateException("broken");
                })
                .add("second", () -> events.add("second"));
        unreported.start();
        scheduler.advance(250);
        assertThat(events).containsExactly("second", "second", "second");
    }

    @Test
    void shouldNotRunAfterTheStop() {
        tasks.add("only", () -> events.add("only"));
        tasks.start();
        tasks.stop();
        scheduler.advance(1_000);
        assertThat(events).containsExactly("only");
    }
}
