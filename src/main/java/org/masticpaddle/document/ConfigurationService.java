package org.masticpaddle.document;

import java.net.URI;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import org.apache.commons.rng.UniformRandomProvider;
import org.masticpaddle.kernel.Duty;
import org.masticpaddle.kernel.Service;
import org.masticpaddle.platform.EventLog;

/**
 * Keeps the routing document of this process up to date, from the log or from other entries.
 *
 * <p>Invariants: the offset of the document never decreases while the process runs; a document takes effect only after
 * the log was read to its end once, or a majority of the known entries returned theirs. Thread-safe.
 */
public final class ConfigurationService implements Service {
    private static final int RING_CAPACITY = 128;
    private static final long TICK_INTERVAL_MILLIS = 50;

    private final LongSupplier clock;
    private final ConfigurationReader reader;
    private final Duty<ConfigurationEvent> duty;

    private ConfigurationService(
            ConfigurationSettings settings,
            Optional<EventLog> log,
            ConfigurationPeer peer,
            Supplier<List<URI>> peers,
            LongSupplier clock,
            UniformRandomProvider random) {
        this.clock = Objects.requireNonNull(clock, "clock is null");
        Objects.requireNonNull(settings, "settings is null");
        Objects.requireNonNull(peer, "peer is null");
        Objects.requireNonNull(peers, "peers is null");
        Objects.requireNonNull(random, "random is null");
        this.reader = new ConfigurationReader(settings, log, peer, peers, clock, random, this::offer);
        this.duty = new Duty<>("configuration", RING_CAPACITY, TICK_INTERVAL_MILLIS, reader);
    }

    /**
     * Creates a service that reads the log and queries other entries only while the log provides no document.
     *
     * @param settings settings of the service
     * @param log the platform's log
     * @param peer client for other entries
     * @param peers origins of the entries in the settings and the instance list; read on the duty's thread
     * @param clock current time in milliseconds since 1970
     * @param random source of jitter, used by the duty's thread only
     * @return service that is not started and has no document in effect
     */
    public static ConfigurationService fromLog(
            ConfigurationSettings settings,
            EventLog log,
            ConfigurationPeer peer,
            Supplier<List<URI>> peers,
            LongSupplier clock,
            UniformRandomProvider random) {
        Objects.requireNonNull(log, "log is null");
        return new ConfigurationService(settings, Optional.of(log), peer, peers, clock, random);
    }

    /**
     * Creates a service that polls entries and never reads the log, for sidecars and for entries behind relays.
     *
     * @param settings settings of the service
     * @param peer client for the entries
     * @param peers origins of the entries to poll; read on the duty's thread
     * @param clock current time in milliseconds since 1970
     * @param random source of jitter, used by the duty's thread only
     * @return service that is not started and has no document in effect
     */
    public static ConfigurationService fromPeers(
            ConfigurationSettings settings,
            ConfigurationPeer peer,
            Supplier<List<URI>> peers,
            LongSupplier clock,
            UniformRandomProvider random) {
        return new ConfigurationService(settings, Optional.empty(), peer, peers, clock, random);
    }

    // A full ring drops the event; its request then fails on timeout and is retried.
    private void offer(ConfigurationEvent event) {
        duty.offer(event);
    }

    @Override
    public void start() {
        duty.start();
    }

    @Override
    public void stop() {
        duty.stop();
    }

    /**
     * Returns the document in effect.
     *
     * @return the document, empty until one has taken effect
     */
    public Optional<EffectiveConfiguration> effective() {
        return reader.effective();
    }

    /**
     * Registers a listener. It is called immediately on the caller's thread with the revision in effect, if any, and on
     * the duty's thread with each new revision. It may receive the same revision twice and must not block.
     *
     * @param listener receives the document in effect; a runtime exception that it throws is logged
     */
    public void listen(Consumer<EffectiveConfiguration> listener) {
        reader.listen(Objects.requireNonNull(listener, "listener is null"));
    }

    /**
     * Returns the changes since an offset, for another process.
     *
     * @param after offset up to which that process has applied the log, 0 if it has no state
     * @return the changes, empty while no document is in effect or while the state may differ from that of newer
     *     programs
     */
    public Optional<ConfigurationResponse> changesSince(long after) {
        return reader.state()
                .filter(state -> !state.unknownRulesSeen())
                .map(state ->
                        ConfigurationResponse.of(state, after, tailAgeMillis().orElse(-1)));
    }

    /**
     * Returns the time since the log was last read to its end, by this process or by the entry that it polls.
     *
     * @return the time in milliseconds, empty if that never happened
     */
    public OptionalLong tailAgeMillis() {
        final long tail = reader.tailMillis();
        return tail < 0 ? OptionalLong.empty() : OptionalLong.of(Math.max(0, clock.getAsLong() - tail));
    }

    /**
     * Returns the number of records that could not be decoded.
     *
     * @return number of records since the state was last restored from a snapshot or another entry
     */
    public long skippedRecords() {
        return reader.state().map(ConfigurationState::skippedRecords).orElse(0L);
    }
}
