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
 * State of a {@link ConfigurationService}, owned by its duty: reads the log or other entries and publishes each new
 * state. The published fields are written by the duty's thread only and may be read by any thread.
 */
final class ConfigurationReader implements Duty.Handler<ConfigurationEvent> {
    private static final Logger LOGGER = LogManager.getLogger(ConfigurationReader.class);

    private final LogFollower follower = new LogFollower();
    private final Optional<LogReader> logReader;
    private final PeerReader peerReader;
    private final Supplier<List<URI>> peers;
    private final LongSupplier clock;
    private final List<Consumer<EffectiveConfiguration>> listeners = new ArrayList<>();
    private volatile Optional<ConfigurationState> state = Optional.empty();
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
        this.logReader = log.map(stream -> new LogReader(stream, settings, follower, random, events));
        this.peerReader = new PeerReader(peer, peers, settings, follower, random, events);
        this.peers = peers;
        this.clock = clock;
    }

    @Override
    public void handle(ConfigurationEvent event) {
        final long now = clock.getAsLong();
        if (event instanceof ConfigurationEvent.PageRead page) {
            logReader.ifPresent(reader -> reader.handle(page, now));
        } else if (event instanceof ConfigurationEvent.PeerResponded response) {
            peerReader.handle(response, now);
        } else if (event instanceof ConfigurationEvent.SnapshotFailed failed) {
            logReader.ifPresent(reader -> reader.handle(failed));
        }
        publish(now);
        tick();
    }

    @Override
    public void tick() {
        final long now = clock.getAsLong();
        logReader.ifPresent(reader -> {
            reader.tick(now);
            reader.writeSnapshot(now, peers);
        });
        final boolean caughtUp = follower.caughtUp();
        if (!caughtUp && logReader.map(LogReader::peersNeeded).orElse(true)) {
            peerReader.continueInitialRound(now);
        } else if (caughtUp
                && logReader
                        .map(reader -> follower.hasGap() && reader.peersNeeded())
                        .orElse(true)) {
            peerReader.poll(now);
        }
        publish(now);
    }

    private void publish(long now) {
        tailMillis = Math.max(logReader.map(LogReader::tailMillis).orElse(-1L), peerReader.tailMillis());
        final Optional<ConfigurationState> candidate = follower.state().filter(current -> current.revision() > 0);
        if (!follower.caughtUp() || candidate.isEmpty() || candidate.equals(state)) {
            return;
        }
        final ConfigurationState newState = candidate.get();
        final boolean changed = state.map(ConfigurationState::revision).orElse(-1L) != newState.revision();
        final long sinceMillis = changed
                ? now
                : effective.map(EffectiveConfiguration::sinceMillis).orElse(now);
        final EffectiveConfiguration configuration =
                new EffectiveConfiguration(newState.document(), newState.offset(), newState.revision(), sinceMillis);
        state = candidate;
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
            LOGGER.error("listener failed on configuration revision {}", configuration.revision(), e);
        }
    }

    void listen(Consumer<EffectiveConfiguration> listener) {
        // The lock keeps the listener from receiving an older revision after a newer one.
        synchronized (listeners) {
            listeners.add(listener);
            effective.ifPresent(configuration -> notify(listener, configuration));
        }
    }

    Optional<EffectiveConfiguration> effective() {
        return effective;
    }

    Optional<ConfigurationState> state() {
        return state;
    }

    long tailMillis() {
        return tailMillis;
    }
}
