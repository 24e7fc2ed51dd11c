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
 * Reads the document from other entries: at the start from a majority of the known entries, since a single one may be
 * stale; afterwards by polling one random entry at a time. Not thread-safe.
 */
final class PeerReader {
    private static final Logger LOGGER = LogManager.getLogger(PeerReader.class);
    /** Limits the open connections of a round that queries hundreds of entries. */
    private static final int MAX_IN_FLIGHT = 16;

    private final ConfigurationPeer peer;
    private final Supplier<List<URI>> peers;
    private final ConfigurationSettings settings;
    private final LogFollower follower;
    private final UniformRandomProvider random;
    private final Backoff backoff;
    private final Consumer<ConfigurationEvent> events;
    private final Map<Long, Long> sentMillisByRequest = new HashMap<>();
    private final Deque<URI> pending = new ArrayDeque<>();
    private PeerQuorum quorum = PeerQuorum.of(0);
    private boolean roundActive;
    private long lastRequestId;
    private long firstRequestIdOfRound;
    private long nextRequestMillis;
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

    /**
     * Returns the time up to which this process has caught up with the log through other entries, negative if it never
     * has.
     */
    long tailMillis() {
        return tailMillis;
    }

    /** Starts the initial round of requests to all entries, or continues it. */
    void continueInitialRound(long now) {
        expireRequests(now);
        if (!roundActive && now >= nextRequestMillis) {
            final List<URI> otherEntries = new ArrayList<>(peers.get());
            otherEntries.remove(settings.self());
            quorum = PeerQuorum.of(otherEntries.size());
            pending.addAll(otherEntries);
            firstRequestIdOfRound = lastRequestId + 1;
            roundActive = true;
        }
        sendPending(now, 0);
        endRoundIfDecided(now);
    }

    /** Sends a request to one random entry if the poll interval has passed. */
    void poll(long now) {
        if (roundActive) {
            roundActive = false;
            pending.clear();
            sentMillisByRequest.clear();
        }
        expireRequests(now);
        if (now >= nextRequestMillis && sentMillisByRequest.isEmpty()) {
            final List<URI> otherEntries = new ArrayList<>(peers.get());
            otherEntries.remove(settings.self());
            if (!otherEntries.isEmpty()) {
                pending.add(otherEntries.get(random.nextInt(otherEntries.size())));
            }
            final long interval = settings.pollInterval().toMillis();
            nextRequestMillis = now + interval / 2 + random.nextLong(interval / 2 + 1);
            sendPending(now, follower.state().map(ConfigurationState::offset).orElse(0L));
        }
    }

    private void sendPending(long now, long after) {
        while (sentMillisByRequest.size() < MAX_IN_FLIGHT && !pending.isEmpty()) {
            final URI entry = pending.poll();
            final long requestId = ++lastRequestId;
            sentMillisByRequest.put(requestId, now);
            peer.fetch(entry, after)
                    .whenComplete((response, error) -> events.accept(new ConfigurationEvent.PeerResponded(
                            requestId,
                            entry,
                            error == null ? response : Optional.empty(),
                            error == null ? "" : String.valueOf(error.getMessage()))));
        }
    }

    void handle(ConfigurationEvent.PeerResponded event, long now) {
        final Long sentMillis = sentMillisByRequest.remove(event.requestId());
        if (sentMillis == null) {
            return;
        }
        if (!event.error().isEmpty()) {
            LOGGER.warn("failed to read the configuration of entry {}: {}", event.peer(), event.error());
        }
        if (roundActive && event.requestId() >= firstRequestIdOfRound) {
            quorum = quorum.with(event.response());
            endRoundIfDecided(now);
        } else if (!roundActive) {
            event.response().ifPresent(response -> applyResponse(response, sentMillis));
        }
    }

    private void endRoundIfDecided(long now) {
        if (!roundActive) {
            return;
        }
        if (quorum.majorityResponse().isPresent()) {
            roundActive = false;
            pending.clear();
            sentMillisByRequest.clear();
            backoff.reset();
            applyResponse(quorum.majorityResponse().get(), now);
            follower.markCaughtUp();
        } else if (pending.isEmpty() && sentMillisByRequest.isEmpty()) {
            roundActive = false;
            final long delay = backoff.nextDelayMillis();
            nextRequestMillis = now + delay;
            LOGGER.warn(
                    "{} of {} entries returned a document, a majority is needed; retrying in {} ms",
                    quorum.responseCount(),
                    quorum.peerCount(),
                    delay);
        }
    }

    private void applyResponse(ConfigurationResponse response, long requestMillis) {
        final ConfigurationState base = follower.state().orElse(ConfigurationState.empty());
        response.applyTo(base).ifPresent(follower::adopt);
        if (response.ageMillis() >= 0 && response.changes().upTo() >= base.offset()) {
            tailMillis = Math.max(tailMillis, requestMillis - response.ageMillis());
        }
    }

    private void expireRequests(long now) {
        final long timeoutMillis = settings.requestTimeout().toMillis();
        sentMillisByRequest.values().removeIf(sentMillis -> now - sentMillis > timeoutMillis);
    }
}
