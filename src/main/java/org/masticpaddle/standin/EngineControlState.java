package org.masticpaddle.standin;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import org.masticpaddle.platform.EngineControl.EngineOrder;
import org.masticpaddle.platform.EngineControl.OrderKind;

/** What an engine stand-in has loaded, and the orders that changed it. Thread-safe. */
final class EngineControlState {
    private static final int MAX_JOURNAL = 10_000;

    private final boolean fencing;
    private final Set<String> versions;
    private final Set<String> loading = new LinkedHashSet<>();
    private final Set<String> adapters = new LinkedHashSet<>();
    private final List<OrderEntry> journal = new ArrayList<>();
    private String role = "mixed";
    private long highestToken;

    EngineControlState(EngineSettings settings) {
        this.fencing = settings.fencing();
        this.versions = new LinkedHashSet<>(settings.loaded());
    }

    /** Applies an order unless its fencing token is old and tokens are enforced. */
    synchronized boolean accept(EngineOrder order) {
        final boolean accepted = !fencing || order.fencingToken() >= highestToken;
        if (journal.size() < MAX_JOURNAL) {
            journal.add(new OrderEntry(System.currentTimeMillis(), order, accepted));
        }
        if (accepted) {
            highestToken = Math.max(highestToken, order.fencingToken());
            apply(order);
        }
        return accepted;
    }

    private void apply(EngineOrder order) {
        final String subject = order.subject();
        switch (order.kind()) {
            case LOAD_VERSION:
                if (!versions.contains(subject)) {
                    loading.add(subject);
                }
                break;
            case UNLOAD_VERSION:
                versions.remove(subject);
                loading.remove(subject);
                break;
            case LOAD_ADAPTER:
                adapters.add(subject);
                break;
            case UNLOAD_ADAPTER:
                adapters.remove(subject);
                break;
            default:
                role = subject;
        }
    }

    synchronized void finishLoading(String version) {
        if (loading.remove(version)) {
            versions.add(version);
        }
    }

    synchronized boolean serves(String version) {
        return versions.contains(version);
    }

    synchronized boolean startsLoad(EngineOrder order) {
        return order.kind() == OrderKind.LOAD_VERSION && loading.contains(order.subject());
    }

    synchronized List<String> versions() {
        return List.copyOf(versions);
    }

    synchronized List<String> loading() {
        return List.copyOf(loading);
    }

    synchronized List<String> adapters() {
        return List.copyOf(adapters);
    }

    synchronized String role() {
        return role;
    }

    synchronized long highestToken() {
        return highestToken;
    }

    synchronized List<OrderEntry> journal() {
        return List.copyOf(journal);
    }

    record OrderEntry(long timeMillis, EngineOrder order, boolean accepted) {}
}
