package org.masticpaddle.routing;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.masticpaddle.document.VersionName;
import org.masticpaddle.platform.EngineControl.CacheEvent;

/**
 * Expected prefix-cache hits by upstream and version, from late events with gaps and from own dispatches.
 *
 * <p>Each gap in the events of an upstream lowers the confidence in what was known of it before, since an eviction may
 * be missing. Memory is bounded by the number of blocks, of holders of a block and of upstreams. Not thread-safe.
 */
public final class PrefixIndex {
    /** Blocks remembered; about 15 MB when full. */
    public static final int DEFAULT_BLOCKS = 65_536;

    private static final int MAX_HOLDERS_PER_BLOCK = 4;
    private static final int MAX_FEEDS = 1_024;
    /** Confidence in a block that this entry dispatched and no event has confirmed. */
    private static final double UNCONFIRMED_CONFIDENCE = 0.8;
    /** Stands for a block of which nothing is known; 0 is a block known to be evicted. */
    private static final double NO_INFORMATION = -1;
    /** Age at which confidence in an entry is 1/e, as evictions may arrive late or never. */
    private static final double CONFIDENCE_DECAY_MILLIS = 600_000;

    private final LinkedHashMap<Long, List<Holder>> blocks;
    private final LinkedHashMap<String, Feed> feeds;

    /**
     * Creates an empty index.
     *
     * @param maxBlocks blocks remembered; the least recently used go first
     */
    public PrefixIndex(int maxBlocks) {
        blocks = lruMap(maxBlocks);
        feeds = lruMap(MAX_FEEDS);
    }

    /**
     * Takes over events of an upstream; repeated ones are ignored.
     *
     * @param upstream identifier of the instance
     * @param events events in order
     * @param now current time in milliseconds
     */
    public void onEvents(String upstream, List<CacheEvent> events, long now) {
        final Feed feed = feeds.computeIfAbsent(upstream, Feed::new);
        for (final CacheEvent event : events) {
            if (event.sequence() <= feed.lastSequence) {
                continue;
            }
            if (feed.lastSequence >= 0 && event.sequence() > feed.lastSequence + 1) {
                feed.onGap(event.sequence() - feed.lastSequence - 1);
            }
            feed.lastSequence = event.sequence();
            final Long key = key(VersionName.parse(event.version()).hashCode(), event.prefixHash());
            if (event.stored()) {
                store(key, feed, 1, now);
            } else {
                evict(key, feed);
            }
        }
    }

    /**
     * Returns the last event known, after which the next ones are read.
     *
     * @param upstream identifier of the instance
     * @return its number, or -1
     */
    public long lastSequence(String upstream) {
        final Feed feed = feeds.get(upstream);
        return feed == null ? -1 : feed.lastSequence;
    }

    /**
     * Notes a dispatch: the upstream will hold the prompt's prefix.
     *
     * @param upstream identifier of the instance
     * @param version version that runs
     * @param prefixes hashes of the prefix blocks
     * @param now current time in milliseconds
     */
    public void onDispatch(String upstream, VersionName version, long[] prefixes, long now) {
        final Feed feed = feeds.computeIfAbsent(upstream, Feed::new);
        final long versionHash = version.hashCode();
        for (final long prefix : prefixes) {
            store(key(versionHash, prefix), feed, UNCONFIRMED_CONFIDENCE, now);
        }
    }

    /**
     * Forgets an upstream whose engine or sidecar started anew or is gone.
     *
     * @param upstream identifier of the instance
     */
    public void forget(String upstream) {
        feeds.remove(upstream);
    }

    /**
     * Lists upstreams that may hold part of a prompt, the holders of its longest known prefix.
     *
     * @param version version that runs
     * @param prefixes hashes of the prefix blocks
     * @return identifiers, at most four
     */
    public List<String> holders(VersionName version, long[] prefixes) {
        final long versionHash = version.hashCode();
        for (int index = prefixes.length - 1; index >= 0; index--) {
            final List<Holder> holders = blocks.get(key(versionHash, prefixes[index]));
            if (holders != null && !holders.isEmpty()) {
                final List<String> ids = new ArrayList<>(holders.size());
                for (final Holder holder : holders) {
                    if (holder.confidence > 0 && feeds.get(holder.feed.upstream) == holder.feed) {
                        ids.add(holder.feed.upstream);
                    }
                }
                if (!ids.isEmpty()) {
                    return ids;
                }
            }
        }
        return List.of();
    }

    /**
     * Estimates the part of a prompt that an upstream has cached.
     *
     * @param upstream identifier of the instance
     * @param version version that runs
     * @param prefixes hashes of the prefix blocks
     * @param now current time in milliseconds
     * @return expected part of the blocks, between 0 and 1
     */
    public double expectedHitRatio(String upstream, VersionName version, long[] prefixes, long now) {
        final Feed feed = feeds.get(upstream);
        final long versionHash = version.hashCode();
        double sum = 0;
        int unknown = 0;
        // A cached block implies those before it whose events were lost, but not one known to be evicted.
        for (int index = 0; feed != null && index < prefixes.length; index++) {
            final List<Holder> holders = blocks.get(key(versionHash, prefixes[index]));
            final double confidence = holders == null ? NO_INFORMATION : confidence(holders, feed, now);
            if (confidence == 0) {
                break;
            }
            unknown++;
            if (confidence > 0) {
                sum += unknown * confidence;
                unknown = 0;
            }
        }
        return prefixes.length == 0 ? 0 : sum / prefixes.length;
    }

    private static double confidence(List<Holder> holders, Feed feed, long now) {
        for (final Holder holder : holders) {
            if (holder.feed == feed) {
                final double age = Math.max(0, now - holder.storedAtMillis) / CONFIDENCE_DECAY_MILLIS;
                return holder.confidence * Math.exp(feed.logTrust - holder.logTrust - age);
            }
        }
        return NO_INFORMATION;
    }

    private void store(Long key, Feed feed, double confidence, long now) {
        final List<Holder> holders = blocks.computeIfAbsent(key, absent -> new ArrayList<>(1));
        final double known = Math.max(confidence, confidence(holders, feed, now));
        holders.removeIf(holder -> holder.feed == feed || feeds.get(holder.feed.upstream) != holder.feed);
        if (holders.size() == MAX_HOLDERS_PER_BLOCK && !holders.removeIf(holder -> holder.confidence == 0)) {
            holders.remove(0);
        }
        holders.add(new Holder(feed, known, feed.logTrust, now));
        feed.storedBlocks++;
    }

    private void evict(Long key, Feed feed) {
        final List<Holder> holders = blocks.get(key);
        if (holders != null) {
            holders.replaceAll(holder -> holder.feed == feed ? new Holder(feed, 0, feed.logTrust, holder.storedAtMillis) : holder);
        }
        feed.storedBlocks = Math.max(0, feed.storedBlocks - 1);
    }

    private static Long key(long versionHash, long prefix) {
        return prefix * 0x9E3779B97F4A7C15L + versionHash;
    }

    private static <K, V> LinkedHashMap<K, V> lruMap(int max) {
        return new LinkedHashMap<>(16, 0.75f, true) {
            @Override
            protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
                return size() > max;
            }
        };
    }

    private record Holder(Feed feed, double confidence, double logTrust, long storedAtMillis) {}

    /** Events of one upstream; {@code trust} is the logarithm of the confidence that survives its gaps. */
    private static final class Feed {
        private final String upstream;
        private long lastSequence = -1;
        private double logTrust;
        private long storedBlocks;

        private Feed(String upstream) {
            this.upstream = upstream;
        }

        /** Half of the missing events are taken for evictions of blocks stored before. */
        private void onGap(long missing) {
            logTrust -= 0.5 * missing / Math.max(8, storedBlocks);
        }
    }
}
