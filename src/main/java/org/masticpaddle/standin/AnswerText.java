package org.masticpaddle.standin;

import java.util.Locale;
import java.util.OptionalDouble;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.masticpaddle.wire.Hashing;

/**
 * Generates the text of an engine stand-in's answers.
 *
 * <p>The text depends on version, prompt, request identifier and length only, except for the first word: it holds the
 * true quality, which the rating stand-in reads. Stateless and thread-safe.
 */
public final class AnswerText {
    private static final String QUALITY_PREFIX = "quality=";
    private static final String[] WORDS = {
        "alpha", "bravo", "charlie", "delta", "echo", "foxtrot", "golf", "hotel", "india", "juliett", "kilo", "lima",
        "mike", "november", "oscar", "papa", "quebec", "romeo", "sierra", "tango", "uniform", "victor", "whiskey",
                "zulu"
    };
    private static final int MIN_DEFAULT_TOKENS = 8;
    private static final int DEFAULT_TOKENS_RANGE = 33;

    private AnswerText() {}

    /**
     * Generates the words of an answer, each followed by a space.
     *
     * @param version version as {@code model/version}
     * @param prompt for each message its role, a colon, a space, its content and a line feed
     * @param requestId identifier of the request
     * @param quality true quality, 0 to 1
     * @param maxTokens number of words; 0 for a number from 8 to 40 that the other arguments determine
     * @return the words, whose concatenation is the answer
     */
    public static String[] words(String version, String prompt, String requestId, double quality, int maxTokens) {
        final long seed = Hashing.hash64(version + '\n' + requestId + '\n' + prompt);
        final UniformRandomProvider random = RandomSource.SPLIT_MIX_64.create(seed);
        final int length = maxTokens > 0 ? maxTokens : MIN_DEFAULT_TOKENS + random.nextInt(DEFAULT_TOKENS_RANGE);
        final String[] words = new String[length];
        for (int index = 0; index < length; index++) {
            words[index] = WORDS[random.nextInt(WORDS.length)] + ' ';
        }
        words[0] = String.format(Locale.ROOT, "%s%.3f;%s;%s ", QUALITY_PREFIX, quality, version, requestId);
        return words;
    }

    /**
     * Generates the text of an answer.
     *
     * @param version version as {@code model/version}
     * @param prompt for each message its role, a colon, a space, its content and a line feed
     * @param requestId identifier of the request
     * @param quality true quality, 0 to 1
     * @param maxTokens number of words; 0 for a number from 8 to 40 that the other arguments determine
     * @return concatenation of the {@link #words}, which ends with a space
     */
    public static String of(String version, String prompt, String requestId, double quality, int maxTokens) {
        return String.join("", words(version, prompt, requestId, quality, maxTokens));
    }

    /**
     * Parses the true quality from an answer.
     *
     * @param answer text of an answer
     * @return the quality, 0 to 1, or empty if the answer does not start with one
     */
    public static OptionalDouble parseQuality(String answer) {
        final int end = answer.indexOf(';');
        if (!answer.startsWith(QUALITY_PREFIX) || end < 0) {
            return OptionalDouble.empty();
        }
        try {
            return OptionalDouble.of(Double.parseDouble(answer.substring(QUALITY_PREFIX.length(), end)));
        } catch (NumberFormatException e) {
            return OptionalDouble.empty();
        }
    }

    /**
     * Counts the tokens of a text; each word is one token.
     *
     * @param text any text
     * @return number of words separated by white space
     */
    public static int countTokens(String text) {
        final String trimmed = text.strip();
        return trimmed.isEmpty() ? 0 : trimmed.split("\\s+").length;
    }
}
