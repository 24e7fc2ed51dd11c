package org.masticpaddle.claim;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.masticpaddle.platform.LogPage;
import org.masticpaddle.wire.RunState;

/**
 * Claims of one entry in one partition: requests that wait for their claim, and the reads and appends that they need. The
 * caller carries out what {@link #nextRead(long)} and {@link #nextAppend(long)} return and reports how it ended. Not
 * thread-safe.
 */
final class ClaimPartition {
    private final ClaimSettings settings;
    private final Supplier<String> attemptIds;
    private final ClaimLedger ledger;
    private final PartitionReader reader;
    private final PartitionWriter writer;
    private final Map<String, Waiting> waiting = new LinkedHashMap<>();
    private final Map<String, ReleaseWait> releases = new LinkedHashMap<>();
    private boolean withdrawing;

    ClaimPartition(ClaimSettings settings, Supplier<String> attemptIds) {
        this.settings = settings;
        this.attemptIds = attemptIds;
        this.ledger = new ClaimLedger(settings.lifetimeMillis(), settings.maxKeys(), settings.maxAnswerBytes());
        this.reader = new PartitionReader(settings, ledger);
        this.writer = new PartitionWriter(settings);
    }

    /** Decides a request at once if the key is refused or held, else queues its claim. */
    void submit(ClaimRequest request, long deadlineMillis, Consumer<ClaimDecision> answer, long nowMillis) {
        final Optional<KeyRejection> refusal = request.key().refusal(nowMillis, settings.lifetimeMillis());
        final Optional<Standing> standing = ledger.standing(request.key(), nowMillis);
        if (refusal.isPresent()) {
            answer.accept(new ClaimDecision.KeyRefused(refusal.get()));
        } else if (standing.isPresent()) {
            answer.accept(ClaimDecision.behind(request, standing.get()));
        } else if (waiting.size() >= settings.maxPending()) {
            answer.accept(new ClaimDecision.Unavailable(RunState.UNKNOWN, ClaimDecision.Reason.BUFFER_FULL));
        } else {
            queue(new Waiting(request, deadlineMillis, answer));
        }
    }

    /** Decides what a request may say that is refused without a claim: the claim that holds its key, or the run state. */
    void refuse(ClaimRequest request, Consumer<ClaimDecision> answer, long nowMillis) {
        if (waiting.size() >= settings.maxPending()) {
            answer.accept(new ClaimDecision.Unavailable(RunState.UNKNOWN, ClaimDecision.Reason.BUFFER_FULL));
            return;
        }
        final Waiting wait = new Waiting(request, nowMillis, answer);
        withdraw(wait);
        waiting.put(attemptIds.get(), wait);
    }

    /** Releases a claim and answers whether the release was read back before the deadline. */
    void release(ClaimRecord.Claim claim, long deadlineMillis, Consumer<Boolean> answer) {
        if (!ledger.holds(claim)) {
            answer.accept(true);
            return;
        }
        final ReleaseWait known = releases.get(claim.attemptId());
        if (known != null) {
            known.answers.add(answer);
            known.deadlineMillis = Math.max(known.deadlineMillis, deadlineMillis);
        } else if (writer.size() >= 2 * settings.maxPending()) {
            answer.accept(false);
        } else {
            final ReleaseWait wait = new ReleaseWait(deadlineMillis);
            wait.answers.add(answer);
            releases.put(claim.attemptId(), wait);
            writer.add(
                    new ClaimRecord.Release(claim.key(), claim.attemptId()),
                    () -> ledger.holds(claim),
                    acknowledged -> {});
        }
    }

    /** Queues an outcome and answers whether its append was acknowledged. Outcomes give way to claims and releases. */
    void record(ClaimRecord.Outcome outcome, Consumer<Boolean> answer) {
        if (writer.size() >= settings.maxPending()) {
            answer.accept(false);
        } else {
            writer.add(outcome, () -> true, answer);
        }
    }

    Optional<PartitionReader.Read> nextRead(long nowMillis) {
        return reader.next(!waiting.isEmpty() || !releases.isEmpty(), !withdrawing, nowMillis);
    }

    /** Folds a page and returns whether it could be folded. */
    boolean readDone(long sequence, LogPage page, long nowMillis) {
        reader.done(sequence, page, nowMillis).forEach(fold -> settle(fold, nowMillis));
        finishWithdrawn(nowMillis);
        return reader.usable();
    }

    void readFailed(long sequence, long nowMillis) {
        reader.failed(sequence, nowMillis);
    }

    Optional<PartitionWriter.Append> nextAppend(long nowMillis) {
        return writer.next(nowMillis);
    }

    void appendDone(long sequence, boolean acknowledged, long nowMillis) {
        writer.done(sequence, acknowledged, nowMillis);
    }

    /** Withdraws the requests past their deadline. Called every few milliseconds. */
    void tick(long nowMillis) {
        ledger.forget(nowMillis);
        final List<Waiting> late = waiting.values().stream()
                .filter(wait -> !wait.withdrawn && nowMillis >= wait.deadlineMillis)
                .toList();
        if (!late.isEmpty()) {
            late.forEach(this::withdraw);
            writer.prune();
        }
        finishWithdrawn(nowMillis);
        for (final Map.Entry<String, ReleaseWait> entry : List.copyOf(releases.entrySet())) {
            if (nowMillis >= entry.getValue().deadlineMillis) {
                releases.remove(entry.getKey()).answer(false);
            }
        }
    }

    /** Gives up everything that waits. */
    void close() {
        final List<Waiting> left = List.copyOf(waiting.values());
        waiting.clear();
        left.forEach(wait ->
                wait.answer.accept(new ClaimDecision.Unavailable(RunState.UNKNOWN, ClaimDecision.Reason.STOPPING)));
        List.copyOf(releases.values()).forEach(wait -> wait.answer(false));
        releases.clear();
        writer.clear();
    }

    boolean idle() {
        return waiting.isEmpty() && releases.isEmpty() && writer.size() == 0;
    }

    long tailMillis() {
        return reader.tailMillis();
    }

    private void queue(Waiting wait) {
        final String attemptId = attemptIds.get();
        final ClaimRecord.Claim claim = wait.request.claim(attemptId, ledger.round(wait.request.key()));
        waiting.put(attemptId, wait);
        writer.add(claim, () -> waiting.containsKey(attemptId) && !wait.withdrawn, acknowledged -> {});
    }

    private void settle(Fold fold, long nowMillis) {
        if (fold instanceof Fold.Won won) {
            own(won.claim()).ifPresent(wait -> win(won.claim(), wait, nowMillis));
        } else if (fold instanceof Fold.Behind behind) {
            own(behind.claim()).ifPresent(wait -> {
                answer(behind.claim(), wait, ClaimDecision.behind(wait.request, behind.standing()));
            });
        } else if (fold instanceof Fold.Stale stale) {
            own(stale.claim()).ifPresent(wait -> repeat(stale.claim(), wait));
        } else if (fold instanceof Fold.OutsideLifetime outside) {
            own(outside.claim())
                    .ifPresent(wait -> answer(outside.claim(), wait, new ClaimDecision.KeyRefused(KeyRejection.TOO_OLD)));
        } else if (fold instanceof Fold.Untracked untracked) {
            own(untracked.claim())
                    .ifPresent(wait -> answer(
                            untracked.claim(),
                            wait,
                            new ClaimDecision.Unavailable(RunState.UNKNOWN, ClaimDecision.Reason.LEDGER_FULL)));
        } else if (fold instanceof Fold.Released released) {
            Optional.ofNullable(releases.remove(released.claim().attemptId())).ifPresent(wait -> wait.answer(true));
        }
    }

    private Optional<Waiting> own(ClaimRecord.Claim claim) {
        return Optional.ofNullable(waiting.get(claim.attemptId()));
    }

    private void win(ClaimRecord.Claim claim, Waiting wait, long nowMillis) {
        if (!wait.withdrawn && nowMillis >= wait.deadlineMillis) {
            withdraw(wait);
        }
        if (!wait.withdrawn) {
            waiting.remove(claim.attemptId());
            wait.answer.accept(new ClaimDecision.Won(claim));
        } else {
            wait.live = Optional.of(claim);
        }
    }

    private void answer(ClaimRecord.Claim claim, Waiting wait, ClaimDecision decision) {
        waiting.remove(claim.attemptId());
        releaseUnsent(claim);
        wait.answer.accept(decision);
    }

    /** Claims again in the current round, unless another claim holds the key by now and decides at the next read. */
    private void repeat(ClaimRecord.Claim claim, Waiting wait) {
        if (!wait.withdrawn) {
            waiting.remove(claim.attemptId());
            queue(wait);
        }
    }

    private void withdraw(Waiting wait) {
        wait.withdrawn = true;
        wait.withdrawnAfterRead = reader.sequence();
        withdrawing = true;
    }

    /**
     * Answers withdrawn requests. Only a read that was started after the withdrawal proves that no claim of the key was
     * on the log when the request was given up.
     */
    private void finishWithdrawn(long nowMillis) {
        if (!withdrawing) {
            return;
        }
        withdrawing = false;
        for (final Map.Entry<String, Waiting> entry : List.copyOf(waiting.entrySet())) {
            final Waiting wait = entry.getValue();
            if (!wait.withdrawn) {
                continue;
            }
            final boolean readAgain = reader.tailSequence() > wait.withdrawnAfterRead;
            if (!readAgain && nowMillis < wait.deadlineMillis + settings.confirmTimeoutMillis()) {
                withdrawing = true;
                continue;
            }
            waiting.remove(entry.getKey());
            final Optional<Standing> other = ledger.standing(wait.request.key(), nowMillis)
                    .filter(standing -> !standing.claim().attemptId().equals(entry.getKey()));
            wait.live.ifPresent(this::releaseUnsent);
            final boolean proven = readAgain && ledger.covers(wait.request.key(), nowMillis);
            wait.answer.accept(other.map(standing -> ClaimDecision.behind(wait.request, standing))
                    .orElseGet(() -> new ClaimDecision.Unavailable(
                            proven ? RunState.NOT_RUN : RunState.UNKNOWN, ClaimDecision.Reason.DEADLINE)));
        }
    }

    /** A claim that holds its key but was not answered as won is never dispatched, so it may be released. */
    private void releaseUnsent(ClaimRecord.Claim claim) {
        if (ledger.holds(claim) && writer.size() < 2 * settings.maxPending()) {
            writer.add(
                    new ClaimRecord.Release(claim.key(), claim.attemptId()),
                    () -> ledger.holds(claim),
                    acknowledged -> {});
        }
    }

    private static final class Waiting {
        private final ClaimRequest request;
        private final long deadlineMillis;
        private final Consumer<ClaimDecision> answer;
        private Optional<ClaimRecord.Claim> live = Optional.empty();
        private boolean withdrawn;
        private long withdrawnAfterRead;

        Waiting(ClaimRequest request, long deadlineMillis, Consumer<ClaimDecision> answer) {
            this.request = request;
            this.deadlineMillis = deadlineMillis;
            this.answer = answer;
        }
    }

    private static final class ReleaseWait {
        private final List<Consumer<Boolean>> answers = new ArrayList<>(1);
        private long deadlineMillis;

        ReleaseWait(long deadlineMillis) {
            this.deadlineMillis = deadlineMillis;
        }

        void answer(boolean released) {
            answers.forEach(answer -> answer.accept(released));
        }
    }
}
