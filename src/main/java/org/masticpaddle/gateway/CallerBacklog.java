package org.masticpaddle.gateway;

import java.util.Objects;

import org.masticpaddle.kernel.Scheduler;
import org.masticpaddle.memory.MemoryBudget;
import org.masticpaddle.memory.ReadingControl;

/**
 * Bytes of one answer that wait for its caller: reserves them in the memory for answers, pauses reading from the upstream and gives
 * the caller up if it takes nothing or the memory is used up.
 *
 * <p>Invariants: what waits is reserved, and given back when the connection has taken it or the backlog is closed; the caller is given
 * up at most once, and nothing waits after that. Used on the event loop only.
 */
final class CallerBacklog {
    /** Interval of the checks while bytes wait. */
    private static final long CHECK_INTERVAL_MILLIS = 100;

    private final Scheduler scheduler;
    private final Listener listener;
    private final ReadingControl control = new ReadingControl();
    private final MemoryBudget.Reservation reservation;
    private Scheduler.Timer timer = () -> {};
    private boolean checking;
    private boolean closed;

    /**
     * Creates a backlog without bytes.
     *
     * @param memory memory for answers
     * @param scheduler clock and timers of the event loop
     * @param listener told whether to read on, and when the caller is given up
     */
    CallerBacklog(MemoryBudget memory, Scheduler scheduler, Listener listener) {
        this.scheduler = Objects.requireNonNull(scheduler, "scheduler is null");
        this.listener = Objects.requireNonNull(listener, "listener is null");
        reservation = memory.open(MemoryBudget.Kind.QUEUED, () -> giveUp("the memory for answers is used up"));
    }

    /**
     * Reserves bytes and sends them. They may not be kept if the backlog is closed or the caller was given up.
     *
     * @param bytes number of bytes
     * @param write sends the bytes; may call {@link #taken} and {@link #close}; does not run if they may not be kept
     */
    void send(long bytes, Runnable write) {
        if (!reservation.resize(control.waitingBytes() + bytes)) {
            return;
        }
        control.added(bytes, scheduler.nanos());
        write.run();
        if (!closed) {
            checkLater();
            listener.onReading(control.reading(scheduler.nanos()));
        }
    }

    /** Gives back bytes that the connection has taken. */
    void taken(long bytes) {
        if (!closed) {
            final boolean reading = control.taken(bytes, scheduler.nanos());
            reservation.markStalled(false);
            reservation.resize(control.waitingBytes());
            listener.onReading(reading);
        }
    }

    /** Gives all bytes back, since the answer has ended or the caller has left; has no effect the second time. */
    void close() {
        closed = true;
        timer.cancel();
        reservation.close();
    }

    /** Returns the number of bytes that wait. */
    long waitingBytes() {
        return control.waitingBytes();
    }

    /** Returns the time for which the caller has taken nothing, in milliseconds. */
    double stallMillis() {
        return control.stallNanos(scheduler.nanos()) / 1e6;
    }

    private void checkLater() {
        if (!checking && control.waitingBytes() > 0) {
            checking = true;
            timer = scheduler.schedule(CHECK_INTERVAL_MILLIS, this::check);
        }
    }

    private void check() {
        checking = false;
        if (closed) {
            return;
        }
        if (control.stalled(scheduler.nanos())) {
            giveUp("the caller reads nothing");
        } else {
            reservation.markStalled(control.stallNanos(scheduler.nanos()) >= ReadingControl.STALL_NANOS);
            checkLater();
            listener.onReading(control.reading(scheduler.nanos()));
        }
    }

    private void giveUp(String reason) {
        if (!closed) {
            close();
            listener.onGivenUp(reason);
        }
    }

    /** Receives the decisions about one answer. */
    interface Listener {
        /**
         * Called when bytes are added or taken, and at intervals while some wait.
         *
         * @param reading whether the answer is to be read on
         */
        void onReading(boolean reading);

        /**
         * Called once if the caller is given up. Must drop what waits and close the connection.
         *
         * @param reason why, for the log
         */
        void onGivenUp(String reason);
    }
}
