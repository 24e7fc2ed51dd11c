package org.masticpaddle.standin;

import java.util.List;
import java.util.Objects;

/**
 * Capacity, speed and reporting behaviour of an engine stand-in. Immutable.
 *
 * @param versions quality and speed of the versions; a version that is not listed has quality 0.5 and slowness 1
 * @param loaded versions loaded at the start, each as {@code model/version}
 * @param slots maximum number of requests that run at the same time
 * @param tokenMillis milliseconds between two tokens of a request that runs alone
 * @param tokenMillisPerRunning milliseconds that each further running request adds to {@code tokenMillis}
 * @param prefillMillisPerToken milliseconds of prefill for each prompt token that is not cached
 * @param loadMillis milliseconds that it takes to load a version
 * @param cacheBlocks capacity of the prefix cache in blocks
 * @param blockTokens number of prompt tokens in a block
 * @param fencing whether orders with a fencing token below the highest one seen are rejected
 * @param reportLagMillis maximum age of a load report and delay of a cache event, in milliseconds; not scaled
 * @param eventGapEvery cache events whose sequence number is a multiple of this are lost; 0 for no losses
 * @param timeScale factor on all times except the lag; 0.01 runs a hundred times as fast
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
    /** Validates the arguments and copies the lists. */
    public EngineSettings {
        versions = List.copyOf(versions);
        loaded = List.copyOf(loaded);
        if (slots < 1 || cacheBlocks < 0 || blockTokens < 1 || timeScale <= 0) {
            throw new IllegalArgumentException(
                    "slots, blockTokens and timeScale must be positive, cacheBlocks not negative");
        }
    }

    /**
     * Returns settings with default values: 16 slots, 20 ms between tokens and 1 ms more for each further running request,
     * 0.2 ms of prefill for each token, 2,000 ms to load a version, 4,096 cache blocks of 16 tokens, fencing enforced, 200
     * ms of lag, no lost events.
     *
     * @param timeScale factor on all times except the lag
     * @param versions versions, all loaded at the start
     * @return new settings
     */
    public static EngineSettings of(double timeScale, Version... versions) {
        final List<Version> all = List.of(versions);
        return new EngineSettings(
                all, all.stream().map(Version::name).toList(), 16, 20, 1, 0.2, 2000, 4096, 16, true, 200, 0, timeScale);
    }

    /**
     * Returns a copy with other versions loaded at the start.
     *
     * @param names versions, each as {@code model/version}
     * @return new settings
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
     * Returns a copy with another number of slots.
     *
     * @param number maximum number of requests that run at the same time
     * @return new settings
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
     * Returns a copy that enforces or ignores fencing tokens.
     *
     * @param enforced whether orders with a fencing token below the highest one seen are rejected
     * @return new settings
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
     * Quality and speed of a version that an engine serves. Immutable.
     *
     * @param name name as {@code model/version}
     * @param quality true quality of its answers, 0 to 1, on which {@link RatingStandIn} bases its ratings
     * @param slowness factor on the time between its tokens
     */
    public record Version(String name, double quality, double slowness) {
        /** Validates the arguments. */
        public Version {
            Objects.requireNonNull(name, "name is null");
        }
    }
}
