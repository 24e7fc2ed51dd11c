package org.masticpaddle.standin;

import java.util.Locale;
import java.util.OptionalDouble;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.masticpaddle.wire.Hashing;

/**
 * Text of an engine stand-in's answers: a function of version, prompt and request identifier alone, but for the first
 * word, which tells the rating stand-in the true quality. Thread-safe, having no state.
 */
public final class AnswerText {
    private static final String QUALITY = "quality=";
    private static final String[] WORDS = {
        "alpha", "bravo", "charlie", "delta", "echo", "foxtrot", "golf", "hotel", "india", "juliett", "kilo", "lima",
        "mike", "november", "oscar", "papa", "quebec", "romeo", "sierra", "tango", "uniform", "victor", "whiskey",
                "zulu"
    };
    private static final int MIN_TOKENS = 8;
    private static final int SPREAD_TOKENS = 33;

    private AnswerText() {}

    /**
     * Builds the words of an answer, each with the space that follows it.
     *
     * @param version version, {@code model/version}
     * @param prompt the prompt
     * @param requestId identifier of the request
     * @param quality true quality, 0 to 1
     * @param maxTokens number of words, 0 to let the prompt decide
     * @return the words; their concatenation is the answer
     */
    public static String[] words(String version, String prompt, String requestId, double quality, int maxTokens) {
        final long seed = Hashing.hash64(version + '\n' + requestId + '\n' + prompt);
        final UniformRandomProvider random = RandomSource.SPLIT_MIX_64.create(seed);
        final int length = maxTokens > 0 ? maxTokens : MIN_TOKENS + random.nextInt(SPREAD_TOKENS);
        final String[] words = new String[length];
        for (int index = 0; index < length; index++) {
            words[index] = WORDS[random.nextInt(WORDS.length)] + ' ';
        }
        words[0] = String.format(Locale.ROOT, "%s%.3f;%s;%s ", QUALITY, quality, version, requestId);
        return words;
    }

    /**
     * Builds a whole answer.
     *
     * @param version version, {@code model/version}
     * @param prompt the prompt
     * @param requestId identifier of the request
     * @param quality true quality, 0 to 1
     * @param maxTokens number of words, 0 to let the prompt decide
     * @return the answer
     */
    public static String of(String version, String prompt, String requestId, double quality, int maxTokens) {
        return String.join("", words(version, prompt, requestId, quality, maxTokens));
    }

    /**
     * Reads the true quality from an answer.
     *
     * @param answer the answer
     * @return the quality, 0 to 1, if the answer tells it
     */
    public static OptionalDouble parseQuality(String answer) {
        final int end = answer.indexOf(';');
        if (!answer.startsWith(QUALITY) || end < 0) {
            return OptionalDouble.empty();
        }
        try {
            return OptionalDouble.of(Double.parseDouble(answer.substring(QUALITY.length(), end)));
        } catch (NumberFormatException e) {
            return OptionalDouble.empty();
        }
    }

    /**
     * Counts tokens as the stand-in does.
     *
     * @param text any text
     * @return number of words between white space
     */
    public static int countTokens(String text) {
        final String trimmed = text.strip();
        return trimmed.isEmpty() ? 0 : trimmed.split("\\s+").length;
    }
}
