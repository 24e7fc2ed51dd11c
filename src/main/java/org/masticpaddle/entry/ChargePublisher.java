package org.masticpaddle.entry;

import java.net.URI;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

import org.masticpaddle.billing.ChargeWriter;
import org.masticpaddle.wire.Charge;
import org.masticpaddle.wire.ChargeAcknowledgement;

/** Appends charges and tells the sidecars, a batch at a time, which of them are on the log. Thread-safe. */
final class ChargePublisher {
    private final ChargeWriter writer;
    private final SidecarClient sidecars;
    private final Map<URI, List<String>> acknowledged = new HashMap<>();

    ChargePublisher(ChargeWriter writer, SidecarClient sidecars) {
        this.writer = Objects.requireNonNull(writer, "writer is null");
        this.sidecars = Objects.requireNonNull(sidecars, "sidecars is null");
    }

    void append(Charge charge, URI sidecar) {
        writer.append(charge, () -> acknowledged(charge.attemptId(), sidecar));
    }

    /** Sends what was acknowledged since the last call. */
    void flush() {
        final Map<URI, List<String>> batch;
        synchronized (acknowledged) {
            batch = new HashMap<>(acknowledged);
            acknowledged.clear();
        }
        batch.forEach((sidecar, attemptIds) -> sidecars.settled(sidecar, new ChargeAcknowledgement(attemptIds)));
    }

    private void acknowledged(String attemptId, URI sidecar) {
        synchronized (acknowledged) {
            acknowledged.computeIfAbsent(sidecar, key -> new ArrayList<>()).add(attemptId);
        }
    }
}
