package org.masticpaddle.document;

import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticpaddle.kernel.Duty;
import org.masticpaddle.platform.EventLog;

/**
 * State of a {@link ConfigurationService}, owned by its duty. The public state is written by the duty's thread and read
 * by any.
 */
final class ConfigurationReader implements Duty.Handler<ConfigurationEvent> {
    private static final Logger LOGGER = LogManager.getLogger(ConfigurationReader.class);

    private final LogFollower follower = new LogFollower();
    private final Optional<LogReader> log;
    private final PeerReader peerReading;
    private final Supplier<List<URI>> peers;
    private final LongSupplier clock;
    private final List<Consumer<EffectiveConfiguration>> listeners = new ArrayList<>();
    private volatile Optional<ConfigurationState> fold = Optional.empty();
    private volatile Optional<EffectiveConfiguration> effective = Optional.empty();
    private volatile long tailMillis = -1;

    ConfigurationReader(
            ConfigurationSettings settings,
            Optional<EventLog> log,
            ConfigurationPeer peer,
            Supplier<List<URI>> peers,
            LongSupplier clock,
            UniformRandomProvider random,
            Consumer<ConfigurationEvent> events) {
        this.log = log.map(stream -> new LogReader(stream, settings, follower, random, events));
        this.peerReading = new PeerReader(peer, peers, settings, follower, random, events);
        this.peers = peers;
        this.clock = clock;
    }

    @Override
    public void handle(ConfigurationEvent event) {
        final long now = clock.getAsLong();
        if (event instanceof ConfigurationEvent.PageRead page) {
            log.ifPresent(reading -> reading.handle(page, now));
        } else if (event instanceof ConfigurationEvent.PeerResponded answer) {
            peerReading.handle(answer, now);
        } else if (event instanceof ConfigurationEvent.SnapshotFailed failed) {
            log.ifPresent(reading -> reading.handle(failed));
        }
        publish(now);
        tick();
    }

    @Override
    public void tick() {
        final long now = clock.getAsLong();
        log.ifPresent(reading -> {
            reading.tick(now);
            reading.writeSnapshot(now, peers);
        });
        final boolean complete = follower.complete();
        if (!complete && log.map(LogReader::needsPeers).orElse(true)) {
            peerReading.tickStart(now);
        } else if (complete
                && log.map(reading -> follower.searching() && reading.needsPeers())
                        .orElse(true)) {
            peerReading.tickPull(now);
        }
        publish(now);
    }

    private void publish(long now) {
        tailMillis = Math.max(log.map(LogReader::tailMillis).orElse(-1L), peerReading.tailMillis());
        final Optional<ConfigurationState> next = follower.fold().filter(state -> state.revision() > 0);
        if (!follower.complete() || next.isEmpty() || next.equals(fold)) {
            return;
        }
        final ConfigurationState state = next.get();
        final boolean changed = fold.map(ConfigurationState::revision).orElse(-1L) != state.revision();
        final long since = changed
                ? now
                : effective.map(EffectiveConfiguration::sinceMillis).orElse(now);
        final EffectiveConfiguration configuration =
                new EffectiveConfiguration(state.document(), state.offset(), state.revision(), since);
        fold = next;
        effective = Optional.of(configuration);
        if (changed) {
            notifyListeners(configuration);
        }
    }

    private void notifyListeners(EffectiveConfiguration configuration) {
        synchronized (listeners) {
            listeners.forEach(listener -> notify(listener, configuration));
        }
    }

    private static void notify(Consumer<EffectiveConfiguration> listener, EffectiveConfiguration configuration) {
        try {
            listener.accept(configuration);
        } catch (RuntimeException e) {
            LOGGER.error("listener failed on revision {} of the configuration", configuration.revision(), e);
        }
    }

    void listen(Consumer<EffectiveConfiguration> listener) {
        // Under the lock, so that no older revision reaches the listener after a newer one.
        synchronized (listeners) {
            listeners.add(listener);
            effective.ifPresent(configuration -> notify(listener, configuration));
        }
    }

    Optional<EffectiveConfiguration> effective() {
        return effective;
    }

    Optional<ConfigurationState> fold() {
        return fold;
    }

    long tailMillis() {
        return tailMillis;
    }
}
