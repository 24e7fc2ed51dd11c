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

/** Appends charges to the log and acknowledges them to the sidecars in batches once they are on it. Thread-safe. */
final class ChargePublisher {
    private final ChargeWriter writer;
    private final SidecarClient sidecarClient;
    private final Map<URI, List<String>> acknowledged = new HashMap<>();

    ChargePublisher(ChargeWriter writer, SidecarClient sidecarClient) {
        this.writer = Objects.requireNonNull(writer, "writer is null");
        this.sidecarClient = Objects.requireNonNull(sidecarClient, "sidecarClient is null");
    }

    /** Appends a charge that a sidecar reported. The sidecar holds a copy until the acknowledgement. */
    void append(Charge charge, URI sidecar) {
        writer.append(charge, () -> onAcknowledged(charge.attemptId(), sidecar));
    }

    /** Sends the acknowledgements that were added since the last call. */
    void sendAcknowledgements() {
        final Map<URI, List<String>> batch;
        synchronized (acknowledged) {
            batch = new HashMap<>(acknowledged);
            acknowledged.clear();
        }
        batch.forEach((sidecar, attemptIds) ->
                sidecarClient.acknowledgeCharges(sidecar, new ChargeAcknowledgement(attemptIds)));
    }

    private void onAcknowledged(String attemptId, URI sidecar) {
        synchronized (acknowledged) {
            acknowledged.computeIfAbsent(sidecar, key -> new ArrayList<>()).add(attemptId);
        }
    }
}
