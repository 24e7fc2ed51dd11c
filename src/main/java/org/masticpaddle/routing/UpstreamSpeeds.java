package org.masticpaddle.routing;

import java.util.Collection;

import org.masticpaddle.fleet.ObservedSpeed;
import org.masticpaddle.fleet.UpstreamState;

/** Whether the speeds that upstreams have shown in their answers count in their placement. Immutable and thread-safe. */
public enum UpstreamSpeeds {
    /** All upstreams of a service are expected to be equally fast, unless they report work factors. */
    IGNORED {
        @Override
        Factors factors(Collection<UpstreamState> members, long now) {
            return (member, work) -> 1;
        }
    },
    /** An upstream is expected to be as fast as its answers were. */
    LEARNED {
        @Override
        Factors factors(Collection<UpstreamState> members, long now) {
            return new LearnedSpeeds(members, now);
        }
    };

    /** Returns the speeds of the upstreams of a service at a time in nanoseconds. */
    abstract Factors factors(Collection<UpstreamState> members, long now);

    /** Speeds of the upstreams of one service at one time. */
    interface Factors {
        /** Returns the factor of the time that work takes at an upstream, beyond the work factor that it reports. */
        double factor(UpstreamState member, ObservedSpeed.Work work);
    }
}
