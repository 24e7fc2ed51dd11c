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
import org.masticpaddle.wire.AttemptStatusReply;
import org.masticpaddle.wire.Charge;
import org.masticpaddle.wire.Dispatch;
import org.masticpaddle.wire.Frame;
import org.masticpaddle.wire.LoadReport;
import org.masticpaddle.wire.MalformedMessageException;
import org.masticpaddle.wire.Rank;
import org.masticpaddle.wire.ResponseStream;
import org.masticpaddle.wire.RunState;

/**
 * Admits, queues and runs the attempts of a sidecar.
 *
 * <p>Invariants: this incarnation runs each attempt identifier at most once; a non-idempotent attempt is recorded in
 * the attempt table before any byte of it is sent to the upstream; at most {@code slots} attempts run at the same time,
 * and queued attempts start in the order of their ranks. All methods run on the thread of one {@link Duty}.
 */
final class AttemptRunner implements Duty.Handler<SidecarEvent> {
    // An idempotent attempt is stopped if its entry does not reconnect within this time.
    private static final long RECONNECT_TIMEOUT_NANOS = 5_000_000_000L;
    private static final long HEARTBEAT_INTERVAL_NANOS = 1_000_000_000L;
    // An entry can resume the stream of an ended attempt within this time.
    private static final long ENDED_RETENTION_NANOS = 30_000_000_000L;

    private final SidecarClock clock;
    private final SidecarLimits limits;
    private final UpstreamRunner upstreamRunner;
    private final AttemptTable attemptTable;
    private final WithdrawnVersions withdrawnVersions;
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
            UpstreamRunner upstreamRunner,
            AttemptTable attemptTable,
            WithdrawnVersions withdrawnVersions,
            LoadTracker load,
            Consumer<Charge> charges,
            SidecarClock clock) {
        this.limits = Objects.requireNonNull(limits, "limits is null");
        this.upstreamRunner = Objects.requireNonNull(upstreamRunner, "upstreamRunner is null");
        this.attemptTable = Objects.requireNonNull(attemptTable, "attemptTable is null");
        this.withdrawnVersions = Objects.requireNonNull(withdrawnVersions, "withdrawnVersions is null");
        this.load = Objects.requireNonNull(load, "load is null");
        this.charges = Objects.requireNonNull(charges, "charges is null");
        this.clock = Objects.requireNonNull(clock, "clock is null");
        for (final Rank rank : Rank.values()) {
            queues.put(rank, new ArrayDeque<>());
        }
    }

    @Override
    public void handle(SidecarEvent event) {
        if (event instanceof SidecarEvent.DispatchReceived received) {
            receiveDispatch(received.dispatch(), received.responseStream());
        } else if (event instanceof SidecarEvent.HeadReceived head) {
            ifCurrent(
                    head.attemptId(),
                    head.requestNumber(),
                    attempt -> attempt.receiveHead(head.status(), head.headers()));
        } else if (event instanceof SidecarEvent.BytesReceived bytes) {
            ifCurrent(bytes.attemptId(), bytes.requestNumber(), attempt -> receiveBytes(attempt, bytes.bytes()));
        } else if (event instanceof SidecarEvent.RequestEnded ended) {
            ifCurrent(ended.attemptId(), ended.requestNumber(), attempt -> endRequest(attempt, ended.error()));
        } else if (event instanceof SidecarEvent.Cancelled cancelled) {
            cancel(cancelled.attemptId());
        } else if (event instanceof SidecarEvent.EntryDisconnected disconnected) {
            detach(disconnected.attemptId(), disconnected.responseStream());
        } else if (event instanceof SidecarEvent.StatusQueried queried) {
            resolveStatus(queried);
        } else if (event instanceof SidecarEvent.Drain drain) {
            drained = drain.drained();
        }
        publishLoad();
    }

    @Override
    public void tick() {
        final long now = clock.nanos();
        if (now - lastHeartbeatNanos >= HEARTBEAT_INTERVAL_NANOS) {
            lastHeartbeatNanos = now;
            sendHeartbeats();
        }
        for (final Attempt attempt : new ArrayList<>(attempts.values())) {
            if (attempt.phase() == Attempt.Phase.QUEUED) {
                expireQueued(attempt, now);
            } else if (attempt.phase() == Attempt.Phase.RUNNING) {
                expireRunning(attempt, now);
            } else if (now - attempt.endedNanos() > ENDED_RETENTION_NANOS) {
                attempts.remove(attempt.id());
            }
        }
        startQueued();
        publishLoad();
    }

    /** Sends every waiting entry a frame that proves that its connection works and reports the load. */
    private void sendHeartbeats() {
        final LoadReport report = load.report();
        attempts.values().stream()
                .filter(attempt -> attempt.phase() != Attempt.Phase.ENDED)
                .forEach(attempt -> attempt.send(new Frame.Accepted(attempt.id(), report)));
    }

    private void receiveDispatch(Dispatch dispatch, ResponseStream responseStream) {
        final Attempt existing = attempts.get(dispatch.attemptId());
        if (existing != null) {
            resume(existing, dispatch, responseStream);
            return;
        }
        if (dispatch.resumeOffset() > 0) {
            reject(dispatch, responseStream, "attempt_unknown", RunState.UNKNOWN);
        } else if (drained != null) {
            reject(dispatch, responseStream, "draining", RunState.NOT_RUN);
        } else if (withdrawnVersions.contains(dispatch.model(), dispatch.version())) {
            reject(dispatch, responseStream, "version_withdrawn", RunState.NOT_RUN);
        } else if (queued >= limits.maxQueued()) {
            reject(dispatch, responseStream, "full", RunState.NOT_RUN);
        } else {
            admit(dispatch, responseStream);
        }
    }

    private void admit(Dispatch dispatch, ResponseStream responseStream) {
        final AttemptAdmission admission =
                dispatch.idempotent() ? admitIdempotent(dispatch) : admitNonIdempotent(dispatch);
        if (admission != AttemptAdmission.RUN) {
            reject(dispatch, responseStream, admission.name().toLowerCase(Locale.ROOT), admission.runState());
            return;
        }
        final Attempt attempt = new Attempt(dispatch, responseStream, clock.nanos());
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

    private AttemptAdmission admitNonIdempotent(Dispatch dispatch) {
        return AttemptIdGenerator.createdMillis(dispatch.attemptId())
                .map(createdMillis -> attemptTable.accept(
                        dispatch.attemptId(), dispatch.incarnation(), createdMillis, clock.millis()))
                .orElse(AttemptAdmission.EXPIRED);
    }

    private void resume(Attempt attempt, Dispatch dispatch, ResponseStream responseStream) {
        if (!attempt.dispatch().organisation().equals(dispatch.organisation())
                || !attempt.attach(
                        responseStream, dispatch.resumeOffset(), new Frame.Accepted(attempt.id(), load.report()))) {
            reject(dispatch, responseStream, "offset_unavailable", RunState.UNKNOWN);
        }
    }

    private void reject(Dispatch dispatch, ResponseStream responseStream, String reason, RunState run) {
        responseStream.write(Attempt.encodeLine(new Frame.Failed(
                dispatch.attemptId(), reason, "the sidecar refused the attempt: " + reason, run, load.report())));
        responseStream.end();
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
                    upstreamRunner.start(attempt, now);
                }
            }
        }
    }

    private void ifCurrent(String attemptId, int requestNumber, Consumer<Attempt> action) {
        final Attempt attempt = attempts.get(attemptId);
        if (attempt != null && attempt.isCurrentRequest(requestNumber)) {
            action.accept(attempt);
        }
    }

    private void receiveBytes(Attempt attempt, byte[] bytes) {
        try {
            upstreamRunner.receiveBytes(attempt, bytes);
        } catch (MalformedMessageException e) {
            attempt.cancelUpstream();
            fail(attempt, new UpstreamRunner.Outcome.Failed("answer_invalid", e.getMessage(), RunState.UNKNOWN));
        }
    }

    private void endRequest(Attempt attempt, Throwable error) {
        final UpstreamRunner.Outcome outcome = upstreamRunner.endRequest(attempt, error, clock.nanos());
        if (outcome instanceof UpstreamRunner.Outcome.Complete complete) {
            if (!attempt.dispatch().idempotent()) {
                attemptTable.recordAnswer(
                        attempt.id(), attempt.status(), attempt.retainedAnswer().orElseGet(() -> new byte[0]));
            }
            charges.accept(complete.charge());
            finish(
                    attempt,
                    new Frame.End(
                            attempt.id(),
                            attempt.answerLength(),
                            attempt.answerChecksum(),
                            complete.finishReason(),
                            complete.charge(),
                            load.report()));
        } else if (outcome instanceof UpstreamRunner.Outcome.Failed failed) {
            fail(attempt, failed);
        }
    }

    private void fail(Attempt attempt, UpstreamRunner.Outcome.Failed failure) {
        if (!attempt.dispatch().idempotent()) {
            if (failure.run() == RunState.NOT_RUN) {
                attemptTable.recordNotRun(attempt.id());
            } else {
                attemptTable.recordIncomplete(attempt.id());
            }
        }
        finish(
                attempt,
                new Frame.Failed(attempt.id(), failure.reason(), failure.message(), failure.run(), load.report()));
    }

    private void finish(Attempt attempt, Frame finalFrame) {
        running--;
        final long now = clock.nanos();
        load.recordServiceTime(now - attempt.startedNanos());
        attempt.end(finalFrame, now);
        startQueued();
        completeDrain();
    }

    private void failUnsent(Attempt attempt, String reason) {
        if (!attempt.dispatch().idempotent()) {
            attemptTable.recordNotRun(attempt.id());
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

    /**
     * Stops a running idempotent attempt. A non-idempotent one always runs to its end, so that its outcome is known.
     */
    private void stop(Attempt attempt, String reason) {
        upstreamRunner.cancel(attempt);
        finish(
                attempt,
                new Frame.Failed(
                        attempt.id(), reason, "the attempt was stopped: " + reason, RunState.RAN, load.report()));
    }

    private void detach(String attemptId, ResponseStream responseStream) {
        final Attempt attempt = attempts.get(attemptId);
        if (attempt != null) {
            attempt.detach(responseStream, clock.nanos());
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
                .filter(since -> now - since > RECONNECT_TIMEOUT_NANOS)
                .isPresent()) {
            stop(attempt, "abandoned");
        }
    }

    private void resolveStatus(SidecarEvent.StatusQueried queried) {
        final String id = queried.query().attemptId();
        final AttemptStatus status = AttemptIdGenerator.createdMillis(id)
                .map(createdMillis ->
                        attemptTable.resolve(id, queried.query().incarnation(), createdMillis, clock.millis()))
                .orElseGet(AttemptStatus.Unknown::new);
        queried.reply().complete(statusReply(id, status));
    }

    private AttemptStatusReply statusReply(String id, AttemptStatus status) {
        if (status instanceof AttemptStatus.Answered answered) {
            return new AttemptStatusReply(
                    id,
                    limits.incarnation(),
                    AttemptStatusReply.State.ANSWERED,
                    answered.status(),
                    answered.answer().orElseGet(() -> new byte[0]));
        }
        final AttemptStatusReply.State state = status instanceof AttemptStatus.Running
                ? AttemptStatusReply.State.RUNNING
                : status instanceof AttemptStatus.Sealed
                        ? AttemptStatusReply.State.SEALED
                        : AttemptStatusReply.State.UNKNOWN;
        return new AttemptStatusReply(id, limits.incarnation(), state, 0, new byte[0]);
    }

    private void completeDrain() {
        if (drained != null && running == 0 && queued == 0) {
            drained.complete(null);
        }
    }

    private void publishLoad() {
        load.publish(running, queued, drained != null);
        completeDrain();
    }
}
