package org.masticpaddle.quarantine;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Segments of answers that had just begun when the gateway gave them up, by upstream. The upstream may crash on one of them
 * although no request waits for it any more.
 *
 * <p>Invariant: at most {@link #MAX_ANSWERS} answers are kept for an upstream, each for {@link #KEPT_MILLIS}. Not thread-safe:
 * confined to the thread of its owner.
 */
final class AbandonedAnswers {
    /** Maximum number of answers kept for each upstream. */
    static final int MAX_ANSWERS = 16;
    /** Time for which an abandoned answer may be the cause of a crash. */
    static final long KEPT_MILLIS = 500;

    private final Map<String, Deque<Answer>> answersByUpstream = new HashMap<>();

    void add(String upstream, Set<String> segments, long nowMillis) {
        final Deque<Answer> answers = answersByUpstream.computeIfAbsent(upstream, id -> new ArrayDeque<>());
        if (answers.size() == MAX_ANSWERS) {
            answers.removeFirst();
        }
        answers.addLast(new Answer(segments, nowMillis));
    }

    /** Removes and returns the segments of the answers that were abandoned a short time ago. */
    Set<String> take(String upstream, long nowMillis) {
        final Set<String> segments = new HashSet<>();
        final Deque<Answer> answers = answersByUpstream.remove(upstream);
        if (answers != null) {
            answers.stream()
                    .filter(answer -> nowMillis - answer.millis < KEPT_MILLIS)
                    .forEach(answer -> segments.addAll(answer.segments));
        }
        return segments;
    }

    void expire(long nowMillis) {
        answersByUpstream.values().removeIf(answers -> nowMillis - answers.getLast().millis >= KEPT_MILLIS);
    }

    private record Answer(Set<String> segments, long millis) {}
}
