package org.masticpaddle.routing;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.masticpaddle.document.VersionName;
import org.masticpaddle.platform.EngineControl.CacheEvent;

/**
 * Index of prompt prefix blocks that upstreams have probably cached, built from the cache events of the upstreams,
 * which arrive late and with gaps, and from the dispatches of this entry.
 *
 * <p>Each gap in the events of an upstream lowers the confidence in what was recorded before it, since the missing
 * events may include evictions. Memory is limited by the numbers of blocks, of holders of a block and of upstreams. Not
 * thread-safe.
 */
public final class PrefixIndex {
    /** Default number of blocks; an index of this size takes about 15 MB when full. */
    public static final int DEFAULT_BLOCKS = 65_536;

    /** Largest number of upstreams recorded for one block. */
    private static final int MAX_HOLDERS_PER_BLOCK = 4;
    /** Largest number of upstreams whose events are tracked; the least recently used are dropped first. */
    private static final int MAX_UPSTREAMS = 1_024;
    /** Confidence in a block that this entry dispatched and no cache event has confirmed. */
    private static final double UNCONFIRMED_CONFIDENCE = 0.8;
    /** Marks a block without information; a confidence of 0 is a block known to be evicted. */
    private static final double NO_INFORMATION = -1;
    /** Age at which the confidence in a holder has decayed to 1/e, since its eviction may be reported late or never. */
    private static final double CONFIDENCE_DECAY_MILLIS = 600_000;

    private final LinkedHashMap<Long, List<Holder>> holdersByBlock;
    private final LinkedHashMap<String, Feed> feedsByUpstream;

    /**
     * Creates an empty index.
     *
     * @param maxBlocks largest number of blocks; the least recently used are evicted first
     */
    public PrefixIndex(int maxBlocks) {
        holdersByBlock = lruMap(maxBlocks);
        feedsByUpstream = lruMap(MAX_UPSTREAMS);
    }

    /**
     * Applies cache events of an upstream. Events that were applied before are ignored.
     *
     * @param upstream identifier of the instance
     * @param events events in ascending order of their sequence numbers
     * @param now current time in milliseconds
     */
    public void onEvents(String upstream, List<CacheEvent> events, long now) {
        final Feed feed = feedsByUpstream.computeIfAbsent(upstream, Feed::new);
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
     * Returns the sequence number of the last event applied, after which the next events are to be read.
     *
     * @param upstream identifier of the instance
     * @return sequence number, or -1 if no event of the upstream was applied
     */
    public long lastSequence(String upstream) {
        final Feed feed = feedsByUpstream.get(upstream);
        return feed == null ? -1 : feed.lastSequence;
    }

    /**
     * Records a dispatch, after which the upstream will hold the prompt's prefix.
     *
     * @param upstream identifier of the instance
     * @param version version that runs the prompt
     * @param prefixes hashes of the prefix blocks
     * @param now current time in milliseconds
     */
    public void onDispatch(String upstream, VersionName version, long[] prefixes, long now) {
        final Feed feed = feedsByUpstream.computeIfAbsent(upstream, Feed::new);
        final long versionHash = version.hashCode();
        for (final long prefix : prefixes) {
            store(key(versionHash, prefix), feed, UNCONFIRMED_CONFIDENCE, now);
        }
    }

    /**
     * Removes an upstream whose engine or sidecar has restarted or was removed.
     *
     * @param upstream identifier of the instance
     */
    public void forget(String upstream) {
        feedsByUpstream.remove(upstream);
    }

    /**
     * Returns the upstreams that probably hold the longest prefix of a prompt that any upstream holds.
     *
     * @param version version that runs the prompt
     * @param prefixes hashes of the prefix blocks
     * @return identifiers of at most four instances; empty if no holder is known
     */
    public List<String> holders(VersionName version, long[] prefixes) {
        final long versionHash = version.hashCode();
        for (int index = prefixes.length - 1; index >= 0; index--) {
            final List<Holder> holders = holdersByBlock.get(key(versionHash, prefixes[index]));
            if (holders != null && !holders.isEmpty()) {
                final List<String> ids = new ArrayList<>(holders.size());
                for (final Holder holder : holders) {
                    if (holder.confidence > 0 && feedsByUpstream.get(holder.feed.upstream) == holder.feed) {
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
     * Estimates the share of a prompt that an upstream has cached.
     *
     * @param upstream identifier of the instance
     * @param version version that runs the prompt
     * @param prefixes hashes of the prefix blocks
     * @param now current time in milliseconds
     * @return expected share of the blocks, between 0 and 1
     */
    public double expectedHitRatio(String upstream, VersionName version, long[] prefixes, long now) {
        final Feed feed = feedsByUpstream.get(upstream);
        final long versionHash = version.hashCode();
        double expectedHits = 0;
        int impliedBlocks = 0;
        // A cached block implies that preceding blocks whose events were lost are cached too, unless one is known to be
        // evicted.
        for (int index = 0; feed != null && index < prefixes.length; index++) {
            final List<Holder> holders = holdersByBlock.get(key(versionHash, prefixes[index]));
            final double confidence = holders == null ? NO_INFORMATION : confidence(holders, feed, now);
            if (confidence == 0) {
                break;
            }
            impliedBlocks++;
            if (confidence > 0) {
                expectedHits += impliedBlocks * confidence;
                impliedBlocks = 0;
            }
        }
        return prefixes.length == 0 ? 0 : expectedHits / prefixes.length;
    }

    private static double confidence(List<Holder> holders, Feed feed, long now) {
        for (final Holder holder : holders) {
            if (holder.feed == feed) {
                final double ageInDecayTimes = Math.max(0, now - holder.storedAtMillis) / CONFIDENCE_DECAY_MILLIS;
                return holder.confidence * Math.exp(feed.logConfidence - holder.logConfidence - ageInDecayTimes);
            }
        }
        return NO_INFORMATION;
    }

    private void store(Long key, Feed feed, double confidence, long now) {
        final List<Holder> holders = holdersByBlock.computeIfAbsent(key, absent -> new ArrayList<>(1));
        final double newConfidence = Math.max(confidence, confidence(holders, feed, now));
        holders.removeIf(holder -> holder.feed == feed || feedsByUpstream.get(holder.feed.upstream) != holder.feed);
        if (holders.size() == MAX_HOLDERS_PER_BLOCK && !holders.removeIf(holder -> holder.confidence == 0)) {
            holders.remove(0);
        }
        holders.add(new Holder(feed, newConfidence, feed.logConfidence, now));
        feed.storedBlocks++;
    }

    private void evict(Long key, Feed feed) {
        final List<Holder> holders = holdersByBlock.get(key);
        if (holders != null) {
            holders.replaceAll(holder ->
                    holder.feed == feed ? new Holder(feed, 0, feed.logConfidence, holder.storedAtMillis) : holder);
        }
        feed.storedBlocks = Math.max(0, feed.storedBlocks - 1);
    }

    private static Long key(long versionHash, long prefix) {
        return prefix * 0x9E3779B97F4A7C15L + versionHash;
    }

    private static <K, V> LinkedHashMap<K, V> lruMap(int maxEntries) {
        return new LinkedHashMap<>(16, 0.75f, true) {
            @Override
            protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
                return size() > maxEntries;
            }
        };
    }

    private record Holder(Feed feed, double confidence, double logConfidence, long storedAtMillis) {}

    /** Event feed of one upstream; {@code logConfidence} is the logarithm of the confidence that remains after its gaps. */
    private static final class Feed {
        private final String upstream;
        private long lastSequence = -1;
        private double logConfidence;
        private long storedBlocks;

        private Feed(String upstream) {
            this.upstream = upstream;
        }

        /** Lowers the confidence, assuming that half of the missing events are evictions of blocks stored before the gap. */
        private void onGap(long missingEvents) {
            logConfidence -= 0.5 * missingEvents / Math.max(8, storedBlocks);
        }
    }
}
