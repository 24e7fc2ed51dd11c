package org.masticpaddle.entry;

import org.masticpaddle.document.VersionName;
import org.masticpaddle.platform.PrefixBlocks;

/**
 * Hashes of the prefix blocks of one prompt, for the choice of an upstream that has them cached. Owned by the entry's
 * duty; not thread-safe.
 */
final class PromptPrefixes {
    private static final long[] NONE = new long[0];
    private static final double PREFILL_MILLIS_PER_TOKEN = 0.2;

    private final CallerRequest.Target target;
    private VersionName version;
    private long[] hashes = NONE;

    PromptPrefixes(CallerRequest.Target target) {
        this.target = target;
    }

    /** Hashes for a version; they are kept until another version is asked for. */
    long[] of(VersionName wanted) {
        if (!(target instanceof CallerRequest.Chat chat)) {
            return NONE;
        }
        if (!wanted.equals(version)) {
            version = wanted;
            hashes = PrefixBlocks.hashes(
                    wanted.toString(), PrefixBlocks.prompt(chat.body().path("messages")), PrefixBlocks.BLOCK_WORDS);
        }
        return hashes;
    }

    /** Expected time to prefill the whole prompt without a cached prefix, in milliseconds. */
    double prefillMillis() {
        return target instanceof CallerRequest.Chat chat ? chat.promptTokens() * PREFILL_MILLIS_PER_TOKEN : 0;
    }
}
