package org.masticpaddle.entry;

/** Hashes of the prefix blocks of a prompt, for the choice of an upstream that has them cached. */
final class PromptPrefixes {
    private static final long[] NONE = new long[0];
    private static final double PREFILL_MILLIS_PER_TOKEN = 0.2;

    private PromptPrefixes() {}

    static long[] of(RequestRun run) {
        return NONE;
    }

    static double prefillMillis(RequestRun run) {
        return run.request().target() instanceof CallerRequest.Chat chat
                ? chat.promptTokens() * PREFILL_MILLIS_PER_TOKEN
                : 0;
    }
}
