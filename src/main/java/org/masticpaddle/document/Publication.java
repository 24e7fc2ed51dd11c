package org.masticpaddle.document;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.masticpaddle.platform.LogPage;
import org.masticpaddle.platform.PlatformException;

/**
 * One edit on its way to the log, one call at a time. Its verdict is what the fold decides on the first record with the
 * edit's id; acknowledgements prove nothing. Used by one thread.
 */
final class Publication {
    private final BlockingLogClient calls;
    private final LogFollower follower;
    private final Edit edit;
    private final List<ApplyResult.Rejected> rejections = new ArrayList<>();
    private boolean appended;
    private boolean possiblySent;
    private boolean failed;
    private String lastError = "the edit did not appear on the log in time";

    /** Starts from a follower that has read the log to its end. */
    Publication(LogFollower follower, Edit edit, BlockingLogClient calls) {
        this.calls = calls;
        this.follower = follower;
        this.edit = edit;
    }

    /** Makes one call and returns the result if it is known then. A call that fails is repeated by the next step. */
    Optional<PublishResult> step() {
        failed = false;
        try {
            if (!appended) {
                append();
                return Optional.empty();
            }
            return read();
        } catch (PlatformException e) {
            failed = true;
            lastError = String.valueOf(e.getMessage());
            return Optional.empty();
        }
    }

    /** Tells whether the last call failed or showed that the append must be repeated, so that a pause is due. */
    boolean failed() {
        return failed;
    }

    private void append() {
        try {
            calls.append(edit);
            possiblySent = true;
            appended = true;
        } catch (PlatformException e) {
            // An append that may have had its effect is looked for before it is repeated. A repetition is harmless,
            // since the fold ignores the second record of an id.
            if (e.effect() == PlatformException.Effect.POSSIBLE) {
                possiblySent = true;
                appended = true;
            }
            throw e;
        }
    }

    private Optional<PublishResult> read() {
        final long before = follower.readFrom();
        final LogPage page = calls.read(before);
        for (final ApplyResult result : follower.accept(page)) {
            if (result instanceof ApplyResult.Rejected rejected) {
                rejections.add(rejected);
            }
        }
        final Optional<EditOutcome> outcome = follower.fold().flatMap(fold -> fold.outcome(edit.editId()));
        if (outcome.isPresent()) {
            return outcome.map(this::result);
        }
        if (before < page.earliest()) {
            // Records between were not read one by one, and the snapshot may have forgotten the edit.
            return Optional.of(new PublishResult.Unknown(edit.editId(), "records of the log have expired unread"));
        }
        if (follower.readFrom() >= page.end()) {
            appended = false;
            failed = true;
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

    /** Returns the result when no more time is left. */
    PublishResult giveUp() {
        return possiblySent
                ? new PublishResult.Unknown(edit.editId(), lastError)
                : new PublishResult.NotSent(edit.editId(), lastError);
    }
}
