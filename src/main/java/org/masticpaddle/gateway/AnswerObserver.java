package org.masticpaddle.gateway;

import java.util.Objects;
import java.util.Optional;

import org.masticpaddle.decisions.Decision;
import org.masticpaddle.decisions.DecisionLog;
import org.masticpaddle.kernel.Scheduler;
import org.masticpaddle.rollout.ActiveSessions;
import org.masticpaddle.rollout.AnswerTiming;

/**
 * Observes one attempt: records the end of its session's request, and counts the answer in a rollout as soon as it is known
 * whether it is slow, and each failure.
 *
 * <p>Invariant: an answer is counted once, apart from a failure after it. Used on the event loop only.
 */
final class AnswerObserver implements AttemptObserver {
    private final VersionRouter.SentAttempt attempt;
    private final Optional<ActiveRollout> rollout;
    private final ActiveSessions sessions;
    private final Scheduler scheduler;
    private final DecisionLog log;
    private final AnswerTiming timing;
    private boolean counted;

    /**
     * Starts to observe an attempt that is sent now.
     *
     * @param attempt what is sent, where and for which session
     * @param rollout rollout in progress for its service, empty if there is none
     * @param sessions active sessions of its service
     * @param scheduler clock of the event loop
     * @param log decision log
     */
    AnswerObserver(
            VersionRouter.SentAttempt attempt,
            Optional<ActiveRollout> rollout,
            ActiveSessions sessions,
            Scheduler scheduler,
            DecisionLog log) {
        this.attempt = Objects.requireNonNull(attempt, "attempt is null");
        this.rollout = Objects.requireNonNull(rollout, "rollout is null");
        this.sessions = Objects.requireNonNull(sessions, "sessions is null");
        this.scheduler = Objects.requireNonNull(scheduler, "scheduler is null");
        this.log = Objects.requireNonNull(log, "log is null");
        timing = new AnswerTiming(scheduler.nanos(), attempt.expectedMillis(), attempt.expectedEventMillis());
        rollout.ifPresent(active -> active.add(this));
    }

    @Override
    public void onEvents(int events) {
        final long now = scheduler.nanos();
        timing.onEvents(events, now);
        countIfJudged(now);
    }

    @Override
    public void onEnd(AttemptEnd end) {
        final long now = scheduler.nanos();
        attempt.session().ifPresent(session -> sessions.end(session, now));
        rollout.ifPresent(active -> active.remove(this));
        final boolean slow = timing.pace(now) == AnswerTiming.Pace.SLOW;
        switch (end) {
            case FAILED, LOST -> count(false, slow, now);
            case ANSWERED, DRAFT_DROPPED -> countOnce(slow, now);
            case CANCELLED -> countIfJudged(now);
            default -> {}
        }
    }

    void countIfJudged(long now) {
        final AnswerTiming.Pace pace = timing.pace(now);
        if (pace == AnswerTiming.Pace.SLOW || pace == AnswerTiming.Pace.ON_TIME) {
            countOnce(pace == AnswerTiming.Pace.SLOW, now);
        }
    }

    boolean lateOnNewVersion(long now) {
        return !counted && onNewVersion() && timing.pace(now) == AnswerTiming.Pace.LATE;
    }

    private boolean onNewVersion() {
        return rollout.filter(active -> active.isNewVersion(attempt.upstream())).isPresent();
    }

    private void countOnce(boolean slow, long now) {
        if (!counted) {
            count(true, slow, now);
        }
    }

    private void count(boolean successful, boolean slow, long now) {
        counted = true;
        if (rollout.filter(active -> !active.ended()).isEmpty()) {
            return;
        }
        rollout.get().rollout().recordAnswer(onNewVersion(), attempt.route(), successful, slow);
        log.write(
                Decision.ANSWER_OBSERVED,
                "request",
                attempt.requestId(),
                "service",
                attempt.upstream().service(),
                "route",
                attempt.route(),
                "version",
                attempt.upstream().version(),
                "successful",
                successful,
                "slow",
                slow,
                "events",
                timing.events(),
                "ms",
                timing.millis(now),
                "expected_ms",
                attempt.expectedMillis(),
                "expected_event_ms",
                attempt.expectedEventMillis());
    }
}
