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
 * Keeps the document in effect up to date in this process.
 *
 * <p>Invariants: the offset of the document never goes down while the process runs, and a document is in effect only
 * after the log was read to its end once, or a majority of the entries known gave theirs. Thread-safe.
 */
public final class ConfigurationService implements Service {
    private static final int RING_MESSAGES = 128;
    private static final long TICK_MILLIS = 50;

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
        this.duty = new Duty<>("configuration", RING_MESSAGES, TICK_MILLIS, reader);
    }

    /**
     * Creates a service that reads the log, and asks other entries only when the log gives it no document.
     *
     * @param settings settings
     * @param log the platform's log
     * @param peer access to other entries
     * @param peers origins of the entries known from settings and the instance list; read on the duty's thread
     * @param clock time in milliseconds since 1970
     * @param random source of jitter, used by the duty's thread only
     * @return the service
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
     * Creates a service that pulls from entries and never reads the log, for sidecars and for entries behind relays.
     *
     * @param settings settings
     * @param peer access to the entries
     * @param peers origins of the entries to pull from; read on the duty's thread
     * @param clock time in milliseconds since 1970
     * @param random source of jitter, used by the duty's thread only
     * @return the service
     */
    public static ConfigurationService fromPeers(
            ConfigurationSettings settings,
            ConfigurationPeer peer,
            Supplier<List<URI>> peers,
            LongSupplier clock,
            UniformRandomProvider random) {
        return new ConfigurationService(settings, Optional.empty(), peer, peers, clock, random);
    }

    // A full ring loses the event; the call it belongs to then counts as failed after its timeout and is repeated.
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
     * @return the document, empty until one is known
     */
    public Optional<EffectiveConfiguration> effective() {
        return reader.effective();
    }

    /**
     * Registers a listener. It is called with each new revision on the duty's thread, and at once on the caller's
     * thread with the one in effect; it may see the same revision twice, and must not block.
     *
     * @param listener the listener
     */
    public void listen(Consumer<EffectiveConfiguration> listener) {
        reader.listen(Objects.requireNonNull(listener, "listener is null"));
    }

    /**
     * Answers another process that asks for what changed.
     *
     * @param after offset that it has folded up to, 0 for none
     * @return the answer, empty while no document is in effect or this program may judge an edit unlike others
     */
    public Optional<ConfigurationResponse> changesSince(long after) {
        return reader.fold()
                .filter(fold -> !fold.outdated())
                .map(fold -> ConfigurationResponse.of(fold, after, tailAgeMillis().orElse(-1)));
    }

    /**
     * Tells how long ago the log was last read to its end, by this process or by the entry it pulls from.
     *
     * @return the time in milliseconds, empty if that never happened
     */
    public OptionalLong tailAgeMillis() {
        final long tail = reader.tailMillis();
        return tail < 0 ? OptionalLong.empty() : OptionalLong.of(Math.max(0, clock.getAsLong() - tail));
    }

    /**
     * Returns the number of records that were not understood.
     *
     * @return the number since the state was last restored
     */
    public long skippedRecords() {
        return reader.fold().map(ConfigurationState::skippedRecords).orElse(0L);
    }
}
