import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Places of a worker: it runs as many requests as it has slots, queues a few more and rejects the rest. Thread-safe. */
final class Pool {
    private final Semaphore slots;
    private final AtomicInteger waiting = new AtomicInteger();
    private final int queue;

    Pool(int slots, int queue) {
        this.slots = new Semaphore(slots, true);
        this.queue = queue;
    }

    /** Takes a place, after a wait if necessary; returns false if the queue is full or the time limit has passed. */
    boolean enter(long patienceMillis) throws InterruptedException {
        if (slots.tryAcquire()) {
            return true;
        }
        if (waiting.incrementAndGet() > queue) {
            waiting.decrementAndGet();
            return false;
        }
        try {
            return slots.tryAcquire(patienceMillis, TimeUnit.MILLISECONDS);
        } finally {
            waiting.decrementAndGet();
        }
    }

    void leave() {
        slots.release();
    }
}
