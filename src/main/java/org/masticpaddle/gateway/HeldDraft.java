package org.masticpaddle.gateway;

import java.util.Objects;

import org.masticpaddle.kernel.Scheduler;

/**
 * Doubtful draft that is kept while the largest model is asked, until the caller has the first event of that model. Only on routes whose
 * requests may run twice, since both models run the request meanwhile.
 *
 * <p>Invariants: the caller gets nothing of the draft while it is held; its bytes count towards the memory for answers until its upstream
 * has sent the last one; its attempt ends exactly once, as dropped or as a part of the answer. Used on the event loop only.
 */
final class HeldDraft {
    private final Attempt attempt;
    private final AttemptObserver observer;
    private final String model;
    private final int modelIndex;
    private final Scheduler.Timer deliveryTimer;
    private final EventSplitter splitter = new EventSplitter(event -> countEvent());
    private int events;
    private boolean complete;

    /**
     * Holds a draft whose upstream has begun to answer.
     *
     * @param attempt attempt that makes the draft
     * @param observer observer of the attempt
     * @param model name of the model that makes the draft
     * @param modelIndex index of the model
     * @param deliveryTimer timer that delivers the draft when the largest model can no longer answer in time
     */
    HeldDraft(Attempt attempt, AttemptObserver observer, String model, int modelIndex, Scheduler.Timer deliveryTimer) {
        this.attempt = Objects.requireNonNull(attempt, "attempt is null");
        this.observer = Objects.requireNonNull(observer, "observer is null");
        this.model = Objects.requireNonNull(model, "model is null");
        this.modelIndex = modelIndex;
        this.deliveryTimer = Objects.requireNonNull(deliveryTimer, "deliveryTimer is null");
    }

    Attempt attempt() {
        return attempt;
    }

    AttemptObserver observer() {
        return observer;
    }

    String model() {
        return model;
    }

    int modelIndex() {
        return modelIndex;
    }

    /** Returns whether the draft was received whole. */
    boolean complete() {
        return complete;
    }

    /** Keeps bytes of the draft. Its events count for the observer when they arrive, since a draft that is held is not slow. */
    void hold(byte[] bytes) {
        attempt.bufferBody(bytes);
        if (!attempt.ended()) {
            final int before = events;
            splitter.accept(bytes);
            if (events > before) {
                attempt.recordEvents(events);
                observer.onEvents(events);
            }
        }
    }

    private void countEvent() {
        events++;
    }

    /** Records that the draft was received whole. */
    void markComplete() {
        complete = true;
    }

    /** Stops to hold the draft, which is delivered or has failed. */
    void release() {
        deliveryTimer.cancel();
    }

    /** Ends the draft in favour of another answer. */
    void drop() {
        release();
        attempt.cancel();
        attempt.takeBody();
        observer.onEnd(AttemptEnd.DRAFT_DROPPED);
    }
}
