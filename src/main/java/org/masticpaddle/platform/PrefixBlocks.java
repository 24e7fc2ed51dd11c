package org.masticpaddle.platform;

import java.util.Locale;

import com.fasterxml.jackson.databind.JsonNode;
import org.masticpaddle.wire.Hashing;

/**
 * Hashes of the prefix blocks of a prompt, as engines name them in cache events: each covers the version and all words
 * up to the end of its block, so that equal hashes mean equal prefixes. Thread-safe, having no state.
 */
public final class PrefixBlocks {
    /** Words in a block. */
    public static final int BLOCK_WORDS = 16;

    private PrefixBlocks() {}

    /**
     * Builds the text that an engine hashes.
     *
     * @param messages messages of a chat request
     * @return for each message its role, a colon, a space, its content and a line feed
     */
    public static String prompt(JsonNode messages) {
        final StringBuilder prompt = new StringBuilder();
        messages.forEach(message -> prompt.append(message.path("role").asText().toLowerCase(Locale.ROOT))
                .append(": ")
                .append(message.path("content").asText())
                .append('\n'));
        return prompt.toString();
    }

    /**
     * Hashes the full blocks of a prompt.
     *
     * @param version version, {@code model/version}
     * @param prompt text of the prompt
     * @param blockWords words in a block
     * @return hashes in order
     */
    public static long[] hashes(String version, String prompt, int blockWords) {
        final String[] words = prompt.strip().split("\\s+");
        final long[] hashes = new long[words.length / blockWords];
        long hash = Hashing.hash64(version);
        for (int block = 0; block < hashes.length; block++) {
            final StringBuilder text = new StringBuilder(Long.toHexString(hash));
            for (int index = block * blockWords; index < (block + 1) * blockWords; index++) {
                text.append(' ').append(words[index]);
            }
            hash = Hashing.hash64(text.toString());
            hashes[block] = hash;
        }
        return hashes;
    }
}
