package org.masticpaddle.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;

/** Faults that are switched on in one stand-in. Thread-safe. */
public final class Faults {
    private static final long UNLIMITED = -1;

    private final Map<Key, Setting> active = new ConcurrentHashMap<>();

    /** Creates a set without faults. */
    public Faults() {}

    /**
     * Switches a fault on for everything, until it is switched off.
     *
     * @param fault the fault
     * @param value milliseconds, percentage or factor, as the fault says
     */
    public void enable(Fault fault, long value) {
        apply(new Switch(fault, "", true, value, UNLIMITED));
    }

    /**
     * Switches a fault on for the next few occasions.
     *
     * @param fault the fault
     * @param value milliseconds, percentage or factor, as the fault says
     * @param count number of times that it occurs
     */
    public void enableTimes(Fault fault, long value, long count) {
        apply(new Switch(fault, "", true, value, count));
    }

    /**
     * Switches a fault on for one version.
     *
     * @param fault the fault
     * @param version the version, {@code model/version}
     * @param value milliseconds, percentage or factor, as the fault says
     */
    public void enableForVersion(Fault fault, String version, long value) {
        apply(new Switch(fault, version, true, value, UNLIMITED));
    }

    /**
     * Switches a fault off for everything and for all versions.
     *
     * @param fault the fault
     */
    public void disable(Fault fault) {
        active.keySet().removeIf(key -> key.fault == fault);
    }

    /** Switches all faults off. */
    public void disableAll() {
        active.clear();
    }

    /**
     * Lists what is switched on.
     *
     * @return the switches, with the occasions that are left
     */
    public List<Switch> active() {
        final List<Switch> result = new ArrayList<>();
        active.forEach((key, setting) ->
                result.add(new Switch(key.fault, key.subject, true, setting.value, setting.remaining)));
        return result;
    }

    void apply(Switch change) {
        Objects.requireNonNull(change.fault(), "fault is null");
        final String subject = change.subject() == null ? "" : change.subject();
        final Key key = new Key(change.fault(), subject);
        if (!change.on()) {
            active.remove(key);
            return;
        }
        final long count = change.count() == 0 ? UNLIMITED : change.count();
        active.put(key, new Setting(change.value(), count));
    }

    /** Tells whether the fault occurs now, and uses up one occasion. */
    boolean occurs(Fault fault, String subject) {
        return value(fault, subject) >= 0;
    }

    boolean occurs(Fault fault) {
        return occurs(fault, "");
    }

    /** Value of the fault if it occurs now, which uses up one occasion, or -1. */
    long value(Fault fault, String subject) {
        final long value = use(new Key(fault, subject));
        return value >= 0 || subject.isEmpty() ? value : use(new Key(fault, ""));
    }

    private long use(Key key) {
        final long[] value = {-1};
        active.computeIfPresent(key, (ignored, setting) -> {
            value[0] = setting.value;
            if (setting.remaining == UNLIMITED) {
                return setting;
            }
            return setting.remaining > 1 ? new Setting(setting.value, setting.remaining - 1) : null;
        });
        return value[0];
    }

    /**
     * Message of {@code POST /control/faults}. Immutable.
     *
     * @param fault the fault
     * @param subject version that it concerns, empty for all
     * @param on whether it is switched on
     * @param value milliseconds, percentage or factor, as the fault says
     * @param count number of times that it occurs, 0 or less for no limit
     */
    public record Switch(Fault fault, String subject, boolean on, long value, long count) {}

    private record Key(Fault fault, String subject) {}

    private record Setting(long value, long remaining) {}
}
