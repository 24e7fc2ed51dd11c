package org.masticpaddle.gateway;

import java.util.Objects;
import java.util.Set;

import org.masticpaddle.fleet.Upstream;
import org.masticpaddle.quarantine.Admission;

/**
 * Watches the attempts of one request for the quarantine of prompt segments.
 *
 * <p>Invariants: a request loses at most {@link #MAX_LOST_UPSTREAMS} upstreams that had just begun to answer it; each attempt is
 * reported once as progress, loss or abandoned. Used on the event loop only.
 */
final class PromptGuard {
    /** Maximum number of upstreams that may be lost just after they began to answer one request. */
    static final int MAX_LOST_UPSTREAMS = 2;
    /** Number of events after which an answer has gone on; an upstream that crashes at the beginning delivers fewer. */
    private static final int PROGRESS_EVENTS = 2;

    private final QuarantineCoordinator coordinator;
    private final String service;
    private final Set<String> segments;
    private final Runnable changeAction;
    private int lostUpstreams;

    PromptGuard(QuarantineCoordinator coordinator, String service, Set<String> segments, Runnable changeAction) {
        this.coordinator = Objects.requireNonNull(coordinator, "coordinator is null");
        this.service = Objects.requireNonNull(service, "service is null");
        this.segments = Set.copyOf(Objects.requireNonNull(segments, "segments is null"));
        this.changeAction = Objects.requireNonNull(changeAction, "changeAction is null");
    }

    String service() {
        return service;
    }

    /** Returns the segments of the prompt that other requests may share. */
    Set<String> segments() {
        return segments;
    }

    /** Returns whether the next attempt may start now. */
    Admission admission() {
        return coordinator.admit(this);
    }

    /** Returns whether this request may have caused so many crashes that it must not be sent again. */
    boolean exhausted() {
        return lostUpstreams >= MAX_LOST_UPSTREAMS;
    }

    /** Records that the attempt in flight is the trial of the suspected segments. */
    void beginTrial() {
        coordinator.beginTrial(this);
    }

    /** Starts to observe an attempt. */
    AttemptObserver observe(Attempt attempt, Admission admission) {
        if (admission.outcome() == Admission.Outcome.TRIAL) {
            beginTrial();
        }
        return new Observer(attempt);
    }

    void onChange() {
        changeAction.run();
    }

    /** Ends the observation of the request. */
    void close() {
        coordinator.close(this);
    }

    /** Observes one attempt. Used on the event loop only. */
    private final class Observer implements AttemptObserver {
        private final Attempt attempt;
        private boolean progressed;

        Observer(Attempt attempt) {
            this.attempt = Objects.requireNonNull(attempt, "attempt is null");
        }

        @Override
        public void onEvents(int events) {
            if (events >= PROGRESS_EVENTS) {
                recordProgress();
            }
        }

        @Override
        public void onEnd(AttemptEnd end) {
            final Upstream upstream = attempt.upstream().upstream();
            final boolean justBegun = attempt.answerStartNanos().isPresent() && !progressed;
            coordinator.endTrial(PromptGuard.this);
            switch (end) {
                case ANSWERED -> recordProgress();
                case LOST -> {
                    lostUpstreams += justBegun ? 1 : 0;
                    coordinator.onLost(PromptGuard.this, upstream, justBegun);
                }
                case UNREACHABLE -> coordinator.onUnreachable(upstream);
                case DRAFT_DROPPED, CANCELLED -> {
                    if (justBegun) {
                        coordinator.onAbandoned(PromptGuard.this, upstream);
                    }
                }
                default -> {}
            }
        }

        private void recordProgress() {
            if (!progressed) {
                progressed = true;
                coordinator.endTrial(PromptGuard.this);
                coordinator.onProgress(PromptGuard.this);
            }
        }
    }
}
