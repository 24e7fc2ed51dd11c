package org.masticpaddle.document;

import java.util.Collection;
import java.util.Comparator;

import org.apache.commons.text.similarity.LevenshteinDistance;

/** Suggests a known name for a misspelt one, by edit distance. Stateless and thread-safe. */
public final class NearestName {
    private static final LevenshteinDistance DISTANCE = LevenshteinDistance.getDefaultInstance();
    private static final int MAX_NAME_LENGTH = 200;

    private NearestName() {}

    /**
     * Finds the nearest known name whose edit distance is at most half the length of the longer name.
     *
     * @param unknownName misspelt name
     * @param knownNames names to choose the suggestion from
     * @return the nearest name, empty if none is near enough or {@code unknownName} is longer than 200 characters
     */
    public static String of(String unknownName, Collection<String> knownNames) {
        if (unknownName.length() > MAX_NAME_LENGTH) {
            return "";
        }
        return knownNames.stream()
                .filter(name -> DISTANCE.apply(unknownName, name) * 2 <= Math.max(unknownName.length(), name.length()))
                .min(Comparator.<String>comparingInt(name -> DISTANCE.apply(unknownName, name))
                        .thenComparing(Comparator.naturalOrder()))
                .orElse("");
    }
}
