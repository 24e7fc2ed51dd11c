package org.masticpaddle.entry;

import java.util.Objects;

import org.masticpaddle.kernel.Duty;
import org.masticpaddle.kernel.Service;

/** The thread that owns all decisions of an entry, fed with actions by other threads. Thread-safe. */
final class EntryLoop implements Service {
    private static final int RING_CAPACITY = 16_384;
    private static final long TICK_MILLIS = 10;

    private final Duty<Runnable> duty;
    private volatile Runnable ticks = () -> {};

    EntryLoop() {
        duty = new Duty<>("entry", RING_CAPACITY, TICK_MILLIS, new Duty.Handler<>() {
            @Override
            public void handle(Runnable action) {
                action.run();
            }

            @Override
            public void tick() {
                ticks.run();
            }
        });
    }

    /** Sets the periodic work; called once, before the start. */
    void onTick(Runnable action) {
        ticks = Objects.requireNonNull(action, "action is null");
    }

    @Override
    public void start() {
        duty.start();
    }

    @Override
    public void stop() {
        duty.stop();
    }

    /** Queues new work. Returns {@code false} if the ring is full. */
    boolean offer(Runnable action) {
        return duty.offer(action);
    }

    /** Queues a completion, which must not be lost. */
    void complete(Runnable action) {
        duty.put(action);
    }
}
