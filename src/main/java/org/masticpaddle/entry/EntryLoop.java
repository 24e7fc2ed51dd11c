package org.masticpaddle.entry;

import java.util.Objects;

import org.masticpaddle.kernel.Duty;
import org.masticpaddle.kernel.Service;

/**
 * Event loop of an entry: the thread that owns its state and runs the actions that other threads queue. Thread-safe.
 */
final class EntryLoop implements Service {
    private static final int RING_CAPACITY = 16_384;
    private static final long TICK_MILLIS = 10;

    private final Duty<Runnable> duty;
    private volatile Runnable tickAction = () -> {};

    EntryLoop() {
        duty = new Duty<>("entry", RING_CAPACITY, TICK_MILLIS, new Duty.Handler<>() {
            @Override
            public void handle(Runnable action) {
                action.run();
            }

            @Override
            public void tick() {
                tickAction.run();
            }
        });
    }

    /** Sets the action of every tick; called once, before the start. */
    void onTick(Runnable action) {
        tickAction = Objects.requireNonNull(action, "action is null");
    }

    @Override
    public void start() {
        duty.start();
    }

    @Override
    public void stop() {
        duty.stop();
    }

    /** Queues an action that may be rejected, for example a new request. Returns {@code false} if the ring is full. */
    boolean offer(Runnable action) {
        return duty.offer(action);
    }

    /** Queues an action that must not be lost, for example a completion. Waits while the ring is full. */
    void execute(Runnable action) {
        duty.put(action);
    }
}
