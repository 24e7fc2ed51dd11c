package org.masticpaddle.standin;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.masticpaddle.standin.FaultProxy.Direction;

/** Faults of all connections of one proxy. Owned by the proxy's thread. */
final class ProxyFaults {
    private final Map<Direction, Long> delayNanos = new EnumMap<>(Direction.class);
    private boolean blackhole;

    void delay(Direction direction, long millis) {
        delayNanos.put(direction, TimeUnit.MILLISECONDS.toNanos(millis));
    }

    void blackhole(boolean on) {
        blackhole = on;
    }

    long delayNanos(Direction direction) {
        return delayNanos.getOrDefault(direction, 0L);
    }

    boolean blackhole() {
        return blackhole;
    }
}
