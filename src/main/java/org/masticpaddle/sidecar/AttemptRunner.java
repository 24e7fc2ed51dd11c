package org.masticpaddle.sidecar;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import org.masticpaddle.claim.AttemptAdmission;
import org.masticpaddle.claim.AttemptIdGenerator;
import org.masticpaddle.claim.AttemptStatus;
import org.masticpaddle.claim.AttemptTable;
import org.masticpaddle.kernel.Duty;
import org.masticpaddle.wire.Charge;
import org.masticpaddle.wire.Dispatch;
import org.masticpaddle.wire.Frame;
import org.masticpaddle.wire.LoadReport;
import org.masticpaddle.wire.MalformedMessageException;
import org.masticpaddle.wire.Rank;
import org.masticpaddle.wire.ResponseStream;
import org.masticpaddle.wire.RunState;
import org.masticpaddle.wire.AttemptStatusReply;

/**
 * Owner of a sidecar's attempts.
 *
 * <p>Invariants: an attempt id is run at most once by this incarnation; a non-idempotent attempt is entered in the
 * attempt table before any byte of it goes to the upstream; at most {@code slots} attempts run at the same time, urgent
 * ones start first. All methods run on the thread of one {@link Duty}.
 */
final class AttemptRunner implements Duty.Handler<SidecarEvent> {
    // An entry that lost its connection comes back within this time, or its idempotent attempts are cancelled.
    private static final long DETACHED_NANOS = 5_000_000_000L;
    private static final long HEARTBEAT_NANOS = 1_000_000_000L;
    private static final long ENDED_KEPT_NANOS = 30_000_000_000L;

    private final SidecarClock clock;
    private final SidecarLimits limits;
    private final UpstreamRunner upstream;
    private final AttemptTable table;
    private final WithdrawnVersions withdrawn;
    private final LoadTracker load;
    private final Consumer<Charge> charges;
    private final Map<String, Attempt> attempts = new HashMap<>();
    private final Map<Rank, Deque<Attempt>> queues = new EnumMap<>(Rank.class);
    private int running;
    private long lastHeartbeatNanos;
    private int queued;
    private CompletableFuture<Void> drained;

    AttemptRunner(
            SidecarLimits limits,
            UpstreamRunner upstream,
            AttemptTable table,
            WithdrawnVersions withdrawn,
            LoadTracker load,
            Consumer<Charge> charges,
            SidecarClock clock) {
        this.limits = Objects.requireNonNull(limits, "limits is null");
        this.upstream = Objects.requireNonNull(upstream, "upstream is null");
        this.table = Objects.requireNonNull(table, "table is null");
        this.withdrawn = Objects.requireNonNull(withdrawn, "withdrawn is null");
        this.load = Objects.requireNonNull(load, "load is null");
        this.charges = Objects.requireNonNull(charges, "charges is null");
        this.clock = Objects.requireNonNull(clock, "clock is null");
        for (final Rank rank : Rank.values()) {
            queues.put(rank, new ArrayDeque<>());
        }
    }

    @Override
    public void handle(SidecarEvent event) {
        if (event instanceof SidecarEvent.Arrived arrived) {
            arrive(arrived.dispatch(), arrived.listener());
        } else if (event instanceof SidecarEvent.Head head) {
            current(head.attemptId(), head.call(), attempt -> attempt.head(head.status(), head.headers()));
        } else if (event instanceof SidecarEvent.Bytes bytes) {
            current(bytes.attemptId(), bytes.call(), attempt -> answered(attempt, bytes.bytes()));
        } else if (event instanceof SidecarEvent.Ended ended) {
            current(ended.attemptId(), ended.call(), attempt -> upstreamEnded(attempt, ended.error()));
        } else if (event instanceof SidecarEvent.Cancelled cancelled) {
            cancel(cancelled.attemptId());
        } else if (event instanceof SidecarEvent.Detached detached) {
            detach(detached.attemptId(), detached.listener());
        } else if (event instanceof SidecarEvent.Settle settle) {
            settle(settle);
        } else if (event instanceof SidecarEvent.Drain drain) {
            drained = drain.drained();
        }
        publish();
    }

    @Override
    public void tick() {
        final long now = clock.nanos();
        if (now - lastHeartbeatNanos >= HEARTBEAT_NANOS) {
            lastHeartbeatNanos = now;
            heartbeat();
        }
        for (final Attempt attempt : new ArrayList<>(attempts.values())) {
            if (attempt.phase() == Attempt.Phase.QUEUED) {
                expireQueued(attempt, now);
            } else if (attempt.phase() == Attempt.Phase.RUNNING) {
                expireRunning(attempt, now);
            } else if (now - attempt.endedNanos() > ENDED_KEPT_NANOS) {
                attempts.remove(attempt.id());
            }
        }
        startQueued();
        publish();
    }

    /** Shows each waiting entry that its connection works, and tells it the load. */
    private void heartbeat() {
        final LoadReport report = load.report();
        attempts.values().stream()
                .filter(attempt -> attempt.phase() != Attempt.Phase.ENDED)
                .forEach(attempt -> attempt.send(new Frame.Accepted(attempt.id(), report)));
    }

    private void arrive(Dispatch dispatch, ResponseStream listener) {
        final Attempt known = attempts.get(dispatch.attemptId());
        if (known != null) {
            resume(known, dispatch, listener);
            return;
        }
        if (dispatch.resumeOffset() > 0) {
            reject(dispatch, listener, "attempt_unknown", RunState.UNKNOWN);
        } else if (drained != null) {
            reject(dispatch, listener, "draining", RunState.NOT_RUN);
        } else if (withdrawn.contains(dispatch.model(), dispatch.version())) {
            reject(dispatch, listener, "version_withdrawn", RunState.NOT_RUN);
        } else if (queued >= limits.maxQueued()) {
            reject(dispatch, listener, "full", RunState.NOT_RUN);
        } else {
            admit(dispatch, listener);
        }
    }

    private void admit(Dispatch dispatch, ResponseStream listener) {
        final AttemptAdmission admission = dispatch.idempotent() ? admitIdempotent(dispatch) : admitOnce(dispatch);
        if (admission != AttemptAdmission.RUN) {
            reject(dispatch, listener, admission.name().toLowerCase(Locale.ROOT), admission.runState());
            return;
        }
        final Attempt attempt = new Attempt(dispatch, listener, clock.nanos());
        attempts.put(attempt.id(), attempt);
        queues.get(dispatch.rank()).add(attempt);
        queued++;
        attempt.send(new Frame.Accepted(attempt.id(), load.report()));
        startQueued();
    }

    private AttemptAdmission admitIdempotent(Dispatch dispatch) {
        return dispatch.incarnation() != 0 && dispatch.incarnation() != limits.incarnation()
                ? AttemptAdmission.OTHER_INCARNATION
                : AttemptAdmission.RUN;
    }

    private AttemptAdmission admitOnce(Dispatch dispatch) {
        return AttemptIdGenerator.createdMillis(dispatch.attemptId())
                .map(created -> table.accept(dispatch.attemptId(), dispatch.incarnation(), created, clock.millis()))
                .orElse(AttemptAdmission.EXPIRED);
    }

    private void resume(Attempt attempt, Dispatch dispatch, ResponseStream listener) {
        if (!attempt.dispatch().organisation().equals(dispatch.organisation())
                || !attempt.attach(
                        listener, dispatch.resumeOffset(), new Frame.Accepted(attempt.id(), load.report()))) {
            reject(dispatch, listener, "offset_unavailable", RunState.UNKNOWN);
        }
    }

    private void reject(Dispatch dispatch, ResponseStream listener, String reason, RunState run) {
        listener.write(Attempt.line(new Frame.Failed(
                dispatch.attemptId(), reason, "the sidecar refused the attempt: " + reason, run, load.report())));
        listener.end();
    }

    private void startQueued() {
        final long now = clock.nanos();
        for (final Rank rank : Rank.values()) {
            final Deque<Attempt> queue = queues.get(rank);
            while (running < limits.slots() && !queue.isEmpty()) {
                final Attempt attempt = queue.poll();
                queued--;
                if (now >= attempt.deadlineNanos()) {
                    failUnsent(attempt, "deadline");
                } else {
                    running++;
                    upstream.start(attempt, now);
                }
            }
        }
    }

    private void current(String attemptId, int call, Consumer<Attempt> action) {
        final Attempt attempt = attempts.get(attemptId);
        if (attempt != null && attempt.currentCall(call)) {
            action.accept(attempt);
        }
    }

    private void answered(Attempt attempt, byte[] bytes) {
        try {
            upstream.bytes(attempt, bytes);
        } catch (MalformedMessageException e) {
            attempt.cancelUpstream();
            broken(attempt, new UpstreamRunner.Verdict.Broken("answer_invalid", e.getMessage(), RunState.UNKNOWN));
        }
    }

    private void upstreamEnded(Attempt attempt, Throwable error) {
        final UpstreamRunner.Verdict verdict = upstream.ended(attempt, error, clock.nanos());
        if (verdict instanceof UpstreamRunner.Verdict.Complete complete) {
            if (!attempt.dispatch().idempotent()) {
                table.recordAnswer(
                        attempt.id(), attempt.status(), attempt.retained().orElseGet(() -> new byte[0]));
            }
            charges.accept(complete.charge());
            finish(
                    attempt,
                    new Frame.End(
                            attempt.id(),
                            attempt.length(),
                            attempt.checksum(),
                            complete.finishReason(),
                            complete.charge(),
                            load.report()));
        } else if (verdict instanceof UpstreamRunner.Verdict.Broken broken) {
            broken(attempt, broken);
        }
    }

    private void broken(Attempt attempt, UpstreamRunner.Verdict.Broken verdict) {
        if (!attempt.dispatch().idempotent()) {
            if (verdict.run() == RunState.NOT_RUN) {
                table.recordNotRun(attempt.id());
            } else {
                table.recordIncomplete(attempt.id());
            }
        }
        finish(
                attempt,
                new Frame.Failed(attempt.id(), verdict.reason(), verdict.message(), verdict.run(), load.report()));
    }

    private void finish(Attempt attempt, Frame last) {
        running--;
        final long now = clock.nanos();
        load.finished(now - attempt.startedNanos());
        attempt.end(last, now);
        startQueued();
        completeDrain();
    }

    private void failUnsent(Attempt attempt, String reason) {
        if (!attempt.dispatch().idempotent()) {
            table.recordNotRun(attempt.id());
        }
        attempt.end(
                new Frame.Failed(
                        attempt.id(), reason, "the attempt did not start: " + reason, RunState.NOT_RUN, load.report()),
                clock.nanos());
        completeDrain();
    }

    private void cancel(String attemptId) {
        final Attempt attempt = attempts.get(attemptId);
        if (attempt == null || attempt.phase() == Attempt.Phase.ENDED) {
            return;
        }
        if (attempt.phase() == Attempt.Phase.QUEUED) {
            queues.get(attempt.dispatch().rank()).remove(attempt);
            queued--;
            failUnsent(attempt, "cancelled");
        } else if (attempt.dispatch().idempotent()) {
            stop(attempt, "cancelled");
        }
    }

    /** Stops running idempotent work. Work that must not be repeated runs to its end, so that its outcome is known. */
    private void stop(Attempt attempt, String reason) {
        upstream.cancel(attempt);
        finish(
                attempt,
                new Frame.Failed(
                        attempt.id(), reason, "the attempt was stopped: " + reason, RunState.RAN, load.report()));
    }

    private void detach(String attemptId, ResponseStream listener) {
        final Attempt attempt = attempts.get(attemptId);
        if (attempt != null) {
            attempt.detach(listener, clock.nanos());
        }
    }

    private void expireQueued(Attempt attempt, long now) {
        if (now >= attempt.deadlineNanos()) {
            queues.get(attempt.dispatch().rank()).remove(attempt);
            queued--;
            failUnsent(attempt, "deadline");
        }
    }

    private void expireRunning(Attempt attempt, long now) {
        if (!attempt.dispatch().idempotent()) {
            return;
        }
        if (now >= attempt.deadlineNanos()) {
            stop(attempt, "deadline");
        } else if (attempt.detachedNanos()
                .filter(since -> now - since > DETACHED_NANOS)
                .isPresent()) {
            stop(attempt, "abandoned");
        }
    }

    private void settle(SidecarEvent.Settle settle) {
        final String id = settle.query().attemptId();
        final AttemptStatus settlement = AttemptIdGenerator.createdMillis(id)
                .map(created -> table.resolve(id, settle.query().incarnation(), created, clock.millis()))
                .orElseGet(AttemptStatus.Unknown::new);
        settle.reply().complete(reply(id, settlement));
    }

    private AttemptStatusReply reply(String id, AttemptStatus settlement) {
        if (settlement instanceof AttemptStatus.Answered answered) {
            return new AttemptStatusReply(
                    id,
                    limits.incarnation(),
                    AttemptStatusReply.State.ANSWERED,
                    answered.status(),
                    answered.answer().orElseGet(() -> new byte[0]));
        }
        final AttemptStatusReply.State state = settlement instanceof AttemptStatus.Running
                ? AttemptStatusReply.State.RUNNING
                : settlement instanceof AttemptStatus.Sealed ? AttemptStatusReply.State.SEALED : AttemptStatusReply.State.UNKNOWN;
        return new AttemptStatusReply(id, limits.incarnation(), state, 0, new byte[0]);
    }

    private void completeDrain() {
        if (drained != null && running == 0 && queued == 0) {
            drained.complete(null);
        }
    }

    private void publish() {
        load.publish(running, queued, drained != null);
        completeDrain();
    }
}
