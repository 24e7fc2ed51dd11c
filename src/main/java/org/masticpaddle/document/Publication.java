package org.masticpaddle.document;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.masticpaddle.platform.LogPage;
import org.masticpaddle.platform.PlatformException;

/**
 * Publishes one edit, one request to the log at a time. The verdict is the outcome of the first record with the edit's
 * id in the replayed log; the response to the append does not show it. Not thread-safe.
 */
final class Publication {
    private final BlockingLogClient log;
    private final LogFollower follower;
    private final Edit edit;
    private final List<ApplyResult.Rejected> rejections = new ArrayList<>();
    private boolean awaitingOutcome;
    private boolean possiblyAppended;
    private boolean backoffDue;
    private String lastError = "the edit did not appear on the log in time";

    /** Creates a publication; the follower must have read the log to its end. */
    Publication(LogFollower follower, Edit edit, BlockingLogClient log) {
        this.log = log;
        this.follower = follower;
        this.edit = edit;
    }

    /** Sends one request and returns the result once it is known. A failed request is retried by the next step. */
    Optional<PublishResult> step() {
        backoffDue = false;
        try {
            if (!awaitingOutcome) {
                append();
                return Optional.empty();
            }
            return read();
        } catch (PlatformException e) {
            backoffDue = true;
            lastError = String.valueOf(e.getMessage());
            return Optional.empty();
        }
    }

    /** Returns whether the caller must back off, since the last request failed or the append must be repeated. */
    boolean backoffDue() {
        return backoffDue;
    }

    private void append() {
        try {
            log.append(edit);
            possiblyAppended = true;
            awaitingOutcome = true;
        } catch (PlatformException e) {
            // If the append may have taken effect, reads the log for it before repeating it. A repeated append is
            // harmless, since later records with the same id are ignored.
            if (e.effect() == PlatformException.Effect.POSSIBLE) {
                possiblyAppended = true;
                awaitingOutcome = true;
            }
            throw e;
        }
    }

    private Optional<PublishResult> read() {
        final long readOffset = follower.nextOffset();
        final LogPage page = log.read(readOffset);
        for (final ApplyResult result : follower.applyPage(page)) {
            if (result instanceof ApplyResult.Rejected rejected) {
                rejections.add(rejected);
            }
        }
        final Optional<EditOutcome> outcome = follower.state().flatMap(state -> state.outcome(edit.editId()));
        if (outcome.isPresent()) {
            return outcome.map(this::result);
        }
        if (readOffset < page.earliest()) {
            // Records expired before they were read, and the snapshot may no longer contain the outcome of the edit.
            return Optional.of(
                    new PublishResult.Unknown(edit.editId(), "records of the log expired before they were read"));
        }
        if (follower.nextOffset() >= page.end()) {
            awaitingOutcome = false;
            backoffDue = true;
        }
        return Optional.empty();
    }

    private PublishResult result(EditOutcome outcome) {
        if (outcome.verdict() == EditOutcome.Verdict.ACCEPTED) {
            return new PublishResult.Accepted(edit.editId(), edit.baseRevision() + 1, outcome.offset());
        }
        final List<Problem> problems = rejections.stream()
                .filter(rejected -> rejected.edit().editId().equals(edit.editId()))
                .findFirst()
                .map(ApplyResult.Rejected::problems)
                .orElse(List.of());
        return new PublishResult.Rejected(edit.editId(), outcome.verdict(), problems);
    }

    /** Returns the result after a timeout: not sent, or unknown if the edit may have been appended. */
    PublishResult timeOut() {
        return possiblyAppended
                ? new PublishResult.Unknown(edit.editId(), lastError)
                : new PublishResult.NotSent(edit.editId(), lastError);
    }
}
