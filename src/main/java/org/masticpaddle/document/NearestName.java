package org.masticpaddle.document;

import java.util.Collection;
import java.util.Comparator;

import org.apache.commons.text.similarity.LevenshteinDistance;

/** Finds the known name that an unknown one was probably meant to be. Thread-safe, having no state. */
public final class NearestName {
    private static final LevenshteinDistance DISTANCE = LevenshteinDistance.getDefaultInstance();
    private static final int LONGEST_NAME = 200;

    private NearestName() {}

    /**
     * Finds the nearest name that differs in at most half of its letters.
     *
     * @param found name that is not known
     * @param known known names
     * @return the nearest, or an empty text
     */
    public static String of(String found, Collection<String> known) {
        if (found.length() > LONGEST_NAME) {
            return "";
        }
        return known.stream()
                .filter(name -> DISTANCE.apply(found, name) * 2 <= Math.max(found.length(), name.length()))
                .min(Comparator.<String>comparingInt(name -> DISTANCE.apply(found, name))
                        .thenComparing(Comparator.naturalOrder()))
                .orElse("");
    }
}
