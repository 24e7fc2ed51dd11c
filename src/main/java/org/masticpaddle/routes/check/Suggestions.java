package org.masticpaddle.routes.check;

import java.util.Collection;
import java.util.List;

import org.masticpaddle.document.NearestName;

/**
 * Suggests known names for a bounded number of unknown ones, so that a file full of mistakes is checked in linear time. Used
 * by one thread.
 */
final class Suggestions {
    private static final int MAX_KNOWN_NAMES = 1_000;

    private final List<String> known;
    private int remaining = 20;

    Suggestions(Collection<String> known) {
        this.known = known.stream().limit(MAX_KNOWN_NAMES).toList();
    }

    /** Returns the most similar known name, empty if none is similar or enough names were suggested. */
    String nearest(String unknown) {
        if (remaining == 0) {
            return "";
        }
        remaining--;
        return NearestName.of(unknown, known);
    }
}
