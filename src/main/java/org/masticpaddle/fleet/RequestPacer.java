package org.masticpaddle.fleet;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Issues permits for requests at a steady rate. A permit that is not used soon expires, so that the gateways that share an
 * upstream cannot all save permits and use them at the same moment.
 *
 * <p>Invariant: in any period, the permits issued do not exceed the rate times the period by more than 1, while the rate is
 * constant. Not thread-safe: confined to the thread of its owner.
 */
final class RequestPacer {
    /** Time for which a permit can be used, unless another one is given. */
    static final long PERMIT_LIFETIME_NANOS = 1_000_000_000L;

    private final long lifetimeNanos;
    private final Deque<Long> permits = new ArrayDeque<>();
    private double permitsPerSecond;
    private double nextPermitShare;
    private long updatedNanos;

    /**
     * Creates a pacer without permits.
     *
     * @param phase part of the first permit that is already due, between 0 and 1; differs between gateways, so that their
     *     permits are spread over time
     */
    RequestPacer(double permitsPerSecond, double phase, long now) {
        this(permitsPerSecond, phase, PERMIT_LIFETIME_NANOS, now);
    }

    /**
     * Creates a pacer without permits.
     *
     * @param phase part of the first permit that is already due, between 0 and 1
     * @param lifetimeNanos time for which a permit can be used; in any second, as many requests can be sent as permits become
     *     due in a second and this time
     */
    RequestPacer(double permitsPerSecond, double phase, long lifetimeNanos, long now) {
        this.lifetimeNanos = lifetimeNanos;
        this.permitsPerSecond = permitsPerSecond;
        nextPermitShare = phase;
        updatedNanos = now;
    }

    double permitsPerSecond() {
        return permitsPerSecond;
    }

    void setRate(double newPermitsPerSecond, long now) {
        advance(now);
        permitsPerSecond = newPermitsPerSecond;
    }

    /** Returns the number of permits that can be used now. */
    int available(long now) {
        advance(now);
        return permits.size();
    }

    /** Uses a permit, or the next one in advance if none is available. */
    void take(long now) {
        advance(now);
        if (permits.pollFirst() == null) {
            nextPermitShare -= 1;
        }
    }

    private void advance(long now) {
        final long elapsedNanos = Math.max(0, now - updatedNanos);
        updatedNanos = Math.max(now, updatedNanos);
        nextPermitShare += elapsedNanos * permitsPerSecond / 1e9;
        // Permits that have expired meanwhile are not created.
        final double usable = permitsPerSecond * lifetimeNanos / 1e9 + 1;
        nextPermitShare -= Math.max(0, Math.floor(nextPermitShare - usable));
        while (nextPermitShare >= 1) {
            nextPermitShare -= 1;
            permits.addLast(now - (long) (nextPermitShare * 1e9 / permitsPerSecond));
        }
        while (!permits.isEmpty() && now - permits.peekFirst() >= lifetimeNanos) {
            permits.removeFirst();
        }
    }
}
