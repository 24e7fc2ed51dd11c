package org.masticpaddle.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Faults that are enabled in one stand-in. A fault has a subject: a version, or all requests if it is empty. Thread-safe.
 */
public final class Faults {
    private static final long UNLIMITED = -1;

    private final Map<FaultKey, ActiveFault> activeFaults = new ConcurrentHashMap<>();

    /** Creates a set in which no fault is enabled. */
    public Faults() {}

    /**
     * Enables a fault for all requests until it is disabled.
     *
     * @param fault fault to enable
     * @param value milliseconds, percentage or factor, as {@link Fault} defines it for the fault
     */
    public void enable(Fault fault, long value) {
        apply(new Switch(fault, "", true, value, UNLIMITED));
    }

    /**
     * Enables a fault for all requests, for a limited number of occurrences.
     *
     * @param fault fault to enable
     * @param value milliseconds, percentage or factor, as {@link Fault} defines it for the fault
     * @param count number of occurrences after which the fault is disabled, 0 or -1 for no limit
     */
    public void enableTimes(Fault fault, long value, long count) {
        apply(new Switch(fault, "", true, value, count));
    }

    /**
     * Enables a fault for one version until it is disabled.
     *
     * @param fault fault to enable
     * @param version version as {@code model/version}
     * @param value milliseconds, percentage or factor, as {@link Fault} defines it for the fault
     */
    public void enableForVersion(Fault fault, String version, long value) {
        apply(new Switch(fault, version, true, value, UNLIMITED));
    }

    /**
     * Disables a fault for all requests and for each version.
     *
     * @param fault fault to disable
     */
    public void disable(Fault fault) {
        activeFaults.keySet().removeIf(key -> key.fault == fault);
    }

    /** Disables all faults. */
    public void disableAll() {
        activeFaults.clear();
    }

    /**
     * Lists the enabled faults.
     *
     * @return one switch for each fault and subject; its count is the number of occurrences left, -1 for no limit
     */
    public List<Switch> activeFaults() {
        final List<Switch> result = new ArrayList<>();
        activeFaults.forEach((key, activeFault) ->
                result.add(new Switch(key.fault, key.subject, true, activeFault.value, activeFault.remaining)));
        return result;
    }

    void apply(Switch change) {
        Objects.requireNonNull(change.fault(), "fault is null");
        final String subject = change.subject() == null ? "" : change.subject();
        final FaultKey key = new FaultKey(change.fault(), subject);
        if (!change.on()) {
            activeFaults.remove(key);
            return;
        }
        final long count = change.count() == 0 ? UNLIMITED : change.count();
        activeFaults.put(key, new ActiveFault(change.value(), count));
    }

    /** Reports whether the fault occurs for a subject, and consumes one occurrence if it does. */
    boolean trigger(Fault fault, String subject) {
        return triggerValue(fault, subject) >= 0;
    }

    boolean trigger(Fault fault) {
        return trigger(fault, "");
    }

    /**
     * Returns the value of the fault and consumes one occurrence, or returns -1 if the fault does not occur. A fault
     * that is enabled for the subject takes precedence over one that is enabled for all.
     */
    long triggerValue(Fault fault, String subject) {
        final long value = consumeOccurrence(new FaultKey(fault, subject));
        return value >= 0 || subject.isEmpty() ? value : consumeOccurrence(new FaultKey(fault, ""));
    }

    private long consumeOccurrence(FaultKey key) {
        final long[] value = {-1};
        activeFaults.computeIfPresent(key, (ignored, activeFault) -> {
            value[0] = activeFault.value;
            if (activeFault.remaining == UNLIMITED) {
                return activeFault;
            }
            return activeFault.remaining > 1 ? new ActiveFault(activeFault.value, activeFault.remaining - 1) : null;
        });
        return value[0];
    }

    /**
     * Body of {@code POST /control/faults}, which enables or disables a fault. Immutable.
     *
     * @param fault fault to enable or disable
     * @param subject version that is affected, as {@code model/version}; empty or null for all
     * @param on whether to enable the fault
     * @param value milliseconds, percentage or factor, as {@link Fault} defines it for the fault
     * @param count number of occurrences after which the fault is disabled, 0 or -1 for no limit
     */
    public record Switch(Fault fault, String subject, boolean on, long value, long count) {}

    private record FaultKey(Fault fault, String subject) {}

    private record ActiveFault(long value, long remaining) {}
}
