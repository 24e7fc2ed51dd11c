package org.masticpaddle.standin;

import java.util.List;
import java.util.Objects;

/**
 * Size, speed and habits of an engine stand-in. Immutable.
 *
 * @param versions versions that it can serve
 * @param loaded versions loaded at the start, each {@code model/version}
 * @param slots requests that run at the same time
 * @param tokenMillis milliseconds between two tokens of a request that runs alone
 * @param tokenMillisPerRunning milliseconds that each further running request adds to that
 * @param prefillMillisPerToken milliseconds of prefill for each prompt token that is not cached
 * @param loadMillis milliseconds that loading a version takes
 * @param cacheBlocks blocks of the prefix cache
 * @param blockTokens prompt tokens in a block
 * @param fencing whether it refuses an order with an old fencing token
 * @param reportLagMillis age of a load report and delay of a cache event, in milliseconds, not scaled
 * @param eventGapEvery every event whose number is a multiple of this is never shown, 0 for no gaps
 * @param timeScale factor on all times but the lag; 0.01 runs a hundred times as fast
 */
public record EngineSettings(
        List<Version> versions,
        List<String> loaded,
        int slots,
        double tokenMillis,
        double tokenMillisPerRunning,
        double prefillMillisPerToken,
        double loadMillis,
        int cacheBlocks,
        int blockTokens,
        boolean fencing,
        long reportLagMillis,
        int eventGapEvery,
        double timeScale) {
    /** Checks the arguments and copies the lists. */
    public EngineSettings {
        versions = List.copyOf(versions);
        loaded = List.copyOf(loaded);
        if (slots < 1 || cacheBlocks < 0 || blockTokens < 1 || timeScale <= 0) {
            throw new IllegalArgumentException(
                    "slots, blockTokens and timeScale must be positive, cacheBlocks not negative");
        }
    }

    /**
     * Builds settings of a usual size: 16 slots, 20 ms between tokens and 1 ms more for each running request, 0.2 ms of
     * prefill a token, 4,096 blocks of 16 tokens, fencing enforced.
     *
     * @param timeScale factor on all times but the lag
     * @param versions versions, all of them loaded
     * @return the settings
     */
    public static EngineSettings of(double timeScale, Version... versions) {
        final List<Version> all = List.of(versions);
        return new EngineSettings(
                all, all.stream().map(Version::name).toList(), 16, 20, 1, 0.2, 2000, 4096, 16, true, 200, 0, timeScale);
    }

    /**
     * Returns the same settings with other versions loaded at the start.
     *
     * @param names versions, each {@code model/version}
     * @return the settings
     */
    public EngineSettings withLoaded(List<String> names) {
        return new EngineSettings(
                versions,
                names,
                slots,
                tokenMillis,
                tokenMillisPerRunning,
                prefillMillisPerToken,
                loadMillis,
                cacheBlocks,
                blockTokens,
                fencing,
                reportLagMillis,
                eventGapEvery,
                timeScale);
    }

    /**
     * Returns the same settings with another number of slots.
     *
     * @param number requests that run at the same time
     * @return the settings
     */
    public EngineSettings withSlots(int number) {
        return new EngineSettings(
                versions,
                loaded,
                number,
                tokenMillis,
                tokenMillisPerRunning,
                prefillMillisPerToken,
                loadMillis,
                cacheBlocks,
                blockTokens,
                fencing,
                reportLagMillis,
                eventGapEvery,
                timeScale);
    }

    /**
     * Returns the same settings with fencing enforced or ignored.
     *
     * @param enforced whether an order with an old fencing token is refused
     * @return the settings
     */
    public EngineSettings withFencing(boolean enforced) {
        return new EngineSettings(
                versions,
                loaded,
                slots,
                tokenMillis,
                tokenMillisPerRunning,
                prefillMillisPerToken,
                loadMillis,
                cacheBlocks,
                blockTokens,
                enforced,
                reportLagMillis,
                eventGapEvery,
                timeScale);
    }

    Version version(String name) {
        return versions.stream()
                .filter(version -> version.name.equals(name))
                .findFirst()
                .orElseGet(() -> new Version(name, 0.5, 1));
    }

    /**
     * A version that an engine serves. Immutable.
     *
     * @param name {@code model/version}
     * @param quality true quality of its answers, 0 to 1, which the rating stand-in finds
     * @param slowness factor on the time between its tokens
     */
    public record Version(String name, double quality, double slowness) {
        /** Checks the arguments. */
        public Version {
            Objects.requireNonNull(name, "name is null");
        }
    }
}
