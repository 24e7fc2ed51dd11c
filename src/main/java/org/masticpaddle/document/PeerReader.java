package org.masticpaddle.document;

import java.net.URI;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Takes the document from other entries: at start from a majority of those known, since a single one may be stale;
 * later from one at a time. Used by one thread.
 */
final class PeerReader {
    private static final Logger LOGGER = LogManager.getLogger(PeerReader.class);
    /** Bounds the open connections of a round that asks hundreds of entries. */
    private static final int MAX_IN_FLIGHT = 16;

    private final ConfigurationPeer peer;
    private final Supplier<List<URI>> peers;
    private final ConfigurationSettings settings;
    private final LogFollower follower;
    private final UniformRandomProvider random;
    private final Backoff backoff;
    private final Consumer<ConfigurationEvent> events;
    private final Map<Long, Long> sentMillis = new HashMap<>();
    private final Deque<URI> waiting = new ArrayDeque<>();
    private PeerQuorum majority = PeerQuorum.of(0);
    private boolean inRound;
    private long call;
    private long firstCallOfRound;
    private long nextMillis;
    private long tailMillis = -1;

    PeerReader(
            ConfigurationPeer peer,
            Supplier<List<URI>> peers,
            ConfigurationSettings settings,
            LogFollower follower,
            UniformRandomProvider random,
            Consumer<ConfigurationEvent> events) {
        this.peer = peer;
        this.peers = peers;
        this.settings = settings;
        this.follower = follower;
        this.random = random;
        this.backoff = new Backoff(random);
        this.events = events;
    }

    /** Returns the time at which another entry, whose state is not ahead of ours, last read the log to its end. */
    long tailMillis() {
        return tailMillis;
    }

    /** Goes on with the round at start, or begins one. */
    void tickStart(long now) {
        expire(now);
        if (!inRound && now >= nextMillis) {
            final List<URI> known = new ArrayList<>(peers.get());
            known.remove(settings.self());
            majority = PeerQuorum.of(known.size());
            waiting.addAll(known);
            firstCallOfRound = call + 1;
            inRound = true;
        }
        askNext(now, 0);
        endRound(now);
    }

    /** Asks one entry if it is time to. */
    void tickPull(long now) {
        if (inRound) {
            inRound = false;
            waiting.clear();
            sentMillis.clear();
        }
        expire(now);
        if (now >= nextMillis && sentMillis.isEmpty()) {
            final List<URI> known = new ArrayList<>(peers.get());
            known.remove(settings.self());
            if (!known.isEmpty()) {
                waiting.add(known.get(random.nextInt(known.size())));
            }
            final long interval = settings.pollInterval().toMillis();
            nextMillis = now + interval / 2 + random.nextLong(interval / 2 + 1);
            askNext(now, follower.fold().map(ConfigurationState::offset).orElse(0L));
        }
    }

    private void askNext(long now, long after) {
        while (sentMillis.size() < MAX_IN_FLIGHT && !waiting.isEmpty()) {
            final URI entry = waiting.poll();
            final long sent = ++call;
            sentMillis.put(sent, now);
            peer.fetch(entry, after)
                    .whenComplete((answer, error) -> events.accept(new ConfigurationEvent.PeerResponded(
                            sent,
                            entry,
                            error == null ? answer : Optional.empty(),
                            error == null ? "" : String.valueOf(error.getMessage()))));
        }
    }

    void handle(ConfigurationEvent.PeerResponded event, long now) {
        final Long sent = sentMillis.remove(event.call());
        if (sent == null) {
            return;
        }
        if (!event.error().isEmpty()) {
            LOGGER.warn("entry {} gave no configuration: {}", event.peer(), event.error());
        }
        if (inRound && event.call() >= firstCallOfRound) {
            majority = majority.with(event.answer());
            endRound(now);
        } else if (!inRound) {
            event.answer().ifPresent(answer -> take(answer, sent));
        }
    }

    private void endRound(long now) {
        if (!inRound) {
            return;
        }
        if (majority.decided().isPresent()) {
            inRound = false;
            waiting.clear();
            sentMillis.clear();
            backoff.succeeded();
            take(majority.decided().get(), now);
            follower.completeByPeers();
        } else if (waiting.isEmpty() && sentMillis.isEmpty()) {
            inRound = false;
            final long delay = backoff.failedMillis();
            nextMillis = now + delay;
            LOGGER.warn(
                    "{} of {} entries have a document, a majority is needed; next try in {} ms",
                    majority.answered(),
                    majority.known(),
                    delay);
        }
    }

    private void take(ConfigurationResponse answer, long askedMillis) {
        final ConfigurationState base = follower.fold().orElse(ConfigurationState.empty());
        answer.applyTo(base).ifPresent(follower::adopt);
        if (answer.ageMillis() >= 0 && answer.changes().upTo() >= base.offset()) {
            tailMillis = Math.max(tailMillis, askedMillis - answer.ageMillis());
        }
    }

    private void expire(long now) {
        final long limit = settings.callTimeout().toMillis();
        sentMillis.values().removeIf(sent -> now - sent > limit);
    }
}
