package org.masticpaddle.entry;

import org.masticpaddle.document.VersionName;
import org.masticpaddle.platform.PrefixBlocks;

/**
 * Hashes of the prefix blocks of one prompt, by which an upstream that has them cached is found. Owned by the entry's
 * duty; not thread-safe.
 */
final class PromptPrefixes {
    private static final long[] NO_HASHES = new long[0];
    private static final double PREFILL_MILLIS_PER_TOKEN = 0.2;

    private final CallerRequest.Target target;
    private VersionName version;
    private long[] hashes = NO_HASHES;

    PromptPrefixes(CallerRequest.Target target) {
        this.target = target;
    }

    /**
     * Returns the hashes for a version, none for a plain service. They are cached until the version changes.
     */
    long[] hashes(VersionName requested) {
        if (!(target instanceof CallerRequest.Chat chat)) {
            return NO_HASHES;
        }
        if (!requested.equals(version)) {
            version = requested;
            hashes = PrefixBlocks.hashes(
                    requested.toString(), PrefixBlocks.prompt(chat.body().path("messages")), PrefixBlocks.BLOCK_WORDS);
        }
        return hashes;
    }

    /** Returns the expected milliseconds to prefill the whole prompt without a cached prefix. */
    double prefillMillis() {
        return target instanceof CallerRequest.Chat chat ? chat.promptTokens() * PREFILL_MILLIS_PER_TOKEN : 0;
    }
}
